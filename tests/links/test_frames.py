"""Frames of peers that are too large or go on without end."""

import asyncio
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import pytest
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from radishtally.links.auth import has_valid_token, make_metadata
from radishtally.links.codec import MAX_FRAME_BYTES, FrameCodec
from radishtally.links.const import METHOD_EXCHANGE
from radishtally.links.frames import send_request
from tests.common import run
from tests.links.common import KEY, Peer, wait_for

ENDS = OSError, GRPCError, ProtocolError, StreamTerminatedError
"""Errors of a stream that the other end has closed."""
PIECE = b"\0" * 65_536
MAX_SENT_BYTES = 2 * MAX_FRAME_BYTES


def is_open(stream: Any) -> bool:
    return not stream._stream._transport.is_closing()


async def send(stream: Any, data: bytes) -> None:
    """Send data as far as the other end takes it, until the connection is closed."""
    sending = asyncio.create_task(stream._stream.send_data(data))
    while not sending.done() and is_open(stream):
        await asyncio.wait([sending], timeout=0.05)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)


class EndlessPeer:
    """Send one frame that goes on until the link is closed."""

    def __init__(self, size: int) -> None:
        self.sent = 0
        self.ended = False
        self._size = size

    async def answer(self, stream: Any) -> None:
        """Send the frame to a peer that has dialled."""
        await stream.send_initial_metadata()
        await self.send(stream)

    async def send(self, stream: Any) -> None:
        """Send the frame over a stream."""
        data = struct.pack(">?I", False, self._size)
        try:
            while self.sent < MAX_SENT_BYTES and is_open(stream):
                await send(stream, data)
                self.sent += len(data)
                data = PIECE
        finally:
            self.ended = True

    def __mapping__(self) -> dict[str, Handler]:
        return {
            METHOD_EXCHANGE: Handler(self.send, Cardinality.STREAM_STREAM, bytes, bytes)
        }


async def dial(peer: EndlessPeer, address: str) -> None:
    """Dial a hub, and send it the frame."""
    ip, port = address.rsplit(":", 1)
    channel = Channel(ip, int(port), codec=FrameCodec())
    method = StreamStreamMethod(channel, METHOD_EXCHANGE, bytes, bytes)
    with suppress(*ENDS):
        async with method.open(metadata=make_metadata(KEY, "x", "1")) as stream:
            await stream.send_request()
            await peer.send(stream)
    channel.close()


async def serve(peer: EndlessPeer) -> tuple[str, Server]:
    """Send the frame to each hub that dials; return the address."""
    server = Server([peer], codec=FrameCodec())
    await server.start("127.0.0.1", 0)
    ip, port = server._server.sockets[0].getsockname()
    return f"{ip}:{port}", server


def check(play: Callable[[Peer, EndlessPeer], Awaitable[None]], size: int) -> None:
    """Check that the frame is refused before much of it has been received."""

    async def scenario() -> None:
        hub, peer = Peer("entry-0"), EndlessPeer(size)
        await hub.start()
        await play(hub, peer)
        await wait_for(lambda: peer.ended)
        assert peer.sent < MAX_FRAME_BYTES
        assert not hub.received
        await hub.hub.stop()

    run(scenario())


# Guards against a process whose memory a peer's frame fills: its length is sent first,
# and may be 4 GB.
def test_endless_frame_of_a_dialling_peer_is_refused() -> None:
    async def play(hub: Peer, peer: EndlessPeer) -> None:
        await dial(peer, hub.address)

    check(play, 2**32 - 1)


def test_endless_frame_of_a_dialled_peer_is_refused() -> None:
    async def play(hub: Peer, peer: EndlessPeer) -> None:
        address, server = await serve(peer)
        hub.hub.dial("x", address)
        await wait_for(lambda: peer.ended)
        hub.hub.stop_dialling("x")
        server.close()

    check(play, MAX_FRAME_BYTES + 1)


# Guards against a link that stays up on a frame that never gets complete: its peer
# counts as silent although bytes arrive.
def test_frame_that_never_ends_closes_the_link() -> None:
    async def scenario() -> None:
        hub, peer = Peer("entry-0"), EndlessPeer(MAX_FRAME_BYTES)
        await hub.start()

        async def trickle(stream: Any) -> None:
            with suppress(*ENDS):
                data = struct.pack(">?I", False, MAX_FRAME_BYTES)
                while is_open(stream):
                    await send(stream, data)
                    data = b"\0"
                    await asyncio.sleep(0.05)
            peer.ended = True

        peer.send = trickle
        dialling = asyncio.create_task(dial(peer, hub.address))
        await wait_for(lambda: peer.ended or dialling.done())
        await dialling
        await hub.hub.stop()

    run(scenario())


def test_token_with_other_characters_than_ascii_is_refused() -> None:
    metadata = {**make_metadata(KEY, "x", "1"), "radishtally-token": "\u20ac"}
    assert not has_valid_token(KEY, metadata)


# Guards against a process that ends as it dials: its peer closes the connection before
# the request is sent, and the library has dropped the transport by then.
def test_connection_that_closes_before_the_request_is_dialled_again() -> None:
    class Closed:
        async def send_request(self) -> None:
            return object()._transport

    async def scenario() -> None:
        with pytest.raises(StreamTerminatedError):
            await send_request(Closed())
        accepted = []

        async def close(_: Any, writer: asyncio.StreamWriter) -> None:
            accepted.append(writer)
            writer.close()

        server = await asyncio.start_server(close, "127.0.0.1", 0)
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        hub = Peer("entry-0")
        await hub.start()
        ip, port = server.sockets[0].getsockname()
        hub.hub.dial("x", f"{ip}:{port}")
        await wait_for(lambda: len(accepted) >= 5)
        await hub.hub.stop()
        server.close()
        assert errors == []

    run(scenario())
