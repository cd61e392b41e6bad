"""Tests of the reception of bodies while others wait for room."""

import asyncio
from collections.abc import AsyncIterator

from radishtally.inbound.bodies import TOO_SLOW, BodyReceiver
from radishtally.inbound.buffers import Buffers
from radishtally.inbound.const import FREE_BYTES
from radishtally.outcome import Refusal, Result
from tests.common import run

MEMORY_MB = 1
"""So little that the lower bound of the room for large bodies applies."""
IDLE_SECONDS = 30.0


async def stop_after(size: int) -> AsyncIterator[bytes]:
    """Yield so many bytes of a body, and nothing more."""
    yield size * b"b"
    await asyncio.Event().wait()


async def send(size: int) -> AsyncIterator[bytes]:
    """Yield a whole body."""
    yield size * b"b"


async def receive(
    receiver: BodyReceiver, buffers: Buffers, pieces: AsyncIterator[bytes], size: int
) -> Result[bytes, Refusal] | None:
    """Receive a body of known length; return None if there is no room."""
    hold = buffers.open()
    try:
        if not await receiver.reserve(hold, size):
            return None
        return await receiver.receive(pieces, hold, True, size, IDLE_SECONDS)
    finally:
        buffers.close(hold)


# Guards against clients who stop within bodies and keep all room until they time out.
def test_stopped_bodies_are_cut_off_if_others_wait() -> None:
    async def scenario() -> None:
        buffers = Buffers(MEMORY_MB)
        receiver = BodyReceiver(buffers)
        stopped = [
            asyncio.create_task(receive(receiver, buffers, stop_after(1), FREE_BYTES))
            for _ in range(400)
        ]
        while not buffers.is_short:
            await asyncio.sleep(0)
        size = FREE_BYTES + 1
        while (await receive(receiver, buffers, send(size), size)) is None:
            pass
        results = [task.result() for task in stopped if task.done()]
        cut_off = [result.error for result in results if result is not None]
        assert cut_off
        assert set(cut_off) == {TOO_SLOW}
        for task in stopped:
            task.cancel()
        await asyncio.gather(*stopped, return_exceptions=True)
        assert buffers.used == 0

    run(scenario())


# Guards against small bodies that never waited, however many there were.
def test_small_bodies_wait_beyond_their_room() -> None:
    async def scenario() -> None:
        buffers = Buffers(MEMORY_MB)
        holds = [buffers.open() for _ in range(1_000)]
        waiting = [
            asyncio.create_task(buffers.reserve(hold, FREE_BYTES)) for hold in holds
        ]
        await asyncio.sleep(0)
        assert buffers.is_short
        most = buffers.used
        for hold in holds:
            buffers.close(hold)
            await asyncio.sleep(0)
            assert buffers.used <= most
        await asyncio.gather(*waiting)
        for hold in holds:
            buffers.close(hold)
        assert buffers.used == 0

    run(scenario())
