"""State of one engine as an entry sees it: open work and prefill rate."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import starmap
from math import exp
from typing import Final, NamedTuple

from radishtally.engines.cache import PromptCache
from radishtally.engines.queue_order import QueueOrderEstimator, WaitEstimate
from radishtally.links.gateway_messages import WaitingTokens
from radishtally.links.messages import PREFILL

INITIAL_PREFILL_RATE: Final = 50_000.0
"""Prompt tokens per second that an engine is assumed to prefill until an engine of its
upstream has been timed, which takes only a few prompts."""
PRIOR_TOKENS: Final = 5_000.0
"""Weight of the initial rate, in prefilled tokens."""
RATE_MEMORY_TOKENS: Final = 150_000.0
"""Tokens over which the rate decays: some seconds of a busy engine's work."""
MIN_RATE_TOKENS: Final = 5_000
"""Tokens that a busy period needs to be timed, so that the delay of the peers' reports
is a small part of it."""
RATE_UPDATE_SECONDS: Final = 0.5
"""Time after which the rate is updated while the engine is still busy: under sustained
load the engine is never idle, and that is when placement depends on the rate."""
RATE_BOUNDS: Final = (10_000.0, 200_000.0)
"""Rates are clamped to these bounds; those outside are measurement errors, as from a
paused process."""
PREFILL_OVERHEAD_SECONDS: Final = 0.06
"""Fixed prefill time of a prompt, in addition to that of its tokens."""
CHUNK_TOKENS: Final = 1_000.0
"""Tokens that an engine still prefills before it starts a more urgent prompt: half of
the usual prefill chunk of 2,048 tokens."""
LATE_PRIORITY_OFFSET: Final = 5
"""Added to the priority of requests that are predicted to be late, so that they queue
behind all requests that can still be on time."""
LOWEST_PRIORITY: Final = 1_000
"""Larger than every priority in use; a lower number is more urgent."""
CACHE_SHARE: Final = 0.7
"""Share of an engine's KV memory assumed to cache prompts; answers use the rest."""


MARK_MASK: Final = 0xFFFF
"""Low 16 bits of a start time in milliseconds, which make up its start mark."""


class PeerShare(NamedTuple):
    """Hold the work that another entry has open at an engine."""

    waiting: tuple[WaitingTokens, ...]
    """Prompt tokens that await prefill, by priority."""
    answers: int

    @property
    def tokens(self) -> int:
        """Return the waiting tokens of all priorities."""
        return sum(item.tokens for item in self.waiting)


class PendingPrefill(NamedTuple):
    """Hold a prompt that was sent to an engine and is not prefilled yet."""

    tokens: int
    priority: int
    """Lower goes first."""
    sent_at: float = 0.0
    wait: WaitEstimate = WaitEstimate(0.0, 0.0)
    """Estimated wait when it was sent."""


def make_start_mark(started_ms: int) -> int:
    """Return a 16-bit mark that identifies an engine start; 0 if the start is unknown.

    Two starts of an engine share a mark once in 65,000 cases; work of the earlier start
    then counts until its end is reported. The full timestamp would make each share in
    load reports half as large again.
    """
    if not started_ms:
        return 0
    return (started_ms & MARK_MASK) or MARK_MASK


def _sum_shares(shares: Iterable[PeerShare]) -> PeerShare:
    waiting = Counter[int]()
    answers = 0
    for share in shares:
        waiting.update(dict(share.waiting))
        answers += share.answers
    return PeerShare(_sort_by_priority(waiting), answers)


def _subtract(share: PeerShare, part: PeerShare) -> PeerShare:
    waiting = Counter(dict(share.waiting))
    waiting.subtract(dict(part.waiting))
    return PeerShare(_sort_by_priority(+waiting), share.answers - part.answers)


def _sort_by_priority(waiting: Mapping[int, int]) -> tuple[WaitingTokens, ...]:
    return tuple(starmap(WaitingTokens, sorted(waiting.items())))


@dataclass(slots=True)
class EngineState:
    """Hold the state of one engine."""

    host: str
    data_centre: str
    role: str
    cache: PromptCache
    upstream: str = ""
    slots: int = 1
    """Answers that it can decode at a time."""
    start_mark: int = 0
    """Mark of its start; 0 if unknown."""
    queue_order: QueueOrderEstimator = field(default_factory=QueueOrderEstimator)
    """Queue order observed at the engines of its upstream."""
    initial_rate: float = INITIAL_PREFILL_RATE
    """Prompt tokens per second until this engine has been timed."""
    timed_tokens: float = 0.0
    """Decaying sum of the tokens of timed busy periods."""
    timed_seconds: float = 0.0
    """Decaying sum of the seconds of timed busy periods."""
    prefills: dict[str, PendingPrefill] = field(default_factory=dict)
    """Prompts of this entry that await prefill, by request."""
    answers: set[str] = field(default_factory=set)
    """Requests of this entry that have an answer open there."""
    peer_shares: dict[str, PeerShare] = field(default_factory=dict)
    """Open work of the other entries, by entry; set by record_peer_share."""
    peer_tokens: int = 0
    """Waiting tokens of all peers, updated incrementally: each new share reads it."""
    peer_total: PeerShare | None = None
    """Cached sum of all peer shares: a collector reports it to each of many entries,
    and summing again for each of them would take quadratic time."""
    last_events: dict[str, tuple[float, int]] = field(default_factory=dict)
    """Time and number of the last event that this entry received of each answer."""
    last_progress_at: float = float("-inf")
    """Time at which it last finished a prompt, or received one while idle."""
    timed_since: float = float("-inf")
    """Time from which the current busy period is timed."""
    finished_tokens: int = 0
    """Tokens prefilled in the current busy period."""

    @property
    def rate(self) -> float:
        """Return the estimated prefill rate in tokens per second."""
        seconds = PRIOR_TOKENS / self.initial_rate + self.timed_seconds
        return (PRIOR_TOKENS + self.timed_tokens) / seconds

    def begin_prefill(
        self, request: str, tokens: int, priority: int, now: float
    ) -> None:
        """Record that a prompt was sent to the engine."""
        wait = self.estimate_wait(priority, now)
        self._start_work(now)
        self.prefills[request] = PendingPrefill(tokens, priority, now, wait)

    def end_prefill(self, request: str, now: float, is_timed: bool) -> None:
        """Record that a prompt was prefilled or abandoned.

        With is_timed, count it in the estimates of prefill rate and queue order. This
        requires that the engine has handed over the prompt's KV cache.
        """
        prefill = self.prefills.pop(request, None)
        if prefill is None:
            return
        self.last_progress_at = now
        if is_timed:
            self.finished_tokens += prefill.tokens
            self._update_queue_order(prefill, now)
        self._update_rate(now)

    def record_peer_share(self, peer: str, share: PeerShare, now: float) -> None:
        """Record the work that another entry has open at the engine."""
        old = self.peer_shares.get(peer)
        done_tokens = (old.tokens if old else 0) - share.tokens
        if share.tokens:
            self._start_work(now)
        if done_tokens > 0:
            self.last_progress_at = now
            self.finished_tokens += done_tokens
        self.peer_shares[peer] = share
        self.peer_tokens -= done_tokens
        self.peer_total = None
        self._update_rate(now)

    def drop_peer(self, peer: str) -> None:
        """Drop the work that another entry has open at the engine."""
        share = self.peer_shares.pop(peer, None)
        if share is not None:
            self.peer_tokens -= share.tokens
            self.peer_total = None

    def sum_peers(self) -> PeerShare:
        """Return the open work of all other entries."""
        if self.peer_total is None:
            self.peer_total = _sum_shares(self.peer_shares.values())
        return self.peer_total

    def build_share(self, excluded: Collection[str] | None = None) -> PeerShare:
        """Return this entry's open work, or that of all entries except some peers."""
        own = self._make_own_share()
        if excluded is None:
            return own
        others = self.sum_peers()
        total = _sum_shares((own, others)) if own.waiting else others
        total = total._replace(answers=others.answers + own.answers)
        shares = (self.peer_shares.get(name) for name in excluded)
        busy = [share for share in shares if share and (share.waiting or share.answers)]
        return _subtract(total, _sum_shares(busy)) if busy else total

    def _make_own_share(self) -> PeerShare:
        waiting = Counter[int]()
        for prefill in self.prefills.values():
            waiting[prefill.priority] += prefill.tokens
        return PeerShare(_sort_by_priority(waiting), len(self.answers))

    def count_pending_tokens(self, priority: int = LOWEST_PRIORITY) -> int:
        """Count the prompt tokens of all entries that await prefill.

        With a priority, count only prompts that are as urgent or more urgent.
        """
        if priority == LOWEST_PRIORITY:
            own_tokens = sum(prefill.tokens for prefill in self.prefills.values())
            return own_tokens + self.peer_tokens
        own_tokens = sum(
            prefill.tokens
            for prefill in self.prefills.values()
            if prefill.priority <= priority
        )
        peer_tokens = sum(
            item.tokens
            for item in self.sum_peers().waiting
            if item.priority <= priority
        )
        return own_tokens + peer_tokens

    def count_answers(self) -> int:
        """Count the open answers of all entries."""
        return len(self.answers) + self.sum_peers().answers

    @property
    def fill(self) -> float:
        """Return the share of its slots that open answers take."""
        return self.count_answers() / self.slots

    def predict_wait(self, priority: int, now: float) -> float:
        """Predict the seconds until a prompt of the given priority is started."""
        return self.queue_order.predict(self.estimate_wait(priority, now))

    def estimate_wait(self, priority: int, now: float) -> WaitEstimate:
        """Estimate the wait of a prompt of the given priority for both queue orders."""
        tokens = self.count_pending_tokens()
        if not tokens:
            return WaitEstimate(0.0, 0.0)
        # The engine has worked on the first prompt since its last progress.
        worked = now - self.last_progress_at
        min_wait = CHUNK_TOKENS / self.rate
        ahead = self.count_pending_tokens(priority)
        by_arrival = max(min_wait, tokens / self.rate - worked)
        return WaitEstimate(by_arrival, max(min_wait, ahead / self.rate - worked))

    def _update_queue_order(self, prefill: PendingPrefill, now: float) -> None:
        # A late prompt also waits for requests that arrive after it.
        if self.role == PREFILL and prefill.priority < LATE_PRIORITY_OFFSET:
            took = prefill.tokens / self.rate + PREFILL_OVERHEAD_SECONDS
            self.queue_order.record_wait(prefill.wait, now - prefill.sent_at - took)

    def _start_work(self, now: float) -> None:
        if self.count_pending_tokens():
            return
        # The fixed time of the first prompt does not depend on its tokens.
        self.timed_since = now + PREFILL_OVERHEAD_SECONDS
        self.last_progress_at = now
        self.finished_tokens = 0

    def _update_rate(self, now: float) -> None:
        """Update the rate when a busy period has ended or lasted long enough."""
        seconds = now - self.timed_since
        if self.count_pending_tokens() and seconds < RATE_UPDATE_SECONDS:
            return
        # Prefill alongside decode does not show the rate of a prefill engine.
        is_timed = self.role == PREFILL and self.finished_tokens >= MIN_RATE_TOKENS
        if is_timed and seconds > 0:
            low, high = RATE_BOUNDS
            seen = min(max(self.finished_tokens / seconds, low), high)
            remembered = exp(-self.finished_tokens / RATE_MEMORY_TOKENS)
            self.timed_tokens = self.timed_tokens * remembered + self.finished_tokens
            self.timed_seconds *= remembered
            self.timed_seconds += self.finished_tokens / seen
        self.timed_since = now
        self.finished_tokens = 0
