"""Kinds of work that callers of the two deployments bring."""

from typing import Final, Literal, NamedTuple

from standins.batch import PROFILES, TIMING


class Kind(NamedTuple):
    """Describe one kind of work at the engines' real speed."""

    name: str
    model: str
    team: str
    words: tuple[int, int]
    """Least and most tokens of the prompt; a word is a token."""
    output: tuple[int, int]
    deadline: float
    """Seconds."""
    streamed: bool = True
    families: int = 0
    """Prompts that begin alike share one of so many beginnings; 0: all differ."""
    shared: float = 0.0
    """Share of the prompt that a beginning takes."""


class ServiceCall(NamedTuple):
    """Describe calls of a plain service that may not run twice."""

    name: str
    path: str
    team: str
    deadline: float


Deployment = Literal["lagna", "brolga"]

SHEET: Final = Kind(
    "sheet", "gown-llm", "lagna-demo-key", (1500, 4000), (60, 200), 30.0
)
TAG: Final = Kind(
    "tag", "gown-llm", "lagna-seamstress-key", (20, 60), (4, 12), 4.0, streamed=False
)
DART: Final = Kind(
    "dart", "gown-llm", "lagna-seamstress-key", (30, 100), (40, 120), 10.0
)
HISTORY: Final = Kind(
    "history", "fault-reader", "brolga-demo-key", (1000, 3000), (80, 250), 40.0
)
CLASSIFICATION: Final = Kind(
    "classification",
    "fault-reader",
    "brolga-desk-key",
    (50, 150),
    (2, 4),
    4.0,
    streamed=False,
)
HOT: Final = SHEET._replace(name="hot", families=1, shared=0.8)
REVISION: Final = SHEET._replace(name="revision", families=100, shared=0.8)
FLOOD: Final = DART._replace(name="flood", team="lagna-demo-key")
PEER: Final = DART._replace(name="peer", team="lagna-booking-key")
REMINDER: Final = ServiceCall(
    "reminder", "/services/booking-app/reminders", "lagna-booking-key", 4.0
)

KINDS: Final = {
    kind.name: kind
    for kind in (
        SHEET,
        TAG,
        DART,
        HISTORY,
        CLASSIFICATION,
        HOT,
        REVISION,
        FLOOD,
        PEER,
    )
}


def find_engine_rate(kind: Kind, speed: float, role: str = "mixed") -> float:
    """Work out the requests a second of a kind that one engine can do.

    Each step has a base time, computes at most its budget of prompt tokens and gives
    one token to each sequence of the batch.
    """
    profile = PROFILES[role]
    prompt = sum(kind.words) / 2 * (1.0 - kind.shared)
    output = sum(kind.output) / 2
    prefill_steps = prompt / profile.prefill_tokens
    steps = max(prefill_steps, (prefill_steps + output) / profile.max_batch)
    seconds = steps * TIMING.base + prompt * TIMING.prefill + output * TIMING.decode
    return speed / seconds
