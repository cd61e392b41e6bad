"""Events that the agent's order core handles and commands that it returns."""

from typing import Any, Final, NamedTuple

from radishtally.authority.plan import Plan, Wanted

MODEL: Final = "model"
ROLE: Final = "role"
ADAPTER: Final = "adapter"

ACCEPTED: Final = "taken"
"""The engine accepted the order, or had already carried it out."""
STALE: Final = "stale"
"""The engine has seen a higher fencing token."""
BUSY: Final = "busy"
"""The engine is busy with an earlier change."""
REJECTED: Final = "rejected"
"""The engine refused the order for another reason; the order had no effect."""
UNCLEAR: Final = "unclear"
"""The outcome is unknown: the order may have reached the engine, or may still do so."""
NOT_SENT: Final = "not sent"
"""The order expired before it was sent."""

MAX_BACKOFF_DOUBLINGS: Final = 6


class OrderTimings(NamedTuple):
    """Define the timing of the agent's orders, in seconds."""

    settle: float = 2.0
    """Time for which an order of an agent that died may stay in flight on the host."""
    poll: float = 1.0
    """Interval of engine reads, and of plan reads while a change is pending."""
    busy_poll: float = 0.2
    """Interval of reads of a changing engine, which serves no requests meanwhile."""
    plan_poll: float = 30.0
    """Interval of plan reads if no hint arrives."""
    max_read_age: float = 3.0
    """Age from which a read is too old to base an order on."""
    backoff: float = 1.0
    """Delay before a failed order is retried; doubles with each failure."""


class EngineStatus(NamedTuple):
    """Represent the state that an engine reports."""

    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    changing: bool
    incarnation: str
    fencing: int
    """Highest fencing token that the engine has seen."""


class PlanRead(NamedTuple):
    """Event: the plan row was read."""

    plan: Plan | None
    asked_at: float


class PlanUnreadable(NamedTuple):
    """Event: the plan row could not be read."""


class EngineRead(NamedTuple):
    """Event: the engine's state was read."""

    engine: EngineStatus
    asked_at: float


class EngineUnreachable(NamedTuple):
    """Event: the engine's state could not be read."""


class Drained(NamedTuple):
    """Event: the engine has no work left."""


class OrderAnswered(NamedTuple):
    """Event: an order has ended with this outcome."""

    order_id: str
    outcome: str
    """ACCEPTED, STALE, BUSY, REJECTED, UNCLEAR or NOT_SENT."""
    highest: int = 0
    """Fencing token named by a STALE answer."""


class HintReceived(NamedTuple):
    """Event: the plan row may have changed."""


class Tick(NamedTuple):
    """Event: time has passed."""


Event = (
    PlanRead
    | PlanUnreadable
    | EngineRead
    | EngineUnreachable
    | Drained
    | OrderAnswered
    | HintReceived
    | Tick
)


class ReadPlan(NamedTuple):
    """Command: read the plan row."""


class ReadEngine(NamedTuple):
    """Command: read the engine's state."""


class StartDrain(NamedTuple):
    """Command: accept no new work, and send Drained once none is left."""

    cause: str


class EndDrain(NamedTuple):
    """Command: accept work again."""


class SendOrder(NamedTuple):
    """Command: send an order to the engine, unless it has expired."""

    order_id: str
    fencing: int
    kind: str
    """MODEL, ROLE or ADAPTER."""
    wanted: Wanted
    adapter: str
    send_before: float
    """Monotonic time from which the order must not be sent; it is then NOT_SENT."""


class RecordAudit(NamedTuple):
    """Command: add an entry to the audit trail."""

    what: str
    cause: str
    before: dict[str, Any]
    after: dict[str, Any]


class WakeAt(NamedTuple):
    """Command: send a Tick at this monotonic time."""

    time: float


Command = (
    ReadPlan | ReadEngine | StartDrain | EndDrain | SendOrder | RecordAudit | WakeAt
)
