"""Schema of the operators' configuration folder."""

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


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Refuse unknown fields in every part of the configuration."""


class Place(Part):
    """Describe a data centre."""

    region: Name


class Model(Part):
    """Describe a model that engines may load."""

    version: ModelName
    adapters: tuple[ModelName, ...] = ()
    max_prompt_tokens: Count = 32_768
    max_output_tokens: Count = 4_096


class Server(Part):
    """Describe one host of an upstream."""

    place: Name
    role: Literal["mixed", "prefill", "decode"] = "mixed"
    """Role to start with; the planner may change it."""


class Route(Part):
    """Describe calls of a plain service."""

    path: RoutePath
    """Path below the service; a trailing * matches any rest."""
    methods: tuple[Method, ...] = ("POST",)
    idempotent: bool = False
    """Whether a call may be run again after an unclear outcome."""


class Engines(Part, tag_field="kind", tag="engine"):
    """Describe a pool of model engines."""

    model: ModelName
    servers: dict[Name, Server]
    checks_fencing: bool = True
    """Whether the engines refuse an order that carries an old fencing number."""


class Service(Part, tag_field="kind", tag="service"):
    """Describe a plain service."""

    servers: dict[Name, Server]
    routes: tuple[Route, ...] = ()
    """First match holds; a call that matches none is not idempotent."""
    slots: Count = 32
    """Calls that one server takes at once."""


class Team(Part):
    """Describe callers that share keys and a fair share."""

    key_sha256: tuple[KeyHash, ...]
    """SHA-256 hex of each API key in force."""
    share: Weight = 1.0
    priority: Literal["high", "normal", "low"] = "normal"
    upstreams: tuple[Name, ...] = ()
    """Upstreams that the team may use; none listed means all."""


class Policy(Part):
    """Weigh what the decisions aim at."""

    deadline_seconds: Seconds = DEFAULT_DEADLINE_SECONDS
    """Deadline of a request that names none."""
    max_body_bytes: Count = DEFAULT_MAX_BODY_BYTES
    retry_budget: Weight = 0.1
    """Retries allowed for each request that comes in."""
    routing: Literal["rendezvous", "round_robin", "least_reported"] = "rendezvous"
    """How hosts are chosen; the other two are there to be measured against."""
    planning: Literal["off", "static", "threshold", "cost"] = "off"
    """How roles are decided: off leaves every engine as configured."""
    goodput_weight: Weight = 1.0
    role_change_cost: Weight = 1.0
    """Requests that one role change must save before it is worth it."""
    min_dwell_seconds: Seconds = 30.0
    """Shortest time between two role changes of one pool."""
    drain_seconds: Seconds = 20.0
    """Longest time that running answers get before they are handed over."""


class Operator(Part):
    """Describe an operator who may change the system."""

    key_sha256: tuple[KeyHash, ...]


class Configuration(Part):
    """Describe the whole: the folder's files merged in name order."""

    deployment: Name
    places: dict[Name, Place]
    upstreams: dict[Name, Engines | Service]
    models: dict[ModelName, Model] = {}
    teams: dict[Name, Team] = {}
    operators: dict[Name, Operator] = {}
    policy: Policy = Policy()
