"""Remember the steps of recent requests, to explain what became of them."""

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

MAX_REQUESTS: Final = 2_000
MAX_STEPS: Final = 50


class Step(NamedTuple):
    """Hold one step of a request."""

    at: float
    """Wall clock, seconds since 1970; for people, nothing decides by it."""
    text: str


class RequestSteps:
    """Keep the steps of the latest requests."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._requests: OrderedDict[str, list[Step]] = OrderedDict()

    def record(self, request: str, text: str) -> None:
        """Add a step."""
        steps = self._requests.setdefault(request, [])
        if len(steps) < MAX_STEPS:
            steps.append(Step(self._clock(), text))
        while len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)

    def read(self, request: str) -> list[Step]:
        """Give a request's steps, none if it is not remembered."""
        return list(self._requests.get(request, ()))
