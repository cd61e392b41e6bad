"""A gateway is cut off for five seconds; later it crashes while streams run there."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.cut2 import Link  # noqa: E402
from review.lib2 import (  # noqa: E402
    Gateway,
    Programs,
    Record,
    Store,
    allocate_ip,
    find_trouble,
    run,
)
from review.streams2 import Streams, count_reasons, start_engines  # noqa: E402
from review.view2 import StoreView  # noqa: E402

CUT_SECONDS = 5.0
BACK_SECONDS = 1.0
"""Time after the cut until the balancer hands the gateway connections again."""
CALM_SECONDS = 3.0
"""Time for which it then works."""
CUT_OFF = 4
"""Number of the gateway that is cut off, the last one of the sheet's four."""


class Deployment:
    """Four gateways, of which one can be cut off, seven model servers and the store."""

    def __init__(self, record: Record, programs: Programs) -> None:
        self._record = record
        self._programs = programs
        self._links: list[Link] = []

    def _make_link(self, target: str, is_outgoing: bool) -> str:
        link = Link(target, is_outgoing)
        link.start(allocate_ip(50))
        self._links.append(link)
        return link.address

    async def start(self) -> None:
        """Start all processes."""
        _, address = await self._programs.start_ready(
            "store", ["python3", "-m", "standins.rows", "--address", "127.0.0.1"]
        )
        store = Store(address, self._record)
        engines = await start_engines(self._programs, store, "--still")
        shown = {one: self._make_link(one, True) for one in engines.values()}
        gateways = [Gateway(self._programs, n, "howrah", address) for n in (1, 2, 3)]
        peer = f"{allocate_ip(CUT_OFF)}:7380"
        told = self._make_link(peer, False)
        self.view = StoreView(address, shown, (peer, told))
        path = self._make_link(await self.view.start(allocate_ip(51)), True)
        self.gateway = Gateway(self._programs, CUT_OFF, "howrah", path)
        self.address = self._make_link(self.gateway.address, False)
        for gateway in (*gateways, self.gateway):
            await gateway.wait_ready()
        self.others = [gateway.address for gateway in gateways]

    def cut(self) -> None:
        """Cut the gateway off from everything."""
        self._record.write(f"{self.gateway.name} is cut off")
        for link in self._links:
            link.cut()

    def heal(self) -> None:
        """End the cut."""
        self._record.write(f"{self.gateway.name} is back")
        for link in self._links:
            link.heal()


async def scenario(record: Record, programs: Programs) -> int:
    """Cut a gateway off, let it work again, end it, and take its streams up."""
    fleet = Deployment(record, programs)
    await fleet.start()
    streams = Streams(record)
    await asyncio.sleep(5.0)
    early = await streams.begin([fleet.address], "early", 2.0)
    if find_trouble():
        fleet.cut()
    await asyncio.sleep(CUT_SECONDS)
    if find_trouble():
        fleet.heal()
    await asyncio.sleep(BACK_SECONDS)
    late = await streams.begin([fleet.address], "late", CALM_SECONDS)
    fleet.gateway.process.kill()
    record.write(f"{fleet.gateway.name} is killed")
    result = await streams.take_up(late, fleet.others)
    for stream in early:
        await stream.finish()
    await fleet.view.stop()
    record.write(f"refusals of all gateways by code: {count_reasons(programs)}")
    return result


run(scenario, Path(__file__).parent)
