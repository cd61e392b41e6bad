"""Predict how prompts would fare at engines."""

from typing import Final, NamedTuple

from radishtally.engines.state import PREFILL_OVERHEAD_SECONDS, EngineState
from radishtally.serving.requests import OpenRequest

FIRST_EVENT_SECONDS: Final = 0.03
"""Time from a computed prompt to the first event of its answer, as seen in the middle
of many requests."""
PREFILL_RATE_BESIDE_ANSWERS: Final = 30_000.0
"""Prompt tokens that an engine reads in a second beside answers: it reads at half the
speed of one that only reads, and in the pauses between the answers' tokens. Assumed, a
third under half the speed; not measured."""


class Prediction(NamedTuple):
    """Hold how a prompt would fare at an engine."""

    tokens: int
    """Tokens that the engine has to read."""
    wait: float
    """Seconds until it begins."""
    prefill: float
    """Seconds that it reads."""

    @property
    def seconds(self) -> float:
        """Give the seconds until the first event of the answer."""
        return self.wait + self.prefill + FIRST_EVENT_SECONDS

    def describe(self, priority: int) -> str:
        """Say what was predicted, for the log."""
        return (
            f"{self.tokens} tokens in {self.prefill:.3f} s behind {self.wait:.3f} s,"
            f" priority {priority}"
        )


def predict_prefill(
    engine: EngineState, request: OpenRequest, kept: int, now: float
) -> Prediction:
    """Predict for an engine that only reads prompts, and keeps so many tokens."""
    tokens = max(0, request.work.prompt_tokens - kept)
    reading = tokens / engine.rate + PREFILL_OVERHEAD_SECONDS
    wait = engine.predict_wait(request.terms.priority, now)
    return Prediction(tokens, wait, reading)


def predict_whole(engine: EngineState, request: OpenRequest) -> Prediction:
    """Predict for an engine that reads the prompt beside the answers it makes."""
    tokens = count_uncached(engine, request)
    wait = engine.count_pending_tokens() / PREFILL_RATE_BESIDE_ANSWERS
    reading = tokens / PREFILL_RATE_BESIDE_ANSWERS + PREFILL_OVERHEAD_SECONDS
    return Prediction(tokens, wait, reading)


def count_uncached(engine: EngineState, request: OpenRequest) -> int:
    """Count the tokens of a prompt that an engine would have to read."""
    kept = engine.cache.count_cached_tokens(request.work.model, request.terms.parts)
    return max(0, request.work.prompt_tokens - kept)
