"""Make the schedule of faults that a seed names."""

import random
from typing import Final, NamedTuple

LINK: Final = ("link_delay", "link_reset", "link_silence", "link_one_way", "link_reply")
GATEWAY: Final = ("gateway_term", "gateway_kill", "gateway_pause", "gateway_hangup")
STORE: Final = ("store_down", "store_slow", "store_lose", "store_pause", "store_forget")
HOST: Final = ("host_leave", "host_crash", "host_pause", "host_garble")
ANSWER: Final = ("desk_fault", "engine_fault", "configure")
KINDS: Final = (*LINK, *GATEWAY, *STORE, *HOST, *ANSWER)
SPOIL: Final = "spoil_runs"
"""Kind of the series that all engines show at once, so that one stream meets several
faults. It is drawn apart: what a seed named before it names still."""
STALL: Final = "stall_gateways"
"""Kind of the pauses of all gateways at once, drawn apart as well."""
STALL_EVERY: Final = 30.0
"""Seconds of a schedule for each such pause; a shorter one has none."""
STALL_LASTING: Final = (7.0, 10.0)
"""Shortest and longest pause in seconds: longer than their lease and its margin."""
FEWEST_SERIES: Final = 8
GAPS: Final = (0.02, 0.3, 1.5)
"""Seconds between the faults of a burst."""
LONGEST_BURST: Final = 4
PAUSES: Final = (1.5, 8.0)
"""Shortest and longest mean time in seconds between two bursts of a series."""
LASTING: Final = (0.05, 4.0)
"""Shortest and longest time in seconds that a fault lasts."""
TARGETS: Final = 1 << 16


class Fault(NamedTuple):
    """Hold one fault."""

    at: float
    """Seconds from the begin."""
    kind: str
    target: int
    """Chooses among what there is when it begins."""
    seconds: float
    variant: int
    """Chooses among the kind's variants."""


def make_schedule(seed: int, seconds: float, spoils: bool = True) -> list[Fault]:
    """Make series of bursts that overlap."""
    chance = random.Random(seed)
    kinds = chance.sample(KINDS, chance.randint(FEWEST_SERIES, len(KINDS)))
    faults = [fault for kind in kinds for fault in _make_series(kind, seconds, chance)]
    if spoils:
        faults += _make_series(SPOIL, seconds, random.Random(f"{SPOIL} {seed}"))
    faults += _make_stalls(seconds, random.Random(f"{STALL} {seed}"))
    # What comes to a host that left can be judged only once the store is left in peace.
    last = Fault(seconds, "host_leave", chance.randrange(TARGETS), 0.0, 0)
    return [*sorted(faults), last]


def _make_stalls(seconds: float, chance: random.Random) -> list[Fault]:
    count = int(seconds // STALL_EVERY)
    starts = sorted(chance.uniform(0.0, seconds) for _ in range(count))
    return [
        Fault(round(at, 3), STALL, 0, round(chance.uniform(*STALL_LASTING), 3), 0)
        for at in starts
    ]


def _make_series(kind: str, seconds: float, chance: random.Random) -> list[Fault]:
    pause = chance.uniform(*PAUSES)
    at = chance.uniform(0.0, pause)
    faults = []
    while at < seconds:
        target = chance.randrange(TARGETS)
        gap = chance.choice(GAPS)
        for _ in range(chance.randint(1, LONGEST_BURST)):
            lasting = chance.uniform(*LASTING)
            variant = chance.randrange(TARGETS)
            faults.append(Fault(round(at, 3), kind, target, round(lasting, 3), variant))
            at += gap
        at += chance.expovariate(1 / pause)
    return [fault for fault in faults if fault.at < seconds]
