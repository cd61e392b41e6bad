"""Listener for links, which bounds what clients without the shared key may do."""

import asyncio
from typing import Any

from grpclib.server import Server

from radishtally.inbound.protocol import PiecewiseProtocol
from radishtally.links.const import (
    MAX_STRANGER_BYTES,
    MAX_STRANGERS,
    STRANGER_SECONDS,
)


class LinkServer(Server):
    """Serve links; close connections that don't show the shared key."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._strangers: dict[LinkProtocol, None] = {}
        """Connections that have not shown the key, the oldest first."""

    def _protocol_factory(self) -> "LinkProtocol":
        return LinkProtocol(super()._protocol_factory(), self._strangers)


class LinkProtocol(PiecewiseProtocol):
    """Bound a connection until its peer has shown the shared key.

    The library answers control frames whether or not the peer reads the answers.
    """

    def __init__(
        self, protocol: asyncio.Protocol, strangers: dict["LinkProtocol", None]
    ) -> None:
        super().__init__(protocol)
        self._strangers = strangers
        self._received = 0

    def connection_made(self, transport: Any) -> None:
        """Count a stranger; close the oldest one at the limit."""
        self._transport = transport
        self._strangers[self] = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(STRANGER_SECONDS, transport.abort)
        super().connection_made(transport)
        if len(self._strangers) > MAX_STRANGERS:
            next(iter(self._strangers))._close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.accept()
        super().connection_lost(exc)

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on a piece, unless a stranger has sent too much."""
        if self in self._strangers:
            self._received += nbytes
            if self._received > MAX_STRANGER_BYTES:
                self._close()
                return
        super().buffer_updated(nbytes)

    def accept(self) -> None:
        """Lift the bounds, as the peer has shown the shared key."""
        self._strangers.pop(self, None)
        self._timer.cancel()

    def _close(self) -> None:
        self._strangers.pop(self, None)
        self._transport.abort()
