"""Tests of the HTTP client for the platform."""

import asyncio

from radishtally.store.client import HttpClient, Reply
from tests.common import READ_SECONDS, answer_twice, run


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
