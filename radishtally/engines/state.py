"""Follow what one engine has been given and how fast it is."""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from radishtally.engines.cache import PromptCache

START_RATE: Final = 90_000.0
"""Prompt tokens that an engine reads in a second until some prompts were timed; what
the deployments' own pages say of their engines, rounded down."""
RATE_WEIGHT: Final = 0.2
"""Weight of one timed prompt in the engine's rate."""
RATE_TOKENS: Final = 2_000
"""Least tokens of a prompt whose time tells the rate: below, fixed costs prevail."""
RATE_BOUNDS: Final = (20_000.0, 200_000.0)
"""Rates outside are taken for errors of the measurement, as of a paused process."""
FIXED_SECONDS: Final = 0.06
"""Time of a prompt's computation beside its tokens."""
CACHE_SHARE: Final = 0.7
"""Share of an engine's memory that is taken to keep parts; the rest serves answers."""


class Reading(NamedTuple):
    """Remember a prompt that an engine was given to read."""

    tokens: int
    """Tokens that it has to read."""
    priority: int
    since: float
    was_alone: bool


@dataclass(slots=True)
class EngineState:
    """Hold what is known of one engine."""

    host: str
    data_centre: str
    role: str
    cache: PromptCache
    rate: float = START_RATE
    readings: dict[str, Reading] = field(default_factory=dict)
    answers: set[str] = field(default_factory=set)
    """Requests that it is answering."""

    def begin_reading(
        self, request: str, tokens: int, priority: int, now: float
    ) -> None:
        """Note that a prompt was given to it."""
        alone = not self.readings
        self.readings[request] = Reading(tokens, priority, now, alone)

    def end_reading(self, request: str, now: float, was_read: bool) -> None:
        """Note that a prompt is read, or is given up."""
        reading = self.readings.pop(request, None)
        if reading is None or not was_read or not reading.was_alone:
            return
        seconds = now - reading.since - FIXED_SECONDS
        if reading.tokens < RATE_TOKENS or seconds <= 0:
            return
        low, high = RATE_BOUNDS
        seen = min(max(reading.tokens / seconds, low), high)
        self.rate += RATE_WEIGHT * (seen - self.rate)

    def predict_wait(self, priority: int, now: float) -> float:
        """Predict the seconds until a prompt of a priority is begun."""
        ahead = [item for item in self.readings.values() if item.priority <= priority]
        if not ahead:
            return 0.0
        waits = sum(item.tokens for item in ahead) / self.rate
        # The engine has worked on them since the first one came.
        passed = now - min(item.since for item in ahead)
        return max(0.0, waits - passed)
