"""Pass what arrives on a connection on in small pieces."""

import asyncio
from typing import Any, Final

from radishtally.inbound.const import READ_BYTES

# Pieces are copied as soon as they are read, so all connections can share a buffer.
_BUFFER: Final = memoryview(bytearray(READ_BYTES))


class PiecewiseProtocol(asyncio.BufferedProtocol):
    """Stand between a connection and the protocol of a library.

    An event loop reads up to 256 KB at a time into a plain protocol, and libraries copy
    that several times.
    """

    def __init__(self, protocol: asyncio.Protocol) -> None:
        self._protocol = protocol

    def connection_made(self, transport: Any) -> None:
        """Pass on a new connection."""
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection."""
        self._protocol.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next piece is read to."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the piece that has been read."""
        self._protocol.data_received(bytes(_BUFFER[:nbytes]))

    def eof_received(self) -> bool | None:
        """Pass on that the client sends no more."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the client reads too slowly."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the client has read."""
        self._protocol.resume_writing()
