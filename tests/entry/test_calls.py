"""Tests of calls that may not run twice."""

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
    """Hold a granted call that is offered."""
    made = Driver()
    made.open(KEYED, streamed=False)
    assert made.list_commands(Claim) and not made.list_offers()
    made.handle(Granted(KEYED))
    return made


def test_offer_that_never_came_is_made_elsewhere(driver: Driver) -> None:
    # The caller is served although the link broke with the offer on it. The agent
    # remembers every attempt for long, knows nothing of this one and will refuse it
    # if it still comes: it surely did not run.
    host, _ = driver.find_offer()
    driver.handle(LinkDown(host))
    driver.link_up(host)
    assert driver.list_sent(Attach) == [(host, Attach("r", 1, 0))]
    driver.receive(host, Lost("r", 1, Ran.NO, NOT_KNOWN, 0))
    _, offer = driver.find_offer()
    assert offer.attempt == 2


def test_old_offer_is_not_believed_to_be_unknown(driver: Driver) -> None:
    # The caller is told "unknown". The entry was paused for longer than agents
    # remember: the call may have run long ago, and "not known" proves nothing.
    host, _ = driver.find_offer()
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.handle(LinkDown(host))
    driver.now += const.NOT_RUN_TRUST_SECONDS
    driver.link_up(host)
    driver.receive(host, Lost("r", 1, Ran.NO, NOT_KNOWN, 0))
    assert driver.refusal.ran == Ran.UNKNOWN
    assert len(driver.list_offers()) == 1
    assert not driver.list_commands(Release)


def test_agents_remember_longer_than_entries_rely_on() -> None:
    assert 2 * const.NOT_RUN_TRUST_SECONDS <= ATTEMPT_RETENTION_SECONDS


def test_unanswered_offer_waits_for_the_agents_word(driver: Driver) -> None:
    # The caller is served once. The first agent leaves the offer without a word; it
    # is offered elsewhere only when that agent has said that it will never run it.
    host, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    assert driver.list_sent(Cancel) == [(host, Cancel("r", 1))]
    assert len(driver.list_offers()) == 1
    driver.receive(host, Cancelled("r", 1, Ran.NO))
    assert len(driver.list_offers()) == 2


def test_old_cancellation_is_not_believed(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.now += const.NOT_RUN_TRUST_SECONDS / 2
    driver.core.requests["r"].deadline = float("inf")
    driver.pass_time(0.0)
    driver.now += const.NOT_RUN_TRUST_SECONDS / 2
    driver.receive(host, Cancelled("r", 1, Ran.NO))
    assert driver.refusal.ran == Ran.UNKNOWN


def test_begun_call_is_followed_after_its_withdrawal(driver: Driver) -> None:
    # The caller gets its answer. The acceptance was late, the withdrawal came when
    # the call had begun: the agent lets it end, and its outcome is fetched.
    host, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.receive(host, Cancelled("r", 1, Ran.UNKNOWN))
    assert driver.list_sent(Attach) == [(host, Attach("r", 1, 0))]
    driver.receive(host, make_chunk("r", 1, 0, b"sent"))
    driver.receive(host, make_finished("r", 1, b"sent"))
    assert driver.answer == b"sent"


def test_withdrawal_is_repeated_over_a_new_link(driver: Driver) -> None:
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
    # The caller is told "unknown". The agent died with the withdrawal under way; the
    # new one knows nothing of what its predecessor began and can't speak for it.
    host, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    driver.handle(LinkDown(host))
    driver.link_up(host, "2")
    assert driver.refusal.ran == Ran.UNKNOWN
    assert len(driver.list_offers()) == 1
    assert not driver.list_commands(Release)


def test_restart_is_seen_on_a_host_that_was_forgotten(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.handle(LinkDown(host))
    driver.core.forget_host(host)
    driver.core.set_host(host, "howrah", "other", True)
    driver.link_up(host, "2")
    assert driver.refusal.ran == Ran.UNKNOWN


def test_claim_granted_too_late_is_given_back() -> None:
    # The caller was told "not run" at its deadline, with its claim still under way.
    # Granted later and kept, the claim would answer every repeat with "unknown".
    driver = Driver()
    driver.open(KEYED, seconds=1.0)
    driver.pass_time(1.0)
    assert driver.refusal.ran == Ran.NO
    assert not driver.list_commands(Release)
    assert driver.handle(Granted(KEYED)) == [Release(KEYED)]


def test_claim_is_given_back_if_its_caller_has_gone() -> None:
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
def test_claim_decided_for_a_gone_caller_is_dropped(event: Denied | Repeated) -> None:
    driver = Driver()
    driver.open(KEYED)
    driver.handle(CallerGone("r"))
    assert driver.handle(event) == []
    assert not driver.core.requests


def test_outcome_is_kept_after_the_caller_was_told_unknown(driver: Driver) -> None:
    # The caller is told "unknown" when the link stays away, and a repeat of its key
    # gets the first answer: the entry goes on to wait for the outcome and keeps it.
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


def test_call_is_not_begun_for_a_caller_that_was_told_unknown(driver: Driver) -> None:
    # The caller was told "unknown" at its deadline while the call was queued. When it
    # turns out not to have run, its claim is given back, so that a repeat of the key
    # runs it; running it now would do it for nobody.
    host, _ = driver.find_offer()
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.pass_time(30.0)
    assert (driver.refusal.status, driver.refusal.ran) == (504, Ran.UNKNOWN)
    driver.receive(host, Refused("r", 1, "late", 1.0))
    assert len(driver.list_offers()) == 1
    assert driver.list_commands(Release) == [Release(KEYED)]


def test_outcome_is_not_awaited_for_ever(driver: Driver) -> None:
    host, _ = driver.find_offer()
    driver.receive(host, Accepted("r", 1, 0.0))
    driver.pass_time(30.0 + const.OUTCOME_WAIT_SECONDS)
    assert not driver.core.requests
    assert driver.core.hosts[host].in_flight == 0
    assert not driver.list_commands(Release)


def test_lost_call_keeps_its_claim(driver: Driver) -> None:
    # The caller is told "unknown", and so is a repeat of its key: the call may have
    # run, so its claim is never given back.
    host, _ = driver.find_offer()
    driver.receive(host, Lost("r", 1, Ran.UNKNOWN, "reset", 0))
    assert (driver.refusal.status, driver.refusal.ran) == (502, Ran.UNKNOWN)
    assert not driver.list_commands(Release)
    assert len(driver.list_offers()) == 1


def test_damaged_outcome_is_not_called_not_run(driver: Driver) -> None:
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


def test_unkeyed_call_is_withdrawn_when_its_caller_goes() -> None:
    # Nobody can ask for the outcome any more: the agent drops the call if it has not
    # begun, and lets it end otherwise; the entry keeps nothing.
    driver = Driver()
    work: Work = make_call()
    driver.open(work)
    host, _ = driver.find_offer()
    assert driver.handle(CallerGone("r"))[0].message == Cancel("r", 1)
    assert not driver.core.requests
    assert driver.core.hosts[host].in_flight == 0
