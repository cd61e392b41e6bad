"""Model the timing of a model engine: continuous batching with a prefix cache."""

import heapq
from collections import OrderedDict, deque
from typing import Final, NamedTuple

import xxhash

BLOCK_TOKENS: Final = 32
EVENT_DELAY_SECONDS: Final = 0.5
"""Time until a cache event becomes visible."""
LOST_EVENT_INTERVAL: Final = 7
"""Cache events whose number is a multiple of this are lost."""
MAX_EVENTS: Final = 10_000


class Profile(NamedTuple):
    """Limit the work of a role in one step."""

    prefill_tokens: int
    max_batch: int


class Timing(NamedTuple):
    """Set a step's base time and its time per prefilled and per decoded token."""

    base: float = 0.020
    prefill: float = 0.0001
    decode: float = 0.0003


class Load(NamedTuple):
    """Count the running and waiting requests and the tokens to prefill."""

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0


class CacheEvent(NamedTuple):
    """Represent that a prefix was stored in the cache or removed from it."""

    seq: int
    kind: str
    prefix: str
    tokens: int


PROFILES: Final = {
    "mixed": Profile(prefill_tokens=512, max_batch=16),
    "prefill": Profile(prefill_tokens=4096, max_batch=4),
    "decode": Profile(prefill_tokens=128, max_batch=48),
}
TIMING: Final = Timing()


def prefill_rate(role: str, speed: float) -> float:
    """Compute the prefill rate of a single sequence in tokens per second."""
    budget = PROFILES[role].prefill_tokens
    return speed * budget / (TIMING.base + budget * TIMING.prefill)


def decode_seconds(speed: float) -> float:
    """Compute the decode time per token of a single sequence."""
    return (TIMING.base + TIMING.decode) / speed


def hash_prefix(model: str, words: list[str]) -> str:
    """Hash the words as the prefix cache does."""
    text = "".join(f"{word} " for word in words)
    return xxhash.xxh64_hexdigest(f"{model}\n{text}".encode())


def hash_blocks(model: str, words: list[str]) -> list[str]:
    """Hash each prefix that consists of whole blocks."""
    state = xxhash.xxh64(f"{model}\n".encode())
    hashes = []
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        block = words[end - BLOCK_TOKENS : end]
        state.update("".join(f"{word} " for word in block).encode())
        hashes.append(state.hexdigest())
    return hashes


class PrefixCache:
    """Cache prefixes of whole blocks and evict the least recently used ones."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[str, int] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def match(self, prefixes: list[str]) -> int:
        """Count the tokens of the longest prefix in the cache."""
        known = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            known += 1
        self._touch(prefixes[:known])
        return known * BLOCK_TOKENS

    def store(self, prefixes: list[str], now: float) -> None:
        """Add prefixes and evict the least recently used ones."""
        for index, prefix in enumerate(prefixes):
            if prefix in self._blocks:
                continue
            self._blocks[prefix] = (index + 1) * BLOCK_TOKENS
            self._record("stored", prefix, now)
        self._touch(prefixes)
        while len(self._blocks) > self._capacity:
            self._evict(now)

    def clear(self, now: float) -> None:
        """Evict all prefixes."""
        while self._blocks:
            self._evict(now)

    def events_after(self, seq: int, now: float) -> list[CacheEvent]:
        """List the events after a sequence number whose visibility delay is over."""
        return [
            event
            for recorded_at, event in self._events
            if event.seq > seq and recorded_at + EVENT_DELAY_SECONDS <= now
        ]

    def _touch(self, prefixes: list[str]) -> None:
        # In reverse, since a longer prefix is useless once a shorter one is evicted.
        for prefix in reversed(prefixes):
            self._blocks.move_to_end(prefix)

    def _evict(self, now: float) -> None:
        self._record("removed", next(iter(self._blocks)), now)
        self._blocks.popitem(last=False)

    def _record(self, kind: str, prefix: str, now: float) -> None:
        self._seq += 1
        if self._seq % LOST_EVENT_INTERVAL == 0:
            return
        event = CacheEvent(self._seq, kind, prefix, self._blocks[prefix])
        self._events.append((now, event))


class Sequence:
    """Track the progress of one request in the batch."""

    def __init__(
        self, prefixes: list[str], prompt_tokens: int, max_tokens: int, priority: int
    ) -> None:
        self.prefixes = prefixes
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.priority = priority
        self.imported_tokens = 0
        self.cached_tokens = 0
        self.to_prefill = max(1, prompt_tokens)
        self.generated = 0

    @property
    def kv_tokens(self) -> int:
        """Count the tokens whose KV is in the engine."""
        return max(0, self.prompt_tokens - self.to_prefill) + self.generated


class Step(NamedTuple):
    """Represent the work of one iteration."""

    seconds: float
    prefills: list[tuple[Sequence, int]]
    decodes: list[Sequence]


class Batch:
    """Schedule the work of each iteration."""

    def __init__(self, role: str, speed: float, cache: PrefixCache) -> None:
        self.profile = PROFILES[role]
        self._speed = speed
        self._cache = cache
        self._running: list[Sequence] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._arrivals = 0

    @property
    def load(self) -> Load:
        """Count the current work."""
        tokens = sum(sequence.to_prefill for _, _, sequence in self._waiting)
        return Load(len(self._running), len(self._waiting), tokens)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence, ordered by priority and then by arrival."""
        self._arrivals += 1
        entry = (sequence.priority, self._arrivals, sequence)
        heapq.heappush(self._waiting, entry)

    def remove(self, sequence: Sequence) -> None:
        """Remove a sequence, running or waiting."""
        if sequence in self._running:
            self._running.remove(sequence)
            return
        self._waiting = [entry for entry in self._waiting if entry[2] is not sequence]
        heapq.heapify(self._waiting)

    def admit(self) -> list[Sequence]:
        """Move waiting sequences into the free slots of the batch and return them."""
        admitted = []
        while self._waiting and len(self._running) < self.profile.max_batch:
            sequence = heapq.heappop(self._waiting)[2]
            self._skip_prefill(sequence)
            self._running.append(sequence)
            admitted.append(sequence)
        return admitted

    def plan(self) -> Step:
        """Plan the next step."""
        budget = self.profile.prefill_tokens
        prefills: list[tuple[Sequence, int]] = []
        decodes = []
        for sequence in self._running:
            if sequence.to_prefill == 0:
                decodes.append(sequence)
                continue
            tokens = min(sequence.to_prefill, budget)
            budget -= tokens
            prefills.append((sequence, tokens))
        prefilled = self.profile.prefill_tokens - budget
        seconds = TIMING.base + prefilled * TIMING.prefill
        seconds += len(decodes) * TIMING.decode
        return Step(seconds / self._speed, prefills, decodes)

    def finish(self, step: Step, now: float) -> list[Sequence]:
        """Apply a step and return the sequences that gained a token."""
        for sequence, tokens in step.prefills:
            sequence.to_prefill -= tokens
        prefilled = [
            sequence
            for sequence, _ in step.prefills
            if sequence.to_prefill == 0 and sequence in self._running
        ]
        decoded = [sequence for sequence in step.decodes if sequence in self._running]
        gained = decoded + prefilled
        for sequence in prefilled:
            self._cache.store(sequence.prefixes, now)
        for sequence in gained:
            sequence.generated += 1
            if sequence.generated == sequence.max_tokens:
                self._running.remove(sequence)
        return gained

    def _skip_prefill(self, sequence: Sequence) -> None:
        cached = self._cache.match(sequence.prefixes)
        known = max(cached, sequence.imported_tokens)
        # The last prompt token is always computed, since it yields the first new token.
        sequence.cached_tokens = max(0, min(known, sequence.prompt_tokens - 1))
        sequence.to_prefill = max(1, sequence.prompt_tokens) - sequence.cached_tokens


class LaggingLoad:
    """Report the load with a fixed delay."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._samples: deque[tuple[float, Load]] = deque([(0.0, Load())])

    def record(self, load: Load, now: float) -> None:
        """Record the current load."""
        self._prune(now)
        if self._samples[-1][1] != load:
            self._samples.append((now, load))

    def read(self, now: float) -> Load:
        """Return the newest load that is older than the delay."""
        self._prune(now)
        return self._samples[0][1]

    def _prune(self, now: float) -> None:
        while len(self._samples) > 1 and self._samples[1][0] + self._lag <= now:
            self._samples.popleft()
