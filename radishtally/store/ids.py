"""Give out the ids by which a process knows its own writes again."""

import itertools
from typing import Final


class WriteIds:
    """Number the writes of one start of a process; all its parts share one.

    A writer whose reply was lost takes a row that bears its id for its own write. A
    part that is made anew and counts for itself would take an older row for it.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation: Final = incarnation
        self._numbers = itertools.count(1)

    def make(self) -> str:
        """Give an id that no other write has."""
        return f"{self.incarnation}-{next(self._numbers)}"
