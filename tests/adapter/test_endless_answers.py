"""Answers of the platform that go on without end."""

from collections.abc import Awaitable, Callable

import pytest
from adapter.duties import DutiesClient
from adapter.store import StoreClient

from radishtally.outcome import Result
from radishtally.usage.reporter import ReportOutcome
from tests.common import run
from tests.gateway.common import wait_until
from tests.gateway.endless import MAX_SENT_BYTES, REPORTS, EndlessServer

CALLS: dict[str, Callable[[StoreClient], Awaitable[Result]]] = {
    "read": lambda client: client.read_table("servers"),
    "feed": lambda client: client.follow_table("servers", 1, 20.0),
    "write": lambda client: client.transact([], [], []),
}


async def check_closed(server: EndlessServer) -> None:
    """Check that all answers have been closed after a bounded number of bytes."""
    await wait_until(lambda: server.asked and server.closed == server.asked)
    assert server.sent < MAX_SENT_BYTES


# Guards against an answer of the store that fills a gateway's memory, or keeps it busy
# until the call times out: twenty seconds for a feed.
@pytest.mark.parametrize("name", REPORTS)
@pytest.mark.parametrize("call", CALLS)
def test_endless_answer_of_the_store_is_closed(call: str, name: str) -> None:
    async def scenario() -> None:
        server = EndlessServer(*REPORTS[name])
        client = StoreClient(await server.listen())
        await client.start()
        assert (await CALLS[call](client)).is_error() or name == "failure"
        await check_closed(server)
        await client.stop()

    run(scenario())


@pytest.mark.parametrize("name", REPORTS)
def test_endless_answer_to_a_usage_report_is_closed(name: str) -> None:
    async def scenario() -> None:
        server = EndlessServer(*REPORTS[name])
        client = DutiesClient(await server.listen())
        await client.start()
        outcome = await client.report_usage("front-1", 1, 2, {"silk": 3})
        assert outcome == ReportOutcome.UNCLEAR
        await check_closed(server)
        await client.stop()

    run(scenario())
