"""Placement of requests on engines and services that this entry calls directly."""

import time
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from statistics import mean
from typing import Final

from radishtally.direct.core import CachedPart, Instance, is_same_start
from radishtally.engines.cache import PromptCache, hash_cached_part
from radishtally.engines.choice import (
    PlacementContext,
    choose_decode,
    place_call,
    place_prompt,
)
from radishtally.engines.core import Observer
from radishtally.engines.predictions import count_uncached
from radishtally.engines.queue_order import QueueOrderEstimator
from radishtally.engines.staleness import UnseenRequests
from radishtally.engines.state import (
    CACHE_SHARE,
    INITIAL_PREFILL_RATE,
    EngineState,
    PeerShare,
    make_start_mark,
)
from radishtally.links.gateway_messages import (
    Backlog,
    EngineShare,
    PartsRead,
    RoleOrdered,
)
from radishtally.links.messages import CALL, DECODE, PREFILL, WHOLE
from radishtally.routes.config import EngineTerms, UpstreamTerms
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.requests import OpenRequest

DEFAULT_ENGINE_TERMS: Final = EngineTerms(400_000)
"""Engine terms assumed until the configuration specifies them."""
MAX_ANSWER_SECONDS: Final = 6.0
"""Time for which an engine may finish its open answers before it changes its role."""
ROLE_ORDER_SECONDS: Final = 1.0
"""Time until an engine is ordered to decode if none does: two controller ticks."""
MAX_ANSWER_EVENTS: Final = 1_000_000
"""More events than an answer can have: larger event ids don't number the events."""
MIN_SECONDS_TO_DECODE: Final = 0.5
"""Retry delay if a decode engine should already be available again."""


class EnginePlacement:
    """Place prompts near their cached parts, and answers where slots are free."""

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
        self._shares_of_unknown_starts: dict[str, dict[str, EngineShare]] = {}
        """Shares that other entries reported for an engine start that is not known
        here, by engine and entry. Kept until the start is known, as each share is
        reported only once."""
        self._sent_parts: list[PartsRead] = []
        """Parts newly sent to an engine by this entry, to be reported to peers."""
        self._role_changes: dict[str, tuple[str, float]] = {}
        """Ordered role of engines that refuse all work until they have it, and the time
        until which that is assumed."""
        self._no_decode_since: dict[str, float] = {}
        """Time since when an upstream has had no decode engine."""
        self._queue_orders: dict[str, QueueOrderEstimator] = {}
        """Queue order of each upstream's engines."""
        self._engine_terms: dict[str, EngineTerms] = {}

    def configure(self, upstreams: Iterable[UpstreamTerms]) -> None:
        """Apply the engine terms of the configuration."""
        for upstream in upstreams:
            if upstream.engine is not None:
                self._engine_terms[upstream.name] = upstream.engine
        # Engines may be listed before the configuration is read, and it may change.
        for engine in self._engines.values():
            engine.cache.resize(self._find_cache_size(engine.upstream))

    def set_instance(self, instance: Instance) -> None:
        """Add or update the engine of a host."""
        if not instance.role:
            return
        ordered_role, _ = self._role_changes.get(instance.host, ("", 0.0))
        if ordered_role == instance.role:
            del self._role_changes[instance.host]
        known = self._engines.get(instance.host)
        if known is not None:
            known.role = instance.role
            known.slots = instance.slots
            known.start_mark = make_start_mark(instance.started_ms)
            return
        cache = PromptCache(self._find_cache_size(instance.upstream))
        self._engines[instance.host] = EngineState(
            instance.host,
            instance.data_centre,
            instance.role,
            cache,
            instance.upstream,
            instance.slots,
            make_start_mark(instance.started_ms),
            self._queue_orders.setdefault(instance.upstream, QueueOrderEstimator()),
            self._estimate_initial_rate(instance.upstream),
        )
        for peer, share in self._shares_of_unknown_starts.pop(
            instance.host, {}
        ).items():
            self._record_share(peer, share, self._clock())

    def reset_engine(self, host: str) -> None:
        """Drop the state of an engine's earlier start; set_instance follows."""
        self._engines.pop(host, None)
        self._role_changes.pop(host, None)

    def forget(self, host: str) -> None:
        """Drop a host that was removed."""
        self._engines.pop(host, None)
        self._role_changes.pop(host, None)
        self._shares_of_unknown_starts.pop(host, None)

    def forget_peer(self, peer: str) -> None:
        """Drop the open work of an entry that is unreachable."""
        for engine in self._engines.values():
            engine.drop_peer(peer)
        for shares in self._shares_of_unknown_starts.values():
            shares.pop(peer, None)

    def record_backlog(self, peer: str, backlog: Backlog, now: float) -> None:
        """Record another entry's open work."""
        for share in backlog.shares:
            self._record_share(peer, share, now)

    def _record_share(self, peer: str, share: EngineShare, now: float) -> None:
        engine = self._engines.get(share.host)
        if engine is None:
            return
        unknown_starts = self._shares_of_unknown_starts.setdefault(share.host, {})
        if is_same_start(share.start, engine.start_mark):
            unknown_starts.pop(peer, None)
            engine.record_peer_share(peer, PeerShare(share.waiting, share.answers), now)
            return
        # One of the two entries does not know yet that the engine has restarted. Work
        # open at its earlier start is lost and must not count as prefilled.
        engine.drop_peer(peer)
        unknown_starts[peer] = share

    def build_backlog(
        self,
        hosts: Iterable[str] | None = None,
        excluded: Collection[str] | None = None,
    ) -> Backlog:
        """Return this entry's open work at some engines, or at all of them.

        A collector passes the entries to exclude, and gets the sum of all others.
        """
        engines = self._engines
        names = engines.keys() if hosts is None else hosts
        shares = [
            EngineShare(
                host, *engines[host].build_share(excluded), engines[host].start_mark
            )
            for host in names
            if host in engines
        ]
        return Backlog(tuple(shares))

    def record_role_order(self, ordered: RoleOrdered, now: float) -> None:
        """Record that an engine changes its role, and so refuses work."""
        engine = self._engines.get(ordered.host)
        if engine is None or engine.role == ordered.role:
            return
        if not is_same_start(ordered.start, engine.start_mark):
            return
        terms = self._engine_terms.get(engine.upstream, DEFAULT_ENGINE_TERMS)
        until = now + terms.role_seconds + MAX_ANSWER_SECONDS
        self._role_changes[ordered.host] = ordered.role, until

    def describe_role_order(self, host: str, role: str) -> RoleOrdered:
        """Return the report that an engine was ordered to take a role."""
        engine = self._engines.get(host)
        return RoleOrdered(host, 0 if engine is None else engine.start_mark, role)

    def _is_changing_role(self, host: str, now: float) -> bool:
        _, until = self._role_changes.get(host, ("", float("-inf")))
        return now < until

    def record_parts(self, sent: PartsRead) -> None:
        """Record the parts that another entry has sent to an engine."""
        engine = self._engines.get(sent.host)
        if engine is None or not is_same_start(sent.start, engine.start_mark):
            # A missed part is reported once more when it is prefilled again.
            return
        engine.cache.record_parts(sent.parts)

    def record_cached_parts(self, host: str, cached: Iterable[CachedPart]) -> int:
        """Record the parts that an engine reports as cached; return their number."""
        engine = self._engines.get(host)
        if engine is None:
            return 0
        parts = tuple(map(hash_cached_part, cached))
        engine.cache.record_parts(parts)
        self._sent_parts.append(PartsRead(host, engine.start_mark, parts))
        return len(parts)

    def pop_sent_parts(self) -> list[PartsRead]:
        """Return and clear the parts sent to engines since the last call."""
        sent, self._sent_parts = self._sent_parts, []
        return sent

    def list_parts(self) -> list[PartsRead]:
        """List the shared parts that each engine is assumed to have cached."""
        return [
            PartsRead(engine.host, engine.start_mark, tuple(parts))
            for engine in self._engines.values()
            if (parts := engine.cache.list_shared())
        ]

    def pop_changed_hosts(self) -> set[str]:
        """Return and clear the engines whose open work changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def measure_rate(self, host: str) -> float:
        """Return the estimated prefill rate of an engine in tokens per second."""
        engine = self._engines.get(host)
        return INITIAL_PREFILL_RATE if engine is None else engine.rate

    def place(
        self,
        request: OpenRequest,
        hosts: Sequence[KnownHost],
        data_centre: str,
        now: float,
    ) -> Placed | Declined:
        """Choose a host and a stage for a request."""
        untried = [host for host in hosts if host.host not in request.tried]
        if request.work.kind == CALL:
            return place_call(untried, data_centre, self._random)
        engines = [
            self._engines[host.host] for host in untried if host.host in self._engines
        ]
        serving = [e for e in engines if not self._is_changing_role(e.host, now)]
        prefill = [engine for engine in serving if engine.role == PREFILL]
        decode = [engine for engine in serving if engine.role != PREFILL]
        seconds_to_decode = self._estimate_seconds_to_decode(
            request.work.upstream, bool(decode), now
        )
        needs_decode_engine = (
            request.next_stage == DECODE or request.kv_lost or not prefill
        )
        if not decode and needs_decode_engine:
            why = f"no decode engine: {len(hosts)} hosts known, {len(untried)} untried"
            return Declined(seconds_to_decode, why)
        if needs_decode_engine:
            stage = DECODE if request.next_stage == DECODE else WHOLE
            source = self._engines.get(request.kv.host) if request.kv else None
            kv_data_centre = source.data_centre if source is not None else data_centre
            context = self._make_context(data_centre, decode, now)
            return Placed(stage, choose_decode(decode, kv_data_centre, context).host)
        context = self._make_context(data_centre, prefill, now)
        return place_prompt(request, prefill, decode, context, seconds_to_decode, now)

    def _make_context(
        self, data_centre: str, engines: Sequence[EngineState], now: float
    ) -> PlacementContext:
        sample_size = self.unseen_requests.count_candidates(len(engines), now)
        return PlacementContext(data_centre, sample_size, self._random)

    def _estimate_seconds_to_decode(
        self, upstream: str, has_decode: bool, now: float
    ) -> float:
        """Return the seconds until a decode engine is expected; 0 if there is one."""
        if has_decode:
            self._no_decode_since.pop(upstream, None)
            return 0.0
        since = self._no_decode_since.setdefault(upstream, now)
        terms = self._engine_terms.get(upstream, DEFAULT_ENGINE_TERMS)
        available_at = since + ROLE_ORDER_SECONDS + terms.role_seconds
        return max(available_at - now, MIN_SECONDS_TO_DECODE)

    def find_role(self, host: str) -> str:
        """Return a host's role; only hosts of the same role can replace it."""
        engine = self._engines.get(host)
        return "" if engine is None else engine.role

    def count_open(self, host: KnownHost) -> int:
        """Count the answers that would be lost with a host, those of peers included."""
        engine = self._engines.get(host.host)
        return host.in_flight if engine is None else engine.count_answers()

    def begin(self, request: OpenRequest, host: KnownHost, now: float) -> None:
        """Record that a request was offered to a host."""
        engine = self._engines.get(host.host)
        if engine is None:
            return
        self._changed.add(host.host)
        name, work = request.work.request, request.work
        if request.stage != PREFILL:
            engine.answers.add(name)
        tokens = count_uncached(engine, request)
        new = engine.cache.record_prompt(work.model, request.terms.parts)
        if new:
            self._sent_parts.append(
                PartsRead(engine.host, engine.start_mark, tuple(new))
            )
        if request.kv is not None:
            return
        self.unseen_requests.record_request(now)
        engine.begin_prefill(name, tokens, request.terms.priority, now)
        # The expected answer counts when the request arrives. If answers counted only
        # when complete, those that overloaded engines never finish would be missed, and
        # more engines would be moved away from decode.
        expected = request.terms.output_tokens
        self.observer.record_request(work.upstream, tokens, expected, now)

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        """Record that a part of an answer arrived, so its prompt is prefilled."""
        engine = self._engines.get(host.host)
        if engine is None:
            return
        self._record_event_times(engine, request, now)
        if request.work.request not in engine.prefills:
            return
        self._changed.add(host.host)
        engine.end_prefill(request.work.request, now, False)

    def _record_event_times(
        self, engine: EngineState, request: OpenRequest, now: float
    ) -> None:
        """Report how long the new events of an answer took."""
        if request.tokens > MAX_ANSWER_EVENTS:
            return
        name = request.work.request
        last = engine.last_events.get(name)
        engine.last_events[name] = now, request.tokens
        if last is None:
            return
        at, events = last
        answers = engine.count_answers()
        self.observer.record_pace(
            engine.upstream, answers, request.tokens - events, now - at
        )

    def record_completion(self, request: OpenRequest, host: KnownHost) -> None:
        """Record that the request's answer is complete."""
        if host.host not in self._engines or request.tokens > MAX_ANSWER_EVENTS:
            return
        terms = request.terms
        self.observer.record_answer(
            host.upstream,
            request.tokens,
            terms.output_tokens,
            request.deadline - request.arrived - terms.objective,
            self._clock(),
        )

    def end_attempt(self, request: OpenRequest, host: KnownHost) -> None:
        """Record that the request's current attempt at a host has ended."""
        engine = self._engines.get(host.host)
        if engine is None:
            return
        engine.last_events.pop(request.work.request, None)
        self._changed.add(host.host)
        name, now = request.work.request, self._clock()
        engine.answers.discard(name)
        engine.end_prefill(name, now, request.kv is not None)

    def _estimate_initial_rate(self, upstream: str) -> float:
        """Return the initial rate of a new engine: the mean of its timed siblings."""
        rates = [
            engine.rate
            for engine in self._engines.values()
            if engine.upstream == upstream and engine.timed_tokens
        ]
        return mean(rates) if rates else INITIAL_PREFILL_RATE

    def _find_cache_size(self, upstream: str) -> int:
        """Return how many prompt tokens an engine of an upstream can cache."""
        terms = self._engine_terms.get(upstream, DEFAULT_ENGINE_TERMS)
        return int(terms.kv_tokens * CACHE_SHARE)
