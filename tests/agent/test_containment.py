"""Tests that an unexpected error at an agent ends the attempt that it belongs to."""

import pytest

from radishtally.agent import core as agent_core
from radishtally.links.messages import Lost
from radishtally.outcome import Ran
from tests.agent.common import Driver, make_text

BAD = "bad"


class UnexpectedError(Exception):
    """Error: a fault in a program that nobody knows of."""


# Guards against one offer that raises an error and ends all work of its agent.
def test_error_with_an_offer_loses_just_its_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent, errors = Driver(), []
    agent.core.on_error = lambda error, request: errors.append(request)
    admit = agent_core.admit

    def admit_or_fail(offer, *args):  # noqa: ANN001, ANN002, ANN202
        if offer.work.request == BAD:
            raise UnexpectedError
        yield from admit(offer, *args)

    monkeypatch.setattr(agent_core, "admit", admit_or_fail)
    agent.offer(make_text("good"))
    (lost,) = [m for m in agent.offer(make_text(BAD)) if isinstance(m, Lost)]
    assert (lost.request, lost.ran) == (BAD, Ran.UNKNOWN)
    assert errors == [BAD]
    assert ("good", 1) in agent.core.assignments


# Guards against tests that would pass although a core raises.
def test_error_is_raised_where_nobody_handles_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent = Driver()
    monkeypatch.setattr(agent_core, "admit", None)
    with pytest.raises(TypeError):
        agent.offer(make_text(BAD))
