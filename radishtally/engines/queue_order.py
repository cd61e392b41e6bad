"""Estimate in which order engines prefill their queued prompts."""

from typing import Final, NamedTuple

DECAY_PROMPTS: Final = 60.0
"""Number of prompts over which the weight of older ones decays; only prompts whose wait
depends on the queue order count."""
FIFO_PRIOR_WEIGHT: Final = 0.25
"""Weight, in squared seconds, of the initial assumption that engines work in order of
arrival: that of four prompts with half a second of less urgent work ahead of each."""


class WaitEstimate(NamedTuple):
    """Hold the seconds until a prompt is started, for both orders of the queue."""

    by_arrival: float
    """Wait if the queue is first in, first out."""
    by_priority: float
    """Wait if only prompts of the same or a more urgent priority go first."""


class QueueOrderEstimator:
    """Estimate how much less urgent work ahead of a prompt adds to its wait.

    Some engines pick the most urgent prompt for each prefill chunk, others prefill the
    prompts that they have admitted in order of arrival. If the wrong order is assumed,
    urgent prompts are predicted to be late, deprioritized and sent away from their
    cached parts (of those with a predicted wait of 1.2 s, half were done in 0.3 s), or
    they wait behind long prompts that they were predicted to overtake (0.2 s on average
    instead of 0.1 s).
    """

    def __init__(self) -> None:
        self._delay_products = FIFO_PRIOR_WEIGHT
        """Decaying sum of the observed added wait times the added wait under FIFO."""
        self._fifo_squares = FIFO_PRIOR_WEIGHT
        """Decaying sum of the squared added wait under FIFO."""

    @property
    def fifo_share(self) -> float:
        """Return the share of less urgent work that goes first: 1 for a FIFO queue."""
        return min(max(self._delay_products / self._fifo_squares, 0.0), 1.0)

    def predict(self, wait: WaitEstimate) -> float:
        """Predict the seconds until a prompt is started."""
        return wait.by_priority + self.fifo_share * (wait.by_arrival - wait.by_priority)

    def record_wait(self, wait: WaitEstimate, observed: float) -> None:
        """Record how long a prompt has waited, next to the estimate for it."""
        fifo_delay = wait.by_arrival - wait.by_priority
        if fifo_delay <= 0.0:
            return
        delay = min(max(observed - wait.by_priority, 0.0), 2.0 * fifo_delay)
        decay = 1.0 - 1.0 / DECAY_PROMPTS
        self._delay_products = self._delay_products * decay + delay * fifo_delay
        self._fifo_squares = self._fifo_squares * decay + fifo_delay * fifo_delay
