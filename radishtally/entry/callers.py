"""Check who asks for what, and make work of it."""

import fnmatch
import hashlib
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

ATTR_KEY: Final = "idempotency-key"
ATTR_TIMEOUT: Final = "x-request-timeout"
MAX_KEY_LENGTH: Final = 255
MAX_TIMEOUT_SECONDS: Final = 3600.0
PRIORITIES: Final = {"high": -1, "normal": 0, "low": 1}
DOT_SEGMENTS: Final = frozenset({".", ".."})
PASSED_ON: Final = frozenset({"content-type", "accept", "accept-language"})
START_RATIO: Final = 0.25
"""Tokens a character, until the engine has counted some."""
RATIO_WEIGHT: Final = 0.05


class Caller(NamedTuple):
    """Name the team that a request comes from."""

    name: str
    team: Team


@dataclass(slots=True)
class TokenRatio:
    """Learn from the engines' counts how many tokens a character makes."""

    by_model: dict[str, float] = field(default_factory=dict)

    def estimate(self, model: str, characters: int) -> int:
        """Estimate the tokens of a text."""
        return max(1, round(characters * self.by_model.get(model, START_RATIO)))

    def learn(self, model: str, characters: int, tokens: int) -> None:
        """Take an engine's count."""
        if not characters or not tokens:
            return
        seen = tokens / characters
        known = self.by_model.get(model, seen)
        self.by_model[model] = known + RATIO_WEIGHT * (seen - known)


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
        """Find the team whose key a request carries."""
        caller = self._teams.get(hash_bearer(headers))
        if caller is None:
            return Error(Refusal(401, "invalid_api_key", "the API key is not known"))
        return Ok(caller)

    def find_operator(self, headers: Mapping[str, str]) -> str | None:
        """Find the operator whose key a request carries."""
        return self._operators.get(hash_bearer(headers))

    def find_model(self, name: str) -> tuple[str, str, Model] | None:
        """Find a model by its own name or an adapter's: model, adapter, description."""
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
        """Find a plain service."""
        found = self.configuration.upstreams.get(name)
        return found if isinstance(found, Service) else None


class Envelope(NamedTuple):
    """Hold what a request's headers say beside its body."""

    key: str
    timeout: float


def hash_bearer(headers: Mapping[str, str]) -> str:
    """Hash the key of the Authorization header, as the configuration keeps keys."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return ""
    # Bytes that are no UTF-8 come as lone surrogates: they are just a wrong key.
    return hashlib.sha256(key.strip().encode(errors="surrogateescape")).hexdigest()


def read_envelope(
    headers: Mapping[str, str], default_timeout: float
) -> Result[Envelope, Refusal]:
    """Check the idempotency key and the deadline."""
    key = headers.get(ATTR_KEY, "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        text = f"{ATTR_KEY}: expected at most {MAX_KEY_LENGTH} printable characters"
        return Error(Refusal(400, "invalid_request", text))
    text = headers.get(ATTR_TIMEOUT, "")
    if not text:
        return Ok(Envelope(key, default_timeout))
    try:
        timeout = float(text)
    except ValueError:
        timeout = 0.0
    if not 0 < timeout <= MAX_TIMEOUT_SECONDS:
        text = f"{ATTR_TIMEOUT}: expected seconds up to {MAX_TIMEOUT_SECONDS:g}"
        return Error(Refusal(400, "invalid_request", text))
    return Ok(Envelope(key, timeout))


def make_generation(
    caller: Caller,
    generation: Generation,
    body: bytes,
    envelope: Envelope,
    directory: Directory,
    ratio: TokenRatio,
) -> Result[Work, Refusal]:
    """Make work of a request for generated text."""
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
    # The estimate may be off: only what is surely too long is refused here, the
    # rest is for the engine to say.
    if prompt_tokens > 2 * model.max_prompt_tokens:
        text = f"the prompt has about {prompt_tokens} tokens, over the model's limit"
        return Error(Refusal(400, "context_length_exceeded", text))
    wanted = generation.max_tokens or DEFAULT_MAX_TOKENS
    return Ok(
        Work(
            make_request_id(),
            caller.name,
            upstream,
            generation.kind,
            body,
            model_name,
            adapter,
            key=envelope.key,
            priority=PRIORITIES[caller.team.priority],
            share=caller.team.share,
            prompt_tokens=prompt_tokens,
            max_tokens=min(wanted, model.max_output_tokens),
            prefix=hash_prefix(generation.text),
        )
    )


def make_call(
    caller: Caller,
    name: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    envelope: Envelope,
    directory: Directory,
) -> Result[Work, Refusal]:
    """Make work of a call of a plain service."""
    service = directory.find_service(name)
    if service is None:
        text = f"the service {name!r} does not exist"
        return Error(Refusal(404, "service_not_found", text))
    if not may_use(caller, name):
        return Error(refuse_upstream(name))
    plain_path = unquote(path.partition("?")[0])
    # Failure: `/slots/../reminders` matches a route of `/slots*`, but what goes out is
    # `/reminders`. Symptom: a call that may not be repeated counts as idempotent and
    # runs twice. Without dot segments the path matched is the path called.
    if not DOT_SEGMENTS.isdisjoint(plain_path.split("/")):
        text = "the path has a segment `.` or `..`"
        return Error(Refusal(400, "invalid_request", text))
    passed = [(str(k), str(v)) for k, v in headers.items() if k.lower() in PASSED_ON]
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
            key=envelope.key,
            idempotent=is_idempotent(service.routes, method, plain_path),
            priority=PRIORITIES[caller.team.priority],
            share=caller.team.share,
        )
    )


def is_idempotent(routes: tuple[Route, ...], method: str, path: str) -> bool:
    """Tell whether a call may be run again; one that no route names may not."""
    for route in routes:
        if method in route.methods and fnmatch.fnmatchcase(path, route.path):
            return route.idempotent
    return method in ("GET", "HEAD")


def may_use(caller: Caller, upstream: str) -> bool:
    """Tell whether a team may use an upstream."""
    return not caller.team.upstreams or upstream in caller.team.upstreams


def refuse_upstream(upstream: str) -> Refusal:
    """Refuse a team an upstream that is not for it."""
    return Refusal(403, "upstream_not_allowed", f"{upstream!r} is not for this team")


def make_request_id() -> str:
    """Make an id that no other process makes."""
    return f"req-{secrets.token_hex(12)}"
