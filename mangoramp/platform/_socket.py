"""Options of the sockets to callers, servers and the store."""

from __future__ import annotations

import socket

KEEPALIVE_IDLE_S = (
    1  # with the two below a dark peer is noticed within 3 s, as servers do
)
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 3_000  # bytes that no one acknowledges end the connection


def watch_peer(sock: socket.socket) -> None:
    """Let the kernel end a connection whose far end has gone dark."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
