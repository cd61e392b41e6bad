"""Tests of crashing hosts under load: which requests are denied, and how soon."""

import pytest

from tests.serving.storm import Storm, Traffic

STABLE_SECONDS = 3.0
"""Time that gateways have after a part's fifth crash to deny it."""
CRASHES_TO_KNOW = 5
MAX_LATE = 3
"""Requests with a bad part that may reach hosts after that time."""
MIN_SOUND_SHARE = 0.97
SEEDS = range(3)

TRAFFIC = {
    "first": Traffic(position=0),
    "middle": Traffic(),
    "before_last": Traffic(position=2),
    "frequent": Traffic(bad_per_second=8.0),
    "rare": Traffic(bad_per_second=0.5),
    "two_parts": Traffic(bad=("bad", "worse"), bad_per_second=4.0),
    "resumed": Traffic(is_resumable=True),
    "many_teams": Traffic(teams=12, sound_per_second=12.0),
}


def find_known_at(storm: Storm) -> float:
    """Return the time from which sound requests are counted, since the start."""
    crashes = [times[:CRASHES_TO_KNOW][-1] for times in storm.crashes.values()]
    return max(crashes) - storm.started + 2 * STABLE_SECONDS


# Guards against a part of prompts that crashes host after host while requests with it,
# no two alike, come at any gateway, and against denial of their companions.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("gateways", [1, 5])
@pytest.mark.parametrize("name", TRAFFIC)
def test_bad_part_is_denied_and_its_companions_are_served(
    name: str, gateways: int, seed: int
) -> None:
    storm = Storm(seed, gateways, traffic=TRAFFIC[name])
    storm.play(45.0)
    for part in storm.traffic.bad:
        assert storm.count_late(part, STABLE_SECONDS) <= MAX_LATE
    since, until = find_known_at(storm), storm.traffic.bad_until
    if since < until:
        assert storm.find_begun_share(since, until) >= MIN_SOUND_SHARE


# Guards against gateways that forget a part when they are killed one after another.
@pytest.mark.parametrize("seed", SEEDS)
def test_bad_part_is_denied_while_gateways_are_killed(seed: int) -> None:
    storm = Storm(seed, 5)

    def kill_one() -> None:
        storm.kill_gateway(storm.random.randrange(5))
        storm.after(3.0, kill_one)

    storm.after(3.0, kill_one)
    storm.play(45.0)
    assert storm.count_late("bad", STABLE_SECONDS) <= MAX_LATE


# A gateway that is cut off from all others finds the part by itself.
@pytest.mark.parametrize("seed", SEEDS)
def test_bad_part_is_denied_by_a_gateway_without_peers(seed: int) -> None:
    storm = Storm(seed, 5, linked=lambda a, b: 0 not in (a, b))
    storm.play(45.0)
    assert storm.count_late("bad", STABLE_SECONDS) <= MAX_LATE


# Guards against denial of parts because hosts terminate for other reasons.
@pytest.mark.parametrize(("seconds", "hosts"), [(2.0, 1), (5.0, 3), (12.0, 6)])
@pytest.mark.parametrize("seed", SEEDS)
def test_kills_of_hosts_deny_no_part(seed: int, seconds: float, hosts: int) -> None:
    traffic = Traffic(bad=(), bad_from=float("inf"), teams=12, events=15)
    storm = Storm(seed, 5, traffic=traffic)

    def kill_some() -> None:
        count = min(hosts, len(storm.runs))
        for host in storm.random.sample(list(storm.runs), count):
            storm.crash(host)
        storm.after(seconds, kill_some)

    storm.after(2.0, kill_some)
    storm.play(45.0)
    assert not any(outcome.was_denied for outcome in storm.outcomes.values())
