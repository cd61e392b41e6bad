"""Tests of offers to hosts that have named a limit, without processes."""

import random

import pytest

from radishtally.limits.shares import Want
from radishtally.links.messages import CALL, Hello, Work
from radishtally.serving import events
from radishtally.serving.const import PERMIT_WAIT_SECONDS
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.host_limits import (
    LIMIT_EXPIRY_SECONDS,
    MIN_LIMIT,
    HostLimits,
)

DEADLINE = 100.0


@pytest.fixture
def core() -> DispatchCore:
    """Provide a core with one host, which takes two requests a second."""
    core = DispatchCore("g-1", "howrah", random.Random(1))
    add_host(core, "a")
    core.limits.record_answer("a", 2.0, 0.0, 0.0)
    return core


def add_host(core: DispatchCore, host: str) -> None:
    core.set_host(host, "howrah", "desk", True)
    handle_event(events.LinkUp(Hello(host, "howrah", "", "1", 0)), core, 0.0)


def arrive(core: DispatchCore, name: str, now: float) -> list[events.Command]:
    work = Work(name, "", "desk", CALL, b"")
    return handle_event(events.Arrived(work, DEADLINE, False), core, now)


def grant(core: DispatchCore, host: str, count: int, now: float) -> None:
    pool = core.limits.find_pool(host)
    pool.wants[""] = Want(count, 1.0, now)
    pool.distribute(count, now)


def list_offered(commands: list[events.Command]) -> list[str]:
    return [one.host for one in commands if isinstance(one, events.Send)]


def list_refused(commands: list[events.Command]) -> list[int]:
    return [one.refusal.status for one in commands if isinstance(one, events.Refuse)]


def test_request_waits_for_a_permit_and_is_offered_with_it(core: DispatchCore) -> None:
    assert list_offered(arrive(core, "r1", 1.0)) == []
    grant(core, "a", 1, 1.05)
    commands = handle_event(events.PermitsReceived("a"), core, 1.05)
    assert list_offered(commands) == ["a"]
    assert not core.limits.allows("a", 1.05)


# Guards against requests that wait until their deadline for a host at its limit.
def test_request_without_a_permit_is_refused_soon(core: DispatchCore) -> None:
    arrive(core, "r1", 1.0)
    assert list_refused(arrive(core, "r2", 1.0)) == [429]
    assert core.next_wake() == 1.0 + PERMIT_WAIT_SECONDS
    commands = handle_event(events.Tick(), core, 1.0 + PERMIT_WAIT_SECONDS)
    assert list_refused(commands) == [429]
    assert not core.requests


def test_request_goes_to_a_host_without_a_limit_at_once(core: DispatchCore) -> None:
    add_host(core, "b")
    for number in range(10):
        assert list_offered(arrive(core, f"r{number}", 1.0)) == ["b"]


def test_limit_ends_by_an_answer_to_a_later_request() -> None:
    limits = HostLimits()
    limits.record_answer("a", 4.0, 1.0, 2.0)
    limits.record_answer("a", 0.0, 1.9, 2.5)
    assert limits.is_limited("a")
    limits.record_answer("a", 0.0, 2.1, 3.0)
    assert not limits.is_limited("a")
    assert limits.pop_changed() == {"a": 0.0}


# Guards against a limit that nobody can end, and against one that ends by silence.
def test_limit_is_forgotten_after_long_silence() -> None:
    limits = HostLimits()
    limits.record_answer("a", 4.0, 0.0, 0.0)
    limits.expire(LIMIT_EXPIRY_SECONDS - 1.0)
    assert limits.is_limited("a")
    limits.expire(LIMIT_EXPIRY_SECONDS)
    assert not limits.is_limited("a")


def test_tiny_limit_leaves_room_to_notice_its_end() -> None:
    limits = HostLimits()
    limits.record_answer("a", 1e-9, 0.0, 0.0)
    assert limits.get_limit("a") == MIN_LIMIT


def test_limit_of_an_earlier_start_is_forgotten(core: DispatchCore) -> None:
    core.restart_host("a")
    assert not core.limits
    assert list_offered(arrive(core, "r1", 1.0)) == ["a"]
