"""Generate the schedule of faults for a seed."""

import random
from typing import Final, NamedTuple

LINK: Final = ("link_delay", "link_reset", "link_silence", "link_one_way", "link_reply")
GATEWAY: Final = ("gateway_term", "gateway_kill", "gateway_pause", "gateway_hangup")
STORE: Final = ("store_down", "store_slow", "store_lose", "store_pause", "store_forget")
HOST: Final = ("host_leave", "host_crash", "host_pause", "host_garble")
ANSWER: Final = ("desk_fault", "engine_fault", "configure")
FAULT_KINDS: Final = (*LINK, *GATEWAY, *STORE, *HOST, *ANSWER)
SPOIL: Final = "spoil_runs"
"""Kind of the faults that all engines show at once, so that one stream meets several
faults. They have a generator of their own, which leaves the other draws of a seed
unchanged."""
STALL: Final = "stall_gateways"
"""Kind of the pauses of all gateways at once; also with a generator of their own."""
SECONDS_PER_STALL: Final = 30.0
"""Seconds of the schedule per such pause; a shorter schedule has none."""
STALL_SECONDS: Final = (7.0, 10.0)
"""Shortest and longest such pause: longer than the gateways' lease and its margin."""
UNFRAMED: Final = ("unframed_engine", "unframed_desk", "full_desk")
"""Kinds of the faults behind which hosts answer without framing: killed meanwhile, or
at their limit of connections. Each has a generator of its own, too."""
SECONDS_PER_UNFRAMED: Final = 10.0
"""Seconds of the schedule per such fault of each kind; a shorter schedule has none."""
RELEASE: Final = "release"
"""Kind of the releases, in which all engines are replaced by ones of a new software
version; drawn like the faults above."""
BAD_PART: Final = "bad_part"
"""Kind of the prompts with a part that crashes engines; with a generator of its own."""
SECONDS_PER_BAD_PART: Final = 20.0
"""Seconds of the schedule per such part; a shorter schedule has none."""
BAD_PART_SECONDS: Final = (10.0, 15.0)
LIMIT: Final = "limit"
"""Kind of the limits that hosts name; with a generator of its own."""
SECONDS_PER_LIMIT: Final = 10.0
"""Seconds of the schedule per such limit; a shorter schedule has none."""
LIMIT_SECONDS: Final = (8.0, 14.0)
CROWD: Final = "crowd"
"""Kind of the crowd of callers after all other faults."""
CROWD_SECONDS: Final = 5.0
FLOOD: Final = "flood"
"""Kind of the floods of connections to one gateway; drawn like the faults above."""
LATE: Final = "late_start"
"""Kind of the leaving of a host of which an earlier start's entry was written late."""
UNFRAMED_SECONDS: Final = (0.8, 2.0)
"""Shortest and longest time for which hosts answer so."""
MIN_SERIES: Final = 8
BURST_GAP_SECONDS: Final = (0.02, 0.3, 1.5)
"""Seconds between the faults of a burst."""
MAX_BURST: Final = 4
MEAN_PAUSE_SECONDS: Final = (1.5, 8.0)
"""Shortest and longest mean time between two bursts of a series."""
FAULT_SECONDS: Final = (0.05, 4.0)
"""Shortest and longest duration of a fault."""
DRAW_RANGE: Final = 1 << 16


class Fault(NamedTuple):
    """Represent one scheduled fault."""

    at: float
    """Seconds from the start of the schedule."""
    kind: str
    target: int
    """Index, modulo their number, of the component among those present at that time."""
    seconds: float
    variant: int
    """Index, modulo their number, among the kind's variants."""


def make_schedule(seed: int, seconds: float, spoil_runs: bool = True) -> list[Fault]:
    """Generate overlapping series of bursts."""
    rng = random.Random(seed)
    kinds = rng.sample(FAULT_KINDS, rng.randint(MIN_SERIES, len(FAULT_KINDS)))
    faults = [fault for kind in kinds for fault in _make_series(kind, seconds, rng)]
    if spoil_runs:
        faults += _make_series(SPOIL, seconds, random.Random(f"{SPOIL} {seed}"))
        faults += _make_bad_parts(seconds, random.Random(f"{BAD_PART} {seed}"))
        faults += _make_limits(seconds, random.Random(f"{LIMIT} {seed}"))
        for kind in (*UNFRAMED, RELEASE, FLOOD):
            faults += _make_unframed(kind, seconds, random.Random(f"{kind} {seed}"))
    faults += _make_stalls(seconds, random.Random(f"{STALL} {seed}"))
    # Requests to a removed host can be judged only while the store is undisturbed, and
    # a limit while the gateways are, so these come after all other faults.
    final = Fault(seconds, "host_leave", rng.randrange(DRAW_RANGE), 0.0, 0)
    target = random.Random(f"{LATE} {seed}").randrange(DRAW_RANGE)
    late = Fault(seconds, LATE, target, 0.0, 0)
    limit = Fault(seconds, LIMIT, target + 1, LIMIT_SECONDS[1], 0)
    crowd = Fault(seconds, CROWD, 0, CROWD_SECONDS, 0)
    return [*sorted(faults), final, late, limit, crowd]


def _make_stalls(seconds: float, rng: random.Random) -> list[Fault]:
    count = int(seconds // SECONDS_PER_STALL)
    starts = sorted(rng.uniform(0.0, seconds) for _ in range(count))
    return [
        Fault(round(at, 3), STALL, 0, round(rng.uniform(*STALL_SECONDS), 3), 0)
        for at in starts
    ]


def _make_bad_parts(seconds: float, rng: random.Random) -> list[Fault]:
    """Begin one part in each span, early enough for it to be denied within the span."""
    faults = []
    for number in range(int(seconds // SECONDS_PER_BAD_PART)):
        at = number * SECONDS_PER_BAD_PART + rng.uniform(0.0, 5.0)
        duration = round(rng.uniform(*BAD_PART_SECONDS), 3)
        variant = rng.randrange(DRAW_RANGE)
        faults.append(Fault(round(at, 3), BAD_PART, 0, duration, variant))
    return faults


def _make_limits(seconds: float, rng: random.Random) -> list[Fault]:
    faults = []
    for number in range(int(seconds // SECONDS_PER_LIMIT)):
        at = round((number + rng.random()) * SECONDS_PER_LIMIT, 3)
        duration = round(rng.uniform(*LIMIT_SECONDS), 3)
        faults.append(Fault(at, LIMIT, rng.randrange(DRAW_RANGE), duration, 0))
    return faults


def _make_unframed(kind: str, seconds: float, rng: random.Random) -> list[Fault]:
    """Place one fault in each part of the schedule, so that no seed goes without."""
    count = int(seconds // SECONDS_PER_UNFRAMED)
    return [_draw_unframed(kind, number, rng) for number in range(count)]


def _draw_unframed(kind: str, number: int, rng: random.Random) -> Fault:
    at = (number + rng.random()) * SECONDS_PER_UNFRAMED
    target = rng.randrange(DRAW_RANGE)
    duration = rng.uniform(*UNFRAMED_SECONDS)
    return Fault(round(at, 3), kind, target, round(duration, 3), 0)


def _make_series(kind: str, seconds: float, rng: random.Random) -> list[Fault]:
    pause = rng.uniform(*MEAN_PAUSE_SECONDS)
    at = rng.uniform(0.0, pause)
    faults = []
    while at < seconds:
        target = rng.randrange(DRAW_RANGE)
        gap = rng.choice(BURST_GAP_SECONDS)
        for _ in range(rng.randint(1, MAX_BURST)):
            duration = rng.uniform(*FAULT_SECONDS)
            variant = rng.randrange(DRAW_RANGE)
            faults.append(
                Fault(round(at, 3), kind, target, round(duration, 3), variant)
            )
            at += gap
        at += rng.expovariate(1 / pause)
    return [fault for fault in faults if fault.at < seconds]
