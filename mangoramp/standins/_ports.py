"""Finds ports on loopback that no other fleet on this machine takes meanwhile."""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"
# Below those that the system gives to outgoing connections.
PORTS = range(20_000, 32_000)
BLOCK = 200

_guards: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Find ports that nobody listens on.

    They come from blocks, each of which one process keeps until it ends by holding
    the first port of the block.

    Args:
        count: How many are wanted.
    """
    return list(itertools.islice(filter(_is_free, _ports), count))


def _claimed() -> Iterator[int]:
    starts = list(PORTS[::BLOCK])
    first = os.getpid() % len(starts)
    for start in starts[first:] + starts[:first]:
        guard = _bound(start)
        if guard is not None:
            _guards.append(guard)
            yield from range(start + 1, start + BLOCK)


def _is_free(port: int) -> bool:
    sock = _bound(port)
    if sock is None:
        return False
    sock.close()
    return True


def _bound(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        return None
    return sock


_ports = _claimed()
