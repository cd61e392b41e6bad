"""Builders of queued and running jobs."""

from itertools import count
from typing import Any, Final

from radishtally.limits.queue import Job, Rates, Running

RATES: Final = Rates(prefill_rate=1_000.0, decode_seconds=0.02, slots=2)
NUMBERS: Final = count()


def make_job(team: str = "a", **more: Any) -> Job:
    """Build a job of one second, half of it prefill, with a distant deadline."""
    defaults = {
        "request": f"r{next(NUMBERS)}",
        "attempt": 1,
        "priority": 0,
        "share": 1.0,
        "prompt_tokens": 500,
        "output_tokens": 25,
        "deadline": 1_000.0,
        "arrived": 0.0,
    }
    return Job(team=team, **{**defaults, **more})


def make_running(tokens_left: int = 50, prefill_left: int = 0) -> Running:
    """Build a running job."""
    return Running(make_job(), 0.0, prefill_left, tokens_left)
