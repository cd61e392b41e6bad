"""Hosts that end when they begin to run a certain request, and start again."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
from aiohttp import web

from radishtally.gateway.daemon import Gateway
from standins.spoiling import RunFault
from standins.staged import StagedEngine
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


class CrashingServer:
    """Listen, and end at once with all connections."""

    _runner: web.AppRunner | None = None
    _port = 0

    @property
    def has_crashed(self) -> bool:
        """Tell whether nothing listens here."""
        return self._runner is None

    async def listen(self, app: web.Application) -> str:
        """Listen where it did before; give the address."""
        self._runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, self._port, reuse_address=True)
        await site.start()
        self._port = self._runner.addresses[0][1]
        return f"{LOOPBACK}:{self._port}"

    def abort_all(self) -> None:
        """End without a word to anybody."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for site in list(runner.sites):
            site._server.close()
        for connection in runner.server.connections:
            connection.transport.abort()


class CrashingDesk(CrashingServer):
    """Be a host of the plain service that ends under calls of one path."""

    def __init__(self, name: str, env: Deployment) -> None:
        self._name = name
        self._made = env

    async def start(self) -> None:
        """Listen, and wait until the gateway knows it."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._made.announce(self._name, await self.listen(app), "desk")
        await self._made.wait_for(self._name)

    async def _answer(self, request: web.Request) -> web.Response:
        if request.path.endswith("poison"):
            self.abort_all()
        return await answer_whole(request)


class CrashingEngine(CrashingServer, StagedEngine):
    """End at once, with all its connections, as a poison prompt begins to run."""

    def __init__(self, name: str, phase: str, env: Deployment) -> None:
        super().__init__(name, phase)
        self.crashes = 0
        self.arrivals = 0
        """Poison prompts that have come to be answered."""
        self.survives_poison = False
        """Whether it bears the prompt, as a mended release does."""
        self._made = env
        self._name = name

    async def start(self) -> None:
        """Listen where it did before, under a new id, and write its entry."""
        self.instance = f"{self._name}-{self.crashes}"
        await self.relisten()

    async def relisten(self) -> None:
        """Listen where it did before, as if it had never ended."""
        address = await self.listen(self.build_app())
        self._made.addresses[self.instance] = address
        self._made.announce_engine(self)

    async def crash(self) -> None:
        """End without a word to anybody."""
        self.crashes += not self.has_crashed
        self.abort_all()

    async def _stream(
        self, request: web.Request, name: str, signature: str, fault: RunFault
    ) -> web.StreamResponse:
        if await request.read() != POISON:
            return await super()._stream(request, name, signature, fault)
        self.arrivals += 1
        if self.survives_poison:
            return await super()._stream(request, name, signature, fault)
        response = web.StreamResponse(headers={"X-Server-Signature": signature})
        await response.prepare(request)
        await self.crash()
        return response


class Fleet:
    """Hold engines that may end, and the gateways before them."""

    def __init__(self, env: Deployment, urls: list[str], answering: int) -> None:
        self.env = env
        self.urls = urls
        self.gateways = [env.gateway]
        self.prefill_engine = CrashingEngine("p", "prefill", env)
        self.decode_engines = [
            CrashingEngine(f"d{n}", "decode", env) for n in range(answering)
        ]

    @property
    def crashes(self) -> int:
        """Count the ends of all engines."""
        return sum(engine.crashes for engine in self.decode_engines)

    @property
    def arrivals(self) -> int:
        """Count the poison prompts that have come to be answered."""
        return sum(engine.arrivals for engine in self.decode_engines)

    async def restart_crashed(self) -> None:
        """Start the engines anew that have ended."""
        for engine in self.decode_engines:
            if engine.has_crashed:
                self.env.withdraw(engine.instance)
                await engine.start()

    async def send(
        self, number: int, name: str, body: bytes = POISON, path: str = "/sheet/a"
    ) -> tuple[int, bytes]:
        """Send a request to one of the gateways; status 0 if its answer breaks off."""
        url = self.urls[number % len(self.urls)] + path
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(
                    url, headers=make_prompt(name), data=body
                ) as response:
                    return response.status, await response.read()
            except aiohttp.ClientError:
                return 0, b""

    async def ask(self, name: str) -> aiohttp.ClientResponse:
        """Send the poison prompt to the first gateway and give the whole answer."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{self.urls[0]}/sheet/a", headers=make_prompt(name), data=POISON
            ) as response,
        ):
            await response.read()
            return response

    async def wait_for_runs(self, count: int) -> None:
        """Wait until so many requests are answered at once."""
        await wait_until(
            lambda: sum(len(engine.runs) for engine in self.decode_engines) >= count
        )

    @asynccontextmanager
    async def run_another(self, host: str) -> AsyncIterator[Gateway]:
        """Run one more gateway, linked to the others."""
        async with run_gateway(self.env.store, host) as gateway:
            self.gateways.append(gateway)
            self.urls.append(f"http://{gateway.settings.address}")
            await wait_for_engines(self)
            await wait_for_links(self)
            yield gateway


@asynccontextmanager
async def run_fleet(answering: int, gateways: int = 1) -> AsyncIterator[Fleet]:
    """Run engines behind linked gateways."""
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(deployment())
        fleet = Fleet(env, [env.url], answering)
        for engine in (fleet.prefill_engine, *fleet.decode_engines):
            await engine.start()
        for number in range(2, gateways + 1):
            await stack.enter_async_context(fleet.run_another(f"gateway-{number}"))
        await wait_for_engines(fleet)
        yield fleet


async def wait_for_engines(fleet: Fleet) -> None:
    """Wait until each gateway lists the engines as they are, and no other."""
    names = {
        engine.instance for engine in (fleet.prefill_engine, *fleet.decode_engines)
    }
    for gateway in fleet.gateways:
        await wait_until(lambda g=gateway: g.core.links.keys() == names)


async def wait_for_links(fleet: Fleet) -> None:
    """Wait until each gateway has a link to each other one."""
    others = len(fleet.gateways) - 1
    for gateway in fleet.gateways if others else ():
        await wait_until(
            lambda g=gateway: g.peers._hub and len(g.peers._hub.hosts) == others
        )
