"""Choose engines and services by what this entry has given them."""

import time
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from statistics import mean
from typing import Final

from radishtally.direct.core import CachedPart, Instance, is_same_start
from radishtally.engines.cache import PromptCache, hash_kept
from radishtally.engines.choice import (
    Field,
    choose_decode,
    place_call,
    place_prompt,
)
from radishtally.engines.core import Observer
from radishtally.engines.order import ReadingOrder
from radishtally.engines.prospects import count_uncached
from radishtally.engines.staleness import UnseenRequests
from radishtally.engines.state import (
    CACHE_SHARE,
    INITIAL_PREFILL_RATE,
    EngineState,
    PeerShare,
    mark_start,
)
from radishtally.links.messages import (
    CALL,
    DECODE,
    PREFILL,
    WHOLE,
    Backlog,
    EngineShare,
    PartsRead,
)
from radishtally.routes.config import EngineTerms, UpstreamTerms
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.requests import OpenRequest

START_TERMS: Final = EngineTerms(400_000)
"""What is taken of engines until the configuration says more."""
ORDER_SECONDS: Final = 1.0
"""Time until an engine is ordered to make answers where none does: two looks."""
LEAST_OUTAGE: Final = 0.5
"""Time after which it is worth asking again where an engine should be back already."""


class EnginePlacement:
    """Place prompts where their shared parts lie, and answers where there is room."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        random: Random | None = None,
    ) -> None:
        self._clock = clock
        self._random = random or Random()
        self.observer = Observer()
        self.unseen_requests = UnseenRequests()
        self._engines: dict[str, EngineState] = {}
        self._changed: set[str] = set()
        self._early: dict[str, dict[str, EngineShare]] = {}
        """What other entries have open, by engines and by their names, at starts that
        are not the ones known here; told once, it would be missed for good."""
        self._read: list[PartsRead] = []
        """Parts that this entry was the first to give to an engine, as far as known."""
        self._unanswered: dict[str, float] = {}
        """Since when no engine of an upstream makes answers."""
        self._orders: dict[str, ReadingOrder] = {}
        """In which order the engines of each upstream read."""
        self._terms: dict[str, EngineTerms] = {}

    def configure(self, upstreams: Iterable[UpstreamTerms]) -> None:
        """Take what the configuration says of engines."""
        for upstream in upstreams:
            if upstream.engine is not None:
                self._terms[upstream.name] = upstream.engine
        # Engines may be listed before the configuration is read, and it changes.
        for engine in self._engines.values():
            engine.cache.resize(self._find_cache_size(engine.upstream))

    def set_instance(self, instance: Instance) -> None:
        """Take what a host is."""
        if not instance.role:
            return
        known = self._engines.get(instance.host)
        if known is not None:
            known.role = instance.role
            known.slots = instance.slots
            known.start = mark_start(instance.started_ms)
            return
        cache = PromptCache(self._find_cache_size(instance.upstream))
        self._engines[instance.host] = EngineState(
            instance.host,
            instance.data_centre,
            instance.role,
            cache,
            instance.upstream,
            instance.slots,
            mark_start(instance.started_ms),
            self._orders.setdefault(instance.upstream, ReadingOrder()),
            self._find_rate(instance.upstream),
        )
        for peer, share in self._early.pop(instance.host, {}).items():
            self._take_share(peer, share, self._clock())

    def reset_engine(self, host: str) -> None:
        """Forget the earlier start of an engine; what it is now is told next."""
        self._engines.pop(host, None)

    def forget(self, host: str) -> None:
        """Forget a host that is gone."""
        self._engines.pop(host, None)
        self._early.pop(host, None)

    def forget_peer(self, peer: str) -> None:
        """Forget what an entry has open that is out of reach."""
        for engine in self._engines.values():
            engine.drop_peer(peer)
        for shares in self._early.values():
            shares.pop(peer, None)

    def record_backlog(self, peer: str, backlog: Backlog, now: float) -> None:
        """Take what another entry has open."""
        for share in backlog.shares:
            self._take_share(peer, share, now)

    def _take_share(self, peer: str, share: EngineShare, now: float) -> None:
        engine = self._engines.get(share.host)
        if engine is None:
            return
        early = self._early.setdefault(share.host, {})
        if is_same_start(share.start, engine.start):
            early.pop(peer, None)
            engine.take_share(peer, PeerShare(share.waiting, share.answers), now)
            return
        # One of the two does not know yet that the engine has started again. What was
        # open at its earlier start is lost, and was not read: it tells no rate.
        engine.drop_peer(peer)
        early[peer] = share

    def make_backlog(
        self,
        hosts: Iterable[str] | None = None,
        left_out: Collection[str] | None = None,
    ) -> Backlog:
        """Give what this entry has open at some engines, or at all of them.

        Where it collects, that is what all entries have but those left out.
        """
        engines = self._engines
        names = engines.keys() if hosts is None else hosts
        shares = [
            EngineShare(host, *engines[host].make_share(left_out), engines[host].start)
            for host in names
            if host in engines
        ]
        return Backlog(tuple(shares))

    def record_parts(self, told: PartsRead) -> None:
        """Take which parts another entry has given to an engine."""
        engine = self._engines.get(told.host)
        if engine is None or not is_same_start(told.start, engine.start):
            # They are told again where they are missed: once each, when read again.
            return
        engine.cache.take(told.parts)

    def record_kept_parts(self, host: str, kept: Iterable[CachedPart]) -> int:
        """Take which parts an engine says that it keeps; give how many they are."""
        engine = self._engines.get(host)
        if engine is None:
            return 0
        parts = tuple(map(hash_kept, kept))
        engine.cache.take(parts)
        self._read.append(PartsRead(host, engine.start, parts))
        return len(parts)

    def pop_parts_read(self) -> list[PartsRead]:
        """Take what this entry has given to engines since the last call."""
        read, self._read = self._read, []
        return read

    def list_parts(self) -> list[PartsRead]:
        """List the shared parts that each engine is taken to keep."""
        return [
            PartsRead(engine.host, engine.start, tuple(parts))
            for engine in self._engines.values()
            if (parts := engine.cache.list_shared())
        ]

    def pop_changed_hosts(self) -> set[str]:
        """Take the engines at which something began or ended since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def measure_rate(self, host: str) -> float:
        """Give the prompt tokens that an engine reads in a second."""
        engine = self._engines.get(host)
        return INITIAL_PREFILL_RATE if engine is None else engine.rate

    def place(
        self, request: OpenRequest, hosts: Sequence[KnownHost], place: str, now: float
    ) -> Placed | Declined:
        """Choose among usable hosts, for an entry in a place."""
        left = [host for host in hosts if host.host not in request.tried]
        if request.work.kind == CALL:
            return place_call(left, place, self._random)
        engines = [
            self._engines[host.host] for host in left if host.host in self._engines
        ]
        prefill = [engine for engine in engines if engine.role == PREFILL]
        decode = [engine for engine in engines if engine.role != PREFILL]
        outage = self._follow_outage(request.work.upstream, bool(decode), now)
        needs_answer = request.next_stage == DECODE or request.kv_lost or not prefill
        if not decode and needs_answer:
            why = f"no engine makes answers, of {len(hosts)} known and {len(left)} left"
            return Declined(outage, why)
        if needs_answer:
            stage = DECODE if request.next_stage == DECODE else WHOLE
            source = self._engines.get(request.kv.host) if request.kv else None
            near = source.data_centre if source is not None else place
            field = self._make_field(place, decode, now)
            return Placed(stage, choose_decode(decode, near, field).host)
        field = self._make_field(place, prefill, now)
        return place_prompt(request, prefill, decode, field, outage, now)

    def _make_field(
        self, place: str, engines: Sequence[EngineState], now: float
    ) -> Field:
        few = self.unseen_requests.count_candidates(len(engines), now)
        return Field(place, few, self._random)

    def _follow_outage(self, upstream: str, is_answered: bool, now: float) -> float:
        """Give the seconds until an engine makes answers again; 0 where one does."""
        if is_answered:
            self._unanswered.pop(upstream, None)
            return 0.0
        since = self._unanswered.setdefault(upstream, now)
        terms = self._terms.get(upstream, START_TERMS)
        expected = since + ORDER_SECONDS + terms.role_seconds
        return max(expected - now, LEAST_OUTAGE)

    def find_role(self, host: str) -> str:
        """Find a host's role: only hosts of the same one can replace it."""
        engine = self._engines.get(host)
        return "" if engine is None else engine.role

    def count_open(self, host: KnownHost) -> int:
        """Count the answers that would be lost with a host, those of others too."""
        engine = self._engines.get(host.host)
        return host.in_flight if engine is None else engine.count_answers()

    def begin(self, request: OpenRequest, host: KnownHost, now: float) -> None:
        """Note that the request was offered to a host."""
        engine = self._engines.get(host.host)
        if engine is None:
            return
        self._changed.add(host.host)
        name, work = request.work.request, request.work
        if request.stage != PREFILL:
            engine.answers.add(name)
        tokens = count_uncached(engine, request)
        new = engine.cache.note(work.model, request.terms.parts)
        if new:
            self._read.append(PartsRead(engine.host, engine.start, tuple(new)))
        if request.kv is not None:
            return
        self.unseen_requests.note(now)
        engine.begin_prefill(name, tokens, request.terms.priority, now)
        # Both at once, as it comes: counted when they end, answers that engines are
        # too slow for would not count, and still fewer engines would be left to them.
        expected = request.terms.output_tokens
        self.observer.record_request(work.upstream, tokens, expected, now)

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        """Note that a part of an answer has come: its prompt is read."""
        engine = self._engines.get(host.host)
        if engine is None:
            return
        self._time_events(engine, request, now)
        if request.work.request not in engine.prefills:
            return
        self._changed.add(host.host)
        engine.end_prefill(request.work.request, now, False)

    def _time_events(
        self, engine: EngineState, request: OpenRequest, now: float
    ) -> None:
        """Learn from how long an answer's new events took."""
        name = request.work.request
        last = engine.heard.get(name)
        engine.heard[name] = now, request.tokens
        if last is None:
            return
        at, events = last
        answers = engine.count_answers()
        self.observer.record_pace(
            engine.upstream, answers, request.tokens - events, now - at
        )

    def finish(self, request: OpenRequest, host: KnownHost) -> None:
        """Note that the request's answer is whole."""
        if host.host not in self._engines:
            return
        terms = request.terms
        self.observer.record_answer(
            host.upstream,
            request.tokens,
            terms.output_tokens,
            request.deadline - request.arrived - terms.objective,
            self._clock(),
        )

    def end(self, request: OpenRequest, host: KnownHost) -> None:
        """Note that the request's present attempt at a host is over."""
        engine = self._engines.get(host.host)
        if engine is None:
            return
        engine.heard.pop(request.work.request, None)
        self._changed.add(host.host)
        name, now = request.work.request, self._clock()
        engine.answers.discard(name)
        engine.end_prefill(name, now, request.kv is not None)

    def _find_rate(self, upstream: str) -> float:
        """Find the rate of a new engine: what those beside it were seen to read."""
        rates = [
            engine.rate
            for engine in self._engines.values()
            if engine.upstream == upstream and engine.timed_tokens
        ]
        return mean(rates) if rates else INITIAL_PREFILL_RATE

    def _find_cache_size(self, upstream: str) -> int:
        """Find how many tokens of prompts an engine of an upstream keeps."""
        terms = self._terms.get(upstream, START_TERMS)
        return int(terms.kv_tokens * CACHE_SHARE)
