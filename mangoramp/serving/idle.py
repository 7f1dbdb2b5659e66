"""Idle connections of a pool."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from .command import ServerConnection


@dataclass(slots=True, eq=False)
class IdleConnection:
    """A connection that runs nothing.

    Attributes:
        conn: The connection.
        customer: The customer that owns it.
        since: When it became idle, in seconds.
    """

    conn: ServerConnection
    customer: str
    since: float


class IdleConnections:
    """Idle connections, the longest idle first."""

    def __init__(self) -> None:
        self._connections: deque[IdleConnection] = deque()

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[IdleConnection]:
        return iter(list(self._connections))

    def has(self, customer: str) -> bool:
        """Return whether a customer has an open connection."""
        return any(i.customer == customer and i.conn.is_open for i in self._connections)

    def add(self, conn: ServerConnection, customer: str, now: float) -> None:
        """Add a connection that has become idle."""
        self._connections.append(IdleConnection(conn, customer, now))

    def remove(self, idle: IdleConnection) -> None:
        """Remove a connection."""
        self._connections.remove(idle)

    def pop(self, customer: str) -> ServerConnection | None:
        """Remove and return an open connection of a customer, None if it has none."""
        # Most recently used first, so that surplus connections expire.
        for idle in reversed(self._connections):
            if idle.customer == customer and idle.conn.is_open:
                self._connections.remove(idle)
                return idle.conn
        return None
