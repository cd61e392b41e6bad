"""Track requests that were open at one host after another when it terminated."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final, NamedTuple

from radishtally.links.gateway_messages import Suspicion

ENDS_TO_DENY: Final = 3
"""Number of hosts in a row that must terminate with a request open before it is denied
to all hosts."""
ENDS_TO_ISOLATE: Final = 2
"""Number of such hosts from which on the request is tried at one host only, with few
open answers, and never at the last host that could run it."""
SUSPICION_SECONDS: Final = 300.0
"""How long a request is suspected after its last end; also the shortest denial."""
MAX_DENY_SECONDS: Final = 3_600.0
"""Longest time for which a request is denied before one trial run is allowed."""
TRIAL_SECONDS: Final = 10.0
"""How long such a trial run may take; other runs stay denied meanwhile."""
MAX_SUSPECTS: Final = 8_192
"""Requests that are remembered: enough for those open at a hundred hosts that terminate
at the same time."""
OUTLIVED_FACTOR: Final = 4.0
"""A run this many times as long as the longest one before an end clears its history."""
MIN_OUTLIVED_SECONDS: Final = 1.0
"""Minimum length of such a run."""
MAX_SUSPICIONS_PER_MESSAGE: Final = 256
"""Suspicions sent in one message, to keep it at a few KB."""


class HostEnd(NamedTuple):
    """Describe the termination of a host while a request was open there."""

    known_ends: int
    """Number of terminated hosts in a row, as known when the request was offered."""
    seconds: float
    """Time for which the host had been answering the request."""


@dataclass(slots=True)
class _Suspect:
    ends: int
    seconds: float
    """Length of the longest run that the termination of its host cut off."""
    until: float


class Suspects:
    """Count, for each request, the hosts in a row that terminated with it open.

    Such a termination is called a host end of the request. A terminating host takes all
    its open requests with it, so a single end says little about any of them. Only
    consecutive ends count: an end adds to the count only if the run started when the
    previous end was already known. Many hosts that terminate at the same time therefore
    count as one end for each request. A complete answer clears a request, and a run
    much longer than those cut off before resets its count.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._changed: OrderedDict[str, None] = OrderedDict()
        """Content digests whose state must be sent to the peers."""

    def count_ends(self, content: str, now: float) -> int:
        """Return the number of consecutive host ends of a request."""
        suspect = self._find(content, now)
        return 0 if suspect is None else suspect.ends

    def count_denied(self, now: float) -> int:
        """Return the number of requests that are currently denied."""
        return sum(
            suspect.ends >= ENDS_TO_DENY and now < suspect.until
            for suspect in self._suspects.values()
        )

    def find_denial_seconds(self, content: str, now: float) -> float:
        """Return the seconds a request stays denied for; 0 if it may be offered."""
        suspect = self._find(content, now)
        if suspect is None or suspect.ends < ENDS_TO_DENY:
            return 0.0
        return max(0.0, suspect.until - now)

    def record_offer(self, content: str, now: float) -> int:
        """Record an offer of a request and return its number of consecutive ends."""
        suspect = self._find(content, now)
        if suspect is None:
            return 0
        if suspect.ends >= ENDS_TO_DENY:
            # The denial has expired; a single trial run shows whether the request still
            # makes its host terminate.
            suspect.until = now + TRIAL_SECONDS
            self.mark_changed(content)
        return suspect.ends

    def record_host_end(self, content: str, end: HostEnd, now: float) -> int:
        """Record a host end of a request and return its number of consecutive ends."""
        if not content:
            return 0
        suspect = self._find(content, now) or _Suspect(0, 0.0, 0.0)
        if suspect.ends and end.seconds > _find_outlived_seconds(suspect):
            suspect = _Suspect(0, 0.0, 0.0)
        ends = max(suspect.ends, min(end.known_ends, suspect.ends) + 1)
        until = now + _find_memory_seconds(ends)
        self._set(content, _Suspect(ends, max(suspect.seconds, end.seconds), until))
        self.mark_changed(content)
        return ends

    def clear(self, content: str) -> None:
        """Clear a request that was answered completely."""
        if self._suspects.pop(content, None) is not None:
            self.mark_changed(content)

    def merge(self, suspicion: Suspicion, now: float) -> bool:
        """Merge a peer's suspicion; return whether it newly denies the request."""
        content = suspicion.content
        if not suspicion.ends:
            self._suspects.pop(content, None)
            return False
        suspect = self._find(content, now) or _Suspect(0, 0.0, 0.0)
        if suspicion.ends < suspect.ends:
            return False
        until = now + min(suspicion.left, MAX_DENY_SECONDS)
        merged = _Suspect(suspicion.ends, suspicion.seconds, until)
        if suspicion.ends == suspect.ends:
            until = max(until, suspect.until)
            merged = replace(
                merged, until=until, seconds=max(merged.seconds, suspect.seconds)
            )
        self._set(content, merged)
        return suspect.ends < ENDS_TO_DENY <= merged.ends

    def list_all(self, now: float) -> list[Suspicion]:
        """List all suspicions, for a peer that may have none of them."""
        return [
            _to_suspicion(content, suspect, now)
            for content, suspect in self._suspects.items()
            if now < suspect.until or suspect.ends >= ENDS_TO_DENY
        ]

    def mark_changed(self, content: str) -> None:
        """Queue a request's state for the next update to the peers."""
        self._changed[content] = None
        while len(self._changed) > MAX_SUSPECTS:
            self._changed.popitem(last=False)

    def pop_changed(self, now: float) -> list[Suspicion]:
        """Remove and return changed suspicions, at most one message's worth."""
        suspicions = []
        while self._changed and len(suspicions) < MAX_SUSPICIONS_PER_MESSAGE:
            content, _ = self._changed.popitem(last=False)
            suspect = self._find(content, now) or _Suspect(0, 0.0, now)
            suspicions.append(_to_suspicion(content, suspect, now))
        return suspicions

    def _find(self, content: str, now: float) -> _Suspect | None:
        suspect = self._suspects.get(content)
        if suspect is None or now < suspect.until or suspect.ends >= ENDS_TO_DENY:
            return suspect
        del self._suspects[content]
        return None

    def _set(self, content: str, suspect: _Suspect) -> None:
        self._suspects[content] = suspect
        self._suspects.move_to_end(content)
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[self._find_eviction()]

    def _find_eviction(self) -> str:
        """Choose the entry to evict: the oldest of those with few ends."""
        few = (
            content
            for content, suspect in self._suspects.items()
            if suspect.ends < ENDS_TO_ISOLATE
        )
        return next(few, None) or next(iter(self._suspects))


def group_suspicions(suspicions: Iterable[Suspicion]) -> list[tuple[Suspicion, ...]]:
    """Split suspicions into groups that fit into one message each."""
    rest = tuple(suspicions)
    return [
        rest[i : i + MAX_SUSPICIONS_PER_MESSAGE]
        for i in range(0, len(rest), MAX_SUSPICIONS_PER_MESSAGE)
    ]


def _to_suspicion(content: str, suspect: _Suspect, now: float) -> Suspicion:
    left = max(0.0, suspect.until - now)
    return Suspicion(content, suspect.ends, suspect.seconds, left)


def _find_outlived_seconds(suspect: _Suspect) -> float:
    return max(MIN_OUTLIVED_SECONDS, OUTLIVED_FACTOR * suspect.seconds)


def _find_memory_seconds(ends: int) -> float:
    """Return how long an end is remembered; doubles with each end past the denial."""
    doublings = min(16, max(0, ends - ENDS_TO_DENY))
    return min(MAX_DENY_SECONDS, SUSPICION_SECONDS * 2**doublings)
