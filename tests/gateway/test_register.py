"""What gateways write for each other, and read."""

import asyncio

import pytest

from radishtally.gateway import register
from radishtally.gateway.register import Register
from radishtally.gateway.topology import Site
from radishtally.outcome import Error, Result
from radishtally.store.core import Unavailable
from tests.common import MemoryTable, run


def make_register(table: MemoryTable, host: str = "gateway-1") -> Register:
    return Register(table, host, Site("howrah", 0.8), "127.0.0.1:8104")


# The store gets calls without end from a gateway that is starting, just as it turns
# writes away for its load: the secret is not there yet, and can't be written.
def test_store_that_turns_writes_away_is_asked_again_after_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Busy(MemoryTable):
        calls = 0

        async def transact(self, *_: object) -> Result:
            self.calls += 1
            await asyncio.sleep(0)
            return Error(Unavailable("too many calls"))

    async def play() -> None:
        table = Busy()
        monkeypatch.setattr(register, "JOIN_SECONDS", 1000.0)
        finding = asyncio.create_task(make_register(table).find_secret())
        for _ in range(50):
            await asyncio.sleep(0)
        finding.cancel()
        assert table.calls == 1

    run(play())
