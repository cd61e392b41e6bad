"""Keys of teams, from callers to hosts."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web
from multidict import CIMultiDict

from radishtally.usage.reporter import PlatformApi
from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import (
    ROUTES,
    Deployment,
    deployment,
    make_headers,
    make_prompt,
    make_route,
)

TENANTS = (
    {"name": "silk", "apiKeys": ["silk-1", "silk-2"], "priority": 0},
    {"name": "satin", "apiKeys": ["satin-1"]},
)
ANONYMOUS = make_route("open", "safe", "desk", anonymous=True)


class Desk:
    """Answer every request, and record the headers of all of them."""

    def __init__(self) -> None:
        self.seen: list[CIMultiDict] = []

    async def __call__(self, request: web.Request) -> web.Response:
        self.seen.append(request.headers)
        headers = {
            "X-Server-Signature": "by-desk",
            "X-Request-Id": request.headers["X-Request-Id"],
        }
        return web.Response(body=b"whole", headers=headers)


@asynccontextmanager
async def keyed_deployment(
    platform_api: PlatformApi | None = None,
) -> AsyncIterator[tuple[Deployment, Desk]]:
    """Run a deployment whose callers need keys, with one host of a plain service."""
    async with deployment(platform_api=platform_api) as env:
        env.configure(*ROUTES, ANONYMOUS, tenants=TENANTS)
        await env.wait_for_configuration()
        desk = Desk()
        await env.serve_desk("i-desk", desk)
        yield env, desk


async def ask(
    env: Deployment, name: str, *headers: tuple[str, str], path: str = "/read/x"
) -> tuple[int, dict[str, str]]:
    """Send one request with more headers; return status and headers."""
    sent = CIMultiDict([*make_headers(name).items(), *headers])
    async with (
        aiohttp.ClientSession() as session,
        session.get(env.url + path, headers=sent) as response,
    ):
        await response.read()
        return response.status, dict(response.headers)


def bear(key: str) -> tuple[str, str]:
    return "Authorization", f"Bearer {key}"


# Guards against a host that gets a caller's key, or a team that the caller has made up.
def test_host_gets_the_team_and_never_the_key() -> None:
    async def scenario() -> None:
        async with keyed_deployment() as (env, desk):
            forged = ("X-Tenant", "satin")
            status, _ = await ask(env, "keyed", bear("silk-2"), forged)
            assert status == 200
            (headers,) = desk.seen
            assert headers.getall("X-Tenant") == ["silk"]
            assert "silk-2" not in str(headers)

    run(scenario())


# Guards against a key that leaves the gateway where a prompt is prefilled apart, or
# where its answer is generated.
def test_engines_get_the_team_in_both_stages() -> None:
    seen: list[CIMultiDict] = []

    @web.middleware
    async def record(request: web.Request, handler: object) -> web.StreamResponse:
        if "X-Request-Id" in request.headers:
            seen.append(request.headers)
        return await handler(request)

    def watch(engine: StagedEngine) -> StagedEngine:
        build_app = engine.build_app

        def build_watched() -> web.Application:
            app = build_app()
            app.middlewares.append(record)
            return app

        engine.build_app = build_watched
        return engine

    async def scenario() -> None:
        async with keyed_deployment() as (env, _):
            for name, role in (("i-p", "prefill"), ("i-d", "decode")):
                await env.serve_engine(watch(StagedEngine(name, role)))
            headers = {**make_prompt("prompt"), "Authorization": "Bearer silk-1"}
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    env.url + "/draft/x", headers=headers, data=b"p"
                ) as response,
            ):
                assert response.status == 200
                await response.read()
            assert len(seen) == 2
            for headers in seen:
                assert headers.getall("X-Tenant") == ["silk"]
                assert "Authorization" not in headers
                assert headers["X-Request-Priority"] == "0"

    run(scenario())


# Guards against requests that run without a valid key, and against a refusal that does
# not tell the caller what to send.
@pytest.mark.parametrize(
    "headers",
    [
        (),
        (bear("unknown"),),
        (bear(""),),
        (("Authorization", "Basic silk-1"),),
        (("Authorization", "silk-1"),),
        (bear("silk-1"), bear("silk-1")),
        (bear("silk-1 "), bear("unknown")),
        (bear("k\u00e9y"),),
        (bear("k" * 8_000),),
    ],
)
def test_request_without_a_valid_key_reaches_no_host(
    headers: tuple[tuple[str, str], ...],
) -> None:
    async def scenario() -> None:
        async with keyed_deployment() as (env, desk):
            status, answered = await ask(env, "refused", *headers)
            assert status == 401
            assert answered["WWW-Authenticate"] == "Bearer"
            assert desk.seen == []

    run(scenario())


# Guards against an outage that a huge header causes for others.
def test_huge_key_is_refused_and_others_are_served() -> None:
    async def scenario() -> None:
        async with keyed_deployment() as (env, desk):
            status, _ = await ask(env, "huge", bear("k" * 64_000))
            assert status in (400, 431)
            assert desk.seen == []
            assert (await ask(env, "next", bear("satin-1")))[0] == 200

    run(scenario())


def test_anonymous_route_needs_no_key_and_passes_none() -> None:
    async def scenario() -> None:
        async with keyed_deployment() as (env, desk):
            forged = ("X-Tenant", "satin")
            sent = ((), (bear("silk-1"),), (bear("unknown"),), (forged,))
            for number, more in enumerate(sent):
                assert (await ask(env, f"a{number}", *more, path="/open/x"))[0] == 200
            for headers in desk.seen:
                assert "X-Tenant" not in headers
                assert "Authorization" not in headers

    run(scenario())


# Guards against dropping credentials that are the upstream's own matter.
def test_credentials_are_forwarded_if_no_teams_are_configured() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = Desk()
            await env.serve_desk("i-desk", desk)
            assert (await ask(env, "plain", bear("theirs")))[0] == 200
            (headers,) = desk.seen
            assert headers["Authorization"] == "Bearer theirs"
            assert "X-Tenant" not in headers

    run(scenario())


def test_removed_key_is_refused_and_added_key_is_served() -> None:
    async def scenario() -> None:
        async with keyed_deployment() as (env, _):
            tenants = ({**TENANTS[0], "apiKeys": ["silk-2", "silk-3"]},)
            env.configure(tenants=tenants)
            await env.wait_for_configuration()
            assert (await ask(env, "removed", bear("silk-1")))[0] == 401
            assert (await ask(env, "added", bear("silk-3")))[0] == 200

    run(scenario())
