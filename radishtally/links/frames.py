"""Bounds on what a stream of the gRPC library receives."""

from typing import Any

from grpclib.exceptions import ProtocolError, StreamTerminatedError

from radishtally.links.codec import MAX_FRAME_BYTES


def limit_frames(stream: Any) -> None:
    """Make a stream fail on a frame that is too large, before its data is received.

    The request of a client's stream must have been sent.
    """
    # The library collects frames of up to 4 GB, and has no public way to limit them.
    transport_stream = stream._stream
    receive = transport_stream.recv_data

    async def receive_limited(size: int) -> bytes:
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES}")
        return await receive(size)

    transport_stream.recv_data = receive_limited


def accept_peer(stream: Any) -> None:
    """Lift the bounds on the connection of an accepted stream."""
    protocol = stream._stream._transport.get_protocol()
    # A connection that has just been closed has no protocol any more.
    if protocol is not None:
        protocol.accept()


def close_connection(stream: Any) -> None:
    """Close the connection of an accepted stream."""
    stream._stream._transport.close()


async def send_request(stream: Any) -> None:
    """Send the request of a client's stream."""
    try:
        await stream.send_request()
    except AttributeError as error:
        # The library drops the transport of a connection that has just been closed.
        raise StreamTerminatedError("the connection has been closed") from error
