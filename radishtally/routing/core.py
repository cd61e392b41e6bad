"""Choice of the host that work is offered to."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from math import inf
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from radishtally.links.messages import DECODE, MIXED, PREFILL, WHOLE, Load

FIRST_FEW: Final = 3
"""Hosts at the top of the ranking that keep a prefix's KV cache."""
PREFIX_CHARACTERS: Final = 1_024
STALE_SECONDS: Final = 10.0
"""Age from which a reported wait says nothing any more."""
BALANCE: Final = 1.25
"""Load over the mean that a host of the first few may have."""
SPARE_REQUESTS: Final = 2.0
"""Requests over the mean that are no imbalance, however small the mean."""
SOONER: Final = 0.75
"""Share of the preferred role's time in which another one must answer to be chosen."""
SOONER_SECONDS: Final = 0.05
GRAIN_SECONDS: Final = 0.05
"""Difference from which one predicted wait is longer than another."""
TRIP_SECONDS: Final = 0.003
"""Round trip between places of a region, about."""
SPLIT_TOKENS: Final = 1_024
"""Prompt from which its prefill is worth a host of its own."""
HANDOVER_SECONDS: Final = 0.1
"""Cost of moving a KV cache between hosts, about."""
UNKNOWN_SLOTS: Final = 16

PREFERRED_ROLES: Final[dict[str, tuple[str, ...]]] = {
    WHOLE: (MIXED, DECODE, PREFILL),
    PREFILL: (PREFILL, MIXED, DECODE),
    DECODE: (DECODE, MIXED, PREFILL),
}


class Candidate(NamedTuple):
    """Describe a host as the entry knows it."""

    host: str
    place: str
    load: Load | None
    """Last load heard of."""
    load_age: float
    """Seconds."""
    in_flight: int
    """Own requests offered there and not ended."""
    reported_in_flight: int
    """Own requests in flight when the load was reported."""


class WorkSpec(NamedTuple):
    """Describe the work to be offered."""

    stage: str
    """WHOLE, PREFILL or DECODE."""
    prefix: int
    model: str
    adapter: str
    prompt_tokens: int
    max_tokens: int
    slack: float
    """Seconds to the deadline."""
    place: str
    """Place of the entry."""


class Prediction(NamedTuple):
    """Predict how a request would fare at a candidate."""

    wait: float
    """Seconds to the start."""
    finish: float
    """Seconds to the last token."""
    occupancy: float
    """Requests there for each slot."""


def hash_prefix(text: str) -> int:
    """Hash the beginning of a prompt."""
    return xxh3_64_intdigest(text[:PREFIX_CHARACTERS].encode(errors="surrogatepass"))


def rank(hosts: Iterable[str], key: int) -> list[str]:
    """Rank hosts for a key by rendezvous hashing, best first."""
    seed = key & 0xFFFF_FFFF_FFFF_FFFF
    return sorted(
        hosts, key=lambda host: (xxh3_64_intdigest(host.encode(), seed), host)
    )


def choose_host(
    wanted: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> str | None:
    """Choose the host to offer the work to next; none if all were tried."""
    able = [item for item in candidates if may_serve(item, wanted)]
    left = [item for item in able if item.host not in tried]
    host = find_soonest_role(wanted, able, tried)
    if host is not None:
        return host
    # No prediction fits the slack. The agents have the last word, and a prediction may
    # be out of date, so the work is offered where it would wait least.
    best = min(
        left, key=lambda item: (predict(item, wanted).wait, item.host), default=None
    )
    return best.host if best is not None else None


def find_soonest_role(
    wanted: WorkSpec, candidates: Sequence[Candidate], tried: Collection[str]
) -> str | None:
    """Find a host that fits: of the preferred role, or of one that is far sooner."""
    best, soonest, least = None, 0.0, 0.0
    for role, cost in order_roles(wanted, candidates):
        able = [item for item in candidates if may_have_role(item, role)]
        host = find_fitting(wanted, able, tried)
        if host is None:
            continue
        finish = next(predict(i, wanted).finish for i in able if i.host == host)
        # The preferred role was filled up to the callers' deadlines while engines of
        # another one stood idle that would have answered at once.
        sooner = SOONER * least / cost if cost > least > 0 else SOONER
        if best is None or finish + SOONER_SECONDS < sooner * soonest:
            best, soonest, least = host, finish, cost
    return best


def order_roles(
    wanted: WorkSpec, candidates: Sequence[Candidate]
) -> list[tuple[str, float]]:
    """Order the roles by what the work costs there, then as its stage prefers."""
    costs = [
        (r, find_cost(wanted, candidates, r)) for r in PREFERRED_ROLES[wanted.stage]
    ]
    least = min((cost for _, cost in costs if cost > 0), default=0.0)
    if wanted.stage != WHOLE or not least:
        return costs
    # Long prompts on decode engines hold up all that is queued behind them, and short
    # ones on mixed engines take places that those with long prompts need.
    return sorted(costs, key=lambda item: round(item[1] / least, 1) or inf)


def find_cost(wanted: WorkSpec, candidates: Sequence[Candidate], role: str) -> float:
    """Find the engine-seconds that the work takes in a role; 0 if that is not known."""
    loads = (item.load for item in candidates if item.load and item.load.role == role)
    load = next((load for load in loads if load.prefill_rate > 0), None)
    if load is None:
        return 0.0
    decode = wanted.max_tokens * load.decode_seconds / max(1, load.slots)
    return wanted.prompt_tokens / load.prefill_rate + decode


def find_fitting(
    wanted: WorkSpec, candidates: Sequence[Candidate], tried: Collection[str]
) -> str | None:
    """Find a host that fits the slack: the first few by rank, then by least wait."""
    left = {item.host: item for item in candidates if item.host not in tried}
    prospects = {host: predict(item, wanted) for host, item in left.items()}
    fitting = {
        host: prospect.wait
        for host, prospect in prospects.items()
        if prospect.finish <= wanted.slack
    }
    if not fitting:
        return None
    # A hot prefix would pile up on its first host: hosts well over the mean load are
    # passed over, so that it spills to the next few of its own ranking.
    bound = find_bound(candidates)
    ranked = rank((item.host for item in candidates), hash_key(wanted))
    # The first that will do, not the soonest: reports lag, all entries see the same,
    # and each rule that compared hosts sent bursts to the one that looked best.
    for host in ranked[:FIRST_FEW]:
        if host in fitting and count_requests(left[host]) <= bound:
            return host
    return find_least_busy([host for host in ranked if host in fitting], fitting, left)


def find_least_busy(
    ranked: Sequence[str],
    waits: Mapping[str, float],
    candidates: Mapping[str, Candidate],
) -> str:
    """Find the host with the least wait; of like ones that with fewest own requests."""

    # By name, all entries sent what spilled over to the same host at the same time.
    def measure(host: str) -> tuple[float, int]:
        return round(waits[host] / GRAIN_SECONDS), candidates[host].in_flight

    return min(ranked, key=measure)


def choose_round_robin(
    wanted: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> str | None:
    """Choose the host with the fewest own requests, whatever its load."""
    left = find_left(wanted, candidates, tried)
    key = hash_key(wanted)
    hosts = rank((item.host for item in left), key ^ wanted.prefix)
    counts = {item.host: item.in_flight for item in left}
    return min(hosts, key=counts.__getitem__, default=None)


def choose_least_reported(
    wanted: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> str | None:
    """Choose the host that last reported the least wait."""
    left = find_left(wanted, candidates, tried)
    waits = {item.host: item.load.wait if item.load else 0.0 for item in left}
    return min(sorted(waits), key=waits.__getitem__, default=None)


RoutingPolicy = Callable[[WorkSpec, Iterable[Candidate], Collection[str]], str | None]

POLICIES: Final[dict[str, RoutingPolicy]] = {
    "rendezvous": choose_host,
    "round_robin": choose_round_robin,
    "least_reported": choose_least_reported,
}


def needs_split(candidates: Iterable[Candidate], wanted: WorkSpec) -> bool:
    """Tell whether prefill and decode should go to hosts of their own."""
    if wanted.prompt_tokens < SPLIT_TOKENS or wanted.max_tokens < 2:
        return False
    usable = [item for item in candidates if may_serve(item, wanted)]
    prefill = find_least_wait(usable, wanted, PREFILL)
    decode = find_least_wait(usable, wanted, DECODE)
    mixed = find_least_wait(usable, wanted, MIXED)
    if prefill is None and decode is None:
        return False
    prefill = prefill or mixed
    decode = decode or mixed
    if prefill is None or decode is None:
        return False
    if mixed is None:
        return True
    return max(prefill.finish, decode.wait) + HANDOVER_SECONDS < mixed.finish


def find_least_wait(
    candidates: Sequence[Candidate], wanted: WorkSpec, role: str
) -> Prediction | None:
    """Find the best prospect of a prompt's prefill among the hosts of a role."""
    prompt = wanted._replace(max_tokens=1)
    prospects = [
        predict(item, prompt)
        for item in candidates
        if item.load is not None and item.load.role == role
    ]
    return min(prospects, key=lambda prospect: prospect.wait, default=None)


def find_left(
    wanted: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> list[Candidate]:
    """Find the untried candidates of the most fitting role that is left."""
    usable = [item for item in candidates if may_serve(item, wanted)]
    left = [item for item in usable if item.host not in tried]
    for role in PREFERRED_ROLES[wanted.stage]:
        fitting = [item for item in left if may_have_role(item, role)]
        if fitting:
            return fitting
    return left


def may_have_role(candidate: Candidate, role: str) -> bool:
    """Tell whether the host has the role, or may have it for all that is known."""
    return candidate.load is None or candidate.load.role == role


def may_serve(candidate: Candidate, wanted: WorkSpec) -> bool:
    """Tell whether the host may take the work, for all that is known."""
    load = candidate.load
    if load is None:
        return True
    if load.draining:
        return False
    if wanted.adapter:
        return wanted.adapter in load.adapters
    return not wanted.model or not load.model or load.model == wanted.model


def hash_key(wanted: WorkSpec) -> int:
    """Hash what the KV cache of the work depends on."""
    text = f"{wanted.model}\0{wanted.adapter}\0{wanted.prefix}"
    return xxh3_64_intdigest(text.encode(errors="surrogatepass"))


def find_bound(candidates: Sequence[Candidate]) -> float:
    """Find the number of requests up to which a host counts as balanced."""
    mean = sum(map(count_requests, candidates)) / len(candidates)
    return max(BALANCE * mean, mean + SPARE_REQUESTS)


def count_requests(candidate: Candidate) -> int:
    """Count the requests at a host: those reported, and own ones sent since."""
    load = candidate.load
    if load is None or candidate.load_age > STALE_SECONDS:
        return candidate.in_flight
    return max(candidate.in_flight, load.queued + load.running + count_new(candidate))


def count_new(candidate: Candidate) -> int:
    """Count own requests that the load can't know of, less those that ended since."""
    return candidate.in_flight - candidate.reported_in_flight


def predict(candidate: Candidate, wanted: WorkSpec) -> Prediction:
    """Predict how the work would fare at a host."""
    load = candidate.load
    trip = 0.0 if candidate.place == wanted.place else TRIP_SECONDS
    requests = count_requests(candidate)
    if load is None:
        occupancy = requests / UNKNOWN_SLOTS
        return Prediction(trip + occupancy, trip + occupancy, occupancy)
    prefill = wanted.prompt_tokens / load.prefill_rate if load.prefill_rate > 0 else 0.0
    fresh = candidate.load_age <= STALE_SECONDS
    pace = max(load.decode_seconds, load.token_seconds if fresh else 0.0)
    decode = wanted.max_tokens * pace
    # Reports lag: a host that was idle a second ago has got what was sent since. Own
    # requests are known at once and are added to what it reported.
    wait = load.wait if fresh else 0.0
    wait += max(0, count_new(candidate)) * prefill
    slots = max(1, load.slots)
    over = max(0, requests + 1 - slots)
    queued = load.queued if fresh else 0
    wait += max(0, over - queued) * (prefill + decode) / slots
    return Prediction(trip + wait, trip + wait + prefill + decode, requests / slots)
