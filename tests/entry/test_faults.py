"""Tests of faults that entry and agents can only handle together."""

import pytest

from radishtally.links.messages import CALL, CHAT, Cancel, Offer, Work
from radishtally.outcome import Ran, Refusal
from tests.entry.network import DOWN, UP, ModelLink
from tests.entry.world import POOL, World


@pytest.fixture
def world() -> World:
    """Create a fleet of one entry and two agents."""
    return World(1, ["mixed", "mixed"])


def make_call(request: str = "r", key: str = "k") -> Work:
    return Work(request, "team", POOL, CALL, b"body", key=key, idempotent=False)


def make_text(request: str = "r") -> Work:
    return Work(request, "team", POOL, CHAT, b"body-3", "m", max_tokens=50)


def open_work(world: World, work: Work, seconds: float = 30.0) -> str:
    """Send a request; return the host that it is offered to."""
    world.open_request(work, "entry-0", seconds, True)
    while world.claims.pending:
        world.answer_claim()
    return world.entries["entry-0"].requests[work.request].host


def find_link(world: World, host: str) -> ModelLink:
    return next(k for k in reversed(world.links) if k.ends.agent == host)


def test_late_offer_after_its_cancel(world: World) -> None:
    # An offer is delayed in a link. Its cancel takes a new link and arrives first, so
    # the call is offered to another agent. The first agent refuses the late offer
    # because it remembers the cancel, so the call has one effect.
    host = open_work(world, make_call())
    old = find_link(world, host)
    world.advance(1.1)
    assert [type(m) for m in old.queues[UP]] == [Offer, Cancel]
    old.cut(1, 0)
    world.replace_link(old)
    new = find_link(world, host)
    while new.queues[UP]:
        world.deliver(new, UP)
    while new.queues[DOWN]:
        world.deliver(new, DOWN)
    world.deliver(old, UP)
    world.heal_and_finish()
    world.check_finished()
    assert world.ledger.effects == {"key k": 1}
    assert world.callers["r"].whole


def test_agent_restarts_after_it_began_a_call(world: World) -> None:
    # An agent dies in the middle of a call, and the restarted one doesn't know it.
    # "not known here" must not lead to a retry, which would be a second effect, so the
    # caller is told "unknown".
    host = open_work(world, make_call())
    world.deliver_all()
    world.step(host)
    world.start_agent(host)
    world.notice_break(find_link(world, host), DOWN)
    world.redial()
    world.deliver_all()
    assert world.callers["r"].end.ran == Ran.UNKNOWN
    world.heal_and_finish()
    assert world.ledger.effects == {"key k": 1}


def test_entry_is_paused_longer_than_agents_remember(world: World) -> None:
    # The link breaks, the call ends, and its agent forgets it while the entry is
    # paused. The agent's "not known here" comes too late to prove that the call did
    # not run, so the caller is told "unknown".
    host = open_work(world, make_call(), seconds=900.0)
    world.deliver_all()
    find_link(world, host).cut(0, 0)
    for _ in range(4):
        world.step(host)
    world.paused.add("entry-0")
    for _ in range(30):
        world.advance(10.0)
    world.paused.clear()
    world.notice_break(find_link(world, host), DOWN)
    world.redial()
    world.heal_and_finish()
    assert world.ledger.effects == {"key k": 1}
    assert world.callers["r"].end.ran == Ran.UNKNOWN


def test_late_parts_of_an_old_attempt_at_the_same_host() -> None:
    # The only host gets a second attempt after the link was down for too long. Then
    # parts of the first run arrive late. They belong to another text and must not
    # reach the caller.
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
    world.notice_break(old, DOWN)
    world.notice_break(old, UP)
    world.advance(1.1)
    world.redial()
    while world.entries["entry-0"].requests["r"].attempt == 1:
        world.advance(0.1)
    world.deliver(old, DOWN)
    world.heal_and_finish()
    world.check_finished()
    assert world.callers["r"].whole


def test_answer_of_an_idempotent_call_is_of_one_run(world: World) -> None:
    # The first run is lost halfway, and the second one gives another answer. The
    # caller must get the body of one run only.
    work = Work("r", "team", POOL, CALL, b"", method="GET")
    host = open_work(world, work)
    world.deliver_all()
    world.step(host)
    world.step(host)
    world.advance(0.03)
    world.deliver_all()
    assert world.entries["entry-0"].requests["r"].received
    world.fail(host)
    world.heal_and_finish()
    assert world.callers["r"].whole == b"run 2 of the call"


def test_claim_is_granted_after_the_deadline(world: World) -> None:
    # The request is refused as not run at its deadline. Its claim, granted later, is
    # released, so that a repeat of the key runs.
    world.open_request(make_call(), "entry-0", 1.0, False)
    world.advance(1.0)
    assert world.callers["r"].end.ran == Ran.NO
    world.answer_claim()
    assert not world.claims.rows
    open_work(world, make_call("s"))
    world.heal_and_finish()
    assert not isinstance(world.callers["s"].end, Refusal)
    assert world.ledger.effects == {"key k": 1}


@pytest.mark.parametrize("entries", [1, 2])
def test_concurrent_requests_with_one_key_get_complete_answers(entries: int) -> None:
    # The same request arrives twice at once, at one entry or at two, and may run at
    # different agents. Both callers must get a complete answer of one run.
    world = World(entries, ["mixed", "mixed"])
    for number in range(2):
        work = make_text(f"r{number}")._replace(key="k")
        world.open_request(work, f"entry-{number % entries}", 30.0, True)
    world.heal_and_finish()
    world.check_finished()
    assert all(caller.whole for caller in world.callers.values())
