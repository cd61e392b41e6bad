"""Seeded traces of what callers send, and when."""

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
    """Describe one call; its prompt follows from the seed."""

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
    """Seed of the prompt's shared beginning; 0: none."""
    shared_words: int = 0
    key: str = ""
    """Idempotency key."""


class Phase(NamedTuple):
    """Describe the load over some time."""

    seconds: float
    shares: dict[str, float]
    """Share of the pool's capacity that each kind asks for."""
    calls: tuple[tuple[ServiceCall, float], ...] = ()
    """Calls of plain services, and their number a second."""


def make_trace(
    phases: Sequence[Phase], engines: int, speed: float, seed: int
) -> list[Call]:
    """Make the calls of all phases in the order of their times."""
    calls: list[Call] = []
    begin = 0.0
    for number, phase in enumerate(phases):
        end = begin + phase.seconds
        for name, share in phase.shares.items():
            kind = KINDS[name]
            rate = share * engines * find_engine_rate(kind, speed)
            source = random.Random(f"{seed}/{number}/{name}")
            times = draw_times(source, rate, begin, end)
            calls += [make_call(source, kind, at, speed) for at in times]
        for service, rate in phase.calls:
            source = random.Random(f"{seed}/{number}/{service.name}")
            times = draw_times(source, rate, begin, end)
            calls += [make_service_call(source, service, at) for at in times]
        begin = end
    return sorted(calls)


def draw_times(
    source: random.Random, rate: float, begin: float, end: float
) -> list[float]:
    """Draw arrivals that don't depend on each other."""
    times = []
    at = begin
    while rate > 0:
        at += source.expovariate(rate)
        if at >= end:
            break
        times.append(at)
    return times


def make_call(source: random.Random, kind: Kind, at: float, speed: float) -> Call:
    """Draw one request for generated text."""
    words = source.randint(*kind.words)
    return Call(
        at=at,
        name=kind.name,
        team=kind.team,
        deadline=kind.deadline / speed,
        seed=source.getrandbits(53),
        model=kind.model,
        words=words,
        output=source.randint(*kind.output),
        streamed=kind.streamed,
        family=source.randint(1, kind.families) if kind.families else 0,
        shared_words=int(kind.shared * words),
    )


def make_service_call(source: random.Random, service: ServiceCall, at: float) -> Call:
    """Draw one call that may not run twice."""
    seed = source.getrandbits(53)
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
    """Make the words of a call's prompt."""
    shared = random.Random(f"family {call.family}")
    words = shared.choices(VOCABULARY, k=call.shared_words)
    own = random.Random(call.seed)
    # No two prompts are the same, so that an answer tells whose it is.
    words.append(f"case-{call.seed}")
    words += own.choices(VOCABULARY, k=max(0, call.words - call.shared_words - 1))
    return " ".join(words)
