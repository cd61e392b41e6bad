"""Test deployment on loopback: store, engines, a plain service and one gateway."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from adapter.callers import PlatformCallers
from adapter.store import StoreClient
from adapter.table import StoreTable
from adapter.upstreams import PlatformUpstreams
from adapter.watch import StoreWatcher
from aiohttp import web

from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.config import Bounds, GatewaySettings, UsageSettings
from radishtally.gateway.daemon import Gateway
from radishtally.routes.config import HEALTH_PATH
from radishtally.usage.reporter import PlatformApi
from standins.rows import RowId, Rows
from standins.staged import StagedEngine
from tests.common import allocate_address

LOOPBACK = "127.0.0.1"
WAIT_SECONDS = 10.0
AUTHORITY = "desk.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 100_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 500_000,
    "kvTokenBytes": 35136,
    "stride": 10,
    "handleTtlS": 5.0,
    "roleSwitchS": 3.0,
}
ENTRY = {
    "zone": "howrah",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}
"""Fields of a host's entry besides its service and address."""


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route whose path prefix is its name."""
    return {
        "name": name,
        "host": AUTHORITY,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


ROUTES = (
    make_route("read", "safe", "desk"),
    make_route("book", "unsafe", "desk", maxAttempts=1),
    make_route("draft", "streaming", "llm", resumable=True),
    make_route("sheet", "streaming", "llm", maxAttempts=1),
)


@dataclass
class Deployment:
    """Hold the parts of a deployment under test."""

    rows: Rows = field(default_factory=Rows)
    store: str = ""
    gateway: Gateway | None = None
    url: str = ""
    version: int = 0
    addresses: dict[str, str] = field(default_factory=dict)
    """Addresses of engines and service hosts."""

    def configure(self, *routes: dict[str, Any], **more: Any) -> None:
        """Write a new configuration version as the operator does."""
        self.version += 3
        value = {
            "version": self.version,
            "routes": routes or ROUTES,
            "services": [{"name": "llm", "engine": ENGINE}, {"name": "desk"}],
            "limits": LIMITS,
            **more,
        }
        self.rows.write(RowId("op", "", "config"), _encode(value))

    def announce(self, host: str, address: str, service: str, **more: Any) -> None:
        """Write a host's entry as the host itself does."""
        value = {**ENTRY, "service": service, "address": address, **more}
        self.rows.write(RowId("servers", "", host), _encode(value))

    def withdraw(self, host: str) -> None:
        """Remove a host's entry."""
        self.rows.write(RowId("servers", "", host), None)

    async def serve_engine(self, engine: StagedEngine) -> None:
        """Start an engine and wait until the gateway has discovered it."""
        self.addresses[engine.instance] = await serve(engine.build_app())
        self.announce_engine(engine)
        await self.wait_for(engine.instance)

    def announce_engine(self, engine: StagedEngine, **more: Any) -> None:
        """Write an entry with an engine's current state."""
        own = {"phase": engine.phase, "slots": 64, **engine.describe_start()}
        if engine.version:
            own["version"] = engine.version
        more = {**own, **more}
        address = self.addresses[engine.instance]
        self.announce(engine.instance, address, "llm", **more)

    async def serve_desk(self, host: str, handler: "Handler", **more: Any) -> None:
        """Start a host of the plain service and wait until it is discovered."""
        app = web.Application()
        add_health_check(app, host)
        app.router.add_route("*", "/{path:.*}", handler)
        self.addresses[host] = await serve(app)
        self.announce(host, self.addresses[host], "desk", **more)
        await self.wait_for(host)

    async def wait_for_configuration(self) -> None:
        """Wait until the gateway has loaded the newest configuration."""
        router = self.gateway.router
        await wait_until(lambda: router.configuration.version == self.version)

    async def wait_for(self, host: str) -> None:
        """Wait until the gateway has discovered a host."""
        await wait_until(lambda: host in self.gateway.core.links)


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def deployment(
    rows: Rows | None = None, platform_api: PlatformApi | None = None
) -> AsyncIterator[Deployment]:
    """Run a store and a gateway that has loaded a configuration."""
    env = Deployment(rows or Rows())
    env.store = await serve(env.rows.build_app())
    env.configure()
    async with run_gateway(env.store, platform_api=platform_api) as gateway:
        env.gateway = gateway
        env.url = f"http://{gateway.settings.address}"
        yield env


@asynccontextmanager
async def run_gateway(
    store: str, host: str = "gateway-1", platform_api: PlatformApi | None = None
) -> AsyncIterator[Gateway]:
    """Run a gateway that has loaded a configuration; stop it without a drain."""
    client = StoreClient(store)
    await client.start()
    gateway = make_gateway(client, store, host, platform_api)
    watcher = StoreWatcher(client, gateway)
    gateway.confirmer.confirm = watcher.confirm_configuration
    watcher.start()
    running = asyncio.create_task(gateway.run())
    try:
        await wait_until(lambda: gateway.router.configuration is not None)
        await wait_until(lambda: gateway.frontend.is_listening)
        yield gateway
        # An error that is contained would go unnoticed.
        assert not gateway.runtime.contained_errors
    finally:
        gateway.runtime.broken |= running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await gateway.frontend.stop()
        await gateway.peers.stop()
        await gateway.hosts.stop()
        # A task that goes on without its client is reported to the next gateway.
        gateway.runtime.cancel_tasks()
        await client.stop()


def make_gateway(
    client: StoreClient,
    store: str,
    host: str,
    platform_api: PlatformApi | None = None,
) -> Gateway:
    """Make a gateway on unused addresses; with the platform's API it reports usage."""
    usage = UsageSettings(api_address="-", window_seconds=0.5, late_seconds=10.0)
    ip = allocate_address()
    settings = GatewaySettings(
        host=host,
        data_centre="howrah",
        cores=1.0,
        core_share=0.8,
        address=f"{ip}:8101",
        ready_address=f"{ip}:8102",
        metrics_address=f"{ip}:8103",
        peer_address=f"{ip}:8104",
        store_address=store,
        bounds=Bounds(
            grace_seconds=8,
            drain_ms=2000,
            lease_ms=3000,
            retry_ratio=0.2,
            retry_slack=54,
            retry_window_seconds=10,
        ),
        usage=None if platform_api is None else usage,
    )
    return Gateway(
        settings,
        PlatformCallers(),
        PlatformUpstreams(),
        EnginePlacement(),
        StoreTable(client),
        platform_api,
    )


def add_health_check(app: web.Application, host: str) -> None:
    """Answer health checks as a host of the plain service."""

    async def answer(request: web.Request) -> web.Response:
        if request.headers["X-Target-Instance"] != host:
            return web.Response(status=421)
        return web.Response(headers={"X-Instance-Id": host})

    app.router.add_get(HEALTH_PATH, answer)


async def serve(app: web.Application) -> str:
    """Serve an application until the event loop ends; return its address."""
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    return "{}:{}".format(*runner.addresses[0][:2])


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, with a timeout."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


def make_headers(name: str, **more: str) -> dict[str, str]:
    """Make the headers that callers of the deployment send."""
    return {"Host": AUTHORITY, "X-Request-Id": name, "X-Deadline-Ms": "4000", **more}


def make_prompt(name: str, **more: str) -> dict[str, str]:
    """Make the headers of a request to the engines."""
    prompt = {
        "X-Model": "m",
        "X-Token-Count": "1200,40",
        "X-Prompt-Prefix": "aa:500,bb:400,cc:300",
    }
    return make_headers(name, **prompt, **more)


def _encode(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()
