"""Choose the engine for a prompt or an answer, and the host for a call."""

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
"""Handicap of an engine in another data centre, for the trips: two of 1 to 2 ms."""
REMOTE_PENALTY_SECONDS_PER_BYTE: Final = 2e-6
"""The same for each byte that is sent there: a long prompt of 12 KB is worth sending
far for 24 ms, or for 600 tokens that need not be read again."""
RECOMPUTE_PENALTY_SECONDS_PER_TOKEN: Final = 40e-6
"""Handicap for each token of a shared part that is read again, beside the time that it
takes: the work is done twice, and the part then fills two engines' memory. Counted for
late prompts too, it spared a quarter of the tokens read again; what it buys for those
that are in time was not measured alone."""
ON_TIME_SHARE: Final = 0.7
"""Share of the objective within which a prompt is predicted to be in time surely
enough, so that where its shared parts lie decides and not who is first."""
REMOTE_FILL_PENALTY: Final = 1 / 16
"""Share of a batch that the least busy engine of another data centre than the gateway's
must be ahead by: prompt and answer cross between the two. As much again if the KV cache
crosses, which takes twice as long then."""
MAX_DECODE_FILL: Final = 0.7
"""Share of a batch up to which an engine is taken to have room for an answer: what is
left bears what other gateways send there before this one hears of it. Beyond a full
batch an answer waits, or another one is cut off for it."""
MAX_WHOLE_FILL: Final = 3 / 8
"""Share of a batch that answers may take at an engine which also takes a prompt that no
other engine can begin in time: with more, the answers slow down already."""
MAX_WHOLE_PROMPT_TOKENS: Final = 4_000
"""Prompt tokens that such an engine has to read at most: each piece of them holds up
all of its answers, whose events must not pause for long."""
REMOTE_CALL_PENALTY: Final = 0.5
"""Open calls more that a plain service's host in another data centre counts for: it
decides between equals only."""
CALLER_TIMEOUT_FACTOR: Final = 4.0
"""Times its objective that a caller waits for the first event before it gives up."""
MIN_CALLER_TIMEOUT_SECONDS: Final = 2.0
Item = TypeVar("Item")


class PlacementContext(NamedTuple):
    """Hold from where an entry chooses, and how carefully."""

    place: str
    """Data centre of the entry."""
    sample_size: int
    """Engines that are compared at a time: all of them where the news is fresh."""
    random: Random
    """Parts equals: by name all entries would choose the same one."""


class ScoredEngine(NamedTuple):
    """Hold an engine for a prompt, in the order of what is chosen."""

    is_late: bool
    """Whether the prompt would not be in time there, wherever its shared parts lie."""
    cost: float
    """Seconds, with all handicaps."""
    rank: int
    host: str
    prospect: Prediction


def place_prompt(
    request: OpenRequest,
    prefill: Sequence[EngineState],
    decode: Sequence[EngineState],
    field: PlacementContext,
    outage: float,
    now: float,
) -> Placed | Declined:
    """Choose who reads a prompt; for some seconds nobody may make its answer."""
    terms = request.terms
    objective = request.arrived + terms.objective - now
    in_time = objective * ON_TIME_SHARE
    patience = max(MIN_CALLER_TIMEOUT_SECONDS, CALLER_TIMEOUT_FACTOR * terms.objective)
    patience = min(patience, request.deadline - now)
    choose = partial(_choose_prefill, request, prefill, field, in_time, patience, now)
    host, prospect = choose()
    if prospect.seconds > in_time:
        # Read at half the speed, but without a KV cache to be moved: this serves short
        # prompts in time while long ones fill the engines for prompts.
        whole = _choose_whole(request, decode, field, in_time)
        if whole is not None:
            return whole
    if prospect.seconds > objective and terms.priority < LATE_PRIORITY_OFFSET:
        # What will be late goes behind all that can still be in time, and may have to
        # wait there for longer than its caller does.
        request.terms = terms._replace(priority=terms.priority + LATE_PRIORITY_OFFSET)
        host, prospect = choose()
    why = prospect.describe(request.terms.priority)
    if outage > patience:
        return Declined(outage, f"no engine makes answers for {outage:.1f} s")
    if prospect.seconds > patience:
        wait = max(0.0, prospect.seconds - terms.objective)
        return Declined(wait, f"soonest at {host}: {why}")
    return Placed(PREFILL, host, why)


def _choose_prefill(
    request: OpenRequest,
    engines: Sequence[EngineState],
    field: PlacementContext,
    in_time: float,
    patience: float,
    now: float,
) -> tuple[str, Prediction]:
    """Choose who has the shared parts or is to have them, rather one that is in time.

    Few engines are compared at a time, in an order of the prompt's own: those that keep
    most of it, then by a hash that all entries agree on. So entries that know nothing
    of each other's last prompts send different ones to different engines, and those of
    the same parts to the same ones.
    """
    bests = []
    for few in _chunk(
        _rank_by_cached_parts(request, engines, field, in_time, now), field.sample_size
    ):
        best = min(few)
        if not best.is_late:
            return best.host, best.prospect
        bests.append(best)
    # Late everywhere: where its caller still waits for it, or wherever it is soonest.
    awaited = (best for best in bests if best.prospect.seconds <= patience)
    best = next(awaited, None) or min(bests)
    return best.host, best.prospect


def _rank_by_cached_parts(
    request: OpenRequest,
    engines: Sequence[EngineState],
    field: PlacementContext,
    in_time: float,
    now: float,
) -> Iterator[ScoredEngine]:
    """Give the engines as they fare with a prompt, those first that keep most of it."""
    chain = hash_parts(request.work.model, request.terms.parts)
    by_host = {engine.host: engine for engine in engines}
    kept = {
        host: engine.cache.count_cached_chain(chain) for host, engine in by_host.items()
    }
    shared = request.terms.shared_tokens
    most = max(min(tokens, shared) for tokens in kept.values())
    far = REMOTE_PENALTY_SECONDS + REMOTE_PENALTY_SECONDS_PER_BYTE * len(
        request.work.body
    )
    ranked = rank(by_host, request.work.prefix)
    ranked.sort(key=lambda host: max(0, most - kept[host]))
    for number, host in enumerate(ranked):
        engine = by_host[host]
        prospect = predict_prefill(engine, request, kept[host], now)
        cost = (
            prospect.seconds
            + max(0, most - kept[host]) * RECOMPUTE_PENALTY_SECONDS_PER_TOKEN
        )
        if engine.data_centre != field.place:
            cost += far
        yield ScoredEngine(prospect.seconds > in_time, cost, number, host, prospect)


def _choose_whole(
    request: OpenRequest,
    engines: Sequence[EngineState],
    field: PlacementContext,
    in_time: float,
) -> Placed | None:
    """Choose an engine that makes answers to read the prompt too, if it has room."""
    found = []
    for engine in field.random.sample(engines, len(engines)):
        prospect = predict_whole(engine, request)
        if prospect.seconds > in_time or not _can_prefill_beside_answers(
            engine, prospect
        ):
            continue
        is_far = engine.data_centre != field.place
        cost = prospect.seconds + is_far * REMOTE_PENALTY_SECONDS
        found.append(ScoredEngine(False, cost, len(found), engine.host, prospect))
        if len(found) == field.sample_size:
            break
    if not found:
        return None
    best = min(found)
    return Placed(WHOLE, best.host, best.prospect.describe(request.terms.priority))


def _can_prefill_beside_answers(engine: EngineState, prospect: Prediction) -> bool:
    """Tell whether an engine that makes answers can read a prompt beside them."""
    if engine.count_answers() >= engine.slots * MAX_WHOLE_FILL:
        return False
    return engine.count_pending_tokens() + prospect.tokens <= MAX_WHOLE_PROMPT_TOKENS


def choose_decode(
    engines: Sequence[EngineState], near: str, field: PlacementContext
) -> EngineState:
    """Choose an engine with few answers, rather near gateway and KV cache.

    Of few that are compared, the one with the least; of the next few, where none of
    these has room.
    """

    def count_far(engine: EngineState) -> int:
        return (engine.data_centre != near) + (engine.data_centre != field.place)

    def measure(engine: EngineState) -> float:
        return engine.fill + count_far(engine) * REMOTE_FILL_PENALTY

    drawn = field.random.sample(engines, len(engines))
    drawn.sort(key=count_far)
    for few in _chunk(drawn, field.sample_size):
        best = min(few, key=measure)
        if best.fill < MAX_DECODE_FILL:
            return best
    return min(drawn, key=measure)


def place_call(
    hosts: Sequence[KnownHost], place: str, random: Random
) -> Placed | Declined:
    """Choose the host with the fewest open calls."""
    if not hosts:
        return Declined(None, "no host is left")

    def measure(host: KnownHost) -> float:
        return host.in_flight + (0.0 if host.place == place else REMOTE_CALL_PENALTY)

    # Each entry knows its own calls alone, and most have none open: by name they would
    # all choose the first one.
    shuffled = random.sample(hosts, len(hosts))
    return Placed(WHOLE, min(shuffled, key=measure).host)


def _chunk(items: Iterable[Item], size: int) -> Iterator[list[Item]]:
    """Give some items at a time, in their order."""
    rest = iter(items)
    while group := list(islice(rest, size)):
        yield group
