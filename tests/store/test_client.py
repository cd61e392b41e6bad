"""Tests of calls to the platform over HTTP."""

import asyncio

from radishtally.store.client import HttpClient, Reply
from tests.common import READ_SECONDS, answer_twice, run


# A process goes by the answer to another question: the platform answers a call twice,
# and the second answer waits on the connection that the next call takes.
def test_second_answer_is_not_taken_for_the_next_one() -> None:
    async def play() -> None:
        async with answer_twice(b"first", b"second") as address:
            client = HttpClient(timeout=5.0)
            url = f"http://{address}/"
            assert (await client.call("GET", url)).ok == Reply(200, b"first")
            await asyncio.sleep(3 * READ_SECONDS)
            assert (await client.call("GET", url)).ok == Reply(200, b"second")
            await client.close()

    run(play())
