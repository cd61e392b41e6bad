"""Link that exchanges messages with one peer over one stream."""

import asyncio
import contextlib
import math
import time
from collections.abc import Callable
from typing import Any, Final, Protocol

from radishtally.links.codec import decode_frame, encode_frame
from radishtally.links.const import (
    IDLE_PING_INTERVAL_SECONDS,
    MAX_OUTBOX_BYTES,
    PING_INTERVAL_SECONDS,
    TARGET_FRAME_BYTES,
)
from radishtally.links.heartbeat import Heartbeat
from radishtally.links.kinds import Message
from radishtally.links.messages import Chunk, Hello, Interval, Offer, Ping, Pong

CHECK_SECONDS: Final = 0.25
"""Granularity of the times at which links are checked."""
UNSOLICITED: Final = 0
"""Sequence number of a pong that answers no ping."""
INTERVAL_TOLERANCE: Final = 0.2
"""Relative change of the ping interval up to which it is not announced to the peer."""


class Stream(Protocol):
    """Define the common interface of grpclib's client and server streams."""

    async def send_message(self, message: Any) -> None:
        """Send a frame."""

    async def recv_message(self) -> Any:
        """Receive a frame, or none at the end of the stream."""


class Link:
    """Run one stream to a peer, from the exchange of hellos to its end."""

    def __init__(
        self,
        stream: Stream,
        hello: Hello,
        receive: Callable[["Link", Message], None],
        is_busy: Callable[[str], bool],
        leads: bool = True,
        get_spacing: Callable[[], float] = lambda: 0.0,
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
        self._get_spacing = get_spacing
        self._timer: asyncio.TimerHandle | None = None
        self._check_at = float("inf")
        self._closed = asyncio.get_running_loop().create_future()
        self._interval = IDLE_PING_INTERVAL_SECONDS
        """Ping interval that was last announced to the peer."""
        self._sequence = 0
        self._acknowledged = 0
        self._revision = hello.revision

    async def run(self) -> None:
        """Exchange messages until the link ends, and set `reason`."""
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
        """Queue a message; messages that are queued together share a frame."""
        self._queue(message)
        if self._leads:
            self._check_by(time.monotonic() + PING_INTERVAL_SECONDS)

    def _queue(self, message: Message) -> None:
        self._outbox.append(message)
        self._outbox_bytes += _estimate_size(message)
        self._wake.set()
        # A peer that reads nothing must not exhaust this process's memory. Agents
        # retain their answers, so a new link can resume them. The limit has to be
        # checked here and not between frames, since sending a frame to such a peer
        # never ends.
        if self._outbox_bytes > MAX_OUTBOX_BYTES:
            self.close("the peer reads too slowly")

    def announce_if_changed(self, revision: int) -> None:
        """Announce a revision to the peer unless it was the last one announced."""
        if revision != self._revision:
            self.announce(revision)

    def announce(self, revision: int) -> None:
        """Announce to the peer the configuration revision that is in force here."""
        self._revision = revision
        # An unsolicited pong, which needs no answer: the peer announces its own
        # revision as soon as it has applied the same one.
        self._queue(Pong(UNSOLICITED, revision))

    def ping(self) -> None:
        """Send a ping, which the peer answers with a pong."""
        self._sequence += 1
        self._heartbeat.record_ping(time.monotonic())
        self._queue(Ping(self._sequence, self._revision))

    def _announce_interval(self, seconds: float) -> None:
        """Announce the ping interval to the peer if it has changed much."""
        seconds = max(seconds, IDLE_PING_INTERVAL_SECONDS)
        if abs(seconds - self._interval) <= INTERVAL_TOLERANCE * self._interval:
            return
        self._interval = seconds
        self._queue(Interval(seconds))

    def is_flushed(self) -> bool:
        """Return whether the peer has received everything up to the last ping."""
        return self._acknowledged >= self._sequence

    def close(self, reason: str) -> None:
        """Close the link."""
        self.reason = reason
        if not self._closed.done():
            self._closed.set_result(None)

    async def _send_all(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._outbox:
                await self._stream.send_message(encode_frame(self._pop_frame()))

    def _pop_frame(self) -> list[Message]:
        """Remove from the outbox the messages of the next frame."""
        # With all messages for a slow peer in one frame, the frame could exceed the
        # peer's limit. The peer would close the link, and each later one under load.
        size = count = 0
        for message in self._outbox:
            size += _estimate_size(message)
            count += 1
            if size >= TARGET_FRAME_BYTES:
                break
        messages, self._outbox = self._outbox[:count], self._outbox[count:]
        self._outbox_bytes -= size
        return messages

    async def _receive_all(self) -> None:
        while (frame := await self._stream.recv_message()) is not None:
            self._heartbeat.record_received(time.monotonic())
            outcome = decode_frame(frame)
            if outcome.is_error():
                self.reason = str(outcome.error)
                return
            for message in outcome.ok:
                self._handle(message)

    def _handle(self, message: Message) -> None:
        if isinstance(message, Hello) and self.peer is None:
            self.peer = message
        if self.peer is None:
            self.close("the peer did not say hello")
            return
        if isinstance(message, Ping):
            self._heartbeat.record_peer_ping(time.monotonic())
            self._queue(Pong(message.sequence, self._revision))
        if isinstance(message, Interval):
            self._heartbeat.set_peer_interval(message.seconds)
            return
        if isinstance(message, Pong):
            self._acknowledged = max(self._acknowledged, message.sequence)
        self._receive(self, message)

    def _check(self) -> None:
        """Ping the peer if a ping is due, and close the link if it is silent."""
        # A connection that a middlebox has lost track of raises no error, and without
        # heartbeats its answers would be awaited until their deadlines. A link that is
        # closed here is redialled at once.
        busy = self.peer is not None and self._is_busy(self.peer.host)
        spacing = self._get_spacing()
        now = time.monotonic()
        # After a pause of this process the last received data is old, although newer
        # data may be waiting to be read. So it pings first, and closes the link later.
        woken = now - self._check_at > PING_INTERVAL_SECONDS
        if now >= self._heartbeat.silence_deadline(busy, spacing) and not woken:
            self.close(self.reason or "silent")
            return
        if woken or now >= self._heartbeat.next_ping_at(busy, spacing):
            self.ping()
        if self._leads:
            self._announce_interval(spacing)
        due = self._heartbeat.next_ping_at(busy, spacing)
        due = min(due, self._heartbeat.silence_deadline(busy, spacing))
        self._schedule_check(due)

    def _check_by(self, when: float) -> None:
        """Check the link by a given time, since it may have become busy."""
        if when < self._check_at and self._timer is not None:
            self._schedule_check(when)

    def _schedule_check(self, when: float) -> None:
        if self._closed.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        # Checks of several links are aligned. A process that wakes up for each link
        # separately needs three times as much CPU time per ping, due to cold caches.
        when = math.floor(when / CHECK_SECONDS + 1) * CHECK_SECONDS
        self._check_at = when
        delay = when - time.monotonic()
        self._timer = asyncio.get_running_loop().call_later(delay, self._check)


def _estimate_size(message: Message) -> int:
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
