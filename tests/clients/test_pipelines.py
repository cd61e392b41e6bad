"""Tests of gateways under pipelines of requests, and answers that nobody reads."""

import asyncio
from functools import partial
from pathlib import Path

import pytest

from tests.clients.common import (
    PIECE_BYTES,
    Process,
    ask_gateway,
    connect,
    make_head,
    play_crowd,
    run_gateway,
    send_endlessly,
    start_deployment,
    wait_for_descriptors,
    wait_until_connected,
)
from tests.common import StartStandIn

PIPELINED = 400
"""Requests of each pipeline."""
LONG_MS = 300_000
"""Longer than a test waits."""


# Guards against connections of clients who have left, which were held until the
# requests of their pipelines were answered.
@pytest.mark.alone
def test_pipelines_of_clients_who_left_are_given_back(
    start_standin: StartStandIn, tmp_path: Path
) -> None:
    deployment = start_deployment(start_standin, timeoutMs=LONG_MS)
    with run_gateway(deployment, tmp_path) as gateway:
        deployment.desk.post("/_crowd", {"slots": 1_000, "seconds": LONG_MS / 1000})
        before = gateway.count_descriptors()

        async def play() -> None:
            requests = (
                make_head("/read/x", deadline_ms=LONG_MS) for _ in range(PIPELINED)
            )
            requests = b"".join(requests)
            await play_crowd(
                gateway.addresses["callers"],
                partial(send_endlessly, first=requests, piece=b"\r\n", max_bytes=1),
                while_open=partial(wait_until_connected, gateway, before),
            )
            await wait_for_descriptors(gateway, before)
            deployment.desk.post("/_crowd", {"slots": 0, "seconds": 0})
            await ask_gateway(gateway)

        asyncio.run(play())
        gateway.check()


# Guards against answers in a pipeline that fill the memory as nobody reads them.
@pytest.mark.alone
@pytest.mark.parametrize("listener", ["callers", "metrics"])
def test_memory_is_bounded_under_pipelines_that_nobody_reads(
    listener: str, gateway: Process
) -> None:
    before = gateway.count_descriptors()
    path = "/read/x" if listener == "callers" else "/metrics"
    requests = b"".join(make_head(path) for _ in range(PIPELINED))

    async def play() -> None:
        address = gateway.addresses[listener]
        await play_crowd(
            address,
            partial(send_endlessly, first=b"", piece=requests),
            while_open=partial(ask_gateway, gateway),
        )
        await wait_for_descriptors(gateway, before)
        await ask_gateway(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against a bound on pipelines that loses requests of a client who reads.
@pytest.mark.alone
def test_pipeline_of_a_client_who_reads_is_answered_in_full(gateway: Process) -> None:
    async def play() -> None:
        reader, writer = await connect(gateway.addresses["callers"])
        writer.write(b"".join(make_head("/read/x") for _ in range(PIPELINED)))
        answers = b""
        while answers.count(b"HTTP/1.1 200 ") < PIPELINED:
            data = await reader.read(PIECE_BYTES)
            assert data
            answers += data
        writer.close()

    asyncio.run(play())
