"""A part of prompts crashes servers; requests with it come several at once."""

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Final

from aiohttp import web

from review.rig_2 import (
    BROKEN,
    ENGINE,
    HELD,
    STABLE_SECONDS,
    ZONES,
    CannotRunError,
    Case,
    Engine,
    Gateway,
    make_route,
)

SERVICE: Final = "gown-llm"
PREFILLING: Final = 3
DECODING: Final = 6
ROUNDS: Final = 5
ROUND_SECONDS: Final = 5.0
STAGGER_SECONDS: Final = 0.01
"""Time between two requests of a round."""
PER_GATEWAY: Final = 2
"""Requests with the bad part that each gateway gets in a round."""
CRASH_SECONDS: Final = 0.5
"""Time from the beginning of an answer to the crash."""
DOWN_SECONDS: Final = 2.0
CRASHES_TO_KNOW: Final = 5
MOST_REQUESTS: Final = 3
SHARED, BAD, GOOD = "5c1e07a2", "91bd3f06", "44c08e1b"
PAUSE_SECONDS: Final = 0.3
DEADLINE_SECONDS: Final = 10.0


class Reader(Engine):
    """Play a model server that crashes when it begins to write on one part."""

    async def stream(self, request: web.Request, name: str) -> web.StreamResponse:
        """Stream an answer, or crash."""
        is_bad = f"{BAD}:" in request.headers.get("X-Prompt-Prefix", "")
        if not is_bad or not self.case.has_trouble:
            return await super().stream(request, name)
        self.case.record_arrival(self.name, name)
        response = web.StreamResponse()
        response.headers["Content-Type"] = "text/event-stream"
        response.headers["X-Request-Id"] = name
        response.headers["X-Server-Signature"] = self.sign()
        await response.prepare(request)
        await asyncio.sleep(CRASH_SECONDS)
        if self.is_up:
            self.case.crashed.append(time.monotonic())
            self.crash()
            self.case.spawn(self._return())
        return response

    async def _return(self) -> None:
        await asyncio.sleep(DOWN_SECONDS)
        await self.start()


class BadPart(Case):
    """Several callers send prompts with the bad part at once, again and again."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.arrivals: list[float] = []
        self.crashed: list[float] = []

    def record_arrival(self, server: str, name: str) -> None:
        """Record that a request with the bad part has reached a server to run."""
        text = f"{server}: begins to write on the bad part, {name}"
        self.arrivals.append(self.record.write(text))

    async def play(self) -> int:
        """Play the case; return the exit code."""
        for number in range(PREFILLING + DECODING):
            phase = "prefill" if number < PREFILLING else "decode"
            zone = ZONES[1 + number % 3]
            name = f"{SERVICE}-{number + 1}"
            server = Reader(self, name, SERVICE, zone, phase)
            self.servers.append(server)
            await server.start()
        route = make_route(
            "alteration",
            "streaming",
            SERVICE,
            timeoutMs=10000,
            maxAttempts=1,
            sessionAffinity=True,
            gapAimMs=300,
        )
        self.store.configure(3, [route], [{"name": SERVICE, "engine": ENGINE}])
        for zone in ZONES:
            self.start_gateway(await self.add_gateway(zone))
        await self.wait_ready()
        for gateway in self.gateways:
            self.spawn(self._send(gateway))
        await asyncio.sleep(2 * STABLE_SECONDS)
        for number in range(ROUNDS):
            self.record.write(f"round {number + 1}")
            for _ in range(PER_GATEWAY):
                for gateway in self.gateways:
                    self.spawn(self._ask(gateway, BAD))
                    await asyncio.sleep(STAGGER_SECONDS)
            await asyncio.sleep(ROUND_SECONDS)
        return self._judge()

    async def _ask(self, gateway: Gateway, part: str) -> None:
        own = f"{random.getrandbits(32):08x}"
        parts = f"{SHARED}:800,{part}:410,{own}:250"
        more = {"X_Model": "m", "X_Token_Count": "1460,40", "X_Prompt_Prefix": parts}
        body = f"the gown of {own}".encode()
        await self.ask(
            gateway, "/alteration/2f", "POST", body, DEADLINE_SECONDS, **more
        )

    async def _send(self, gateway: Gateway) -> None:
        """Send sound requests, which share the first part with the bad ones."""
        while True:
            self.spawn(self._ask(gateway, GOOD))
            await asyncio.sleep(PAUSE_SECONDS)

    def _judge(self) -> int:
        write = self.record.write
        served = sum(a.status == 200 for a in self.answers)
        write(f"answers with a head of 200: {served} of {len(self.answers)}")
        if not self.has_trouble:
            return HELD if served else BROKEN
        if len(self.crashed) < CRASHES_TO_KNOW:
            raise CannotRunError("fewer than five crashes")
        known_from = self.crashed[CRASHES_TO_KNOW - 1] + STABLE_SECONDS
        late = [at for at in self.arrivals if at > known_from]
        write(f"{len(self.crashed)} crashes")
        write(f"fifth crash and stableMs: until {self.record.show(known_from)}")
        write(f"requests with the part reached servers {len(late)} times after that")
        return BROKEN if len(late) > MOST_REQUESTS else HELD


if __name__ == "__main__":
    sys.exit(BadPart(Path(__file__).parent).run())
