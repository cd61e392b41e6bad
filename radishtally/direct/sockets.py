"""Open sockets whose peers can't go silent unnoticed."""

import socket
from typing import Any

from radishtally.direct.const import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_PROBE_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MS,
)


def open_socket(info: tuple[Any, ...]) -> socket.socket:
    """Open the socket of an outgoing connection.

    Something between the two ends may forget an open connection: nothing arrives any
    more and no error tells. The answer would be waited for until the deadline. Probes
    and the bound on unconfirmed bytes turn the silence into an error.
    """
    family, kind, protocol, _, _ = info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    watch_peer(opened)
    return opened


def watch_peer(opened: socket.socket) -> None:
    """Let the kernel probe the connection's other end."""
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
