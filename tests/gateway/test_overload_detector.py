"""Tests of the limit on new connections, with iterations of given lengths."""

from collections.abc import Callable

import pytest

from radishtally.gateway.overload import (
    MAX_LAG_SECONDS,
    MAX_LIMIT,
    TARGET_LAG_SECONDS,
    OverloadDetector,
)

LONG = 1.5 * TARGET_LAG_SECONDS
SHORT = 0.001


class Loop:
    """Run iterations of an event loop, each with new connections."""

    def __init__(self) -> None:
        self.now = 100.0
        self._calls: list[Callable[[], None]] = []
        self.detector = OverloadDetector(lambda: self.now, self._calls.append)

    def run(self, seconds: float, connections: int) -> int:
        """Run an iteration; return how many of its connections were accepted."""
        accepted = sum(self.detector.admits() for _ in range(connections))
        self.now += seconds
        calls, self._calls[:] = list(self._calls), []
        for call in calls:
            call()
        return accepted


@pytest.fixture
def loop() -> Loop:
    """Return an event loop."""
    return Loop()


def test_all_connections_are_accepted_without_load(loop: Loop) -> None:
    assert all(loop.run(SHORT, 5) == 5 for _ in range(100))


def test_few_connections_are_accepted_while_iterations_are_long(loop: Loop) -> None:
    accepted = [loop.run(LONG, 20) for _ in range(100)]
    assert accepted[0] == 20
    assert accepted[-1] == 1


def test_limit_falls_immediately_with_very_long_iterations(loop: Loop) -> None:
    accepted = [loop.run(2 * MAX_LAG_SECONDS, MAX_LIMIT) for _ in range(10)]
    assert accepted[-1] <= 2


def test_connections_are_accepted_again_after_an_overload(loop: Loop) -> None:
    for _ in range(100):
        loop.run(LONG, 20)
    for _ in range(2 * MAX_LIMIT):
        loop.run(SHORT, 1)
    assert loop.run(SHORT, 20) == 20


# Guards against connections refused where a quota suspends the process in each tenth of
# a second: every third iteration is long, and none of the others.
def test_suspensions_by_a_quota_are_no_overload(loop: Loop) -> None:
    for _ in range(200):
        for seconds in (0.06, SHORT, SHORT):
            assert loop.run(seconds, 40) == 40


# Guards against connections refused after a freeze because of what was measured then.
def test_single_pause_is_no_overload(loop: Loop) -> None:
    assert loop.run(3.0, 10) == 10
    assert loop.run(SHORT, 10) == 10


def test_number_accepted_in_one_iteration_is_bounded(loop: Loop) -> None:
    assert loop.run(SHORT, 10 * MAX_LIMIT) == MAX_LIMIT


# Guards against a queue that grows for several iterations before the first of its
# requests shows how long each of them takes.
def test_connections_whose_requests_have_not_begun_are_limited(loop: Loop) -> None:
    for _ in range(20):
        loop.run(SHORT, 1)
        loop.detector.record_begun()
    cost = 0.009
    loop.run(cost, 1)
    for _ in range(20):
        loop.detector.record_begun()
        loop.run(cost, 1)
    accepted = sum(loop.run(SHORT, 10) for _ in range(5))
    assert accepted <= 1 + MAX_LAG_SECONDS / cost


# Callers open some connections in advance and send nothing on them.
def test_idle_connections_do_not_count_as_waiting(loop: Loop) -> None:
    for _ in range(300):
        loop.detector.record_begun()
        assert loop.run(0.01, 1) == 1
        loop.now += 0.04
        assert loop.run(SHORT, 1) == 1
