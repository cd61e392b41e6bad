"""Tests of offers to hosts that have named a limit, without processes."""

import random

import pytest
import xxhash

from radishtally.limits.shares import Want
from radishtally.links.messages import (
    CALL,
    PREFILL,
    STREAM,
    WHOLE,
    Accepted,
    Handover,
    Hello,
    KvRef,
    Offer,
    Work,
)
from radishtally.serving import events
from radishtally.serving.const import PERMIT_WAIT_SECONDS
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.host_limits import (
    LIMIT_EXPIRY_SECONDS,
    MIN_LIMIT,
    HostLimits,
)
from radishtally.serving.placement import Declined, Placed, RankedPlacement

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


def arrive(
    core: DispatchCore, name: str, now: float, kind: str = CALL
) -> list[events.Command]:
    work = Work(name, "", "desk", kind, b"")
    return handle_event(events.Arrived(work, DEADLINE, False), core, now)


def grant(core: DispatchCore, host: str, count: int, now: float) -> None:
    pool = core.limits.find_pool(host)
    pool.wants[""] = Want(count, 1.0, now)
    pool.distribute(count, now)


def list_offered(commands: list[events.Command]) -> list[str]:
    sent = [one for one in commands if isinstance(one, events.Send)]
    return [one.host for one in sent if isinstance(one.message, Offer)]


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


class StagedPlacement(RankedPlacement):
    """Name the hosts whose prompts are read apart by the first letter."""

    def find_role(self, host: str) -> str:
        """Return the role of prompts for hosts that begin with a p."""
        return PREFILL if host.startswith("p") else ""

    def place(self, request, hosts, data_centre, now):  # noqa: ANN001, ANN201
        """Choose the first host that may be next, one for prompts if there is one."""
        wants_prompt = request.next_stage == WHOLE and request.kv is None
        roles = (PREFILL, "") if wants_prompt else ("",)
        for role in roles:
            found = [k.host for k in hosts if self.find_role(k.host) == role]
            if found:
                return Placed(role or WHOLE, found[0])
        return Declined(None)


@pytest.fixture
def staged_core() -> DispatchCore:
    """Provide a core with one host for prompts and one for answers."""
    core = DispatchCore("g-1", "howrah", random.Random(1), StagedPlacement())
    core.offer_timeout = float("inf")
    add_host(core, "p-1")
    add_host(core, "d-1")
    return core


# Guards against a host for prompts that gets none while its limit has room: the hosts
# for answers, which could read prompts too, have no limit.
def test_prompt_waits_for_a_limited_host_and_is_then_read_elsewhere(
    staged_core: DispatchCore,
) -> None:
    core = staged_core
    core.limits.record_answer("p-1", 2.0, 0.0, 0.0)
    assert list_offered(arrive(core, "r1", 1.0, STREAM)) == []
    grant(core, "p-1", 1, 1.05)
    commands = handle_event(events.PermitsReceived("p-1"), core, 1.05)
    assert list_offered(commands) == ["p-1"]
    assert list_offered(arrive(core, "r2", 2.0, STREAM)) == []
    commands = handle_event(events.Tick(), core, 2.0 + PERMIT_WAIT_SECONDS)
    assert list_offered(commands) == ["d-1"]


# Guards against a permit for a prompt that is not used: another prompt is being read.
def test_each_permit_for_a_prompt_is_used(staged_core: DispatchCore) -> None:
    core = staged_core
    core.limits.record_answer("p-1", 2.0, 0.0, 0.0)
    grant(core, "p-1", 2, 1.0)
    assert list_offered(arrive(core, "r1", 1.0, STREAM)) == ["p-1"]
    assert list_offered(arrive(core, "r2", 1.0, STREAM)) == ["p-1"]


# Guards against prompts that are read in vain: one permit for an answer is there, and
# each request that arrives meanwhile begins.
def test_one_permit_for_an_answer_lets_one_prompt_be_read(
    staged_core: DispatchCore,
) -> None:
    core = staged_core
    core.limits.record_answer("d-1", 2.0, 0.0, 0.0)
    grant(core, "d-1", 1, 1.0)
    assert list_offered(arrive(core, "r1", 1.0, STREAM)) == ["p-1"]
    assert list_offered(arrive(core, "r2", 1.0, STREAM)) == []
    commands = handle_event(events.Tick(), core, 1.0 + PERMIT_WAIT_SECONDS)
    assert list_refused(commands) == [429]


# Guards against a prompt that is read in vain, as its answer is refused at once.
def test_answer_to_a_prompt_that_was_read_waits_longer(
    staged_core: DispatchCore,
) -> None:
    core = staged_core
    core.limits.record_answer("d-1", 2.0, 0.0, 0.0)
    grant(core, "d-1", 1, 1.0)
    assert list_offered(arrive(core, "r1", 1.0, STREAM)) == ["p-1"]
    read_at = 3.0
    end = Handover(
        "r1", 1, 0, xxhash.xxh64_intdigest(b""), KvRef("p-1", "p-1:1", "k", 9)
    )
    commands = handle_event(events.Received("p-1", Accepted("r1", 1, 0.0)), core, 2.0)
    commands = handle_event(events.Received("p-1", end), core, read_at)
    assert list_offered(commands) == []
    assert list_refused(commands) == []
    later = read_at + PERMIT_WAIT_SECONDS * 2
    grant(core, "d-1", 1, later)
    commands = handle_event(events.PermitsReceived("d-1"), core, later)
    assert list_offered(commands) == ["d-1"]
