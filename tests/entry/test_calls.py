"""Tests of calls that are not idempotent."""

import pytest

from radishtally.agent.const import ATTEMPT_RETENTION_SECONDS
from radishtally.links.messages import (
    KEY_REUSED,
    NOT_KNOWN,
    Accepted,
    Attach,
    Cancel,
    Cancelled,
    Lost,
    Refused,
    Work,
)
from radishtally.outcome import Ran, Refusal
from radishtally.serving import const
from radishtally.serving.events import (
    CallerGone,
    Claim,
    Denied,
    Granted,
    LinkDown,
    Release,
    Repeated,
    Settle,
)
from tests.entry.common import Driver, make_call, make_chunk, make_finished

KEYED = make_call(key="k")


@pytest.fixture
def driver() -> Driver:
    """Create a driver with a call that is granted and offered."""
    made = Driver()
    made.open(KEYED, streamed=False)
    assert made.list_commands(Claim) and not made.list_offers()
    made.handle(Granted(KEYED))
    return made


def test_offer_lost_with_its_link_is_repeated(driver: Driver) -> None:
    # The link breaks with the offer in flight. The agent remembers attempts for long,
    # doesn't know this one and will refuse it if it still arrives. So it did not run,
    # and the call can be offered again.
    host, _ = driver.find_offer()
    driver.handle(LinkDown(host))
    driver.link_up(host)
    assert driver.list_sent(Attach) == [(host, Attach("r", 1, 0))]
    driver.receive(host, Lost("r", 1, Ran.NO, NOT_KNOWN, 0))
    _, offer = driver.find_offer()
    assert offer.attempt == 2


def test_not_known_is_not_trusted_for_an_old_offer(driver: Driver) -> None:
    # The entry was paused for longer than agents remember attempts. The call may have
    # run long ago, so "not known" proves nothing and the caller is told "unknown".
    host, _ = driver.find_offer()
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.handle(LinkDown(host))
    driver.now += const.NOT_RUN_TRUST_SECONDS
    driver.link_up(host)
    driver.receive(host, Lost("r", 1, Ran.NO, NOT_KNOWN, 0))
    assert driver.refusal.ran == Ran.UNKNOWN
    assert len(driver.list_offers()) == 1
    assert not driver.list_commands(Release)


def test_agents_remember_attempts_longer_than_entries_trust_them() -> None:
    assert 2 * const.NOT_RUN_TRUST_SECONDS <= ATTEMPT_RETENTION_SECONDS


def test_unanswered_offer_is_repeated_after_its_cancellation(driver: Driver) -> None:
    # The first agent doesn't answer the offer. The call is offered to another one only
    # after the first has confirmed the cancel, so that it runs once.
    host, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    assert driver.list_sent(Cancel) == [(host, Cancel("r", 1))]
    assert len(driver.list_offers()) == 1
    driver.receive(host, Cancelled("r", 1, Ran.NO))
    assert len(driver.list_offers()) == 2


def test_late_cancellation_is_not_trusted(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.now += const.NOT_RUN_TRUST_SECONDS / 2
    driver.core.requests["r"].deadline = float("inf")
    driver.pass_time(0.0)
    driver.now += const.NOT_RUN_TRUST_SECONDS / 2
    driver.receive(host, Cancelled("r", 1, Ran.NO))
    assert driver.refusal.ran == Ran.UNKNOWN


def test_call_that_began_before_its_cancel_is_attached_again(driver: Driver) -> None:
    # The acceptance is late, and the cancel arrives after the call has begun. The
    # agent lets it finish, and the entry attaches to fetch the outcome.
    host, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.receive(host, Cancelled("r", 1, Ran.UNKNOWN))
    assert driver.list_sent(Attach) == [(host, Attach("r", 1, 0))]
    driver.receive(host, make_chunk("r", 1, 0, b"sent"))
    driver.receive(host, make_finished("r", 1, b"sent"))
    assert driver.answer == b"sent"


def test_cancel_is_repeated_over_a_new_link(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    driver.handle(LinkDown(host))
    driver.pass_time(const.CANCEL_TIMEOUT_SECONDS)
    assert not driver.list_refusals()
    driver.link_up(host)
    assert driver.list_sent(Cancel) == 2 * [(host, Cancel("r", 1))]
    driver.receive(host, Cancelled("r", 1, Ran.NO))
    assert len(driver.list_offers()) == 2


def test_restarted_agent_leaves_the_outcome_unknown(driver: Driver) -> None:
    # The agent dies with the cancel in flight. The restarted agent doesn't know what
    # its predecessor began, so the caller is told "unknown".
    host, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    driver.handle(LinkDown(host))
    driver.link_up(host, "2")
    assert driver.refusal.ran == Ran.UNKNOWN
    assert len(driver.list_offers()) == 1
    assert not driver.list_commands(Release)


def test_restart_is_detected_after_the_host_was_forgotten(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.handle(LinkDown(host))
    driver.core.forget_host(host)
    driver.core.set_host(host, "howrah", "other", True)
    driver.link_up(host, "2")
    assert driver.refusal.ran == Ran.UNKNOWN


def test_claim_granted_after_the_deadline_is_released() -> None:
    # The caller was told "not run" at its deadline while its claim was in flight. If
    # the claim were kept when granted later, every repeat would get "unknown".
    driver = Driver()
    driver.open(KEYED, seconds=1.0)
    driver.pass_time(1.0)
    assert driver.refusal.ran == Ran.NO
    assert not driver.list_commands(Release)
    assert driver.handle(Granted(KEYED)) == [Release(KEYED)]


def test_claim_is_released_if_its_caller_disconnected() -> None:
    driver = Driver()
    driver.open(KEYED)
    driver.handle(CallerGone("r"))
    assert driver.handle(Granted(KEYED)) == [Release(KEYED)]
    assert not driver.core.requests


@pytest.mark.parametrize(
    "event",
    [
        Denied("r", Refusal(503, "store_unavailable", "away")),
        Repeated("r", 200, (), b"first"),
    ],
    ids=["denied", "repeated"],
)
def test_claim_outcome_for_a_disconnected_caller_is_dropped(
    event: Denied | Repeated,
) -> None:
    driver = Driver()
    driver.open(KEYED)
    driver.handle(CallerGone("r"))
    assert driver.handle(event) == []
    assert not driver.core.requests


def test_outcome_is_stored_after_an_unknown_answer(driver: Driver) -> None:
    # The caller is told "unknown" because the link stays down. The entry continues to
    # wait for the outcome and stores it, so that a repeat of the key gets the answer.
    host, _ = driver.find_offer()
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.handle(LinkDown(host))
    driver.pass_time(const.CALL_RECONNECT_GRACE_SECONDS)
    assert driver.refusal.ran == Ran.UNKNOWN
    driver.link_up(host)
    driver.receive(host, make_chunk("r", 1, 0, b"sent"))
    driver.receive(host, make_finished("r", 1, b"sent"))
    assert [s.body for s in driver.list_commands(Settle)] == [b"sent"]
    assert not driver.list_ends()


def test_call_is_not_retried_after_an_unknown_answer(driver: Driver) -> None:
    # The caller was told "unknown" at its deadline while the call was queued. When the
    # host refuses it, the claim is released so that a repeat of the key can run it.
    # Running it now would serve no caller.
    host, _ = driver.find_offer()
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.pass_time(30.0)
    assert (driver.refusal.status, driver.refusal.ran) == (504, Ran.UNKNOWN)
    driver.receive(host, Refused("r", 1, "late", 1.0))
    assert len(driver.list_offers()) == 1
    assert driver.list_commands(Release) == [Release(KEYED)]


def test_wait_for_an_outcome_is_bounded(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.pass_time(30.0 + const.OUTCOME_WAIT_SECONDS)
    assert not driver.core.requests
    assert driver.core.hosts[host].in_flight == 0
    assert not driver.list_commands(Release)


def test_lost_call_keeps_its_claim(driver: Driver) -> None:
    # The call may have run, so its claim is never released. The caller is told
    # "unknown", and so is a repeat of its key.
    host, _ = driver.find_offer()
    driver.receive(host, Lost("r", 1, Ran.UNKNOWN, "reset", 0))
    assert (driver.refusal.status, driver.refusal.ran) == (502, Ran.UNKNOWN)
    assert not driver.list_commands(Release)
    assert len(driver.list_offers()) == 1


def test_corrupt_outcome_is_not_reported_as_not_run(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"senX"))
    driver.receive(host, make_finished("r", 1, b"sent"))
    assert driver.refusal.ran == Ran.UNKNOWN
    assert not driver.list_commands(Release)


def test_reused_key_is_refused_and_not_run(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.receive(host, Refused("r", 1, KEY_REUSED, 1.0))
    assert (driver.refusal.status, driver.refusal.ran) == (422, Ran.NO)


@pytest.mark.parametrize("ran", [Ran.NO, Ran.UNKNOWN])
def test_unkeyed_call_runs_at_most_once(ran: str) -> None:
    driver = Driver()
    driver.open(make_call())
    host, _ = driver.find_offer()
    driver.receive(host, Lost("r", 1, ran, "failed", 0))
    assert len(driver.list_offers()) == (2 if ran == Ran.NO else 1)


def test_unkeyed_call_is_cancelled_when_its_caller_disconnects() -> None:
    # Without a key the outcome can't be requested later. The agent drops the call if
    # it has not begun and lets it finish otherwise; the entry keeps no state.
    driver = Driver()
    work: Work = make_call()
    driver.open(work)
    host, _ = driver.find_offer()
    assert driver.handle(CallerGone("r"))[0].message == Cancel("r", 1)
    assert not driver.core.requests
    assert driver.core.hosts[host].in_flight == 0
