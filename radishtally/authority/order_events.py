"""Events that the agent's order core takes and commands that it gives."""

from typing import Any, Final, NamedTuple

from radishtally.authority.plan import Plan, Wanted

MODEL: Final = "model"
ROLE: Final = "role"
ADAPTER: Final = "adapter"

ACCEPTED: Final = "taken"
"""The engine took the order, or had carried it out already."""
STALE: Final = "stale"
"""The engine has seen a higher fencing number."""
BUSY: Final = "busy"
"""The engine is changing."""
REJECTED: Final = "rejected"
"""The engine refused the order for another reason; it had no effect."""
UNCLEAR: Final = "unclear"
"""The order may have reached the engine, or may still do so."""
NOT_SENT: Final = "not sent"
"""The order's time was over before it was sent."""

MAX_BACKOFF_DOUBLINGS: Final = 6


class OrderTimings(NamedTuple):
    """Set the times of the agent's orders, in seconds."""

    settle: float = 2.0
    """How long an order of a dead predecessor may be on its way on the same host."""
    poll: float = 1.0
    """Between reads of the engine, and of the plan while something is awaited."""
    busy_poll: float = 0.2
    """Between reads of an engine that changes; it serves nobody meanwhile."""
    plan_poll: float = 30.0
    """Between reads of the plan without a hint."""
    fresh: float = 3.0
    """Age at which a read no longer allows an order."""
    backoff: float = 1.0
    """Before an order that failed is given again; doubles with each failure."""


class EngineStatus(NamedTuple):
    """Hold what an engine says it is."""

    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    changing: bool
    incarnation: str
    fencing: int
    """Highest fencing number that the engine has seen."""


class PlanRead(NamedTuple):
    """Give the plan row as it stands."""

    plan: Plan | None
    asked_at: float


class PlanUnreadable(NamedTuple):
    """Say that the plan row could not be read."""


class EngineRead(NamedTuple):
    """Give the engine's state."""

    engine: EngineStatus
    asked_at: float


class EngineUnreachable(NamedTuple):
    """Say that the engine's state could not be read."""


class Drained(NamedTuple):
    """Say that the engine has no work left."""


class OrderAnswered(NamedTuple):
    """Give the outcome of an order."""

    order_id: str
    outcome: str
    """TAKEN, STALE, BUSY, REJECTED, UNCLEAR or NOT_SENT."""
    highest: int = 0
    """Fencing number that a STALE answer named."""


class HintReceived(NamedTuple):
    """Say that the plan row is worth reading."""


class Tick(NamedTuple):
    """Let time pass."""


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
    """Read the plan row."""


class ReadEngine(NamedTuple):
    """Read the engine's state."""


class StartDrain(NamedTuple):
    """Take no new work and say when none is left."""

    cause: str


class EndDrain(NamedTuple):
    """Take work again."""


class SendOrder(NamedTuple):
    """Send an order to the engine, if it is not too late for it."""

    order_id: str
    fencing: int
    kind: str
    """MODEL, ROLE or ADAPTER."""
    wanted: Wanted
    adapter: str
    send_before: float
    """Monotonic time at which the order must have left, or is NOT_SENT."""


class RecordAudit(NamedTuple):
    """Record in the audit trail what was done."""

    what: str
    cause: str
    before: dict[str, Any]
    after: dict[str, Any]


class WakeAt(NamedTuple):
    """Ask for a Tick."""

    time: float


Command = (
    ReadPlan | ReadEngine | StartDrain | EndDrain | SendOrder | RecordAudit | WakeAt
)
