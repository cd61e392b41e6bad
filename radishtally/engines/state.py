"""Follow what one engine has been given and how fast it is."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import starmap
from math import exp
from typing import Final, NamedTuple

from radishtally.engines.cache import PromptCache
from radishtally.engines.order import ReadingOrder, Wait
from radishtally.links.messages import PREFILL, WaitingTokens

INITIAL_PREFILL_RATE: Final = 50_000.0
"""Prompt tokens that an engine reads in a second until one of its upstream was timed:
assumed, the first prompts tell."""
START_TOKENS: Final = 5_000.0
"""Tokens of reading that the rate at the start counts for."""
RATE_MEMORY: Final = 150_000.0
"""Tokens that the rate remembers: some seconds of a busy engine's work."""
RATE_TOKENS: Final = 5_000
"""Least tokens of a stretch whose time tells the rate: what others' news lag is then a
small part of it."""
RATE_SECONDS: Final = 0.5
"""Time after which the rate is learned though the engine is still at work: under a
lasting load it has no idle moment, and just then the rate decides."""
RATE_BOUNDS: Final = (10_000.0, 200_000.0)
"""Rates outside are taken for errors of the measurement, as of a paused process."""
FIXED_SECONDS: Final = 0.06
"""Time of a prompt's computation beside its tokens."""
PIECE_TOKENS: Final = 1_000.0
"""Tokens that an engine reads on with before it takes up a more urgent prompt: half of
the piece of 2,048 that is usual."""
LATE_PRIORITY: Final = 5
"""Added to the priority of work that will be late: it goes behind all that can still be
in time."""
LEAST_URGENT: Final = 1_000
"""Priority behind all others."""
CACHE_SHARE: Final = 0.7
"""Share of an engine's memory that is taken to keep parts; the rest serves answers."""


MARK_BITS: Final = 0xFFFF


class PeerShare(NamedTuple):
    """Hold what another entry has open at an engine."""

    waiting: tuple[WaitingTokens, ...]
    """Prompt tokens that are still to be read, by priority."""
    answers: int

    @property
    def tokens(self) -> int:
        """Give the tokens of all priorities."""
        return sum(item.tokens for item in self.waiting)


class PendingPrefill(NamedTuple):
    """Hold a prompt that an engine was given to read."""

    tokens: int
    priority: int
    """Lower goes first."""
    begun_at: float = 0.0
    wait: Wait = Wait(0.0, 0.0)
    """What was ahead of it then."""


def mark_start(started_ms: int) -> int:
    """Give a short mark that tells an engine's starts apart; 0 for one never told.

    Two starts of an engine have one mark once in 65,000 times, and then work of the
    earlier one counts until its end is told. The whole number would make each share
    half as large again.
    """
    if not started_ms:
        return 0
    return (started_ms & MARK_BITS) or MARK_BITS


def _add_up(shares: Iterable[PeerShare]) -> PeerShare:
    waiting = Counter[int]()
    answers = 0
    for share in shares:
        waiting.update(dict(share.waiting))
        answers += share.answers
    return PeerShare(_order(waiting), answers)


def _subtract(share: PeerShare, less: PeerShare) -> PeerShare:
    waiting = Counter(dict(share.waiting))
    waiting.subtract(dict(less.waiting))
    return PeerShare(_order(+waiting), share.answers - less.answers)


def _order(waiting: Mapping[int, int]) -> tuple[WaitingTokens, ...]:
    return tuple(starmap(WaitingTokens, sorted(waiting.items())))


@dataclass(slots=True)
class EngineState:
    """Hold what is known of one engine."""

    host: str
    data_centre: str
    role: str
    cache: PromptCache
    upstream: str = ""
    slots: int = 1
    """Answers that it makes at a time."""
    start: int = 0
    """Mark of its start; 0 if it was never told."""
    order: ReadingOrder = field(default_factory=ReadingOrder)
    """What the engines of its upstream were seen to do with what waits."""
    start_rate: float = INITIAL_PREFILL_RATE
    """Prompt tokens a second, until it was timed itself."""
    timed_tokens: float = 0.0
    """Tokens of timed stretches of work, older ones forgotten, as is the next."""
    timed_seconds: float = 0.0
    prefills: dict[str, PendingPrefill] = field(default_factory=dict)
    """What it has to read for requests of this entry."""
    answers: set[str] = field(default_factory=set)
    """Requests of this entry that it is answering."""
    peers: dict[str, PeerShare] = field(default_factory=dict)
    """What the other entries have open there, by their names; set by take_share."""
    their_tokens: int = 0
    """Prompt tokens of them all, kept as they come: each share that is taken asks."""
    theirs: PeerShare | None = None
    """Sum of them all, once it was asked for: an entry that collects tells it to each
    of many others, and adding all up for each would cost the square of their number."""
    heard: dict[str, tuple[float, int]] = field(default_factory=dict)
    """When the last event of each answer came to this entry, and its number."""
    moved_at: float = float("-inf")
    """Time at which it last finished a prompt, or was given one while it had none."""
    timed_since: float = float("-inf")
    """Time from which the present stretch of work is timed."""
    finished: int = 0
    """Tokens read in the present stretch."""

    @property
    def rate(self) -> float:
        """Give the prompt tokens that it reads in a second."""
        seconds = START_TOKENS / self.start_rate + self.timed_seconds
        return (START_TOKENS + self.timed_tokens) / seconds

    def begin_prefill(
        self, request: str, tokens: int, priority: int, now: float
    ) -> None:
        """Note that a prompt was given to it."""
        wait = self.measure_wait(priority, now)
        self._begin_work(now)
        self.prefills[request] = PendingPrefill(tokens, priority, now, wait)

    def end_prefill(self, request: str, now: float, was_read: bool) -> None:
        """Note that a prompt is read, or is given up."""
        reading = self.prefills.pop(request, None)
        if reading is None:
            return
        self.moved_at = now
        if was_read:
            self.finished += reading.tokens
            self._learn_order(reading, now)
        self._learn_rate(now)

    def take_share(self, peer: str, share: PeerShare, now: float) -> None:
        """Take what another entry has open there."""
        old = self.peers.get(peer)
        less = (old.tokens if old else 0) - share.tokens
        if share.tokens:
            self._begin_work(now)
        if less > 0:
            self.moved_at = now
            self.finished += less
        self.peers[peer] = share
        self.their_tokens -= less
        self.theirs = None
        self._learn_rate(now)

    def drop_peer(self, peer: str) -> None:
        """Forget what another entry has open there."""
        share = self.peers.pop(peer, None)
        if share is not None:
            self.their_tokens -= share.tokens
            self.theirs = None

    def sum_up_peers(self) -> PeerShare:
        """Give what all other entries have open there."""
        if self.theirs is None:
            self.theirs = _add_up(self.peers.values())
        return self.theirs

    def make_share(self, left_out: Collection[str] | None = None) -> PeerShare:
        """Give what this entry has open there, or all have but some peers."""
        own = self._make_own_share()
        if left_out is None:
            return own
        theirs = self.sum_up_peers()
        total = _add_up((own, theirs)) if own.waiting else theirs
        total = total._replace(answers=theirs.answers + own.answers)
        shares = (self.peers.get(name) for name in left_out)
        less = [share for share in shares if share and (share.waiting or share.answers)]
        return _subtract(total, _add_up(less)) if less else total

    def _make_own_share(self) -> PeerShare:
        waiting = Counter[int]()
        for reading in self.prefills.values():
            waiting[reading.priority] += reading.tokens
        return PeerShare(_order(waiting), len(self.answers))

    def count_tokens(self, priority: int = LEAST_URGENT) -> int:
        """Count the prompt tokens that it reads for all entries before any new ones.

        That is what is as urgent or more so; all of them where no priority is given.
        """
        if priority == LEAST_URGENT:
            ours = sum(reading.tokens for reading in self.prefills.values())
            return ours + self.their_tokens
        ours = sum(
            reading.tokens
            for reading in self.prefills.values()
            if reading.priority <= priority
        )
        theirs = sum(
            item.tokens
            for item in self.sum_up_peers().waiting
            if item.priority <= priority
        )
        return ours + theirs

    def count_answers(self) -> int:
        """Count the answers that all entries have open there."""
        return len(self.answers) + self.sum_up_peers().answers

    @property
    def fill(self) -> float:
        """Give the share of its batch that the answers of all entries take."""
        return self.count_answers() / self.slots

    def predict_wait(self, priority: int, now: float) -> float:
        """Predict the seconds until a prompt of a priority is begun."""
        return self.order.predict(self.measure_wait(priority, now))

    def measure_wait(self, priority: int, now: float) -> Wait:
        """Measure what is ahead of a prompt of a priority that would come now."""
        tokens = self.count_tokens()
        if not tokens:
            return Wait(0.0, 0.0)
        # It has worked on the first of them since it finished the last one.
        worked = now - self.moved_at
        least = PIECE_TOKENS / self.rate
        ahead = self.count_tokens(priority)
        by_arrival = max(least, tokens / self.rate - worked)
        return Wait(by_arrival, max(least, ahead / self.rate - worked))

    def _learn_order(self, reading: PendingPrefill, now: float) -> None:
        # What is put behind all else waits for what comes later too.
        if self.role == PREFILL and reading.priority < LATE_PRIORITY:
            took = reading.tokens / self.rate + FIXED_SECONDS
            self.order.learn(reading.wait, now - reading.begun_at - took)

    def _begin_work(self, now: float) -> None:
        if self.count_tokens():
            return
        # The fixed time of the first prompt is no time that tokens take.
        self.timed_since = now + FIXED_SECONDS
        self.moved_at = now
        self.finished = 0

    def _learn_rate(self, now: float) -> None:
        """Learn from a stretch of work that is over, or has lasted long enough."""
        seconds = now - self.timed_since
        if self.count_tokens() and seconds < RATE_SECONDS:
            return
        # What an engine reads beside answers says nothing of its rate without them.
        is_timed = self.role == PREFILL and self.finished >= RATE_TOKENS
        if is_timed and seconds > 0:
            low, high = RATE_BOUNDS
            seen = min(max(self.finished / seconds, low), high)
            remembered = exp(-self.finished / RATE_MEMORY)
            self.timed_tokens = self.timed_tokens * remembered + self.finished
            self.timed_seconds *= remembered
            self.timed_seconds += self.finished / seen
        self.timed_since = now
        self.finished = 0
