"""Learn in which order engines read the prompts that wait at them."""

from typing import Final, NamedTuple

MEMORY_PROMPTS: Final = 60.0
"""Prompts that are remembered, of those whose wait depends on the order."""
FIFO_PRIOR_WEIGHT: Final = 0.25
"""Weight of the order of arrival, which is assumed at the start, in squared seconds: as
much as four prompts that half a second of less urgent work was ahead of."""


class WaitEstimate(NamedTuple):
    """Hold the seconds until a prompt is begun, by how an engine orders what waits."""

    by_arrival: float
    """Behind all that came before."""
    by_priority: float
    """Behind what is as urgent or more so."""


class QueueOrderEstimator:
    """Learn what less urgent work, ahead of a prompt, adds to its wait.

    Some engines take up the most urgent prompt at each piece that they read, others
    read what they have admitted in its order of arrival. Predicted by the wrong order,
    urgent prompts are taken for late, put behind others and sent away from their shared
    parts (of those predicted to wait 1.2 s, half were read in 0.3 s), or wait behind
    long ones though they were predicted to be first (0.2 s in the mean for 0.1 s).
    """

    def __init__(self) -> None:
        self._added = FIFO_PRIOR_WEIGHT
        """Sum of products of the added wait that was seen and the one by arrival."""
        self._could_add = FIFO_PRIOR_WEIGHT
        """Sum of squares of the latter."""

    @property
    def fifo_share(self) -> float:
        """Give the part of the less urgent work that is waited for: 1 by arrival."""
        return min(max(self._added / self._could_add, 0.0), 1.0)

    def predict(self, wait: WaitEstimate) -> float:
        """Predict the seconds until a prompt is begun."""
        return wait.by_priority + self.fifo_share * (wait.by_arrival - wait.by_priority)

    def record_wait(self, wait: WaitEstimate, seen: float) -> None:
        """Take in how long a prompt has waited."""
        could_add = wait.by_arrival - wait.by_priority
        if could_add <= 0.0:
            return
        added = min(max(seen - wait.by_priority, 0.0), 2.0 * could_add)
        forget = 1.0 - 1.0 / MEMORY_PROMPTS
        self._added = self._added * forget + added * could_add
        self._could_add = self._could_add * forget + could_add * could_add
