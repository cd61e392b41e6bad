"""Tests of the HTTP client for the platform."""

import asyncio

import pytest

from radishtally.store.client import HttpClient, NoReply, Reply
from tests.common import READ_SECONDS, answer_twice, run
from tests.gateway.broken import BROKEN, AnsweringHost, make_broken


# Guards against a reply that is taken for that of another call: the platform answers a
# call twice, and the second reply is buffered on the connection that the next call
# uses.
def test_duplicate_reply_is_not_taken_for_the_next_calls_reply() -> None:
    async def play() -> None:
        async with answer_twice(b"first", b"second") as address:
            client = HttpClient(timeout=5.0)
            url = f"http://{address}/"
            assert (await client.call("GET", url)).ok == Reply(200, b"first")
            await asyncio.sleep(3 * READ_SECONDS)
            assert (await client.call("GET", url)).ok == Reply(200, b"second")
            await client.close()

    run(play())


# Guards against replies that the platform did not send.
@pytest.mark.parametrize("name", BROKEN)
def test_broken_reply_is_none(name: str) -> None:
    async def play() -> None:
        host = AnsweringHost("platform", make_broken()[name])
        client = HttpClient(timeout=5.0)
        reply = await client.call("GET", f"http://{host.listen()}/")
        assert isinstance(reply.error, NoReply)
        await client.close()

    run(play())
