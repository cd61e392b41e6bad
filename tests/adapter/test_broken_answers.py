"""Answers of the platform that are none in the protocol."""

import json
from collections.abc import Awaitable, Callable

import pytest
from adapter.duties import DutiesClient
from adapter.store import StoreClient

from radishtally.outcome import Result
from radishtally.usage.reporter import ReportOutcome
from tests.common import run
from tests.gateway.broken import BROKEN, SOUND, AnsweringHost, make_broken, make_sound

PAGE = json.dumps({"rows": [], "ver": 1, "nowMs": 1, "morePages": False}).encode()
CALLS: dict[str, Callable[[StoreClient], Awaitable[Result]]] = {
    "read": lambda client: client.read_rows("servers", "", "", "", 1),
    "feed": lambda client: client.follow_table("servers", 1, 20.0),
    "write": lambda client: client.transact([], [], []),
}


async def call_store(call: str, answer: bytes) -> Result:
    """Make a call that the store answers so."""
    host = AnsweringHost("store", answer)
    host.own_paths = ()
    host.closes_by_itself = True
    client = StoreClient(host.listen())
    await client.start()
    result = await CALLS[call](client)
    await client.stop()
    return result


async def report_usage(answer: bytes) -> ReportOutcome:
    """Report usage to a platform that answers so."""
    host = AnsweringHost("platform", answer)
    host.own_paths = ()
    host.closes_by_itself = True
    client = DutiesClient(host.listen())
    await client.start()
    outcome = await client.report_usage("front-1", 1, 2, {"silk": 3})
    await client.stop()
    return outcome


# Guards against rows, and outcomes of writes, that the store did not send.
@pytest.mark.parametrize("name", BROKEN)
@pytest.mark.parametrize("call", CALLS)
def test_broken_answer_of_the_store_is_an_error(call: str, name: str) -> None:
    assert run(call_store(call, make_broken(PAGE)[name])).is_error()


@pytest.mark.parametrize("name", SOUND)
def test_sound_answer_of_the_store_is_read(name: str) -> None:
    assert run(call_store("read", make_sound(PAGE)[name])).is_ok()


# Guards against a report that counts as accepted, or as refused, by an answer that may
# not be the platform's.
@pytest.mark.parametrize("name", BROKEN)
def test_outcome_of_a_usage_report_with_a_broken_answer_is_unclear(name: str) -> None:
    assert run(report_usage(make_broken()[name])) == ReportOutcome.UNCLEAR


@pytest.mark.parametrize("name", SOUND)
def test_sound_answer_to_a_usage_report_is_read(name: str) -> None:
    assert run(report_usage(make_sound()[name])) == ReportOutcome.ACCEPTED
