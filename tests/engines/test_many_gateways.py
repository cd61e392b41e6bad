"""Tests of many gateways that choose among many engines with stale views."""

from functools import cache
from statistics import mean

import pytest

from radishtally.engines.placement import EnginePlacement
from radishtally.engines.staleness import MIN_CANDIDATES, PeerStaleness, UnseenRequests
from radishtally.gateway.loads import LoadExchange
from radishtally.gateway.topology import Site
from tests.engines.model import SLOTS, Fleet, Model, Report

ENGINES = 60
SECONDS = 8.0
SEEDS = (0, 1, 2)
FEW = 5
MANY, DATA_CENTRES = 70, 5


def find_mean_age(gateways: int, data_centres: int) -> float:
    """Return the mean age of the peers' load reports."""
    exchange = LoadExchange("g-0", None, EnginePlacement(), None)
    exchange.set_sites(
        {f"g-{n}": Site(f"z-{n % data_centres}", 1.0) for n in range(gateways)}
    )
    return exchange._describe_others().age / 2


@cache
def run_simulation(fleet: Fleet) -> list[Report]:
    return [Model(fleet, SECONDS, seed).run() for seed in SEEDS]


def find_wait(fleet: Fleet) -> float:
    """Return the 99th percentile of the wait."""
    return mean(report.find_wait(0.99) for report in run_simulation(fleet))


MANY_GATEWAYS = Fleet(MANY, ENGINES, find_mean_age(MANY, DATA_CENTRES))
ONE_GATEWAY = Fleet(1, ENGINES)


# If all gateways choose the engine that looks best in their stale views until the next
# reports arrive, prompts wait 3.8 s while engines are idle. The load consists of long
# prompts with shared parts, each used several times, at 40 % of the prefill capacity.
# With stale views, waits may be at most 1.3 times those of a single gateway that knows
# all open work.
def test_stale_views_increase_waits_only_slightly() -> None:
    assert find_wait(MANY_GATEWAYS) <= 1.3 * find_wait(ONE_GATEWAY)


# Shared parts are prefilled repeatedly if gateways do not agree on their engine.
def test_stale_views_cause_little_repeated_prefill() -> None:
    assert (
        mean(report.prefilled_again for report in run_simulation(MANY_GATEWAYS)) <= 0.05
    )


# Answers are preempted and their prompts prefilled again if an engine gets more answers
# than its batch holds, because each gateway takes it for idle.
@pytest.mark.parametrize("fleet", [ONE_GATEWAY, MANY_GATEWAYS])
def test_no_engine_gets_more_answers_than_its_batch_holds(fleet: Fleet) -> None:
    assert max(report.most_answers for report in run_simulation(fleet)) <= SLOTS


# When all gateways receive their first requests at once, none has a report of the
# others. If they compared all engines, they would all choose the same one.
def test_first_requests_compare_few_engines() -> None:
    unseen = UnseenRequests()
    unseen.peers = PeerStaleness(MANY - 1, 0.1)
    assert unseen.count_candidates(ENGINES, 0.0) == MIN_CANDIDATES


def test_fresh_views_compare_all_engines() -> None:
    unseen = UnseenRequests()
    unseen.peers = PeerStaleness(FEW - 1, 0.02)
    for number in range(20):
        unseen.record_request(number * 0.2)
    assert unseen.count_candidates(ENGINES, 4.0) == ENGINES


def test_single_gateway_compares_all_engines() -> None:
    assert UnseenRequests().count_candidates(ENGINES, 0.0) == ENGINES
