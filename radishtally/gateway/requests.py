"""Route callers' requests and turn them into work for upstream hosts."""

from collections.abc import Callable
from hashlib import sha256
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from radishtally.exchange import Headers
from radishtally.gateway.core import CallerRequest
from radishtally.links.messages import CALL, STREAM, Work
from radishtally.outcome import Error, Ok, Ran, Refusal, Result
from radishtally.routes.config import FleetConfiguration
from radishtally.routes.core import Route, RouteKind, RouteTable, choose_upstream
from radishtally.serving.terms import Terms
from radishtally.teams.core import Team, extract_bearer

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
SENT_BACK: Final = Refusal(
    421, "sent_back", "the request was sent on to a gateway instead of a host", Ran.NO
)
"""Refusal of an open request that comes back, as a host's entry leads to a gateway. The
sender offers it to another host."""
CONTENT_HASH_DIGITS: Final = 32
"""Length of the content hash in hex digits."""
NO_ROUTE: Final = Refusal(404, "no_route", "no route leads from this path")
UNCONFIRMED: Final = Refusal(
    503,
    "keys_unconfirmed",
    "the store has not confirmed lately which API keys are valid",
    Ran.NO,
    retry_after=0.3,
)
NO_KEY: Final = Refusal(401, "no_api_key", "expected `Authorization: Bearer KEY`")
SEVERAL_KEYS: Final = Refusal(
    401, "several_api_keys", "more than one Authorization header was sent"
)
INVALID_KEY: Final = Refusal(401, "invalid_api_key", "the API key is unknown")
AUTHORIZATION: Final = "Authorization"
MAX_KEY_LENGTH: Final = 1024
"""Characters of the longest key that is looked up."""


NO_TEAM: Final = Team("")


class RoutedRequest(NamedTuple):
    """Hold a request that was accepted and routed."""

    work: Work
    terms: Terms
    timeout: float
    is_streamed: bool


class Router:
    """Route requests by the current configuration."""

    def __init__(self, are_keys_confirmed: Callable[[], bool] = lambda: True) -> None:
        self.configuration: FleetConfiguration | None = None
        self._routes = RouteTable()
        self._are_keys_confirmed = are_keys_confirmed
        """Returns whether keys may be accepted by the current configuration."""

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
        found = self._find_team(route, caller_request.credentials)
        if found.is_error():
            return found
        team = found.ok
        priority = route.priority if team.priority is None else team.priority
        is_streamed = route.kind == RouteKind.STREAM
        work = Work(
            caller_request.request,
            team.name,
            choose_upstream(route, caller_request.request),
            STREAM if is_streamed else CALL,
            body,
            caller_request.model,
            method=method,
            path=target,
            headers=caller_request.headers + self._list_credentials(caller_request),
            idempotent=route.is_idempotent,
            priority=priority,
            prompt_tokens=caller_request.prompt_tokens,
            max_tokens=caller_request.max_tokens,
            prefix=hash_shared_parts(caller_request),
        )
        terms = Terms(
            route.max_attempts,
            route.objective,
            priority,
            caller_request.output_tokens or caller_request.max_tokens,
            caller_request.parts,
            caller_request.resumed_after if is_streamed else 0,
            caller_request.resumed_stream if is_streamed else "",
            tuple(split.upstream for split in route.splits if split.weight > 0),
            caller_request.timeout or 0.0,
            hash_content(method, caller_request.authority, target, body),
            route.key,
        )
        timeout = min(route.timeout, caller_request.timeout or route.timeout)
        return Ok(RoutedRequest(work, terms, timeout, is_streamed))

    def _find_team(
        self, route: Route, credentials: tuple[str, ...]
    ) -> Result[Team, Refusal]:
        """Return the caller's team, or why its request is refused."""
        teams = self.configuration.teams
        if teams is None or route.is_anonymous:
            return Ok(NO_TEAM)
        # A key may have been revoked, or an unknown one added, since an outdated
        # configuration.
        if not self._are_keys_confirmed():
            return Error(UNCONFIRMED)
        if len(credentials) > 1:
            return Error(SEVERAL_KEYS)
        key = extract_bearer(credentials[0]) if credentials else ""
        if not key:
            return Error(NO_KEY)
        if len(key) > MAX_KEY_LENGTH:
            return Error(INVALID_KEY)
        team = teams.find(key.encode("latin-1"))
        return Error(INVALID_KEY) if team is None else Ok(team)

    def _list_credentials(self, caller_request: CallerRequest) -> Headers:
        """Return the headers with the caller's credentials if they are not the keys."""
        if self.configuration.teams is not None:
            return ()
        return tuple((AUTHORIZATION, value) for value in caller_request.credentials)


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
    return (
        len(target)
        + sum(len(name) + len(value) for name, value in caller_request.headers)
        + sum(map(len, caller_request.credentials))
    )
