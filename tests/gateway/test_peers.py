"""Tests of several gateways that share loads, retry budgets and rows."""

import asyncio

import pytest

from radishtally.gateway import peers
from radishtally.gateway.bounds import find_min_retry_rate
from radishtally.gateway.daemon import Gateway
from radishtally.gateway.registry import GATEWAYS_PARTITION
from radishtally.store.core import ABSENT, Delete, Key, Put
from tests.common import run
from tests.gateway.common import Deployment, deployment, run_gateway, wait_until
from tests.gateway.test_calls import Desk, answer_whole, ask
from tests.gateway.test_streams import start_engines, stream


def count_answers(gateway: Gateway, host: str) -> int:
    engine = gateway.placement._engines.get(host)
    return engine.count_answers() if engine else 0


async def begin_stream(env: Deployment, gateway: Gateway) -> asyncio.Task:
    """Send a request to a gateway other than the deployment's first one."""
    other = Deployment(url=f"http://{gateway.settings.address}")
    return asyncio.create_task(stream(other, "/draft/a", "r1"))


# Guards against overloaded engines: each gateway counts only its own open work there.
# The work of a gateway must not be counted any longer once it is gone.
def test_gateways_count_each_others_open_work() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engines = await start_engines(env)
            answering = next(e for e in engines if e.phase == "decode")
            host = answering.instance
            async with run_gateway(env.store, "gateway-2") as second:
                await wait_until(lambda: host in second.core.links)
                await wait_until(lambda: second.peers._hub and second.peers._hub.hosts)
                answering.seconds = 30.0
                work = await begin_stream(env, second)
                await wait_until(lambda: count_answers(second, host) == 1)
                await wait_until(lambda: count_answers(env.gateway, host) == 1)
                work.cancel()
            await wait_until(lambda: count_answers(env.gateway, host) == 0)

    run(scenario())


# Guards against retry storms: each gateway makes as many retries as are allowed for the
# whole deployment.
def test_gateways_share_the_minimum_retry_rate() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            first = env.gateway
            bounds = first.settings.bounds
            async with run_gateway(env.store, "gateway-2") as second:
                shared = find_min_retry_rate(bounds, 2)
                for gateway in (first, second):
                    await wait_until(lambda g=gateway: g.core.budgets.floor == shared)
                allowed = bounds.retry_slack / bounds.retry_window_seconds
                assert first.core.budgets.floor + second.core.budgets.floor <= allowed

    run(scenario())


# Guards against an outage after all processes were lost at once, because the
# configuration and the hosts were known only to them.
def test_new_gateway_serves_from_the_state_in_the_store() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            assert (await ask(env, "/read/a", "r1"))[0] == 200
        async with run_gateway(env.store) as gateway:
            env.url = f"http://{gateway.settings.address}"
            await wait_until(lambda: "d-1" in gateway.core.links)
            assert (await ask(env, "/read/a", "r2"))[0] == 200

    run(scenario())


# Guards against retries shared with machines that were replaced, and against dialling
# them forever, because their rows are never removed. The rows of live gateways must be
# kept.
def test_rows_of_gone_gateways_are_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def read_names(gateway: Gateway) -> set[str]:
        return {
            row.key.sk for row in (await gateway.table.query(GATEWAYS_PARTITION)).ok
        }

    async def scenario() -> None:
        async with deployment() as env, run_gateway(env.store, "gateway-2") as second:
            both = (env.gateway, second)
            for gateway in both:
                await wait_until(lambda g=gateway: g.peers._hub and g.peers._hub.hosts)
            gone = Put(
                Key(GATEWAYS_PARTITION, "gateway-0"), {"address": "127.0.0.1:9"}, ABSENT
            )
            assert (await second.table.transact([gone], "w")).is_ok()
            for gateway in both:
                await gateway.peers._sync_peers()
            assert "gateway-0" in await read_names(second)
            monkeypatch.setattr(peers, "PEER_REMOVAL_SECONDS", -1.0)
            for gateway in both:
                await gateway.peers._sync_peers()
            assert await read_names(second) == {"gateway-1", "gateway-2"}

    run(scenario())


def test_gateway_whose_row_was_removed_writes_it_again() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            table = env.gateway.table
            key = Key(GATEWAYS_PARTITION, "gateway-1")
            while (row := (await table.get(key)).ok) is None:
                await asyncio.sleep(0.01)
            assert (await table.transact([Delete(key, row.rev)], "w")).is_ok()
            await env.gateway.peers._sync_peers()
            assert (await table.get(key)).ok.value == row.value

    run(scenario())
