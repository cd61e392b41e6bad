"""Record the steps of recent requests for the explain command."""

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

MAX_REQUESTS: Final = 2_000
MAX_STEPS: Final = 50


class Step(NamedTuple):
    """Describe one step of a request."""

    at: float
    """Wall clock in seconds since 1970; for display only."""
    text: str


class RequestSteps:
    """Keep the steps of the most recent requests, up to a bound."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._requests: OrderedDict[str, list[Step]] = OrderedDict()

    def record(self, request: str, text: str) -> None:
        """Record a step and evict the oldest request if there are too many."""
        steps = self._requests.setdefault(request, [])
        if len(steps) < MAX_STEPS:
            steps.append(Step(self._clock(), text))
        while len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)

    def read(self, request: str) -> list[Step]:
        """Return the steps of a request; an empty list if it is not known."""
        return list(self._requests.get(request, ()))
