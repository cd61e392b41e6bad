"""Stand-in hosts that crash when they start a poison request, and restart."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
from aiohttp import web

from radishtally.gateway.daemon import Gateway
from standins.spoiling import RunFault
from standins.staged import StagedEngine, make_event
from tests.gateway.common import (
    LOOPBACK,
    Deployment,
    deployment,
    make_prompt,
    run_gateway,
    wait_until,
)
from tests.gateway.test_calls import answer_whole

POISON = b"poison"
CRASH_SECONDS = 0.02
"""Time from the last event of an engine to its crash, so that the event is received."""


class CrashingServer:
    """Serve until told to abort everything at once, like a killed process."""

    _runner: web.AppRunner | None = None
    _port = 0

    @property
    def has_crashed(self) -> bool:
        """Return whether the server is not listening."""
        return self._runner is None

    async def listen(self, app: web.Application) -> str:
        """Listen, on the same port as before if there was one; return the address."""
        self._runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, self._port, reuse_address=True)
        await site.start()
        self._port = self._runner.addresses[0][1]
        return f"{LOOPBACK}:{self._port}"

    def abort_all(self) -> None:
        """Stop listening and abort all connections."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for site in list(runner.sites):
            site._server.close()
        for connection in runner.server.connections:
            connection.transport.abort()


class CrashingDesk(CrashingServer):
    """Serve the plain service as a host that crashes on calls to one path."""

    def __init__(self, name: str, env: Deployment) -> None:
        self._name = name
        self._made = env

    async def start(self) -> None:
        """Listen, and wait until the gateway has discovered the host."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._made.announce(self._name, await self.listen(app), "desk")
        await self._made.wait_for(self._name)

    async def _answer(self, request: web.Request) -> web.Response:
        if request.path.endswith("poison"):
            self.abort_all()
        return await answer_whole(request)


class CrashingEngine(CrashingServer, StagedEngine):
    """Simulate an engine that crashes when it starts to decode a poison prompt."""

    def __init__(self, name: str, phase: str, env: Deployment) -> None:
        super().__init__(name, phase)
        self.crashes = 0
        self.arrivals = 0
        """Number of poison prompts that arrived for decoding."""
        self.survives_poison = False
        """Whether it serves the poison prompt, as a fixed release does."""
        self.poison_parts: frozenset[str] = frozenset()
        """Prompt parts that crash it, whatever else the prompt holds."""
        self.events_before_crash = 0
        """Events of the answer that it sends before a poison part crashes it."""
        self._made = env
        self._name = name

    async def start(self) -> None:
        """Listen on the same address under a new id, and write its entry."""
        self.instance = f"{self._name}-{self.crashes}"
        await self.relisten()

    async def relisten(self) -> None:
        """Listen on the same address and under the same id as before."""
        address = await self.listen(self.build_app())
        self._made.addresses[self.instance] = address
        self._made.announce_engine(self)

    async def crash(self) -> None:
        """Crash unless already crashed."""
        self.crashes += not self.has_crashed
        self.abort_all()

    async def _stream(
        self, request: web.Request, request_id: str, signature: str, fault: RunFault
    ) -> web.StreamResponse:
        has_poison_part = not self.poison_parts.isdisjoint(list_parts(request))
        if await request.read() != POISON and not has_poison_part:
            return await super()._stream(request, request_id, signature, fault)
        self.arrivals += 1
        if self.survives_poison:
            return await super()._stream(request, request_id, signature, fault)
        response = web.StreamResponse(headers={"X-Server-Signature": signature})
        await response.prepare(request)
        asked = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(asked, asked + self.events_before_crash):
            await response.write(make_event(request_id, number, self.version))
        await asyncio.sleep(CRASH_SECONDS if self.events_before_crash else 0.0)
        await self.crash()
        return response


def list_parts(request: web.Request) -> list[str]:
    """List the names of the parts of a request's prompt."""
    entries = request.headers.get("X-Prompt-Prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


EngineFactory = Callable[[str, str, Deployment], CrashingEngine]


class Fleet:
    """Hold engines that may crash, and the gateways in front of them."""

    def __init__(
        self,
        env: Deployment,
        urls: list[str],
        answering: int,
        make_engine: "EngineFactory",
    ) -> None:
        self.env = env
        self.urls = urls
        self.gateways = [env.gateway]
        self.prefill_engine = CrashingEngine("p", "prefill", env)
        self.decode_engines = [
            make_engine(f"d{n}", "decode", env) for n in range(answering)
        ]

    @property
    def crashes(self) -> int:
        """Return the number of crashes of the decode engines."""
        return sum(engine.crashes for engine in self.decode_engines)

    @property
    def arrivals(self) -> int:
        """Return the number of poison prompts that arrived for decoding."""
        return sum(engine.arrivals for engine in self.decode_engines)

    async def restart_crashed(self) -> None:
        """Restart the engines that have crashed."""
        for engine in self.decode_engines:
            if engine.has_crashed:
                self.env.withdraw(engine.instance)
                await engine.start()

    async def send(
        self, number: int, name: str, body: bytes = POISON, path: str = "/sheet/a"
    ) -> tuple[int, bytes]:
        """Send a request to a gateway; return status 0 if its answer is aborted."""
        url = self.urls[number % len(self.urls)] + path
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(
                    url, headers=make_prompt(name), data=body
                ) as response:
                    return response.status, await response.read()
            except aiohttp.ClientError:
                return 0, b""

    async def send_prompt(
        self,
        number: int,
        name: str,
        parts: Sequence[str],
        path: str = "/sheet/a",
        **more: str,
    ) -> tuple[int, bytes]:
        """Send a prompt of these parts and one of its own; return status 0 if aborted.

        The body is unique to the request as well.
        """
        prefix = ",".join(f"{part}:100" for part in (*parts, f"own-{name}"))
        headers = make_prompt(name) | {"X-Prompt-Prefix": prefix} | more
        url = self.urls[number % len(self.urls)] + path
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(
                    url, headers=headers, data=name.encode()
                ) as response:
                    return response.status, await response.read()
            except aiohttp.ClientError:
                return 0, b""

    def poison(self, *parts: str, events_before_crash: int = 0) -> None:
        """Let all decode engines crash on prompts with one of these parts."""
        for engine in self.decode_engines:
            engine.poison_parts = frozenset(parts)
            engine.events_before_crash = events_before_crash

    async def ask(self, name: str) -> aiohttp.ClientResponse:
        """Send the poison prompt to the first gateway; return its complete answer."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{self.urls[0]}/sheet/a", headers=make_prompt(name), data=POISON
            ) as response,
        ):
            await response.read()
            return response

    async def wait_for_runs(self, count: int) -> None:
        """Wait until at least this many requests are running."""
        await wait_until(
            lambda: sum(len(engine.runs) for engine in self.decode_engines) >= count
        )

    @asynccontextmanager
    async def run_another(self, host: str) -> AsyncIterator[Gateway]:
        """Run another gateway that is linked to the others."""
        async with run_gateway(self.env.store, host) as gateway:
            self.gateways.append(gateway)
            self.urls.append(f"http://{gateway.settings.address}")
            await wait_for_engines(self)
            await wait_for_links(self)
            yield gateway


@asynccontextmanager
async def run_fleet(
    answering: int, gateways: int = 1, make_engine: EngineFactory | None = None
) -> AsyncIterator[Fleet]:
    """Run engines behind linked gateways."""
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(deployment())
        fleet = Fleet(env, [env.url], answering, make_engine or CrashingEngine)
        for engine in (fleet.prefill_engine, *fleet.decode_engines):
            await engine.start()
        for number in range(2, gateways + 1):
            await stack.enter_async_context(fleet.run_another(f"gateway-{number}"))
        await wait_for_engines(fleet)
        yield fleet


async def wait_for_engines(fleet: Fleet) -> None:
    """Wait until each gateway lists exactly the current engines."""
    names = {
        engine.instance for engine in (fleet.prefill_engine, *fleet.decode_engines)
    }
    for gateway in fleet.gateways:
        await wait_until(lambda g=gateway: g.core.links.keys() == names)


async def wait_for_links(fleet: Fleet) -> None:
    """Wait until all gateways are linked to each other."""
    others = len(fleet.gateways) - 1
    for gateway in fleet.gateways if others else ():
        await wait_until(
            lambda g=gateway: g.peers._hub and len(g.peers._hub.hosts) == others
        )
