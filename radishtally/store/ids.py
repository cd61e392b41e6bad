"""Generate the ids by which a process recognizes its own writes."""

import itertools
from typing import Final


class WriteIds:
    """Generate unique write ids for one incarnation of a process.

    All components of a process share one generator. A writer whose reply was lost
    recognizes its write by the row's id; a component that was recreated with a counter
    of its own would mistake an older row for that write.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation: Final = incarnation
        self._numbers = itertools.count(1)

    def make(self) -> str:
        """Return an id that no other write has."""
        return f"{self.incarnation}-{next(self._numbers)}"
