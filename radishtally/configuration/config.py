"""Define the schema of the operators' configuration folder."""

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta

DEFAULT_DEADLINE_SECONDS: Final = 30.0
DEFAULT_MAX_BODY_BYTES: Final = 8 * 1024 * 1024

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")]
ModelName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}\Z")]
KeyHash = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
RoutePath = Annotated[str, Meta(pattern=r"^/[!-~]*\Z")]
Method = Annotated[str, Meta(pattern=r"^[A-Z]{1,16}\Z")]
Count = Annotated[int, Meta(ge=1, le=2**31)]
Weight = Annotated[float, Meta(ge=0, le=1e9)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]


class StrictStruct(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all configuration structs: immutable, with unknown fields refused."""


class Place(StrictStruct):
    """Describe a data centre."""

    region: Name


class Model(StrictStruct):
    """Describe a model that engines may load."""

    version: ModelName
    adapters: tuple[ModelName, ...] = ()
    max_prompt_tokens: Count = 32_768
    max_output_tokens: Count = 4_096


class Server(StrictStruct):
    """Describe one host of an upstream."""

    place: Name
    role: Literal["mixed", "prefill", "decode"] = "mixed"
    """Initial role; the planner may change it."""


class Route(StrictStruct):
    """Describe a route of a plain service."""

    path: RoutePath
    """Path relative to the service; a trailing * matches any suffix."""
    methods: tuple[Method, ...] = ("POST",)
    idempotent: bool = False
    """Whether a call may be retried after an unknown outcome."""


class Engines(StrictStruct, tag_field="kind", tag="engine"):
    """Describe a pool of model engines."""

    model: ModelName
    servers: dict[Name, Server]
    checks_fencing: bool = True
    """Whether the engines refuse an order that carries a stale fencing token."""


class Service(StrictStruct, tag_field="kind", tag="service"):
    """Describe a plain service."""

    servers: dict[Name, Server]
    routes: tuple[Route, ...] = ()
    """The first match applies; a call without a match is not idempotent."""
    slots: Count = 32
    """Concurrent calls per server."""


class Team(StrictStruct):
    """Describe a group of callers that share API keys and a fair-share weight."""

    key_sha256: tuple[KeyHash, ...]
    """SHA-256 hex digest of each valid API key."""
    share: Weight = 1.0
    priority: Literal["high", "normal", "low"] = "normal"
    upstreams: tuple[Name, ...] = ()
    """Upstreams that the team may use; an empty list allows all."""


class Policy(StrictStruct):
    """Set limits and strategies of admission, retries, routing and planning."""

    deadline_seconds: Seconds = DEFAULT_DEADLINE_SECONDS
    """Deadline of a request that sets none."""
    max_body_bytes: Count = DEFAULT_MAX_BODY_BYTES
    retry_budget: Weight = 0.1
    """Retries allowed per incoming request."""
    routing: Literal["rendezvous", "round_robin", "least_reported"] = "rendezvous"
    """How hosts are chosen; round_robin and least_reported are baselines."""
    planning: Literal["off", "static", "threshold", "cost"] = "off"
    """How engine roles are planned: off leaves every engine as configured."""
    goodput_weight: Weight = 1.0
    role_change_cost: Weight = 1.0
    """Requests that a role change must save to be worth making."""
    min_dwell_seconds: Seconds = 30.0
    """Minimum time between two role changes of one pool."""
    drain_seconds: Seconds = 20.0
    """Maximum time that running answers get to finish before they are handed over."""


class Operator(StrictStruct):
    """Describe an operator who may change the system."""

    key_sha256: tuple[KeyHash, ...]


class Configuration(StrictStruct):
    """Describe a whole configuration: the folder's files merged in name order."""

    deployment: Name
    places: dict[Name, Place]
    upstreams: dict[Name, Engines | Service]
    models: dict[ModelName, Model] = {}
    teams: dict[Name, Team] = {}
    operators: dict[Name, Operator] = {}
    policy: Policy = Policy()
