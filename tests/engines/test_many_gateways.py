"""Tests of many gateways that decide for many engines by old news."""

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


def find_age(gateways: int, data_centres: int) -> float:
    """Find how old the news of others is in the mean, as they tell it."""
    exchange = LoadExchange("g-0", None, EnginePlacement(), None)
    exchange.set_sites(
        {f"g-{n}": Site(f"z-{n % data_centres}", 1.0) for n in range(gateways)}
    )
    return exchange._describe_others().age / 2


@cache
def play(fleet: Fleet) -> list[Report]:
    return [Model(fleet, SECONDS, seed).play() for seed in SEEDS]


def find_wait(fleet: Fleet) -> float:
    """Find the wait that 99 of 100 prompts stay under."""
    return mean(report.find_wait(0.99) for report in play(fleet))


MANY_DECIDE = Fleet(MANY, ENGINES, find_age(MANY, DATA_CENTRES))
ONE_DECIDES = Fleet(1, ENGINES)


# Prompts wait 3.8 s while engines idle: all gateways chose the engine that was the best
# by their news, the same one for all, until they heard what they had done to it. The
# load is that of long prompts that share parts, each part asked for some times, at four
# tenths of what the engines can read. With old news waits are to be at most 1.3 times
# those of one that decides alone and knows all.
def test_prompts_wait_little_longer_where_many_decide() -> None:
    assert find_wait(MANY_DECIDE) <= 1.3 * find_wait(ONE_DECIDES)


# Shared parts are read again and again where gateways don't agree on their homes.
def test_shared_parts_are_read_once_where_many_decide() -> None:
    assert mean(report.read_again for report in play(MANY_DECIDE)) <= 0.05


# Answers are cut off in their midst, and their prompts read again: an engine was given
# more of them than its batch holds, as each gateway took it for idle.
@pytest.mark.parametrize("fleet", [ONE_DECIDES, MANY_DECIDE])
def test_no_engine_is_given_more_answers_than_its_batch_holds(fleet: Fleet) -> None:
    assert max(report.most_answers for report in play(fleet)) <= SLOTS


# All gateways begin with the first callers of a morning, and none has heard of any
# other's work: the first prompts of all of them went to the same engine.
def test_first_request_of_many_is_not_compared_with_all_engines() -> None:
    unseen = UnseenRequests()
    unseen.peers = PeerStaleness(MANY - 1, 0.1)
    assert unseen.count_candidates(ENGINES, 0.0) == MIN_CANDIDATES


def test_all_engines_are_compared_where_news_is_fresh() -> None:
    unseen = UnseenRequests()
    unseen.peers = PeerStaleness(FEW - 1, 0.02)
    for number in range(20):
        unseen.note(number * 0.2)
    assert unseen.count_candidates(ENGINES, 4.0) == ENGINES


def test_one_that_decides_alone_compares_all_engines() -> None:
    assert UnseenRequests().count_candidates(ENGINES, 0.0) == ENGINES
