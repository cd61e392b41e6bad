"""Know requests under which one host after another has ended."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final, NamedTuple

from radishtally.links.messages import Suspicion

ENDS_TO_DENY: Final = 3
"""Hosts that end in a row under a request until it is offered to none."""
ENDS_TO_ISOLATE: Final = 2
"""The same until it is kept away from the last host and from busy ones."""
SUSPICION_SECONDS: Final = 300.0
"""Time after the last end for which a request is suspected, or is denied at first."""
MAX_DENY_SECONDS: Final = 3_600.0
"""Longest time for which a request is denied before it is tried once more."""
TRIAL_SECONDS: Final = 10.0
"""Time that the verdict of such a trial may take."""
MAX_SUSPECTS: Final = 8_192
"""Requests that are remembered: those open at a hundred hosts that end at once."""
OUTLIVED_FACTOR: Final = 4.0
"""Times its longest run before an end after which a run has outlived what ended it."""
MIN_OUTLIVED_SECONDS: Final = 1.0
"""Least length of such a run."""
MAX_SUSPICIONS_PER_MESSAGE: Final = 256
"""Suspicions that are told at once: a few KB."""


class HostEnd(NamedTuple):
    """Describe the end of a host under a request."""

    known: int
    """Ends in a row that were known when the request was offered there."""
    seconds: float
    """Time for which the host had been answering."""


@dataclass(slots=True)
class _Suspect:
    ends: int
    seconds: float
    """Longest run before an end."""
    until: float


class Suspects:
    """Count the hosts that ended in a row under each request.

    A host that ends takes all that is open there with it, so one end says little of any
    of them. Ends count in a row only: of runs that began when the end before was known.
    Many hosts that end at the same time are one end to each request. A whole answer
    clears a request, and a run much longer than those that ended before begins anew.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._changed: OrderedDict[str, None] = OrderedDict()
        """Contents that the other entries are to be told of."""

    def count_ends(self, content: str, now: float) -> int:
        """Count the ends in a row under a request."""
        known = self._find(content, now)
        return 0 if known is None else known.ends

    def count_denied(self, now: float) -> int:
        """Count the requests that are offered to no host."""
        return sum(
            known.ends >= ENDS_TO_DENY and now < known.until
            for known in self._suspects.values()
        )

    def find_denial_seconds(self, content: str, now: float) -> float:
        """Give the seconds for which a request is denied; 0 if it may be offered."""
        known = self._find(content, now)
        if known is None or known.ends < ENDS_TO_DENY:
            return 0.0
        return max(0.0, known.until - now)

    def record_offer(self, content: str, now: float) -> int:
        """Take an offer of a request that is not denied; give its ends in a row."""
        known = self._find(content, now)
        if known is None:
            return 0
        if known.ends >= ENDS_TO_DENY:
            # Its time is over, and one run may show whether it still ends its host.
            known.until = now + TRIAL_SECONDS
            self.mark_changed(content)
        return known.ends

    def record_host_end(self, content: str, end: HostEnd, now: float) -> int:
        """Take the end of a host under a request; give its ends in a row."""
        if not content:
            return 0
        known = self._find(content, now) or _Suspect(0, 0.0, 0.0)
        if known.ends and end.seconds > _find_outlived(known):
            known = _Suspect(0, 0.0, 0.0)
        ends = max(known.ends, min(end.known, known.ends) + 1)
        until = now + _find_seconds(ends)
        self._set(content, _Suspect(ends, max(known.seconds, end.seconds), until))
        self.mark_changed(content)
        return ends

    def clear(self, content: str) -> None:
        """Take that a request has its whole answer."""
        if self._suspects.pop(content, None) is not None:
            self.mark_changed(content)

    def merge(self, suspicion: Suspicion, now: float) -> bool:
        """Take what another entry tells; say whether that denies the request anew."""
        content = suspicion.content
        if not suspicion.ends:
            self._suspects.pop(content, None)
            return False
        known = self._find(content, now) or _Suspect(0, 0.0, 0.0)
        if suspicion.ends < known.ends:
            return False
        until = now + min(suspicion.left, MAX_DENY_SECONDS)
        told = _Suspect(suspicion.ends, suspicion.seconds, until)
        if suspicion.ends == known.ends:
            until = max(until, known.until)
            told = replace(told, until=until, seconds=max(told.seconds, known.seconds))
        self._set(content, told)
        return known.ends < ENDS_TO_DENY <= told.ends

    def list_all(self, now: float) -> list[Suspicion]:
        """List what is to be told to an entry that may know none of it."""
        return [
            _describe(content, known, now)
            for content, known in self._suspects.items()
            if now < known.until or known.ends >= ENDS_TO_DENY
        ]

    def mark_changed(self, content: str) -> None:
        """Have the other entries told of a request with the next that has changed."""
        self._changed[content] = None
        while len(self._changed) > MAX_SUSPECTS:
            self._changed.popitem(last=False)

    def pop_changed(self, now: float) -> list[Suspicion]:
        """Take some of what has changed since the last call."""
        told = []
        while self._changed and len(told) < MAX_SUSPICIONS_PER_MESSAGE:
            content, _ = self._changed.popitem(last=False)
            known = self._find(content, now) or _Suspect(0, 0.0, now)
            told.append(_describe(content, known, now))
        return told

    def _find(self, content: str, now: float) -> _Suspect | None:
        known = self._suspects.get(content)
        if known is None or now < known.until or known.ends >= ENDS_TO_DENY:
            return known
        del self._suspects[content]
        return None

    def _set(self, content: str, suspect: _Suspect) -> None:
        self._suspects[content] = suspect
        self._suspects.move_to_end(content)
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[self._find_least()]

    def _find_least(self) -> str:
        """Find what is forgotten first: the oldest of those with few ends."""
        few = (
            content
            for content, known in self._suspects.items()
            if known.ends < ENDS_TO_ISOLATE
        )
        return next(few, None) or next(iter(self._suspects))


def group_suspicions(suspicions: Iterable[Suspicion]) -> list[tuple[Suspicion, ...]]:
    """Group suspicions as they are told at once."""
    rest = tuple(suspicions)
    return [
        rest[i : i + MAX_SUSPICIONS_PER_MESSAGE]
        for i in range(0, len(rest), MAX_SUSPICIONS_PER_MESSAGE)
    ]


def _describe(content: str, known: _Suspect, now: float) -> Suspicion:
    left = max(0.0, known.until - now)
    return Suspicion(content, known.ends, known.seconds, left)


def _find_outlived(known: _Suspect) -> float:
    return max(MIN_OUTLIVED_SECONDS, OUTLIVED_FACTOR * known.seconds)


def _find_seconds(ends: int) -> float:
    """Find for how long an end is remembered: twice as long with each further one."""
    doublings = min(16, max(0, ends - ENDS_TO_DENY))
    return min(MAX_DENY_SECONDS, SUSPICION_SECONDS * 2**doublings)
