"""Tests of callers who compete for the places of plain hosts, in virtual time.

Four hosts answer 160 calls a second; each has four slots and queues four more.
"""

import pytest

from tests.admission.crowd import Crowd, Fleet, Host

SECONDS = 10.0
CAPACITY = 160.0
AIM_SECONDS = 0.4
DEADLINE_SECONDS = 3.0
EXPIRY_SECONDS = 1.0
MAX_REJECTED_SHARE = 0.05
"""Rejections by hosts, as a share of the calls beyond what they can do."""


def play(
    crowds: list[Crowd], fleet: Fleet | None = None, seconds: float = SECONDS
) -> Fleet:
    """Let crowds come, and serve those who have come last."""
    fleet = fleet or Fleet()
    fleet.run(
        [crowd._replace(end=min(crowd.end, seconds)) for crowd in crowds], seconds
    )
    fleet.run([], seconds + DEADLINE_SECONDS)
    return fleet


def make_teams(large: tuple[int, ...] = (), small: tuple[int, ...] = ()) -> list[Crowd]:
    """Return one team that wants twice the capacity, and 19 small ones."""
    teams = [Crowd(1, f"small-{n}", 3.0, gateways=small) for n in range(19)]
    return [Crowd(1, "large", 300.0, gateways=large), *teams]


def expect_few_rejections(fleet: Fleet) -> None:
    """Check that the gateways don't send what the hosts reject."""
    beyond = len(fleet.asked) - CAPACITY * SECONDS
    assert fleet.rejections <= MAX_REJECTED_SHARE * beyond


# Guards against urgent calls that wait behind less urgent ones.
@pytest.mark.parametrize(("gateways", "seed"), [(1, 1), (3, 1), (12, 1), (12, 6)])
def test_urgent_calls_go_first_and_the_others_use_the_rest(
    gateways: int, seed: int
) -> None:
    crowds = [Crowd(0, "", 60.0), Crowd(2, "", 200.0)]
    fleet = play(crowds, Fleet(gateways, seed=seed))
    assert fleet.share(AIM_SECONDS, rank=0) >= 0.95
    assert fleet.share(DEADLINE_SECONDS, rank=2) >= 0.9 * (CAPACITY - 60.0) / 200.0
    expect_few_rejections(fleet)


# Guards against less urgent calls that are never served.
def test_urgent_calls_beyond_all_places_leave_some_to_the_others() -> None:
    fleet = play([Crowd(0, "", 300.0), Crowd(2, "", 100.0)])
    assert fleet.share(DEADLINE_SECONDS, rank=2) >= 0.1
    assert fleet.share(DEADLINE_SECONDS, rank=0) >= 0.4


# Guards against a large team that crowds out small ones, wherever they meet gateways.
@pytest.mark.parametrize(
    "crowds",
    [make_teams(), make_teams((1, 2), (0,)), make_teams((0,), (1, 2))],
    ids=["mixed", "small ones apart", "large one apart"],
)
def test_small_teams_are_served_beside_a_large_one(crowds: list[Crowd]) -> None:
    fleet = play(crowds)
    shares = [fleet.share(AIM_SECONDS, team=crowd.team) for crowd in crowds[1:]]
    assert sum(shares) / len(shares) >= 0.95
    assert min(shares) >= 0.85
    left = (CAPACITY - 19 * 3.0) / 300.0
    assert fleet.share(DEADLINE_SECONDS, team="large") >= 0.85 * left
    expect_few_rejections(fleet)


# Guards against a Retry-After that sends callers back in vain.
def test_callers_who_return_as_told_are_served() -> None:
    crowds = [
        Crowd(0, "", 400.0, end=6.0, returns=1),
        Crowd(0, "", 96.0, begin=6.0, returns=1),
    ]
    fleet = play(crowds, seconds=12.0)
    served = sum(one.served_after is not None for one in fleet.asked if one.at < 6.0)
    assert served >= 0.8 * (6.0 * CAPACITY + CAPACITY - 96.0)
    returned = [one for one in fleet.asked if one.attempts > 1]
    assert sum(one.refused_again for one in returned) <= 0.5 * len(returned)
    assert fleet.share(DEADLINE_SECONDS, since=8.0) >= 0.95


# Guards against callers who gain by repeating at once and often.
def test_impatient_callers_gain_nothing() -> None:
    patient = Crowd(0, "", 150.0, returns=1)
    impatient = Crowd(0, "", 100.0, returns=50, is_patient=False)
    fleet = play([patient, impatient])
    shares = [
        fleet.share(DEADLINE_SECONDS, is_patient=is_patient)
        for is_patient in (True, False)
    ]
    assert shares[0] >= shares[1] - 0.05
    expect_few_rejections(fleet)


# Guards against places that idle, or are filled with calls that end too late.
def test_hosts_stay_busy_with_calls_of_short_deadlines() -> None:
    fleet = play([Crowd(0, "", 480.0, deadline=0.5)])
    assert fleet.done >= 0.95 * CAPACITY * SECONDS
    expect_few_rejections(fleet)


# Guards against refusals while places idle, as demand moves between gateways.
@pytest.mark.parametrize("load", [0.4, 0.85])
def test_moving_demand_is_served(load: float) -> None:
    crowds = [
        Crowd(0, "", load * CAPACITY, begin=2.0 * n, end=2.0 * n + 2, gateways=(n % 3,))
        for n in range(5)
    ]
    fleet = play(crowds)
    assert fleet.share(AIM_SECONDS, since=0.0) >= 0.99
    assert not fleet.answered


# Guards against uneven hosts that are filled beyond what they can do.
@pytest.mark.parametrize("load", [0.75, 0.9])
def test_uneven_hosts_with_slow_spells_serve_in_time(load: float) -> None:
    hosts = [Host(pace=pace, spells=0.15) for pace in (0.7, 0.7, 1.7, 1.7)]
    capacity = sum(40.0 * host.pace for host in hosts) / (1.0 + 0.15 * 1.5)
    fleet = play([Crowd(0, "", load * capacity)], Fleet(hosts=hosts))
    assert fleet.share(AIM_SECONDS) >= 0.95
    assert fleet.share(DEADLINE_SECONDS) >= 0.99


# Guards against a lone gateway that waits for others.
def test_lone_gateway_uses_all_places() -> None:
    fleet = Fleet(1)
    play([Crowd(0, "", 300.0)], fleet)
    assert fleet.done >= 0.95 * CAPACITY * SECONDS


# Guards against places held back for a gateway that is gone.
@pytest.mark.parametrize("failure", ["frozen", "cut"])
def test_other_gateways_take_over_the_places_of_a_lost_one(failure: str) -> None:
    fleet = Fleet()
    lost = Crowd(0, "", 200.0, end=4.0, gateways=(0,))
    fleet.run([Crowd(0, "", 200.0, gateways=(1, 2)), lost], 4.0)
    getattr(fleet, failure).add(0)
    fleet.run([], 4.0 + EXPIRY_SECONDS + 0.1)
    done = fleet.done
    fleet.run([], 7.0)
    assert fleet.done - done >= 0.9 * CAPACITY * (7.0 - 5.1)


# Guards against hosts that are overfilled by gateways cut off from each other.
def test_gateways_without_links_heed_rejections() -> None:
    fleet = Fleet()
    fleet.linked = False
    play([Crowd(0, "", 400.0)], fleet)
    assert fleet.done >= 0.9 * CAPACITY * SECONDS
    assert fleet.rejections <= 0.5 * fleet.done
