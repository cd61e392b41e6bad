"""Tests of a gateway whose call for the store's changes gets no answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from adapter.store import StoreClient

from radishtally.gateway.daemon import Gateway
from tests.common import run
from tests.gateway.common import Deployment, deployment, run_gateway, wait_until
from tests.gateway.test_calls import Desk, answer_whole


@pytest.fixture
def silenced(monkeypatch: pytest.MonkeyPatch) -> set[StoreClient]:
    """Provide the clients whose waiting feed calls get no answer any more."""
    clients: set[StoreClient] = set()
    follow = StoreClient.follow_table

    async def follow_table(self, table, after, wait):  # noqa: ANN001, ANN202
        if self in clients and wait:
            await asyncio.sleep(3600.0)
        return await follow(self, table, after, wait)

    monkeypatch.setattr(StoreClient, "follow_table", follow_table)
    return clients


@asynccontextmanager
async def two_gateways(env: Deployment) -> AsyncIterator[Gateway]:
    """Run a second gateway that has a link to the first."""
    async with run_gateway(env.store, "gateway-2") as gateway:
        hubs = env.gateway.peers, gateway.peers
        await wait_until(lambda: all(peers._hub and peers._hub.hosts for peers in hubs))
        yield gateway


# Guards against requests to a leaving host for as long as a feed call on a dead
# connection lasts: the other gateway has read that the host leaves.
@pytest.mark.parametrize("is_removed", [False, True])
def test_leaving_is_read_although_the_feed_is_silent(
    is_removed: bool, silenced: set[StoreClient]
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            for host in ("d-1", "d-2"):
                await env.serve_desk(host, Desk(answer_whole))
            async with two_gateways(env) as gateway:
                await wait_until(lambda: "d-2" in gateway.core.links)
                client = gateway.table._client
                silenced.add(client)
                # The call that waits now is answered once more.
                env.announce("d-3", env.addresses["d-1"], "desk")
                await wait_until(lambda: "d-3" in gateway.core.links)
                await asyncio.sleep(0.5)
                if is_removed:
                    env.withdraw("d-1")
                else:
                    address = env.addresses["d-1"]
                    env.announce("d-1", address, "desk", state="draining")
                hosts = gateway.core.hosts
                await wait_until(lambda: "d-1" not in hosts or not hosts["d-1"].live)

    run(scenario())


# Guards against requests by an outdated configuration for as long as a feed call on a
# dead connection lasts: the other gateway has read the new one.
def test_configuration_is_read_although_the_feed_is_silent(
    silenced: set[StoreClient],
) -> None:
    async def scenario() -> None:
        async with deployment() as env, two_gateways(env) as gateway:
            silenced.add(gateway.table._client)
            # The call that waits now is answered once more.
            env.configure()
            version = env.version
            await wait_until(lambda: gateway.router.configuration.version == version)
            await asyncio.sleep(0.5)
            env.configure()
            newest = env.version
            await wait_until(lambda: gateway.router.configuration.version == newest)

    run(scenario())
