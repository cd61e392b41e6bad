"""Contracts between the entry and the hosts that it reaches without an agent."""

from enum import StrEnum
from typing import Final, NamedTuple, Protocol

from radishtally.exchange import Headers
from radishtally.links.messages import KvRef, Offer
from radishtally.outcome import Result
from radishtally.serving.terms import Terms


class Instance(NamedTuple):
    """Describe one start of an upstream's host."""

    host: str
    """Name; where starts are told apart, a host keeps it when it starts again."""
    upstream: str
    address: str
    """IP and port."""
    data_centre: str
    is_draining: bool
    slots: int
    role: str = ""
    """PREFILL, DECODE or MIXED for an engine, empty for a plain service."""
    started_ms: int = 0
    """Unix milliseconds of the start; 0 where the deployment does not tell it."""


def is_same_start(one_ms: int, other_ms: int) -> bool:
    """Tell whether two sources may show one start; what tells none shows any."""
    return not one_ms or not other_ms or one_ms == other_ms


class UpstreamCall(NamedTuple):
    """Hold a request as it goes out to a host."""

    method: str
    path: str
    headers: Headers
    body: bytes = b""


class Head(NamedTuple):
    """Hold what the head of a host's answer says."""

    status: int
    names: tuple[str, ...]
    """Requests that the answer says it belongs to: one, if nothing went wrong."""
    not_run: bool
    """Whether the host promises that it did not run the request and won't."""
    is_replaced: bool
    """Whether another instance has the address now."""
    signature: str
    """The host's mark on an answer that it made itself, empty on any other."""
    headers: Headers
    """To be passed on to the caller."""


class Notice(NamedTuple):
    """Hold what a host says of itself in the head of any answer."""

    is_leaving: bool = False
    """Whether it ends soon, and wants no new work."""
    pause: float = 0.0
    """Seconds for which it wants no work from this process."""


NO_NOTICE: Final = Notice()


class EngineReport(NamedTuple):
    """Hold what an engine says of itself."""

    role: str
    sequence: int
    """Orders that it has taken since its start."""
    is_busy: bool
    """Whether an order is being carried out."""
    started_ms: int = 0
    """Unix milliseconds of its start; 0 where the deployment does not tell it."""


class CachedPart(NamedTuple):
    """Name a part of prompts that an engine keeps."""

    model: str
    name: str
    tokens: int


class OrderOutcome(StrEnum):
    """Say what became of an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    """The engine is as ordered already."""
    BUSY = "busy"
    """Another order came before it."""
    STALE = "stale"
    """A newer holder of the lease has given orders since."""
    REFUSED = "refused"
    """The engine will never carry it out."""
    UNREACHED = "unreached"
    UNCLEAR = "unclear"
    """It may be carried out, now or later."""


class Dialect(Protocol):
    """Translate between offers and what a deployment's hosts speak."""

    def encode_offer(
        self, offer: Offer, terms: Terms, instance: Instance
    ) -> UpstreamCall:
        """Give the request that carries out an offer."""

    def encode_drop(self, kv: KvRef) -> UpstreamCall:
        """Give the request that frees a KV cache that nobody will fetch."""

    def encode_report(self, instance: Instance) -> UpstreamCall:
        """Give the request that asks an engine what it does."""

    def read_report(self, body: bytes) -> Result[EngineReport, str]:
        """Read what an engine says of itself."""

    def encode_cached_parts(self, instance: Instance) -> UpstreamCall:
        """Give the request that asks an engine which parts of prompts it keeps."""

    def read_cached_parts(self, body: bytes) -> Result[list[CachedPart], str]:
        """Read which parts of prompts an engine keeps."""

    def encode_order(
        self, instance: Instance, role: str, owner: str, fencing: int, sequence: int
    ) -> UpstreamCall:
        """Give the request that orders an engine to take a role."""

    def read_order(self, status: int) -> OrderOutcome:
        """Read what an engine says to an order."""

    def read_head(self, status: int, headers: Headers) -> Head:
        """Read the head of an answer."""

    def read_notice(self, status: int, headers: Headers) -> Notice:
        """Read what the head of any answer says of its host."""

    def read_handle(self, body: bytes, instance: Instance) -> Result[KvRef, str]:
        """Read where the KV cache of a computed prompt lies."""
