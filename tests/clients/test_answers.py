"""Tests of gateways whose host sends whole answers one behind another without end."""

import asyncio
from contextlib import suppress

import pytest

from soak.const import DEPLOYMENT
from tests.clients.common import (
    WAIT_SECONDS,
    GatewayDeployment,
    Process,
    ask_gateway,
    ask_once,
    make_head,
    write,
)
from tests.gateway.endless import NAMED, EndlessServer

CALLERS = 96
ROUNDS = 3
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
FIRST = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + NAMED + b"\r\n"
ANSWERS = {
    "answers": (FIRST, ANSWER),
    "answers of no request": (b"", ANSWER),
    "answers in chunks": (b"", CHUNKED),
    "answers without a body": (b"", b"HTTP/1.1 204 None\r\n\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"),
}


# Guards against gateways that are killed for the memory of answers that a host sends
# behind the one that is waited for.
@pytest.mark.alone
@pytest.mark.parametrize("name", ANSWERS)
def test_memory_is_bounded_under_answers_without_end(
    name: str, deployment: GatewayDeployment, gateway: Process
) -> None:
    store = deployment.store
    desk = {
        **DEPLOYMENT["entry"],
        "service": "desk",
        "address": deployment.desk.address,
    }

    async def call() -> None:
        with suppress(ConnectionError):
            await ask_once(gateway.addresses["callers"], make_head("/read/x"))

    async def play() -> None:
        host = EndlessServer(*ANSWERS[name], path="/read/")
        entry = {**desk, "slots": 2 * CALLERS, "address": await host.listen()}
        write(store, "servers", "h-1", entry)
        store.post("/_write", {"table": "servers", "key": "d-1", "value": None})
        async with asyncio.timeout(WAIT_SECONDS):
            while not host.asked:
                await asyncio.gather(*(call() for _ in range(CALLERS)))
        for _ in range(ROUNDS):
            await asyncio.gather(*(call() for _ in range(CALLERS)))
        store.post("/_write", {"table": "servers", "key": "h-1", "value": None})
        write(store, "servers", "d-1", desk)
        await ask_gateway(gateway)

    asyncio.run(play())
    gateway.check()
