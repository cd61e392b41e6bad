"""Generate seeded traces of the calls that callers send and their times."""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from bench.kinds import KINDS, Kind, ServiceCall, find_engine_rate

VOCABULARY: Final = (
    "silk",
    "hem",
    "dart",
    "trim",
    "bodice",
    "georgette",
    "sleeve",
    "pleat",
    "waist",
    "lehenga",
    "measure",
    "neck",
    "bridal",
    "fitting",
    "line",
    "fault",
    "modem",
    "copper",
    "drop",
    "noise",
    "crew",
    "visit",
    "node",
    "dusk",
    "rain",
    "splice",
    "exchange",
    "report",
    "member",
    "test",
)


class Call(NamedTuple):
    """Describe one call; its prompt is generated from the seeds."""

    at: float
    """Seconds from the start of the trace."""
    name: str
    team: str
    deadline: float
    """Seconds."""
    seed: int
    path: str = "/v1/chat/completions"
    model: str = ""
    words: int = 0
    output: int = 0
    streamed: bool = False
    family: int = 0
    """Seed of the prompt's shared prefix; 0: none."""
    shared_words: int = 0
    key: str = ""
    """Idempotency key."""


class Phase(NamedTuple):
    """Describe the load during a part of a trace."""

    seconds: float
    shares: dict[str, float]
    """Offered load of each kind as a share of the pool's capacity."""
    calls: tuple[tuple[ServiceCall, float], ...] = ()
    """Calls of plain services and their rates per second."""


def make_trace(
    phases: Sequence[Phase], engines: int, speed: float, seed: int
) -> list[Call]:
    """Generate the calls of all phases, sorted by time.

    Each phase and kind has a random generator of its own, so that adding a kind does
    not change the calls of the others.
    """
    calls: list[Call] = []
    begin = 0.0
    for number, phase in enumerate(phases):
        end = begin + phase.seconds
        for name, share in phase.shares.items():
            kind = KINDS[name]
            rate = share * engines * find_engine_rate(kind, speed)
            rng = random.Random(f"{seed}/{number}/{name}")
            times = draw_times(rng, rate, begin, end)
            calls += [make_call(rng, kind, at, speed) for at in times]
        for service, rate in phase.calls:
            rng = random.Random(f"{seed}/{number}/{service.name}")
            times = draw_times(rng, rate, begin, end)
            calls += [make_service_call(rng, service, at) for at in times]
        begin = end
    return sorted(calls)


def draw_times(
    rng: random.Random, rate: float, begin: float, end: float
) -> list[float]:
    """Draw the arrival times of a Poisson process."""
    times = []
    at = begin
    while rate > 0:
        at += rng.expovariate(rate)
        if at >= end:
            break
        times.append(at)
    return times


def make_call(rng: random.Random, kind: Kind, at: float, speed: float) -> Call:
    """Draw one text generation request."""
    words = rng.randint(*kind.words)
    return Call(
        at=at,
        name=kind.name,
        team=kind.team,
        deadline=kind.deadline / speed,
        seed=rng.getrandbits(53),
        model=kind.model,
        words=words,
        output=rng.randint(*kind.output),
        streamed=kind.streamed,
        family=rng.randint(1, kind.families) if kind.families else 0,
        shared_words=int(kind.shared * words),
    )


def make_service_call(rng: random.Random, service: ServiceCall, at: float) -> Call:
    """Draw one non-idempotent service call, with an idempotency key."""
    seed = rng.getrandbits(53)
    return Call(
        at,
        service.name,
        service.team,
        service.deadline,
        seed,
        service.path,
        key=f"{service.name}-{seed}",
    )


def make_prompt(call: Call) -> str:
    """Generate the prompt of a call: a prefix shared by its family, then own words."""
    shared = random.Random(f"family {call.family}")
    words = shared.choices(VOCABULARY, k=call.shared_words)
    own = random.Random(call.seed)
    # Make every prompt unique, so that an answer can be matched to its call.
    words.append(f"case-{call.seed}")
    words += own.choices(VOCABULARY, k=max(0, call.words - call.shared_words - 1))
    return " ".join(words)
