"""Types and protocols for hosts that are reached without an agent."""

from enum import StrEnum
from typing import Final, NamedTuple, Protocol

from radishtally.exchange import Headers
from radishtally.links.messages import KvRef, Offer
from radishtally.outcome import Result
from radishtally.serving.terms import Terms


class Instance(NamedTuple):
    """Describe one start of an upstream's host."""

    host: str
    """Name; a host keeps it across restarts if the deployment reports start times."""
    upstream: str
    address: str
    """IP and port."""
    data_centre: str
    is_draining: bool
    slots: int
    role: str = ""
    """PREFILL, DECODE or MIXED for an engine, empty for a plain service."""
    started_ms: int = 0
    """Start time in Unix milliseconds; 0 if the deployment does not report it."""
    version: str = ""
    """Version of the host's software; empty if it is not known."""


def is_same_start(one_ms: int, other_ms: int) -> bool:
    """Return whether two start times may be the same; an unknown one matches any."""
    return not one_ms or not other_ms or one_ms == other_ms


class UpstreamCall(NamedTuple):
    """Describe an HTTP request to a host."""

    method: str
    path: str
    headers: Headers
    body: bytes = b""


class Head(NamedTuple):
    """Describe the head of a host's answer."""

    status: int
    names: tuple[str, ...]
    """Ids of the requests that the answer claims to belong to; normally exactly one."""
    not_run: bool
    """Whether the host guarantees that it did not and will not run the request."""
    is_replaced: bool
    """Whether another instance has the address now."""
    signature: str
    """Signature of a host on its own answers; empty on answers of intermediaries."""
    headers: Headers
    """Headers to pass on to the caller."""


class Notice(NamedTuple):
    """Describe a host's status as reported in the head of any answer."""

    is_leaving: bool = False
    """Whether the host is about to stop and accepts no new work."""
    pause: float = 0.0
    """Seconds for which the host asks for no work from this process."""
    limit: float = 0.0
    """Requests a second that the host takes from all processes; 0 if it names none."""


NO_NOTICE: Final = Notice()


class EngineReport(NamedTuple):
    """Describe the state that an engine reports."""

    role: str
    sequence: int
    """Number of orders accepted since its start."""
    is_busy: bool
    """Whether an order is in progress."""
    started_ms: int = 0
    """Start time in Unix milliseconds; 0 if the deployment does not report it."""


class CachedPart(NamedTuple):
    """Describe a prompt part that an engine has in its KV cache."""

    model: str
    name: str
    tokens: int


class ProbeReply(StrEnum):
    """What the answer to a probe says about the process at the host's address."""

    SAME = "same"
    OTHER = "other"
    """Another host has the address."""
    RESTARTED = "restarted"
    """The host has it, but was started again."""
    UNCLEAR = "unclear"
    """An intermediary may have answered."""


class OrderOutcome(StrEnum):
    """Outcomes of an order to an engine."""

    TAKEN = "taken"
    HOLDS = "holds"
    """The engine already is in the ordered state."""
    BUSY = "busy"
    """Another order is in progress."""
    STALE = "stale"
    """A newer holder of the lease has issued orders since."""
    REFUSED = "refused"
    """The engine will never execute the order."""
    UNREACHED = "unreached"
    UNCLEAR = "unclear"
    """The order may be executed now or later."""


class Dialect(Protocol):
    """Translate between offers and the HTTP interface of a deployment's hosts."""

    def encode_offer(
        self, offer: Offer, terms: Terms, instance: Instance
    ) -> UpstreamCall:
        """Build the request that executes an offer."""

    def encode_drop(self, kv: KvRef) -> UpstreamCall:
        """Build the request that frees a KV cache that no engine will fetch."""

    def encode_report(self, instance: Instance) -> UpstreamCall:
        """Build the request that queries an engine's state."""

    def read_report(self, body: bytes) -> Result[EngineReport, str]:
        """Decode an engine's state report."""

    def encode_cached_parts(self, instance: Instance) -> UpstreamCall:
        """Build the request that lists an engine's cached prompt parts."""

    def read_cached_parts(self, body: bytes) -> Result[list[CachedPart], str]:
        """Decode the list of an engine's cached prompt parts."""

    def encode_order(
        self, instance: Instance, role: str, owner: str, fencing: int, sequence: int
    ) -> UpstreamCall:
        """Build the request that orders an engine to assume a role."""

    def read_order(self, status: int) -> OrderOutcome:
        """Decode the status of an engine's answer to an order."""

    def encode_probe(self, instance: Instance, health_path: str) -> UpstreamCall:
        """Build a request that is no work for a host and is answered while it lives."""

    def read_probe(
        self, status: int, headers: Headers, body: bytes, instance: Instance
    ) -> ProbeReply:
        """Decode which process has answered a probe."""

    def read_head(self, status: int, headers: Headers) -> Head:
        """Decode the head of an answer."""

    def read_notice(self, status: int, headers: Headers) -> Notice:
        """Decode the host status in the head of any answer."""

    def read_handle(self, body: bytes, instance: Instance) -> Result[KvRef, str]:
        """Decode the location of a computed prompt's KV cache."""
