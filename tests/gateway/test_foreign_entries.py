"""Tests that entries for unknown services in the host list are ignored."""

from collections import Counter

import aiohttp
import pytest
from aiohttp import web

from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import (
    Deployment,
    deployment,
    make_headers,
    run_gateway,
    serve,
    wait_until,
)

REQUESTS = 24


# Guards against orders to arbitrary addresses: an entry for a service that is not in
# the configuration is taken for an engine of an upstream.
def test_engine_of_an_unknown_upstream_gets_no_order() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engines = [StagedEngine(f"e-{number}", "decode") for number in range(3)]
            for engine in engines:
                address = await serve(engine.build_app())
                env.announce(engine.instance, address, "ghost", phase="decode")
                await env.wait_for(engine.instance)
            list_engines = env.gateway.stages._list_instances
            assert list_engines() == []
            known = StagedEngine("e-9", "decode")
            await env.serve_engine(known)
            assert [engine.host for engine in list_engines()] == ["e-9"]

    run(scenario())


async def answer(request: web.Request) -> web.Response:
    """Answer as a host of the plain service."""
    names = {"X-Request-Id": request.headers["X-Request-Id"]}
    return web.Response(text="ok", headers={"X-Server-Signature": "s", **names})


async def ask_many(env: Deployment) -> Counter[int]:
    """Send requests that may run at any host; return their statuses."""
    statuses: Counter[int] = Counter()
    async with aiohttp.ClientSession() as session:
        for number in range(REQUESTS):
            headers = make_headers(f"r-{number}")
            async with session.get(f"{env.url}/read/x", headers=headers) as response:
                statuses[response.status] += 1
    return statuses


# Guards against requests that a gateway sends to itself, or to the store, since another
# writer's entry names their address: callers got 409, as the name was in use.
@pytest.mark.parametrize(
    "name",
    ["address", "ready_address", "metrics_address", "peer_address", "store_address"],
)
def test_entry_with_a_gateways_own_address_names_no_host(name: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            address = getattr(env.gateway.settings, name)
            env.announce("loop", address, "desk", slots=60)
            await env.serve_desk("d-1", answer)
            assert await ask_many(env) == {200: REQUESTS}
            assert "loop" not in env.gateway.core.hosts

    run(scenario())


# As above, by way of another gateway, whose address is not known as a gateway's.
def test_request_that_comes_back_by_another_gateway_runs_at_a_host() -> None:
    async def scenario() -> None:
        async with deployment() as env, run_gateway(env.store, "gateway-2") as other:
            for gateway in (env.gateway, other):
                env.announce(gateway.settings.host, gateway.settings.address, "desk")
            await env.serve_desk("d-1", answer)
            await wait_until(lambda: "d-1" in other.core.links)
            assert await ask_many(env) == {200: REQUESTS}

    run(scenario())
