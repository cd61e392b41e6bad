"""Tests of hosts that name the requests a second that they take from all gateways."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from radishtally.gateway.daemon import Gateway
from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import (
    Deployment,
    deployment,
    make_headers,
    make_prompt,
    run_gateway,
    wait_until,
)
from tests.gateway.test_calls import answer_whole

LIMIT = 4.0
WINDOW_SECONDS = 4.0
STABLE_SECONDS = 3.0
"""Time from the first answer that names the limit until it must hold."""
PLAY_SECONDS = 9.0
PAUSE_SECONDS = 0.02


class LimitedDesk:
    """Answer requests with a limit in each answer, and record their times."""

    def __init__(self, limit: str) -> None:
        self.limit = limit
        self.times: list[float] = []

    async def __call__(self, request: web.Request) -> web.StreamResponse:
        """Return an answer that names the limit, unless it is empty."""
        self.times.append(time.monotonic())
        response = await answer_whole(request)
        if self.limit:
            response.headers["Server-Limit"] = self.limit
        return response


class LimitedEngine(StagedEngine):
    """Record the times of all requests, prompts to be read included."""

    def __init__(self, name: str, phase: str) -> None:
        super().__init__(name, phase)
        self.extra_headers["Server-Limit"] = str(LIMIT)
        self.times: list[float] = []

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.times.append(time.monotonic())
        return await super()._serve(request)


def count_most(times: list[float], since: float) -> int:
    """Return the most requests in any window that begins at a time or later."""
    times = [at for at in times if at >= since]
    return max(
        (sum(at <= t < at + WINDOW_SECONDS for t in times) for at in times), default=0
    )


@asynccontextmanager
async def gateways(env: Deployment, count: int) -> AsyncIterator[list[Gateway]]:
    """Run further gateways until all have links to each other."""
    if count == 1:
        yield [env.gateway]
        return
    async with (
        run_gateway(env.store, f"gateway-{count}") as gateway,
        gateways(env, count - 1) as others,
    ):
        found = [*others, gateway]
        await wait_until(
            lambda: all(
                one.peers._hub and len(one.peers._hub.hosts) >= count - 1
                for one in found
            )
        )
        yield found


async def call(gateway: Gateway, path: str, name: str) -> int:
    """Send one request to a gateway and return its status."""
    url = f"http://{gateway.settings.address}{path}"
    async with aiohttp.ClientSession() as session:
        if path.startswith("/read"):
            asked = session.get(url, headers=make_headers(name))
        else:
            # Prompts without common parts may go to any engine.
            headers = {**make_prompt(name), "X-Prompt-Prefix": f"{name}:1200"}
            asked = session.post(url, headers=headers, data=b"prompt")
        async with asked as response:
            await response.read()
            return response.status


async def press(found: list[Gateway], path: str, shares: list[int]) -> list[int]:
    """Let each gateway have its share of the callers; return the statuses."""
    statuses: list[int] = []
    until = time.monotonic() + PLAY_SECONDS

    async def ask_on(gateway: Gateway, caller: int) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            name = f"{gateway.settings.host}-{caller}-{number}"
            statuses.append(await call(gateway, path, name))
            await asyncio.sleep(PAUSE_SECONDS)

    callers = [
        ask_on(gateway, caller)
        for gateway, share in zip(found, shares, strict=True)
        for caller in range(share)
    ]
    await asyncio.gather(*callers)
    return statuses


# Guards against a host in need that gets more requests than it takes: each gateway that
# passes on its answers knows the limit, and all of them send what their callers ask.
@pytest.mark.parametrize("shares", [[2, 2, 2], [6, 0, 0], [5, 1, 0]])
def test_host_gets_no_more_than_its_limit_from_all_gateways(shares: list[int]) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = LimitedDesk(str(LIMIT))
            await env.serve_desk("d-1", desk)
            async with gateways(env, 3) as found:
                await wait_until(lambda: all("d-1" in g.core.links for g in found))
                statuses = await press(found, "/read/a", shares)
            since = desk.times[0] + STABLE_SECONDS
            assert count_most(desk.times, since) <= WINDOW_SECONDS * LIMIT + 2
            assert set(statuses) <= {200, 429, 503}
            assert statuses.count(200) == len(desk.times)

    run(scenario())


# As above for an engine, where the prompt is read apart.
@pytest.mark.parametrize("limited", ["p-1", "d-1"])
def test_engine_gets_no_more_than_its_limit(limited: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engines = [StagedEngine("p-2", "prefill"), StagedEngine("d-2", "decode")]
            phase = "prefill" if limited == "p-1" else "decode"
            slow = LimitedEngine(limited, phase)
            for engine in (slow, *engines):
                await env.serve_engine(engine)
            async with gateways(env, 2) as found:
                await wait_until(lambda: all(limited in g.core.links for g in found))
                statuses = await press(found, "/draft/a", [3, 1])
            since = slow.times[0] + STABLE_SECONDS
            assert count_most(slow.times, since) <= WINDOW_SECONDS * LIMIT + 2
            # The other engine of the role serves what the limited one doesn't take.
            assert statuses.count(200) > len(statuses) / 2

    run(scenario())


# Guards against refusals by an odd value, and for longer than a limit is named.
@pytest.mark.parametrize(
    "limit", ["", "none", "-3", "nan", "inf", "1e999", "4 a second"]
)
def test_odd_value_is_no_limit(limit: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", LimitedDesk(limit))
            statuses = [await call(env.gateway, "/read/a", f"r-{n}") for n in range(30)]
            assert statuses == [200] * 30

    run(scenario())


def test_limit_ends_with_the_first_answer_without_it() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = LimitedDesk("2")
            await env.serve_desk("d-1", desk)
            await wait_for_status(env, 429)
            desk.limit = ""
            await wait_for_status(env, 200)
            statuses = [await call(env.gateway, "/read/a", f"s-{n}") for n in range(30)]
            assert statuses == [200] * 30

    run(scenario())


async def wait_for_status(env: Deployment, status: int) -> None:
    """Send requests until one is answered with this status."""
    answered: list[int] = []
    has_status: Callable[[], bool] = lambda: status in answered  # noqa: E731
    async with asyncio.timeout(10.0):
        while not has_status():
            answered.append(await call(env.gateway, "/read/a", f"r-{time.monotonic()}"))
