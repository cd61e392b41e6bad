"""Reception of request bodies, whose bytes take room before they are read."""

import asyncio
import time
from collections.abc import AsyncIterable
from dataclasses import dataclass
from functools import partial
from typing import Final

from eliot import log_message

from radishtally.growth import GrowingRoom
from radishtally.inbound.buffers import Buffers, Hold
from radishtally.inbound.const import (
    BODY_GRACE_SECONDS,
    BODY_ROOM_SECONDS,
    CUT_OFF_SECONDS,
    MIN_BODY_RATE,
)
from radishtally.outcome import Error, Ok, Ran, Refusal, Result

NO_ROOM: Final = Refusal(
    503, "no_room", "too many large bodies are in transit", Ran.NO, retry_after=1.0
)
TOO_SLOW: Final = Refusal(
    408, "body_too_slow", "the request's body did not arrive in time"
)


@dataclass(eq=False)
class _Upload:
    """Track a body that is being received."""

    deadline: asyncio.Timeout
    started_at: float
    """Time on the steady clock, later by what it has waited for room."""
    received: int = 0
    is_waiting: bool = False

    def is_slow(self, now: float) -> bool:
        """Return whether the body arrives more slowly than its client could send it."""
        seconds = now - self.started_at - BODY_GRACE_SECONDS
        return not self.is_waiting and self.received < seconds * MIN_BODY_RATE


class BodyReceiver:
    """Receive bodies within the room there is; cut off slow ones if others wait."""

    def __init__(self, buffers: Buffers) -> None:
        self._buffers = buffers
        self._uploads: set[_Upload] = set()
        self._checked_at = float("-inf")
        buffers.on_short = self.cut_off_slow

    async def reserve(self, hold: Hold, size: int) -> bool:
        """Wait for room before a request is read on; return whether there is any."""
        try:
            async with asyncio.timeout(BODY_ROOM_SECONDS):
                await self._buffers.reserve(hold, size)
        except TimeoutError:
            return False
        return True

    async def receive(
        self,
        pieces: AsyncIterable[bytes],
        hold: Hold,
        is_length_known: bool,
        max_bytes: int,
        seconds: float,
    ) -> Result[bytes, Refusal]:
        """Receive a body; one of unknown length waits for room as it grows."""
        room = GrowingRoom(
            partial(self._buffers.reserve, hold),
            partial(self._buffers.release, hold),
            0 if is_length_known else max_bytes,
            BODY_ROOM_SECONDS,
        )
        upload = None
        try:
            async with asyncio.timeout(seconds) as deadline:
                upload = _Upload(deadline, time.monotonic())
                self._uploads.add(upload)
                return await _read(pieces, upload, room, max_bytes)
        except TimeoutError:
            return Error(TOO_SLOW)
        finally:
            self._uploads.discard(upload)

    def cut_off_slow(self) -> None:
        """End bodies that hold room and arrive slowly."""
        now = time.monotonic()
        if now < self._checked_at + CUT_OFF_SECONDS:
            return
        self._checked_at = now
        slow = [upload for upload in self._uploads if upload.is_slow(now)]
        for upload in slow:
            self._uploads.discard(upload)
            upload.deadline.reschedule(asyncio.get_running_loop().time())
        if slow:
            log_message("buffers:cut_off", bodies=len(slow))


async def _read(
    pieces: AsyncIterable[bytes], upload: _Upload, room: GrowingRoom, max_bytes: int
) -> Result[bytes, Refusal]:
    body = bytearray()
    async for piece in pieces:
        body += piece
        upload.received = len(body)
        if len(body) > max_bytes:
            return Error(describe_excess(max_bytes))
        if not await _has_room(room, upload):
            return Error(NO_ROOM)
    room.shrink(len(body))
    return Ok(bytes(body))


async def _has_room(room: GrowingRoom, upload: _Upload) -> bool:
    upload.is_waiting, waits_since = True, time.monotonic()
    try:
        await room.fit(upload.received)
    except TimeoutError:
        return False
    finally:
        upload.is_waiting = False
        upload.started_at += time.monotonic() - waits_since
    return True


def describe_excess(max_bytes: int) -> Refusal:
    """Return the refusal of a body that is over the limit."""
    return Refusal(413, "body_too_large", f"the body is over {max_bytes} bytes")
