"""Sockets that detect a silent peer."""

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

    A middlebox may drop an open connection from its tables: no data arrives any more
    and no error is raised, so the answer would be awaited until the deadline.
    Keep-alive probes and the limit on unacknowledged data turn the silence into an
    error.
    """
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keep-alive probes and the limit on unacknowledged data."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
