"""Tests of faults that take entry and agents together to survive."""

import pytest

from radishtally.links.messages import CALL, CHAT, Cancel, Offer, Work
from radishtally.outcome import Ran, Refusal
from tests.entry.network import DOWN, UP, ModelLink
from tests.entry.world import POOL, World


@pytest.fixture
def world() -> World:
    """Hold one entry and two agents."""
    return World(1, ["mixed", "mixed"])


def make_call(request: str = "r", key: str = "k") -> Work:
    return Work(request, "team", POOL, CALL, b"body", key=key, idempotent=False)


def make_text(request: str = "r") -> Work:
    return Work(request, "team", POOL, CHAT, b"body-3", "m", max_tokens=50)


def open_work(world: World, work: Work, seconds: float = 30.0) -> str:
    """Bring a request in; give the host that it is offered to."""
    world.arrive(work, "entry-0", seconds, True)
    while world.claims.asked:
        world.settle_claim()
    return world.entries["entry-0"].requests[work.request].host


def find_link(world: World, host: str) -> ModelLink:
    return next(k for k in reversed(world.links) if k.ends.agent == host)


def test_late_offer_after_its_withdrawal(world: World) -> None:
    # The call has one effect. Its offer is held up in a link; the withdrawal goes over
    # a new link and comes first, so that the call is made elsewhere. The first agent
    # refuses the late offer, since it remembers the withdrawal.
    host = open_work(world, make_call())
    old = find_link(world, host)
    world.advance(1.1)
    assert [type(m) for m in old.queues[UP]] == [Offer, Cancel]
    old.cut(1, 0)
    world.swap(old)
    new = find_link(world, host)
    while new.queues[UP]:
        world.deliver(new, UP)
    while new.queues[DOWN]:
        world.deliver(new, DOWN)
    world.deliver(old, UP)
    world.settle_down()
    world.check_quiet()
    assert world.ledger.effects == {"key k": 1}
    assert world.callers["r"].whole


def test_agent_restarts_after_it_began_a_call(world: World) -> None:
    # The caller is told "unknown". Its agent dies with the call half done, and the
    # new one knows nothing of it: "not known here" from it would mean a second effect.
    host = open_work(world, make_call())
    world.deliver_all()
    world.step(host)
    world.start_agent(host)
    world.notice(find_link(world, host), DOWN)
    world.relink()
    world.deliver_all()
    assert world.callers["r"].end.ran == Ran.UNKNOWN
    world.settle_down()
    assert world.ledger.effects == {"key k": 1}


def test_entry_sleeps_longer_than_agents_remember(world: World) -> None:
    # The caller is told "unknown". The link breaks, the call ends unheard, and its
    # agent forgets it while the entry is paused: its "not known here" is too old.
    host = open_work(world, make_call(), seconds=900.0)
    world.deliver_all()
    find_link(world, host).cut(0, 0)
    for _ in range(4):
        world.step(host)
    world.paused.add("entry-0")
    for _ in range(30):
        world.advance(10.0)
    world.paused.clear()
    world.notice(find_link(world, host), DOWN)
    world.relink()
    world.settle_down()
    assert world.ledger.effects == {"key k": 1}
    assert world.callers["r"].end.ran == Ran.UNKNOWN


def test_old_attempts_words_come_late_at_the_same_host() -> None:
    # The caller reads one run's text. Its only host is tried again after the link was
    # away too long; then the first run's parts come late. They are another text.
    world = World(1, ["mixed"])
    host = open_work(world, make_text())
    world.deliver_all()
    world.step(host)
    world.step(host)
    world.advance(0.03)
    world.deliver_all()
    old = find_link(world, host)
    world.step(host)
    world.advance(0.03)
    assert len(old.queues[DOWN]) == 1
    old.cut(0, 1)
    world.notice(old, DOWN)
    world.notice(old, UP)
    world.advance(1.1)
    world.relink()
    while world.entries["entry-0"].requests["r"].attempt == 1:
        world.advance(0.1)
    world.deliver(old, DOWN)
    world.settle_down()
    world.check_quiet()
    assert world.callers["r"].whole


def test_call_that_may_run_again_is_one_runs_answer(world: World) -> None:
    # The caller reads one run's body. The first run breaks off half-way; the second
    # one answers otherwise.
    work = Work("r", "team", POOL, CALL, b"", method="GET")
    host = open_work(world, work)
    world.deliver_all()
    world.step(host)
    world.step(host)
    world.advance(0.03)
    world.deliver_all()
    assert world.entries["entry-0"].requests["r"].received
    world.fail(host)
    world.settle_down()
    assert world.callers["r"].whole == b"run 2 of the call"


def test_claim_comes_after_the_deadline(world: World) -> None:
    # The caller is told "not run" in time, and a repeat of its key runs: the claim
    # that was granted too late is given back.
    world.arrive(make_call(), "entry-0", 1.0, False)
    world.advance(1.0)
    assert world.callers["r"].end.ran == Ran.NO
    world.settle_claim()
    assert not world.claims.rows
    open_work(world, make_call("s"))
    world.settle_down()
    assert not isinstance(world.callers["s"].end, Refusal)
    assert world.ledger.effects == {"key k": 1}


@pytest.mark.parametrize("entries", [1, 2])
def test_one_key_at_once_gets_whole_answers(entries: int) -> None:
    # Both callers get a whole answer, each of one run: the same request comes twice
    # at once, at one entry or at two, and the agents that take it may differ.
    world = World(entries, ["mixed", "mixed"])
    for number in range(2):
        work = make_text(f"r{number}")._replace(key="k")
        world.arrive(work, f"entry-{number % entries}", 30.0, True)
    world.settle_down()
    world.check_quiet()
    assert all(caller.whole for caller in world.callers.values())
