"""Exchange messages with one peer over one stream."""

import asyncio
import contextlib
import math
import time
from collections.abc import Callable
from typing import Any, Final, Protocol

from radishtally.links.codec import decode_frame, encode_frame
from radishtally.links.const import (
    FRAME_BYTES,
    IDLE_PING_SECONDS,
    MAX_OUTBOX_BYTES,
    PING_SECONDS,
)
from radishtally.links.heartbeat import Heartbeat
from radishtally.links.messages import (
    Chunk,
    Hello,
    Interval,
    Message,
    Offer,
    Ping,
    Pong,
)

CHECK_SECONDS: Final = 0.25
"""Times at which links are looked at are multiples of this."""
UNASKED: Final = 0
"""Sequence number of a pong that answers no ping."""
INTERVAL_TOLERANCE: Final = 0.2
"""Part by which an interval may change without a word to the peer."""


class Stream(Protocol):
    """Be what grpclib's client and server streams have in common."""

    async def send_message(self, message: Any) -> None:
        """Send a frame."""

    async def recv_message(self) -> Any:
        """Receive a frame, or nothing at the stream's end."""


class Link:
    """Hold one stream to a peer, from the exchange of hellos to its end."""

    def __init__(
        self,
        stream: Stream,
        hello: Hello,
        receive: Callable[["Link", Message], None],
        is_busy: Callable[[str], bool],
        leads: bool = True,
        find_spacing: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.peer: Hello | None = None
        self.reason = ""
        self._stream = stream
        self._hello = hello
        self._receive = receive
        self._is_busy = is_busy
        self._outbox: list[Message] = []
        self._outbox_bytes = 0
        self._wake = asyncio.Event()
        self._heartbeat = Heartbeat(leads, time.monotonic())
        self._leads = leads
        self._find_spacing = find_spacing
        self._timer: asyncio.TimerHandle | None = None
        self._check_at = float("inf")
        self._closed = asyncio.get_running_loop().create_future()
        self._interval = IDLE_PING_SECONDS
        """Interval that the peer goes by."""
        self._sequence = 0
        self._answered = 0
        self._revision = hello.revision

    async def run(self) -> None:
        """Exchange messages until the link ends; `reason` tells why."""
        self._outbox.insert(0, self._hello)
        self._wake.set()
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (self._send_all(), self._receive_all())
        ]
        ends = [*tasks, self._closed]
        if self._leads:
            self.ping()
        self._check()
        try:
            done, _ = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            self.reason = self.reason or _describe_end(done)
        finally:
            self.close(self.reason)
            self._timer.cancel()
            for task in tasks:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, message: Message) -> None:
        """Queue a message; what is queued together goes in one frame."""
        self._queue(message)
        if self._leads:
            self._check_by(time.monotonic() + PING_SECONDS)

    def _queue(self, message: Message) -> None:
        self._outbox.append(message)
        self._outbox_bytes += _measure(message)
        self._wake.set()
        # A peer that takes nothing must not take the whole memory with it. The answers
        # are kept by their agents, so a new link can go on from there. Looked at only
        # between frames the bound would not hold: a peer that reads nothing lets a
        # frame's sending never end.
        if self._outbox_bytes > MAX_OUTBOX_BYTES:
            self.close("the peer reads too slowly")

    def renew(self, revision: int) -> None:
        """Tell the peer which revision is in force here, if it was told another."""
        if revision != self._revision:
            self.announce(revision)

    def announce(self, revision: int) -> None:
        """Tell the peer at once which configuration revision is in force here."""
        self._revision = revision
        # A pong that nobody asked for: the peer's own word comes once it has the same
        # revision in force, so an answer to a ping would only be a message more.
        self._queue(Pong(UNASKED, revision))

    def ping(self) -> None:
        """Ask the peer for a sign of life."""
        self._sequence += 1
        self._heartbeat.ping(time.monotonic())
        self._queue(Ping(self._sequence, self._revision))

    def _tell_interval(self, seconds: float) -> None:
        """Tell the peer when to miss a ping, if that has changed much."""
        seconds = max(seconds, IDLE_PING_SECONDS)
        if abs(seconds - self._interval) <= INTERVAL_TOLERANCE * self._interval:
            return
        self._interval = seconds
        self._queue(Interval(seconds))

    def is_flushed(self) -> bool:
        """Tell whether the peer has taken everything up to the last ping."""
        return self._answered >= self._sequence

    def close(self, reason: str) -> None:
        """End the link."""
        self.reason = reason
        if not self._closed.done():
            self._closed.set_result(None)

    async def _send_all(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._outbox:
                await self._stream.send_message(encode_frame(self._take_frame()))

    def _take_frame(self) -> list[Message]:
        """Take what goes in one frame."""
        # All that waits for a slow peer in one frame would be over what a peer takes:
        # it would end the link, and so the next one, whenever much is under way.
        size = count = 0
        for message in self._outbox:
            size += _measure(message)
            count += 1
            if size >= FRAME_BYTES:
                break
        messages, self._outbox = self._outbox[:count], self._outbox[count:]
        self._outbox_bytes -= size
        return messages

    async def _receive_all(self) -> None:
        while (frame := await self._stream.recv_message()) is not None:
            self._heartbeat.hear(time.monotonic())
            outcome = decode_frame(frame)
            if outcome.is_error():
                self.reason = str(outcome.error)
                return
            for message in outcome.ok:
                self._take(message)

    def _take(self, message: Message) -> None:
        if isinstance(message, Hello) and self.peer is None:
            self.peer = message
        if self.peer is None:
            self.close("the peer did not say hello")
            return
        if isinstance(message, Ping):
            self._heartbeat.take_ping(time.monotonic())
            self._queue(Pong(message.sequence, self._revision))
        if isinstance(message, Interval):
            self._heartbeat.take_interval(message.seconds)
            return
        if isinstance(message, Pong):
            self._answered = max(self._answered, message.sequence)
        self._receive(self, message)

    def _check(self) -> None:
        """Ping the peer if it is time, and give the link up if it is silent."""
        # A connection that something between the ends has lost track of gives no
        # error, only silence: without heartbeats its answers would wait until their
        # deadlines. A link that is given up here is dialled anew at once.
        busy = self.peer is not None and self._is_busy(self.peer.host)
        spacing = self._find_spacing()
        now = time.monotonic()
        # A process that wakes from a pause finds only old signs of life, although
        # others may wait to be read: it asks before it gives the link up.
        woken = now - self._check_at > PING_SECONDS
        if now >= self._heartbeat.silent_at(busy, spacing) and not woken:
            self.close(self.reason or "silent")
            return
        if woken or now >= self._heartbeat.next_ping(busy, spacing):
            self.ping()
        if self._leads:
            self._tell_interval(spacing)
        due = self._heartbeat.next_ping(busy, spacing)
        due = min(due, self._heartbeat.silent_at(busy, spacing))
        self._arm(due)

    def _check_by(self, when: float) -> None:
        """Check the link no later than at a time: it may have become busy."""
        if when < self._check_at and self._timer is not None:
            self._arm(when)

    def _arm(self, when: float) -> None:
        if self._closed.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        # Links are looked at together: a process that wakes for each by itself pays
        # three times as much for a ping, since nothing it needs is in the caches.
        when = math.floor(when / CHECK_SECONDS + 1) * CHECK_SECONDS
        self._check_at = when
        delay = when - time.monotonic()
        self._timer = asyncio.get_running_loop().call_later(delay, self._check)


def _measure(message: Message) -> int:
    if isinstance(message, Chunk):
        return len(message.data) + 64
    if isinstance(message, Offer):
        return len(message.work.body) + len(message.done) + 256
    return 128


def _describe_end(done: set[asyncio.Task]) -> str:
    for task in done:
        if task.exception() is not None:
            return repr(task.exception())
    return "closed by the peer"
