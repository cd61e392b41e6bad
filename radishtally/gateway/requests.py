"""Route callers' requests and turn them into work for upstream hosts."""

from hashlib import sha256
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from radishtally.gateway.core import CallerRequest
from radishtally.links.messages import CALL, STREAM, Work
from radishtally.outcome import Error, Ok, Ran, Refusal, Result
from radishtally.routes.config import FleetConfiguration
from radishtally.routes.core import RouteKind, RouteTable, choose_upstream
from radishtally.serving.terms import Terms

NOT_READY: Final = Refusal(
    503, "not_ready", "no configuration is in force yet", Ran.NO, retry_after=1.0
)
STOPPING: Final = Refusal(
    503, "stopping", "this gateway is stopping", Ran.NO, retry_after=0.05
)
NAME_IN_USE: Final = Refusal(
    409, "name_in_use", "another request of this name is still open", Ran.NO
)
"""Answers are matched to callers by request id: a second request with the same id would
replace the first, whose caller would then wait forever."""
CONTENT_HASH_DIGITS: Final = 32
"""Length of the content hash in hex digits."""
NO_ROUTE: Final = Refusal(404, "no_route", "no route leads from this path")


class RoutedRequest(NamedTuple):
    """Hold a request that was accepted and routed."""

    work: Work
    terms: Terms
    timeout: float
    is_streamed: bool


class Router:
    """Route requests by the current configuration."""

    def __init__(self) -> None:
        self.configuration: FleetConfiguration | None = None
        self._routes = RouteTable()

    def configure(self, configuration: FleetConfiguration) -> None:
        """Replace the current configuration."""
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes)

    def route(
        self, method: str, target: str, caller_request: CallerRequest, body: bytes
    ) -> Result[RoutedRequest, Refusal]:
        """Return the work, terms and timeout of a request, or why it is refused."""
        configuration = self.configuration
        if configuration is None:
            return Error(NOT_READY)
        if len(body) > configuration.limits.body_bytes:
            text = f"the body is over {configuration.limits.body_bytes} bytes"
            return Error(Refusal(413, "body_too_large", text))
        if (
            _count_head_bytes(target, caller_request)
            > configuration.limits.header_bytes
        ):
            text = f"the head is over {configuration.limits.header_bytes} bytes"
            return Error(Refusal(431, "head_too_large", text))
        route = self._routes.find(caller_request.authority, caller_request.path)
        if route is None:
            return Error(NO_ROUTE)
        is_streamed = route.kind == RouteKind.STREAM
        work = Work(
            caller_request.request,
            "",
            choose_upstream(route, caller_request.request),
            STREAM if is_streamed else CALL,
            body,
            caller_request.model,
            method=method,
            path=target,
            headers=caller_request.headers,
            idempotent=route.is_idempotent,
            priority=route.priority,
            prompt_tokens=caller_request.prompt_tokens,
            max_tokens=caller_request.max_tokens,
            prefix=hash_shared_parts(caller_request),
        )
        terms = Terms(
            route.max_attempts,
            route.objective,
            route.priority,
            caller_request.output_tokens or caller_request.max_tokens,
            caller_request.parts,
            caller_request.resumed_after if route.is_idempotent else 0,
            hash_content(method, caller_request.authority, target, body),
        )
        timeout = min(route.timeout, caller_request.timeout or route.timeout)
        return Ok(RoutedRequest(work, terms, timeout, is_streamed))


def hash_content(method: str, authority: str, target: str, body: bytes) -> str:
    """Return a digest of a request's content, independent of its caller and its id.

    A cryptographic hash is required: with a hash for which collisions can be
    constructed, a caller could have other callers' requests mistaken for its own.
    """
    text = "\0".join((method, authority, target))
    # Path bytes that are not valid UTF-8 are decoded as lone surrogates.
    head = text.encode(errors="surrogateescape")
    digest = sha256(len(head).to_bytes(4) + head)
    digest.update(body)
    return digest.hexdigest()[:CONTENT_HASH_DIGITS]


def hash_shared_parts(caller_request: CallerRequest) -> int:
    """Hash the prompt parts that requests may share: all but the last."""
    names = "\0".join(part.name for part in caller_request.parts[:-1])
    return xxh3_64_intdigest(f"{caller_request.model}\0{names}".encode())


def _count_head_bytes(target: str, caller_request: CallerRequest) -> int:
    return len(target) + sum(
        len(name) + len(value) for name, value in caller_request.headers
    )
