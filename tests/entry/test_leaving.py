"""Tests of the refusals for requests that are open when the process ends."""

import pytest

from radishtally.links.messages import Accepted, Cancel, Refused
from radishtally.outcome import Ran
from radishtally.serving import events
from tests.entry.common import Driver, make_call


# Guards against callers that get no refusal when their entry ends. They would repeat a
# request that may have run, or not dare to repeat one that has not.
@pytest.mark.parametrize("is_taken", [True, False])
def test_offered_request_may_have_run(is_taken: bool) -> None:
    driver = Driver()
    driver.open(make_call())
    host, offer = driver.find_offer()
    if is_taken:
        driver.receive(host, Accepted("r", offer.attempt, 0.0))
    driver.handle(events.Shutdown())
    assert (driver.refusal.status, driver.refusal.ran) == (503, Ran.UNKNOWN)
    assert driver.list_sent(Cancel) == [(host, Cancel("r", offer.attempt))]
    assert not driver.core.requests


def test_request_that_waits_for_a_host_has_not_run() -> None:
    driver = Driver(hosts=1)
    driver.open(make_call())
    host, offer = driver.find_offer()
    driver.core.requests["r"].hold_until = driver.now + 10.0
    driver.receive(host, Refused("r", offer.attempt, "full", 1.0))
    driver.handle(events.Shutdown())
    assert (driver.refusal.status, driver.refusal.ran) == (503, Ran.NO)
    assert not driver.list_sent(Cancel)


def test_request_of_a_disconnected_caller_gets_no_refusal() -> None:
    driver = Driver()
    driver.open(make_call())
    driver.handle(events.CallerGone("r"))
    driver.handle(events.Shutdown())
    assert not driver.list_refusals()
