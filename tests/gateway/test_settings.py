"""Tests of settings that are reloaded while a gateway runs."""

import asyncio
import re

import aiohttp
import msgspec
import pytest
from aiohttp import web

from radishtally.gateway.const import RETRY_SHARE
from radishtally.gateway.daemon import Gateway
from standins.staged import EVENTS
from tests.common import run
from tests.gateway.common import (
    deployment,
    make_headers,
    make_prompt,
    run_gateway,
    wait_until,
)
from tests.gateway.test_calls import answer_whole
from tests.gateway.test_streams import make_whole, start_engines

REQUESTS = 100


def count_retries(gateway: Gateway) -> int:
    """Return the number of retries that a burst of requests allows."""
    budgets = gateway.core.budgets
    for _ in range(REQUESTS):
        budgets.record_request("desk", 0.0)
    return sum(budgets.spend("desk", 0.0) for _ in range(REQUESTS))


# Guards against a gateway that logs that no restart is needed, but uses the bounds from
# its start until it exits.
def test_reloaded_bounds_are_applied() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            before = count_retries(gateway)
            bounds = msgspec.structs.replace(
                gateway.settings.bounds, retry_ratio=1.0, lease_ms=60_000.0
            )
            settings = msgspec.structs.replace(gateway.settings, bounds=bounds)
            gateway.apply_settings(settings)
            assert before < RETRY_SHARE * REQUESTS <= count_retries(gateway)
            assert gateway.lease._core.terms.granted >= 60.0

    run(scenario())


def read_marks(gateway: Gateway) -> list[str]:
    """Return the hashes of the current settings in a gateway's metrics."""
    text = gateway.render_metrics().decode()
    return re.findall(r'radishtally_settings{mark="(\w+)"} 1.0', text)


# Guards against a staged change of settings in which nobody can tell which settings and
# configuration a gateway uses. Gateways with equal settings must show equal hashes.
def test_metrics_show_the_current_settings() -> None:
    async def scenario() -> None:
        async with deployment() as env, run_gateway(env.store, "gateway-2") as other:
            gateway = env.gateway
            (first,) = read_marks(gateway)
            assert read_marks(other) == [first]
            bounds = msgspec.structs.replace(gateway.settings.bounds, retry_ratio=1.0)
            gateway.apply_settings(
                msgspec.structs.replace(gateway.settings, bounds=bounds)
            )
            (second,) = read_marks(gateway)
            assert second != first
            assert read_marks(other) == [first]

    run(scenario())


def test_metrics_show_the_current_configuration_version() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            version = env.gateway.router.configuration.version
            text = env.gateway.render_metrics().decode()
            assert f"radishtally_configuration_version {float(version)}" in text

    run(scenario())


def change_settings(gateway: Gateway, ratio: float) -> None:
    """Apply settings to a gateway that differ in one bound."""
    bounds = msgspec.structs.replace(gateway.settings.bounds, retry_ratio=ratio)
    gateway.apply_settings(msgspec.structs.replace(gateway.settings, bounds=bounds))


# Guards against calls that run twice or not at all when the settings change at one
# gateway after the other. Open calls must run once and be answered, by gateways with
# either settings.
@pytest.mark.parametrize(("method", "path"), [("GET", "/read/a"), ("POST", "/book/a")])
def test_call_that_is_open_while_settings_change_runs_once(
    method: str, path: str
) -> None:
    async def scenario() -> None:
        async with deployment() as env, run_gateway(env.store, "gateway-2") as other:
            seen: list[str] = []
            go_on = asyncio.Event()

            async def answer_later(request: web.Request) -> web.Response:
                seen.append(request.headers["X-Request-Id"])
                await go_on.wait()
                return await answer_whole(request)

            await env.serve_desk("d-1", answer_later)
            await wait_until(lambda: "d-1" in other.core.links)
            gateways = env.gateway, other
            names = ["r1", "r2", "r3", "r4"]

            async def ask(name: str, gateway: Gateway) -> int:
                url = f"http://{gateway.settings.address}{path}"
                async with session.request(
                    method, url, headers=make_headers(name)
                ) as response:
                    await response.read()
                    return response.status

            async with aiohttp.ClientSession() as session:
                tasks = [
                    asyncio.create_task(ask(name, gateways[index % 2]))
                    for index, name in enumerate(names)
                ]
                await wait_until(lambda: len(seen) == len(names))
                change_settings(env.gateway, 0.5)
                env.configure()
                change_settings(other, 0.7)
                change_settings(env.gateway, 0.9)
                go_on.set()
                assert await asyncio.gather(*tasks) == [200] * len(names)
            assert sorted(seen) == names

    run(scenario())


# Guards against an aborted stream when settings and configuration change. Its caller
# must get all of it, over the same connection and from the same run.
def test_stream_that_is_open_while_settings_change_is_complete() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, decode = await start_engines(env)
            decode.seconds = 0.05
            url = env.url + "/sheet/a"
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, headers=make_prompt("r1"), data=b"p") as response,
            ):
                body = await response.content.readany()
                change_settings(env.gateway, 0.5)
                env.configure()
                version = env.version
                router = env.gateway.router
                await wait_until(lambda: router.configuration.version == version)
                change_settings(env.gateway, 0.7)
                body += await response.read()
            assert body == make_whole("r1")
            assert body.count(b"id: ") == EVENTS
            assert decode.runs == {"r1": 1}

    run(scenario())
