"""Predictions of the time to first token at an engine."""

from typing import Final, NamedTuple

from radishtally.engines.state import PREFILL_OVERHEAD_SECONDS, EngineState
from radishtally.serving.requests import OpenRequest

FIRST_EVENT_SECONDS: Final = 0.03
"""Time from the end of prefill to the first event of the answer: the median over many
requests."""
PREFILL_RATE_BESIDE_ANSWERS: Final = 30_000.0
"""Prompt tokens per second that an engine prefills while it decodes answers. It runs at
half the speed of an engine that only prefills, and only between decode steps, so the
value is a third below half of that speed."""


class Prediction(NamedTuple):
    """Describe the predicted prefill of a prompt at an engine."""

    tokens: int
    """Prompt tokens that are not in the engine's cache."""
    wait: float
    """Seconds until prefill starts."""
    prefill: float
    """Seconds that prefill takes."""

    @property
    def seconds(self) -> float:
        """Return the predicted time to the first event of the answer."""
        return self.wait + self.prefill + FIRST_EVENT_SECONDS

    def describe(self, priority: int) -> str:
        """Describe the prediction for the log."""
        return (
            f"{self.tokens} tokens in {self.prefill:.3f} s after {self.wait:.3f} s,"
            f" priority {priority}"
        )


def predict_prefill(
    engine: EngineState, request: OpenRequest, cached_tokens: int, now: float
) -> Prediction:
    """Predict prefill at a prefill engine that has some tokens cached."""
    tokens = max(0, request.work.prompt_tokens - cached_tokens)
    prefill = tokens / engine.rate + PREFILL_OVERHEAD_SECONDS
    wait = engine.predict_wait(request.terms.priority, now)
    return Prediction(tokens, wait, prefill)


def predict_whole(engine: EngineState, request: OpenRequest) -> Prediction:
    """Predict prefill at a decode engine, alongside the answers that it decodes."""
    tokens = count_uncached(engine, request)
    wait = engine.count_pending_tokens() / PREFILL_RATE_BESIDE_ANSWERS
    prefill = tokens / PREFILL_RATE_BESIDE_ANSWERS + PREFILL_OVERHEAD_SECONDS
    return Prediction(tokens, wait, prefill)


def count_uncached(engine: EngineState, request: OpenRequest) -> int:
    """Count the tokens of a prompt that an engine does not have cached."""
    cached_tokens = engine.cache.count_cached_tokens(
        request.work.model, request.terms.parts
    )
    return max(0, request.work.prompt_tokens - cached_tokens)
