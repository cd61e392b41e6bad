"""Callers that were refused and when they may come back."""

from collections import deque
from typing import Final, NamedTuple

from radishtally.admission.split import WorkClass
from radishtally.links.gateway_messages import RefusedCaller

DEADLINE_TOLERANCE_SECONDS: Final = 0.05
"""Difference between the deadlines of two attempts of one caller, as seen by two
gateways: network and processing of both attempts."""
MIN_PASSED_SECONDS: Final = 0.002
"""Time that passes between two attempts of one caller, at least."""
EARLY_SECONDS: Final = 0.05
"""Time before it is due at which a caller counts as punctual."""
MAX_CALLERS: Final = 4_096
KEY_DIGITS: Final = 16
"""Hex digits of the content digest by which a caller is recognized."""
MEMORY_CALLERS: Final = 50.0
"""Number of due callers over which the share of those that return is averaged."""
PRIOR_CALLERS: Final = 10.0
"""Weight, in callers, of the initial assumption that half of them return."""
MIN_PAUSE_SECONDS: Final = 0.5
"""Shortest time after which a refused caller is told to return."""


class _Refused(NamedTuple):
    """Hold a refused caller."""

    deadline: float
    """Time at which the caller gives up, the same in all of its attempts."""
    due: float
    asked_seconds: float
    """Seconds that it had left when it asked; it has fewer in later attempts."""


class Standing(NamedTuple):
    """Tell whether a caller has been refused before."""

    has_returned: bool
    """Whether it comes back at the time that it was told, or later."""
    due: float
    """Time at which it should come, if it is early; 0 otherwise."""


NEWCOMER: Final = Standing(False, 0.0)
RETURNED: Final = Standing(True, 0.0)


class RefusedCallers:
    """Recognize refused callers by their content, deadline and time left.

    A caller that repeats before it is due would otherwise get a new chance with every
    attempt, in place of those that wait.
    """

    def __init__(self) -> None:
        self._callers: dict[tuple[str, int], list[_Refused]] = {}
        """Refused callers by content and the time slot of their deadline."""
        self._count = 0
        self._news: list[tuple[str, _Refused]] = []

    def __len__(self) -> int:
        """Return the number of keys that are remembered."""
        return len(self._callers)

    def record(
        self, content: str, due: float, deadline: float, asked_seconds: float
    ) -> None:
        """Record that a caller was told to return at a time."""
        if not content:
            return
        refused = _Refused(deadline, due, asked_seconds)
        key = content[:KEY_DIGITS]
        self._add(key, refused)
        self._news.append((key, refused))

    def record_told(self, caller: RefusedCaller, now: float) -> None:
        """Record a caller that another gateway has refused."""
        refused = _Refused(
            now + caller.seconds_left, now + caller.seconds_to_due, caller.asked_seconds
        )
        self._add(caller.key, refused)

    def check(
        self, content: str, deadline: float, asked_seconds: float, now: float
    ) -> Standing:
        """Return whether a caller was refused before; forget one that is on time."""
        key, slot = content[:KEY_DIGITS], _find_slot(deadline)
        found = [
            (refused, number, index)
            for number in (slot - 1, slot, slot + 1)
            for index, refused in enumerate(self._callers.get((key, number), ()))
            if abs(refused.deadline - deadline) <= DEADLINE_TOLERANCE_SECONDS
            # Another caller with the same content has as much time as the first had.
            and asked_seconds < refused.asked_seconds - MIN_PASSED_SECONDS
        ]
        if not found:
            return NEWCOMER
        # The newest refusal counts. Several at once are those of different callers.
        newest = min(refused.asked_seconds for refused, *_ in found)
        refused, number, index = min(
            (
                one
                for one in found
                if one[0].asked_seconds <= newest + MIN_PASSED_SECONDS
            ),
            key=lambda one: one[0].due,
        )
        if now < refused.due - EARLY_SECONDS:
            return Standing(False, refused.due)
        callers = self._callers[key, number]
        del callers[index]
        self._count -= 1
        if not callers:
            del self._callers[key, number]
        return RETURNED

    def pop_news(self, now: float) -> list[RefusedCaller]:
        """Return the callers refused here since the last call."""
        news, self._news = self._news, []
        return [
            RefusedCaller(key, one.due - now, one.deadline - now, one.asked_seconds)
            for key, one in news
        ]

    def _add(self, key: str, refused: _Refused) -> None:
        while self._callers and self._count >= MAX_CALLERS:
            self._count -= len(self._callers.pop(next(iter(self._callers))))
        slot = _find_slot(refused.deadline)
        self._callers.setdefault((key, slot), []).append(refused)
        self._count += 1


def _find_slot(deadline: float) -> int:
    return int(deadline / DEADLINE_TOLERANCE_SECONDS)


class ReturnPlan:
    """Give refused callers their turns, as fast as places free for their class."""

    def __init__(self) -> None:
        self._turns: dict[WorkClass, deque[float]] = {}
        self._due = PRIOR_CALLERS
        """Decaying number of callers whose turns have come."""
        self._returned = PRIOR_CALLERS / 2
        """Decaying number of callers that have returned, to whichever gateway."""

    def plan(
        self, work: WorkClass, interval: float, latest: float, now: float
    ) -> float:
        """Return the time at which a caller may return, and expect it then.

        Nobody is expected later than a caller is willing to wait.
        """
        turns = self._turns.setdefault(work, deque())
        self._drop_past(now)
        turn = now + MIN_PAUSE_SECONDS
        if turns:
            turn = max(turn, turns[-1] + interval)
        if turn <= latest:
            self._turns.setdefault(work, turns).append(turn)
        return turn

    def record_return(self) -> None:
        """Record that a refused caller has come back."""
        self._returned += 1.0

    def count_expected(self, work: WorkClass, until: float, now: float) -> float:
        """Estimate how many callers of a class return until a time."""
        self._drop_past(now)
        turns = self._turns.get(work, ())
        share = min(1.0, self._returned / self._due)
        return share * sum(turn <= until for turn in turns)

    def _drop_past(self, now: float) -> None:
        for work, turns in list(self._turns.items()):
            while turns and turns[0] < now:
                turns.popleft()
                self._due += 1.0
                self._due *= 1.0 - 1.0 / MEMORY_CALLERS
                self._returned *= 1.0 - 1.0 / MEMORY_CALLERS
            if not turns:
                del self._turns[work]
