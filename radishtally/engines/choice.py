"""Choose the engine for a prompt or an answer, and the host for a call."""

from collections.abc import Iterable, Sequence
from typing import Final

from radishtally.engines.prospects import (
    Prospect,
    count_kept,
    predict_prefill,
    predict_whole,
)
from radishtally.engines.state import LATE_PRIORITY, EngineState
from radishtally.links.messages import PREFILL, WHOLE
from radishtally.routing.core import rank
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.requests import OpenRequest

FAR_SECONDS: Final = 0.005
"""Handicap of an engine in another data centre, for the trips: two of 1 to 2 ms."""
FAR_BYTE_SECONDS: Final = 2e-6
"""The same for each byte that is sent there: a long prompt of 12 KB is worth sending
far for 24 ms, or for 600 tokens that need not be read again."""
AGAIN_SECONDS: Final = 40e-6
"""Handicap for each token of a shared part that is read again, beside the time that it
takes: the work is done twice, and the part then fills two engines' memory. Counted for
late prompts too, it spared a quarter of the tokens read again; what it buys for those
that are in time was not measured alone."""
IN_TIME_SHARE: Final = 0.7
"""Share of the objective within which a prompt is predicted to be in time surely
enough, so that where its shared parts lie decides and not who is first."""
FAR_ANSWERS: Final = 4
"""Answers more that the least busy engine of another data centre than the gateway's
must be ahead by: prompt and answer cross between the two. As much again if the KV cache
crosses, which takes twice as long then."""
WHOLE_ANSWERS: Final = 24
"""Answers at once up to which an engine that makes answers also takes a prompt that no
other engine can begin in time: with more, the answers slow down already."""
WHOLE_TOKENS: Final = 4_000
"""Prompt tokens that such an engine has to read at most: each piece of them holds up
all of its answers, whose events must not pause for long."""
FAR_CALLS: Final = 0.5
"""Open calls more that a plain service's host in another data centre counts for: it
decides between equals only."""
PATIENCE: Final = 4.0
"""Times its objective that a caller waits for the first event before it gives up."""
MIN_PATIENCE_SECONDS: Final = 2.0


def place_prompt(
    request: OpenRequest,
    prefill: Sequence[EngineState],
    decode: Iterable[EngineState],
    place: str,
    outage: float,
    now: float,
) -> Placed | Declined:
    """Choose who reads a prompt; for some seconds nobody may make its answer."""
    terms = request.terms
    objective = request.arrived + terms.objective - now
    in_time = objective * IN_TIME_SHARE
    host, prospect = _choose_prefill(request, prefill, place, in_time, now)
    if prospect.seconds > in_time:
        # Read at half the speed, but without a KV cache to be moved: this serves short
        # prompts in time while long ones fill the engines for prompts.
        whole = _choose_whole(request, decode, place, in_time)
        if whole is not None:
            return whole
    if prospect.seconds > objective and terms.priority < LATE_PRIORITY:
        # What will be late goes behind all that can still be in time, and may have to
        # wait there for longer than its caller does.
        request.terms = terms._replace(priority=terms.priority + LATE_PRIORITY)
        host, prospect = _choose_prefill(request, prefill, place, in_time, now)
    why = prospect.describe(request.terms.priority)
    patience = max(MIN_PATIENCE_SECONDS, PATIENCE * terms.objective)
    if outage > min(patience, request.deadline - now):
        return Declined(outage, f"no engine makes answers for {outage:.1f} s")
    if prospect.seconds > min(patience, request.deadline - now):
        wait = max(0.0, prospect.seconds - terms.objective)
        return Declined(wait, f"soonest at {host}: {why}")
    return Placed(PREFILL, host, why)


def _choose_prefill(
    request: OpenRequest,
    engines: Sequence[EngineState],
    place: str,
    in_time: float,
    now: float,
) -> tuple[str, Prospect]:
    """Choose the engine that has the shared parts, rather one that is in time."""
    home = rank((engine.host for engine in engines), request.work.prefix)[0]
    far = FAR_SECONDS + FAR_BYTE_SECONDS * len(request.work.body)
    kept = [count_kept(engine, request) for engine in engines]
    most = max(min(tokens, request.terms.shared_tokens) for tokens in kept)
    found = []
    for engine, tokens in zip(engines, kept, strict=True):
        prospect = predict_prefill(engine, request, tokens, now)
        cost = prospect.seconds + max(0, most - tokens) * AGAIN_SECONDS
        if engine.data_centre != place:
            cost += far
        # Two entries that are first to ask for the same parts choose the same engine.
        is_strange = engine.host != home
        late = prospect.seconds > in_time
        found.append((late, cost, is_strange, engine.host, prospect))
    *_, host, prospect = min(found)
    return host, prospect


def _choose_whole(
    request: OpenRequest, engines: Iterable[EngineState], place: str, in_time: float
) -> Placed | None:
    """Choose an engine that makes answers to read the prompt too, if it has room."""
    found = []
    for engine in engines:
        prospect = predict_whole(engine, request)
        if prospect.seconds > in_time or not _has_room(engine, prospect):
            continue
        is_far = engine.data_centre != place
        found.append((prospect.seconds + is_far * FAR_SECONDS, engine.host, prospect))
    if not found:
        return None
    _, host, prospect = min(found)
    return Placed(WHOLE, host, prospect.describe(request.terms.priority))


def _has_room(engine: EngineState, prospect: Prospect) -> bool:
    """Tell whether an engine that makes answers can read a prompt beside them."""
    if engine.count_answers() >= WHOLE_ANSWERS:
        return False
    return engine.count_tokens() + prospect.tokens <= WHOLE_TOKENS


def choose_decode(
    engines: Sequence[EngineState], data_centres: tuple[str, str]
) -> EngineState:
    """Choose the engine with the fewest answers, rather near gateway and KV cache."""

    def measure(engine: EngineState) -> tuple[int, str]:
        far = sum(engine.data_centre != near for near in data_centres)
        return engine.count_answers() + far * FAR_ANSWERS, engine.host

    return min(engines, key=measure)


def place_call(hosts: Sequence[KnownHost], place: str) -> Placed | Declined:
    """Choose the host with the fewest open calls."""
    if not hosts:
        return Declined(None, "no host is left")

    def measure(host: KnownHost) -> tuple[float, str]:
        return host.in_flight + (0.0 if host.place == place else FAR_CALLS), host.host

    return Placed(WHOLE, min(hosts, key=measure).host)
