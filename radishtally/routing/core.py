"""Routing policies: the choice of the host that work is offered to."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from math import inf
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from radishtally.links.messages import DECODE, MIXED, PREFILL, WHOLE, Load

PREFIX_HOSTS: Final = 3
"""Hosts at the top of a prefix's ranking that share its KV cache."""
PREFIX_CHARACTERS: Final = 1_024
STALE_SECONDS: Final = 10.0
"""Age beyond which a load report is ignored."""
MAX_LOAD_RATIO: Final = 1.25
"""Load relative to the mean up to which a top-ranked host is used."""
TOLERATED_REQUESTS: Final = 2.0
"""Requests above the mean that never count as imbalance, however small the mean."""
ROLE_SWITCH_RATIO: Final = 0.75
"""Share of the preferred role's time within which another role must finish."""
ROLE_SWITCH_SECONDS: Final = 0.05
"""Time that another role must save at least, in addition."""
WAIT_RESOLUTION_SECONDS: Final = 0.05
"""Resolution at which predicted waits are compared."""
ROUND_TRIP_SECONDS: Final = 0.003
"""Approximate round trip between two places of a region."""
MIN_SPLIT_TOKENS: Final = 1_024
"""Prompt length from which prefill may go to a separate host."""
KV_TRANSFER_SECONDS: Final = 0.1
"""Approximate time to transfer a KV cache between hosts."""
ASSUMED_SLOTS: Final = 16
"""Slots of a host that has not reported any load."""

PREFERRED_ROLES: Final[dict[str, tuple[str, ...]]] = {
    WHOLE: (MIXED, DECODE, PREFILL),
    PREFILL: (PREFILL, MIXED, DECODE),
    DECODE: (DECODE, MIXED, PREFILL),
}


class Candidate(NamedTuple):
    """Describe a host as the entry sees it."""

    host: str
    place: str
    load: Load | None
    """Last reported load; None before the first report."""
    load_age: float
    """Seconds since the report."""
    in_flight: int
    """Requests of this entry that are in flight there."""
    reported_in_flight: int
    """Requests of this entry that were in flight when the load was reported."""


class WorkSpec(NamedTuple):
    """Describe the work to place."""

    stage: str
    """WHOLE, PREFILL or DECODE."""
    prefix: int
    model: str
    adapter: str
    prompt_tokens: int
    max_tokens: int
    slack: float
    """Seconds until the deadline."""
    place: str
    """Place of the entry."""


class Prediction(NamedTuple):
    """Hold the predicted times of a request at a candidate."""

    wait: float
    """Seconds until the start."""
    finish: float
    """Seconds until the last token."""
    occupancy: float
    """Requests per slot."""


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
    work: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> str | None:
    """Choose the next host to offer the work to; None if all were tried."""
    eligible = [item for item in candidates if may_serve(item, work)]
    untried = [item for item in eligible if item.host not in tried]
    host = choose_by_role(work, eligible, tried)
    if host is not None:
        return host
    # No host is predicted to meet the deadline. The prediction may be stale and the
    # agents do admission control, so the work is offered where it would wait least.
    best = min(
        untried, key=lambda item: (predict(item, work).wait, item.host), default=None
    )
    return best.host if best is not None else None


def choose_by_role(
    work: WorkSpec, candidates: Sequence[Candidate], tried: Collection[str]
) -> str | None:
    """Choose a host of the preferred role, or of another role that is much faster."""
    best, best_finish, best_cost = None, 0.0, 0.0
    for role, cost in order_roles(work, candidates):
        eligible = [item for item in candidates if may_have_role(item, role)]
        host = choose_within_slack(work, eligible, tried)
        if host is None:
            continue
        finish = next(predict(i, work).finish for i in eligible if i.host == host)
        # Otherwise the preferred role fills up to the callers' deadlines while idle
        # engines of another role could answer immediately.
        ratio = (
            ROLE_SWITCH_RATIO * best_cost / cost
            if cost > best_cost > 0
            else ROLE_SWITCH_RATIO
        )
        if best is None or finish + ROLE_SWITCH_SECONDS < ratio * best_finish:
            best, best_finish, best_cost = host, finish, cost
    return best


def order_roles(
    work: WorkSpec, candidates: Sequence[Candidate]
) -> list[tuple[str, float]]:
    """Order the roles by the cost of the work, then by the preference of its stage."""
    costs = [
        (r, estimate_cost(work, candidates, r)) for r in PREFERRED_ROLES[work.stage]
    ]
    min_cost = min((cost for _, cost in costs if cost > 0), default=0.0)
    if work.stage != WHOLE or not min_cost:
        return costs
    # Long prompts on decode engines delay everything queued behind them, and short ones
    # on mixed engines take slots that long prompts need.
    return sorted(costs, key=lambda item: round(item[1] / min_cost, 1) or inf)


def estimate_cost(work: WorkSpec, candidates: Sequence[Candidate], role: str) -> float:
    """Estimate the engine-seconds of the work in a role; 0 if unknown."""
    loads = (item.load for item in candidates if item.load and item.load.role == role)
    load = next((load for load in loads if load.prefill_rate > 0), None)
    if load is None:
        return 0.0
    decode = work.max_tokens * load.decode_seconds / max(1, load.slots)
    return work.prompt_tokens / load.prefill_rate + decode


def choose_within_slack(
    work: WorkSpec, candidates: Sequence[Candidate], tried: Collection[str]
) -> str | None:
    """Choose a host within the slack: by rank if balanced, else by least wait."""
    untried = {item.host: item for item in candidates if item.host not in tried}
    predictions = {host: predict(item, work) for host, item in untried.items()}
    fitting = {
        host: prediction.wait
        for host, prediction in predictions.items()
        if prediction.finish <= work.slack
    }
    if not fitting:
        return None
    # A hot prefix would overload its first host. Hosts well above the mean load are
    # skipped, so that it spills over to the next hosts of its ranking.
    bound = find_load_bound(candidates)
    ranked = rank((item.host for item in candidates), hash_affinity_key(work))
    # Takes the first suitable host instead of the fastest: all entries see the same
    # stale reports, and comparing hosts by them sends bursts to the best-looking one.
    for host in ranked[:PREFIX_HOSTS]:
        if host in fitting and count_requests(untried[host]) <= bound:
            return host
    return choose_least_wait(
        [host for host in ranked if host in fitting], fitting, untried
    )


def choose_least_wait(
    ranked: Sequence[str],
    waits: Mapping[str, float],
    candidates: Mapping[str, Candidate],
) -> str:
    """Choose the host with the least wait, then with the fewest own requests."""

    # A tie-break by name would send the overflow of all entries to the same host.
    def score(host: str) -> tuple[float, int]:
        return round(waits[host] / WAIT_RESOLUTION_SECONDS), candidates[host].in_flight

    return min(ranked, key=score)


def choose_round_robin(
    work: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> str | None:
    """Choose the host with the fewest own requests, regardless of its load."""
    untried = list_untried(work, candidates, tried)
    key = hash_affinity_key(work)
    hosts = rank((item.host for item in untried), key ^ work.prefix)
    counts = {item.host: item.in_flight for item in untried}
    return min(hosts, key=counts.__getitem__, default=None)


def choose_least_reported(
    work: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> str | None:
    """Choose the host with the least reported wait."""
    untried = list_untried(work, candidates, tried)
    waits = {item.host: item.load.wait if item.load else 0.0 for item in untried}
    return min(sorted(waits), key=waits.__getitem__, default=None)


RoutingPolicy = Callable[[WorkSpec, Iterable[Candidate], Collection[str]], str | None]

POLICIES: Final[dict[str, RoutingPolicy]] = {
    "rendezvous": choose_host,
    "round_robin": choose_round_robin,
    "least_reported": choose_least_reported,
}


def needs_split(candidates: Iterable[Candidate], work: WorkSpec) -> bool:
    """Return whether prefill and decode should run on separate hosts."""
    if work.prompt_tokens < MIN_SPLIT_TOKENS or work.max_tokens < 2:
        return False
    usable = [item for item in candidates if may_serve(item, work)]
    prefill = predict_least_wait(usable, work, PREFILL)
    decode = predict_least_wait(usable, work, DECODE)
    mixed = predict_least_wait(usable, work, MIXED)
    if prefill is None and decode is None:
        return False
    prefill = prefill or mixed
    decode = decode or mixed
    if prefill is None or decode is None:
        return False
    if mixed is None:
        return True
    return max(prefill.finish, decode.wait) + KV_TRANSFER_SECONDS < mixed.finish


def predict_least_wait(
    candidates: Sequence[Candidate], work: WorkSpec, role: str
) -> Prediction | None:
    """Return the prediction with the least wait for prefill on hosts of a role."""
    prompt = work._replace(max_tokens=1)
    predictions = [
        predict(item, prompt)
        for item in candidates
        if item.load is not None and item.load.role == role
    ]
    return min(predictions, key=lambda prediction: prediction.wait, default=None)


def list_untried(
    work: WorkSpec, candidates: Iterable[Candidate], tried: Collection[str]
) -> list[Candidate]:
    """List the untried candidates of the most preferred role that has any."""
    usable = [item for item in candidates if may_serve(item, work)]
    untried = [item for item in usable if item.host not in tried]
    for role in PREFERRED_ROLES[work.stage]:
        fitting = [item for item in untried if may_have_role(item, role)]
        if fitting:
            return fitting
    return untried


def may_have_role(candidate: Candidate, role: str) -> bool:
    """Return whether the host has the role, or its role is unknown."""
    return candidate.load is None or candidate.load.role == role


def may_serve(candidate: Candidate, work: WorkSpec) -> bool:
    """Return whether the host can serve the work, as far as is known."""
    load = candidate.load
    if load is None:
        return True
    if load.draining:
        return False
    if work.adapter:
        return work.adapter in load.adapters
    return not work.model or not load.model or load.model == work.model


def hash_affinity_key(work: WorkSpec) -> int:
    """Hash the fields that determine the KV cache of the work."""
    text = f"{work.model}\0{work.adapter}\0{work.prefix}"
    return xxh3_64_intdigest(text.encode(errors="surrogatepass"))


def find_load_bound(candidates: Sequence[Candidate]) -> float:
    """Return the number of requests up to which a host counts as balanced."""
    mean = sum(map(count_requests, candidates)) / len(candidates)
    return max(MAX_LOAD_RATIO * mean, mean + TOLERATED_REQUESTS)


def count_requests(candidate: Candidate) -> int:
    """Count the requests at a host: those reported plus own ones sent since."""
    load = candidate.load
    if load is None or candidate.load_age > STALE_SECONDS:
        return candidate.in_flight
    return max(
        candidate.in_flight, load.queued + load.running + count_unreported(candidate)
    )


def count_unreported(candidate: Candidate) -> int:
    """Count own requests sent since the report, minus those that ended since."""
    return candidate.in_flight - candidate.reported_in_flight


def predict(candidate: Candidate, work: WorkSpec) -> Prediction:
    """Predict wait and finish time of the work at a host."""
    load = candidate.load
    trip = 0.0 if candidate.place == work.place else ROUND_TRIP_SECONDS
    requests = count_requests(candidate)
    if load is None:
        occupancy = requests / ASSUMED_SLOTS
        return Prediction(trip + occupancy, trip + occupancy, occupancy)
    prefill = work.prompt_tokens / load.prefill_rate if load.prefill_rate > 0 else 0.0
    fresh = candidate.load_age <= STALE_SECONDS
    pace = max(load.decode_seconds, load.token_seconds if fresh else 0.0)
    decode = work.max_tokens * pace
    # Reports lag: a host that was idle a second ago may have received requests since.
    # Own requests are known immediately and are added to the reported load.
    wait = load.wait if fresh else 0.0
    wait += max(0, count_unreported(candidate)) * prefill
    slots = max(1, load.slots)
    excess = max(0, requests + 1 - slots)
    queued = load.queued if fresh else 0
    wait += max(0, excess - queued) * (prefill + decode) / slots
    return Prediction(trip + wait, trip + wait + prefill + decode, requests / slots)
