"""Make work of a caller's request by the route that it takes."""

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
"""Answers find their caller by the name: a second one would take the first's place, who
then waits for ever."""
CONTENT_HASH_DIGITS: Final = 32
"""Hex digits of the digest that are kept."""
NO_ROUTE: Final = Refusal(404, "no_route", "no route leads from this path")


class RoutedRequest(NamedTuple):
    """Hold a request that may be opened."""

    work: Work
    terms: Terms
    timeout: float
    is_streamed: bool


class Router:
    """Route requests by the configuration in force."""

    def __init__(self) -> None:
        self.configuration: FleetConfiguration | None = None
        self._routes = RouteTable()

    def configure(self, configuration: FleetConfiguration) -> None:
        """Bring a configuration into force."""
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes)

    def route(
        self, method: str, target: str, asked: CallerRequest, body: bytes
    ) -> Result[RoutedRequest, Refusal]:
        """Find where a request goes, and on what terms."""
        configuration = self.configuration
        if configuration is None:
            return Error(NOT_READY)
        if len(body) > configuration.limits.body_bytes:
            text = f"the body is over {configuration.limits.body_bytes} bytes"
            return Error(Refusal(413, "body_too_large", text))
        if _count_head_bytes(target, asked) > configuration.limits.header_bytes:
            text = f"the head is over {configuration.limits.header_bytes} bytes"
            return Error(Refusal(431, "head_too_large", text))
        route = self._routes.find(asked.authority, asked.path)
        if route is None:
            return Error(NO_ROUTE)
        is_streamed = route.kind == RouteKind.STREAM
        work = Work(
            asked.request,
            "",
            choose_upstream(route, asked.request),
            STREAM if is_streamed else CALL,
            body,
            asked.model,
            method=method,
            path=target,
            headers=asked.headers,
            idempotent=route.is_idempotent,
            priority=route.priority,
            prompt_tokens=asked.prompt_tokens,
            max_tokens=asked.max_tokens,
            prefix=hash_shared_parts(asked),
        )
        terms = Terms(
            route.max_attempts,
            route.objective,
            route.priority,
            asked.output_tokens or asked.max_tokens,
            asked.parts,
            asked.resumed_after if route.is_idempotent else 0,
            hash_content(method, asked.authority, target, body),
        )
        timeout = min(route.timeout, asked.timeout or route.timeout)
        return Ok(RoutedRequest(work, terms, timeout, is_streamed))


def hash_content(method: str, authority: str, target: str, body: bytes) -> str:
    """Digest what a request asks, whoever sends it and under whatever name.

    Not a fast hash: with one that collides at will a caller could get the requests of
    others taken for its own.
    """
    text = "\0".join((method, authority, target))
    # Bytes of a path that are no text come as lone surrogates.
    head = text.encode(errors="surrogateescape")
    digest = sha256(len(head).to_bytes(4) + head)
    digest.update(body)
    return digest.hexdigest()[:CONTENT_HASH_DIGITS]


def hash_shared_parts(asked: CallerRequest) -> int:
    """Hash the parts of a prompt that other requests share: all but the last."""
    names = "\0".join(part.name for part in asked.parts[:-1])
    return xxh3_64_intdigest(f"{asked.model}\0{names}".encode())


def _count_head_bytes(target: str, asked: CallerRequest) -> int:
    return len(target) + sum(len(name) + len(value) for name, value in asked.headers)
