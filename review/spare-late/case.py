"""Two late writes of a server that has left bring it back."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any, Final

from aiohttp import web

from review.rig_2 import (
    BROKEN,
    HEARTBEAT_SECONDS,
    HELD,
    STABLE_SECONDS,
    ZONES,
    CannotRunError,
    Case,
    Gateway,
    Server,
    make_route,
)

SERVICE: Final = "booking-app"
DRAIN_SECONDS: Final = 2.0
"""`drainMs`."""
LOST_BEFORE_SECONDS: Final = (4.4, 3.2)
"""Times before the removal at which these writes were sent; `stableMs` is 3 s."""
LATE_AFTER_SECONDS: Final = (1.0, 2.4)
"""Times after the removal at which they are carried out, 5.4 and 5.6 s late."""
WATCH_SECONDS: Final = 9.0
PAUSE_SECONDS: Final = 0.1


class Desk(Server):
    """Play a server that records which requests reach it."""

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Run a request."""
        if self.check_target(request) is None:
            name = request.headers["X-Request-Id"]
            self.case.arrivals.append((time.monotonic(), self.name, name))
        return await super().answer(request)


class LateWrites(Case):
    """The platform takes a server away; two of its writes are carried out after."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.arrivals: list[tuple[float, str, str]] = []

    async def play(self) -> int:
        """Play the case; return the exit code."""
        for number, zone in enumerate(ZONES[1:], 1):
            server = Desk(self, f"{SERVICE}-{number}", SERVICE, zone)
            self.servers.append(server)
            await server.start()
        route = make_route("reminder", "safe", SERVICE)
        self.store.configure(3, [route], [{"name": SERVICE}])
        for zone in ZONES:
            self.start_gateway(await self.add_gateway(zone))
        await self.wait_ready()
        for gateway in self.gateways:
            self.spawn(self._send(gateway))
        await asyncio.sleep(2 * STABLE_SECONDS)
        leaving = self.servers[0]
        lost = [self._lose_write(leaving)]
        await asyncio.sleep(LOST_BEFORE_SECONDS[0] - LOST_BEFORE_SECONDS[1])
        lost.append(self._lose_write(leaving))
        await asyncio.sleep(LOST_BEFORE_SECONDS[1])
        # From now on the server writes no more; it serves on for some seconds.
        self.servers.remove(leaving)
        self.store.put("servers", leaving.name, None)
        removed_at = self.record.write(f"{leaving.name}: its entry is removed")
        if self.has_trouble:
            for seconds, entry in zip(LATE_AFTER_SECONDS, lost, strict=True):
                await asyncio.sleep(removed_at + seconds - time.monotonic())
                self._carry_out(leaving.name, entry)
            # The platform removes what has been silent for three heartbeats.
            await asyncio.sleep(3 * HEARTBEAT_SECONDS)
            self.store.put("servers", leaving.name, None)
            self.record.write(f"{leaving.name}: its entry is removed again")
        await asyncio.sleep(removed_at + WATCH_SECONDS - time.monotonic())
        self.servers.append(leaving)
        return self._judge(leaving.name, removed_at)

    def _lose_write(self, server: Server) -> dict[str, Any]:
        """Let the server write an entry, on time or, in trouble, late."""
        entry = server.describe()
        if self.has_trouble:
            self.record.write(f"{server.name}: write {entry['sequence']} not answered")
        else:
            self.store.refresh(server.name, entry)
        return entry

    def _carry_out(self, name: str, entry: dict[str, Any]) -> None:
        """Carry a late write out: a row that appears is a change, a count is none."""
        if self.store.is_listed(name):
            self.store.refresh(name, entry)
        else:
            self.store.put("servers", name, entry)
        self.record.write(f"{name}: write {entry['sequence']} is carried out late")

    async def _send(self, gateway: Gateway) -> None:
        while True:
            self.spawn(self.ask(gateway, "/reminder/2f"))
            await asyncio.sleep(PAUSE_SECONDS)

    def _judge(self, name: str, removed_at: float) -> int:
        sent = {answer.request: answer.sent_at for answer in self.answers}
        late = [
            at - removed_at
            for at, server, request in self.arrivals
            if server == name and sent.get(request, 0.0) > removed_at + DRAIN_SECONDS
        ]
        if not self.arrivals:
            raise CannotRunError("nothing was run")
        text = "requests sent and arrived later than drainMs after the removal"
        self.record.write(f"{text}: {len(late)}, at {[round(at, 1) for at in late]}")
        return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(LateWrites(Path(__file__).parent).run())
