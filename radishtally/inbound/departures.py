"""Detection of clients who have left while nothing is read from them."""

import socket
from collections.abc import Iterable
from typing import Any, Final

from eliot import log_message

ENDED_STATES: Final = frozenset({7, 8})
"""States CLOSE and CLOSE_WAIT of a TCP connection: its client has closed it."""


def has_client_left(transport: Any) -> bool:
    """Return whether the client has closed a connection, read or not."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return False
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(info) and info[0] in ENDED_STATES


def close_departed(transports: Iterable[Any]) -> None:
    """Close connections that aren't read and whose clients have left.

    Otherwise a client's end is noticed only as its connection is read.
    """
    departed = [
        transport
        for transport in transports
        if not transport.is_closing()
        and not transport.is_reading()
        and has_client_left(transport)
    ]
    for transport in departed:
        transport.abort()
    if departed:
        log_message("inbound:departed", connections=len(departed))
