"""Selection of engines for prefill and decode, and of hosts for service calls."""

from collections.abc import Iterable, Iterator, Sequence
from functools import partial
from itertools import islice
from random import Random
from typing import Final, NamedTuple, TypeVar

from radishtally.engines.cache import hash_parts
from radishtally.engines.predictions import Prediction, predict_prefill, predict_whole
from radishtally.engines.state import LATE_PRIORITY_OFFSET, EngineState
from radishtally.links.messages import PREFILL, WHOLE
from radishtally.routing.core import rank
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.requests import OpenRequest

REMOTE_PENALTY_SECONDS: Final = 0.005
"""Penalty of an engine in another data centre: two network trips of 1 to 2 ms."""
REMOTE_BYTE_SECONDS: Final = 2e-6
"""Penalty for each byte that is sent to another data centre: sending a long prompt of
12 KB there must save 24 ms, or the prefill of 600 tokens."""
RECOMPUTE_TOKEN_SECONDS: Final = 40e-6
"""Penalty for each token of a shared part that is prefilled again, in addition to the
time it takes: the work is done twice, and the part then occupies two engines' caches.
The penalty also applies to prompts that will be late, which reduces the tokens that are
prefilled again by a quarter."""
ON_TIME_SHARE: Final = 0.7
"""Share of the latency objective within which a prediction counts as safely on time, so
that cached parts decide and not the earliest start."""
REMOTE_FILL_PENALTY: Final = 1 / 16
"""Share of a batch by which an engine in another data centre than the gateway's must be
less busy, as prompt and answer cross between the two. The same is added if the KV
cache crosses, which then takes twice as long."""
MAX_DECODE_FILL: Final = 0.7
"""Share of a batch up to which an engine is considered to have room for an answer; the
rest absorbs what other gateways send before their reports arrive. Beyond a full
batch, an answer waits or another one is preempted."""
MAX_WHOLE_FILL: Final = 3 / 8
"""Share of a batch up to which a decode engine may also prefill a prompt that no
prefill engine can serve in time: with more answers, decode already slows down."""
MAX_WHOLE_PROMPT_TOKENS: Final = 4_000
"""Maximum tokens that may await prefill at such a decode engine, including the new
prompt: each chunk delays all of its answers, whose events must not pause for long."""
REMOTE_CALL_PENALTY: Final = 0.5
"""Penalty, in open calls, of a service host in another data centre: it breaks ties."""
MIN_STALE_CALLS: Final = 2.0
"""Least difference in open calls that doesn't count if peers have reported some: all
entries would choose the same host until the next reports."""
CALLER_TIMEOUT_FACTOR: Final = 4.0
"""Multiple of its latency objective that a caller waits for the first event."""
MIN_CALLER_TIMEOUT_SECONDS: Final = 2.0
Item = TypeVar("Item")


class PlacementContext(NamedTuple):
    """Describe where an entry is and how many engines it compares."""

    data_centre: str
    sample_size: int
    """Engines to compare at a time: all of them if the load reports are fresh."""
    random: Random
    """Breaks ties: by name, all entries would choose the same engine."""


class ScoredEngine(NamedTuple):
    """Rate an engine for a prompt; the smallest tuple is the best choice."""

    is_late: bool
    """Whether the prompt would not be safely on time, regardless of cached parts."""
    cost: float
    """Predicted seconds plus all penalties."""
    rank: int
    host: str
    prediction: Prediction


def place_prompt(
    request: OpenRequest,
    prefill: Sequence[EngineState],
    decode: Sequence[EngineState],
    context: PlacementContext,
    seconds_to_decode: float,
    now: float,
) -> Placed | Declined:
    """Choose an engine for a prompt.

    If no engine can decode at present, seconds_to_decode is the time until one can.
    """
    terms = request.terms
    objective = request.arrived + terms.objective - now
    on_time_seconds = objective * ON_TIME_SHARE
    caller_timeout = max(
        MIN_CALLER_TIMEOUT_SECONDS, CALLER_TIMEOUT_FACTOR * terms.objective
    )
    caller_timeout = min(caller_timeout, request.deadline - now)
    choose = partial(
        _choose_prefill, request, prefill, context, on_time_seconds, caller_timeout, now
    )
    host, prediction = choose()
    if prediction.seconds > on_time_seconds:
        # A decode engine prefills at half the speed, but without a KV cache transfer.
        # It serves short prompts on time while long ones occupy the prefill engines.
        whole = _choose_for_prefill_and_decode(
            request, decode, context, on_time_seconds
        )
        if whole is not None:
            return whole
    if prediction.seconds > objective and terms.priority < LATE_PRIORITY_OFFSET:
        # A late request queues behind all that can still be on time, and may then wait
        # for longer than its caller does.
        request.terms = terms._replace(priority=terms.priority + LATE_PRIORITY_OFFSET)
        host, prediction = choose()
    why = prediction.describe(request.terms.priority)
    if seconds_to_decode > caller_timeout:
        return Declined(
            seconds_to_decode, f"no decode engine for {seconds_to_decode:.1f} s"
        )
    if prediction.seconds > caller_timeout:
        wait = max(0.0, prediction.seconds - terms.objective)
        return Declined(wait, f"too late even at {host}: {why}")
    return Placed(PREFILL, host, why)


def _choose_prefill(
    request: OpenRequest,
    engines: Sequence[EngineState],
    context: PlacementContext,
    on_time_seconds: float,
    caller_timeout: float,
    now: float,
) -> tuple[str, Prediction]:
    """Choose a prefill engine that is on time and near the prompt's cached parts.

    A few engines are compared at a time, in an order that depends on the prompt: first
    those with most of it cached, then by a hash that all entries share. Entries with
    stale views thus send different prompts to different engines, and prompts with the
    same parts to the same engines.
    """
    candidates = []
    for sample in _chunk(
        _rank_by_cached_parts(request, engines, context, on_time_seconds, now),
        context.sample_size,
    ):
        best = min(sample)
        if not best.is_late:
            return best.host, best.prediction
        candidates.append(best)
    # Late everywhere: take an engine within the caller's timeout, or the best one.
    acceptable = (
        best for best in candidates if best.prediction.seconds <= caller_timeout
    )
    best = next(acceptable, None) or min(candidates)
    return best.host, best.prediction


def _rank_by_cached_parts(
    request: OpenRequest,
    engines: Sequence[EngineState],
    context: PlacementContext,
    on_time_seconds: float,
    now: float,
) -> Iterator[ScoredEngine]:
    """Yield the scored engines, those first that have most of the prompt cached."""
    chain = hash_parts(request.work.model, request.terms.parts)
    by_host = {engine.host: engine for engine in engines}
    cached = {
        host: engine.cache.count_cached_chain(chain) for host, engine in by_host.items()
    }
    shared = request.terms.shared_tokens
    most_cached = max(min(tokens, shared) for tokens in cached.values())
    remote_penalty = REMOTE_PENALTY_SECONDS + REMOTE_BYTE_SECONDS * len(
        request.work.body
    )
    ranked = rank(by_host, request.work.prefix)
    ranked.sort(key=lambda host: max(0, most_cached - cached[host]))
    for number, host in enumerate(ranked):
        engine = by_host[host]
        prediction = predict_prefill(engine, request, cached[host], now)
        cost = (
            prediction.seconds
            + max(0, most_cached - cached[host]) * RECOMPUTE_TOKEN_SECONDS
        )
        if engine.data_centre != context.data_centre:
            cost += remote_penalty
        yield ScoredEngine(
            prediction.seconds > on_time_seconds, cost, number, host, prediction
        )


def _choose_for_prefill_and_decode(
    request: OpenRequest,
    engines: Sequence[EngineState],
    context: PlacementContext,
    on_time_seconds: float,
) -> Placed | None:
    """Choose a decode engine to also prefill the prompt, if one has room.

    The stage WHOLE means prefill and decode at the same engine.
    """
    candidates = []
    for engine in context.random.sample(engines, len(engines)):
        prediction = predict_whole(engine, request)
        if prediction.seconds > on_time_seconds or not _can_prefill_beside_answers(
            engine, prediction
        ):
            continue
        is_remote = engine.data_centre != context.data_centre
        cost = prediction.seconds + is_remote * REMOTE_PENALTY_SECONDS
        candidates.append(
            ScoredEngine(False, cost, len(candidates), engine.host, prediction)
        )
        if len(candidates) == context.sample_size:
            break
    if not candidates:
        return None
    best = min(candidates)
    return Placed(WHOLE, best.host, best.prediction.describe(request.terms.priority))


def _can_prefill_beside_answers(engine: EngineState, prediction: Prediction) -> bool:
    """Return whether a decode engine can prefill a prompt alongside its answers."""
    if engine.count_answers() >= engine.slots * MAX_WHOLE_FILL:
        return False
    return engine.count_pending_tokens() + prediction.tokens <= MAX_WHOLE_PROMPT_TOKENS


def choose_decode(
    engines: Sequence[EngineState], kv_data_centre: str, context: PlacementContext
) -> EngineState:
    """Choose a decode engine with few answers, preferably near gateway and KV cache.

    Pick the least busy of a few; if it has no room, go on with the next few.
    """

    def count_remote(engine: EngineState) -> int:
        return (engine.data_centre != kv_data_centre) + (
            engine.data_centre != context.data_centre
        )

    def score(engine: EngineState) -> float:
        return engine.fill + count_remote(engine) * REMOTE_FILL_PENALTY

    shuffled = context.random.sample(engines, len(engines))
    shuffled.sort(key=count_remote)
    for sample in _chunk(shuffled, context.sample_size):
        best = min(sample, key=score)
        if best.fill < MAX_DECODE_FILL:
            return best
    return min(shuffled, key=score)


def place_call(
    hosts: Sequence[KnownHost], data_centre: str, random: Random
) -> Placed | Declined:
    """Choose the host with the fewest open calls."""
    if not hosts:
        return Declined(None, "no untried host is left")

    spread = 0.0
    if any(host.peer_calls for host in hosts):
        spread = max(MIN_STALE_CALLS, hosts[0].unseen_calls)

    def score(host: KnownHost) -> float:
        is_remote = host.data_centre != data_centre
        penalty = is_remote * REMOTE_CALL_PENALTY + random.uniform(0.0, spread)
        return host.in_flight + host.peer_calls + penalty

    # While peers report no calls, most entries have none open: without shuffling, all
    # would choose the first host by name.
    shuffled = random.sample(hosts, len(hosts))
    return Placed(WHOLE, min(shuffled, key=score).host)


def _chunk(items: Iterable[Item], size: int) -> Iterator[list[Item]]:
    """Split items into lists of a size, in their order."""
    rest = iter(items)
    while group := list(islice(rest, size)):
        yield group
