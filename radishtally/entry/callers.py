"""Authenticate callers, check their requests and build work from them."""

import fnmatch
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple
from urllib.parse import unquote

from radishtally.configuration.config import (
    Configuration,
    Engines,
    Model,
    Route,
    Service,
    Team,
)
from radishtally.entry.openai import DEFAULT_MAX_TOKENS, Generation
from radishtally.links.messages import CALL, Work
from radishtally.outcome import Error, Ok, Refusal, Result
from radishtally.routing.core import hash_prefix
from radishtally.teams.core import extract_bearer, hash_key

HEADER_KEY: Final = "idempotency-key"
HEADER_TIMEOUT: Final = "x-request-timeout"
MAX_KEY_LENGTH: Final = 255
MAX_TIMEOUT_SECONDS: Final = 3600.0
PRIORITIES: Final = {"high": -1, "normal": 0, "low": 1}
DOT_SEGMENTS: Final = frozenset({".", ".."})
FORWARDED_HEADERS: Final = frozenset({"content-type", "accept", "accept-language"})
INITIAL_TOKENS_PER_CHARACTER: Final = 0.25
"""Estimate used for a model until an engine has reported a token count."""
RATIO_SMOOTHING: Final = 0.05


class Caller(NamedTuple):
    """Identify the team that sent a request."""

    name: str
    team: Team


@dataclass(slots=True)
class TokenRatio:
    """Track the tokens per character of each model from the engines' counts."""

    by_model: dict[str, float] = field(default_factory=dict)

    def estimate(self, model: str, characters: int) -> int:
        """Estimate the number of tokens in a text."""
        return max(
            1,
            round(characters * self.by_model.get(model, INITIAL_TOKENS_PER_CHARACTER)),
        )

    def record_count(self, model: str, characters: int, tokens: int) -> None:
        """Update a model's moving average with an engine's token count."""
        if not characters or not tokens:
            return
        seen = tokens / characters
        known = self.by_model.get(model, seen)
        self.by_model[model] = known + RATIO_SMOOTHING * (seen - known)


class Directory:
    """Look up callers, models and services in the configuration in force."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._teams = {
            digest: Caller(name, team)
            for name, team in configuration.teams.items()
            for digest in team.key_sha256
        }
        self._operators = {
            digest: name
            for name, operator in configuration.operators.items()
            for digest in operator.key_sha256
        }

    def find_caller(self, headers: Mapping[str, str]) -> Result[Caller, Refusal]:
        """Find the team by the key in a request's headers."""
        caller = self._teams.get(hash_bearer(headers))
        if caller is None:
            return Error(Refusal(401, "invalid_api_key", "the API key is unknown"))
        return Ok(caller)

    def find_operator(self, headers: Mapping[str, str]) -> str | None:
        """Find the operator by the key in a request's headers."""
        return self._operators.get(hash_bearer(headers))

    def find_model(self, name: str) -> tuple[str, str, Model] | None:
        """Find a model by its name or an adapter's; return model, adapter, settings."""
        models = self.configuration.models
        if name in models:
            return name, "", models[name]
        for model_name, model in models.items():
            if name in model.adapters:
                return model_name, name, model
        return None

    def find_pool(self, model: str) -> str | None:
        """Find the upstream that serves a model."""
        for name, upstream in self.configuration.upstreams.items():
            if isinstance(upstream, Engines) and upstream.model == model:
                return name
        return None

    def find_service(self, name: str) -> Service | None:
        """Find a plain service by its name."""
        found = self.configuration.upstreams.get(name)
        return found if isinstance(found, Service) else None


class RequestOptions(NamedTuple):
    """Hold the idempotency key and the timeout given in a request's headers."""

    key: str
    timeout: float


def hash_bearer(headers: Mapping[str, str]) -> str:
    """Hash the key of the Authorization header; the configuration stores hashes."""
    key = extract_bearer(headers.get("authorization", ""))
    # Bytes that are not UTF-8 arrive as lone surrogates; they make a wrong key.
    return hash_key(key.encode(errors="surrogateescape")) if key else ""


def read_options(
    headers: Mapping[str, str], default_timeout: float
) -> Result[RequestOptions, Refusal]:
    """Read and validate the idempotency key and the timeout."""
    key = headers.get(HEADER_KEY, "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        text = f"{HEADER_KEY}: expected at most {MAX_KEY_LENGTH} printable characters"
        return Error(Refusal(400, "invalid_request", text))
    text = headers.get(HEADER_TIMEOUT, "")
    if not text:
        return Ok(RequestOptions(key, default_timeout))
    try:
        timeout = float(text)
    except ValueError:
        timeout = 0.0
    if not 0 < timeout <= MAX_TIMEOUT_SECONDS:
        text = f"{HEADER_TIMEOUT}: expected seconds up to {MAX_TIMEOUT_SECONDS:g}"
        return Error(Refusal(400, "invalid_request", text))
    return Ok(RequestOptions(key, timeout))


def make_generation_work(
    caller: Caller,
    generation: Generation,
    body: bytes,
    options: RequestOptions,
    directory: Directory,
    ratio: TokenRatio,
) -> Result[Work, Refusal]:
    """Build work from a request for generated text."""
    found = directory.find_model(generation.model)
    if found is None:
        text = f"the model {generation.model!r} does not exist"
        return Error(Refusal(404, "model_not_found", text))
    model_name, adapter, model = found
    upstream = directory.find_pool(model_name)
    if upstream is None:
        text = f"no upstream serves the model {model_name!r}"
        return Error(Refusal(404, "model_not_found", text))
    if not may_use(caller, upstream):
        return Error(refuse_upstream(upstream))
    prompt_tokens = ratio.estimate(model_name, len(generation.text))
    # The token count is an estimate, so only prompts of more than twice the limit
    # are refused here. The engine checks the exact limit.
    if prompt_tokens > 2 * model.max_prompt_tokens:
        text = f"the prompt has about {prompt_tokens} tokens, over the model's limit"
        return Error(Refusal(400, "context_length_exceeded", text))
    token_limit = generation.max_tokens or DEFAULT_MAX_TOKENS
    return Ok(
        Work(
            make_request_id(),
            caller.name,
            upstream,
            generation.kind,
            body,
            model_name,
            adapter,
            key=options.key,
            priority=PRIORITIES[caller.team.priority],
            share=caller.team.share,
            prompt_tokens=prompt_tokens,
            max_tokens=min(token_limit, model.max_output_tokens),
            prefix=hash_prefix(generation.text),
        )
    )


def make_call_work(
    caller: Caller,
    name: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    options: RequestOptions,
    directory: Directory,
) -> Result[Work, Refusal]:
    """Build work from a call of a plain service."""
    service = directory.find_service(name)
    if service is None:
        text = f"the service {name!r} does not exist"
        return Error(Refusal(404, "service_not_found", text))
    if not may_use(caller, name):
        return Error(refuse_upstream(name))
    plain_path = unquote(path.partition("?")[0])
    # `/slots/../reminders` matches a route for `/slots*` but is sent as `/reminders`.
    # A call that must not be repeated would then count as idempotent and could run
    # twice. Without dot segments the path that is matched is the path that is sent.
    if not DOT_SEGMENTS.isdisjoint(plain_path.split("/")):
        text = "the path has a segment `.` or `..`"
        return Error(Refusal(400, "invalid_request", text))
    passed = [
        (str(k), str(v)) for k, v in headers.items() if k.lower() in FORWARDED_HEADERS
    ]
    return Ok(
        Work(
            make_request_id(),
            caller.name,
            name,
            CALL,
            body,
            method=method,
            path=path,
            headers=tuple(passed),
            key=options.key,
            idempotent=is_idempotent(service.routes, method, plain_path),
            priority=PRIORITIES[caller.team.priority],
            share=caller.team.share,
        )
    )


def is_idempotent(routes: tuple[Route, ...], method: str, path: str) -> bool:
    """Return whether a call may be repeated.

    Without a matching route only GET and HEAD may be repeated.
    """
    for route in routes:
        if method in route.methods and fnmatch.fnmatchcase(path, route.path):
            return route.idempotent
    return method in ("GET", "HEAD")


def may_use(caller: Caller, upstream: str) -> bool:
    """Return whether a team may use an upstream."""
    return not caller.team.upstreams or upstream in caller.team.upstreams


def refuse_upstream(upstream: str) -> Refusal:
    """Return the refusal for an upstream that the team may not use."""
    return Refusal(
        403, "upstream_not_allowed", f"{upstream!r} is not open to this team"
    )


def make_request_id() -> str:
    """Return a random request id that is unique across processes."""
    return f"req-{secrets.token_hex(12)}"
