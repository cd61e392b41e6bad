"""Follow what one engine has been given and how fast it is."""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from radishtally.engines.cache import PromptCache

START_RATE: Final = 75_000.0
"""Prompt tokens that an engine reads in a second until it was timed: four fifths of
what the deployments' pages say, as steps and attention take their time too."""
RATE_WEIGHT: Final = 0.1
"""Weight of one timed spell of work in the engine's rate."""
RATE_TOKENS: Final = 5_000
"""Least tokens of a spell whose time tells the rate."""
RATE_BOUNDS: Final = (10_000.0, 200_000.0)
"""Rates outside are taken for errors of the measurement, as of a paused process."""
FIXED_SECONDS: Final = 0.06
"""Time of a prompt's computation beside its tokens."""
CACHE_SHARE: Final = 0.7
"""Share of an engine's memory that is taken to keep parts; the rest serves answers."""


class PeerShare(NamedTuple):
    """Hold what another entry has open at an engine."""

    tokens: int
    """Prompt tokens that are still to be read."""
    answers: int


@dataclass(slots=True)
class EngineState:
    """Hold what is known of one engine."""

    host: str
    data_centre: str
    role: str
    cache: PromptCache
    rate: float = START_RATE
    readings: dict[str, int] = field(default_factory=dict)
    """Tokens that it has to read for requests of this entry."""
    answers: set[str] = field(default_factory=set)
    """Requests of this entry that it is answering."""
    peers: dict[str, PeerShare] = field(default_factory=dict)
    """What the other entries have open there, by their names."""
    moved_at: float = float("-inf")
    """Time at which it last finished a prompt, or was given one while it had none."""
    busy_since: float = float("-inf")
    """Time at which the present spell of work began."""
    finished: int = 0
    """Tokens read in the present spell."""

    def begin_reading(self, request: str, tokens: int, now: float) -> None:
        """Note that a prompt was given to it."""
        self._begin_spell(now)
        self.readings[request] = tokens

    def end_reading(self, request: str, now: float, was_read: bool) -> None:
        """Note that a prompt is read, or is given up."""
        tokens = self.readings.pop(request, None)
        if tokens is None:
            return
        self.moved_at = now
        self.finished += tokens if was_read else 0
        self._end_spell(now)

    def take_share(self, peer: str, share: PeerShare, now: float) -> None:
        """Take what another entry has open there."""
        old = self.peers.get(peer)
        less = (old.tokens if old else 0) - share.tokens
        if share.tokens:
            self._begin_spell(now)
        if less > 0:
            self.moved_at = now
            self.finished += less
        self.peers[peer] = share
        self._end_spell(now)

    def make_share(self) -> PeerShare:
        """Give what this entry has open there."""
        return PeerShare(sum(self.readings.values()), len(self.answers))

    def count_tokens(self) -> int:
        """Count the prompt tokens that it has to read for all entries."""
        theirs = sum(peer.tokens for peer in self.peers.values())
        return sum(self.readings.values()) + theirs

    def count_answers(self) -> int:
        """Count the answers that all entries have open there."""
        return len(self.answers) + sum(peer.answers for peer in self.peers.values())

    def predict_wait(self, now: float) -> float:
        """Predict the seconds until one more prompt is begun.

        Engines admit urgent requests first, but what is admitted is read in its order
        of arrival: a long prompt holds up all that came behind it, urgent or not.
        """
        tokens = self.count_tokens()
        if not tokens:
            return 0.0
        # It has worked on the first of them since it finished the last one.
        return max(0.0, tokens / self.rate - (now - self.moved_at))

    def _begin_spell(self, now: float) -> None:
        if self.count_tokens():
            return
        self.busy_since = now
        self.moved_at = now
        self.finished = 0

    def _end_spell(self, now: float) -> None:
        """Learn the rate from a spell of work that has ended."""
        seconds = now - self.busy_since - FIXED_SECONDS
        if self.count_tokens() or self.finished < RATE_TOKENS or seconds <= 0:
            return
        low, high = RATE_BOUNDS
        seen = min(max(self.finished / seconds, low), high)
        self.rate += RATE_WEIGHT * (seen - self.rate)
        self.finished = 0
