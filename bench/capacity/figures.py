"""Figures of the capacity measurements and the timing of calls."""

import json
import os
import time
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

QUIET_LOAD: Final = 4.0
"""Load average from which a figure is marked as taken on a busy machine."""


class Figure(NamedTuple):
    """Hold one measured cost."""

    what: str
    value: float
    unit: str
    at: dict[str, Any] = {}
    """Conditions under which the figure was measured."""


Measure = Callable[[], Iterator[Figure]]


def print_figure(name: str, figure: Figure) -> None:
    """Print a figure as a JSON line, with the command that measures it."""
    load = os.getloadavg()[0]
    line = {
        "command": f"script/capacity {name}",
        "what": figure.what,
        "value": float(f"{figure.value:.4g}"),
        "unit": figure.unit,
        "at": figure.at,
        "load_average": round(load, 1),
        "quiet": load < QUIET_LOAD,
    }
    print(json.dumps(line), flush=True)


def time_calls(call: Callable[[], object], seconds: float = 0.4) -> float:
    """Measure the average processor time of a call in microseconds."""
    call()
    calls = 0
    begin = time.process_time()
    while (used := time.process_time() - begin) < seconds:
        call()
        calls += 1
    return used / max(1, calls) * 1e6
