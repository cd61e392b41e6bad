"""Kinds of requests that callers of the two deployments send."""

from typing import Final, Literal, NamedTuple

from standins.batch import PROFILES, TIMING


class Kind(NamedTuple):
    """Describe one kind of request, with its deadline at the engines' real speed."""

    name: str
    model: str
    team: str
    words: tuple[int, int]
    """Minimum and maximum number of prompt tokens; a word is a token."""
    output: tuple[int, int]
    deadline: float
    """Seconds."""
    streamed: bool = True
    families: int = 0
    """Number of distinct shared prompt prefixes; 0: prompts share none."""
    shared: float = 0.0
    """Share of the prompt that the shared prefix makes up."""


class ServiceCall(NamedTuple):
    """Describe non-idempotent calls of a plain service."""

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
    """Compute the requests per second of a kind that one engine can serve.

    Each step takes a base time, prefills at most its budget of prompt tokens and
    decodes one token for each sequence in the batch.
    """
    profile = PROFILES[role]
    prompt = sum(kind.words) / 2 * (1.0 - kind.shared)
    output = sum(kind.output) / 2
    prefill_steps = prompt / profile.prefill_tokens
    steps = max(prefill_steps, (prefill_steps + output) / profile.max_batch)
    seconds = steps * TIMING.base + prompt * TIMING.prefill + output * TIMING.decode
    return speed / seconds
