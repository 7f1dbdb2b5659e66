"""Allocates loopback ports that do not collide with other fleets on this machine."""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"
# Below the ephemeral ports that the system assigns to outgoing connections.
PORT_RANGE = range(20_000, 32_000)
PORTS_PER_BLOCK = 200

_guard_sockets: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Allocate unused ports.

    Ports come from blocks. A process reserves a block by binding its first port and
    keeps it until the process exits.

    Args:
        count: The number of ports.
    """
    return list(itertools.islice(filter(_is_free, _claimed_ports), count))


def _claim_ports() -> Iterator[int]:
    starts = list(PORT_RANGE[::PORTS_PER_BLOCK])
    first = os.getpid() % len(starts)
    for start in starts[first:] + starts[:first]:
        guard = _try_bind(start)
        if guard is not None:
            _guard_sockets.append(guard)
            yield from range(start + 1, start + PORTS_PER_BLOCK)


def _is_free(port: int) -> bool:
    sock = _try_bind(port)
    if sock is None:
        return False
    sock.close()
    return True


def _try_bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        return None
    return sock


_claimed_ports = _claim_ports()
