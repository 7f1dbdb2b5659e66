"""Connections to one server: opening, idle connections and eviction."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

from ..control.group import Server
from ..events import CONNECTION_REFUSED, emit
from ..policy.handover import Handover
from .command import Connector, OpenRefusedError, Refusal, ServerConnection
from .idle import IdleConnection, IdleConnections

SERVER_FULL_DELAY_S = 0.05  # other processes usually release connections sooner
MAX_SERVER_FULL_DELAY_S = 0.4  # servers drop crashed hosts' connections in seconds
MAX_IDLE_S = 20.0  # servers close connections that are idle for longer


class Connections:
    """Opens connections to one server, up to a limit, and evicts idle ones.

    Args:
        server: The server.
        connector: Opens connections.
        clock: Returns the time in seconds.
        limit: Maximum number of open connections.
        handover: The customers whose connections move to or from this process.

    Attributes:
        limit: Maximum number of open connections.
        count: Connections that are open or being opened.
        opened: Connections opened since the start.
        open_blocked_until: No connection is opened before this time, in seconds.
    """

    def __init__(
        self,
        server: Server,
        connector: Connector,
        clock: Callable[[], float],
        *,
        limit: int,
        handover: Handover,
    ) -> None:
        self.limit = limit
        self.count = 0
        self.opened = 0
        self.open_blocked_until = float("-inf")
        self._server = server
        self._connector = connector
        self._clock = clock
        self._handover = handover
        self._idle = IdleConnections()
        self._full_delay_s = SERVER_FULL_DELAY_S
        self._opening = 0
        self._opening_new = 0

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    @property
    def free(self) -> int:
        """The number of connections that are idle or may still be opened."""
        return self.limit - self.count + len(self._idle)

    def has_idle(self, customer: str) -> bool:
        """Return whether a customer has an idle connection."""
        return self._idle.has(customer)

    def is_new(self, customer: str) -> bool:
        """Return whether a customer has recently moved to this process."""
        return self._handover.is_new(customer, self._clock())

    def may_open(self, customer: str) -> bool:
        """Return whether a connection may be opened for a customer now."""
        if self._server.is_evacuated:
            return False
        now = self._clock()
        if now < self.open_blocked_until:
            return False
        if self._opening_new and self._handover.is_new(customer, now):
            return False
        # While the server is full, a single attempt at a time probes for free capacity.
        return self._full_delay_s == SERVER_FULL_DELAY_S or not self._opening

    def take_idle(self, customer: str) -> ServerConnection | None:
        """Remove and return a customer's idle connection, None if it has none."""
        return self._idle.pop(customer)

    def make_room(self) -> bool:
        """Make room for one more connection, evicting an idle one if necessary.

        Returns:
            False if all connections are in use.
        """
        if self.count < self.limit:
            return True
        if not len(self._idle):
            return False
        self._evict(self._in_order_of_eviction()[0])
        return True

    def start_opening(self, customer: str) -> asyncio.Task[ServerConnection]:
        """Start to open a connection for a customer.

        Returns:
            The attempt, which raises ``OpenRefusedError`` if the server refused it or
            was not reached.
        """
        self.count += 1
        self._opening += 1
        is_new = self.is_new(customer)
        self._opening_new += is_new
        self.opened += 1
        endpoint = self._server.endpoint
        opening = asyncio.ensure_future(
            self._connector.open(
                endpoint.id, endpoint.group, endpoint.address, customer
            )
        )
        opening.add_done_callback(functools.partial(self._end_opening, is_new))
        return opening

    def _end_opening(
        self, is_new: bool, opening: asyncio.Task[ServerConnection]
    ) -> None:
        self._opening -= 1
        self._opening_new -= is_new
        if opening.cancelled() or opening.exception() is not None:
            self.count -= 1
        else:
            self._full_delay_s = SERVER_FULL_DELAY_S

    def record_refusal(self, exc: OpenRefusedError) -> bool:
        """Record that a connection could not be opened.

        Returns:
            Whether the server is only full, so that a later attempt may succeed.
        """
        emit(
            CONNECTION_REFUSED,
            server=self._server.id,
            reason=str(exc),
            connections=self.count,
            limit=self.limit,
        )
        if exc.refusal not in (Refusal.TOO_MANY_CONNECTIONS, Refusal.BUSY):
            return False
        self.open_blocked_until = self._clock() + self._full_delay_s
        self._full_delay_s = min(MAX_SERVER_FULL_DELAY_S, 2 * self._full_delay_s)
        return True

    def put_back(
        self, conn: ServerConnection, customer: str, *, is_closing: bool
    ) -> None:
        """Keep a connection that is no longer in use, or close it.

        Args:
            conn: The connection; a closed one only stops to count.
            customer: The customer that owns it.
            is_closing: Whether no connection is kept.
        """
        if not conn.is_open:
            self.count -= 1
        elif is_closing or self.count > self.limit:
            conn.close()
            self.count -= 1
        else:
            self._idle.add(conn, customer, self._clock())

    def evict_idle(self) -> None:
        """Close idle connections that are unusable, expired or above the limit.

        Of the customers that have another home now, one connection is closed.
        """
        now = self._clock()
        is_usable = self._server.may_send(now)
        for idle in self._in_order_of_eviction():
            is_old = now - idle.since >= MAX_IDLE_S or not is_usable
            if not idle.conn.is_open or is_old or self.count > self.limit:
                self._evict(idle)
        for idle in self._in_order_of_eviction()[:1]:
            if self._handover.has_left(idle.customer):
                self._evict(idle)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for idle in self._idle:
            self._evict(idle)

    def _in_order_of_eviction(self) -> list[IdleConnection]:
        """Return the idle connections: of customers that have left, then by age."""
        has_left = self._handover.has_left
        return sorted(self._idle, key=lambda idle: not has_left(idle.customer))

    def _evict(self, idle: IdleConnection) -> None:
        self._idle.remove(idle)
        idle.conn.close()
        self.count -= 1
