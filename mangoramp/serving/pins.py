"""Permits for transactions to hold connections of a pool."""

from __future__ import annotations

from collections.abc import Callable

from ..policy.pin_limit import max_pinned
from .urgency import NoConnectionError, Urgency
from .waiting import WaitingRequests


class Pins:
    """Bounds how many of a pool's connections transactions hold.

    Args:
        clock: Returns the time in seconds.
        limit: Maximum number of connections of the pool.
    """

    def __init__(self, clock: Callable[[], float], limit: int) -> None:
        self.count = 0
        self._clock = clock
        self._limit = limit
        self._waiting = WaitingRequests(clock, "a connection for a transaction")

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def most(self) -> int:
        """The number of connections that transactions may hold."""
        return max_pinned(self._limit)

    async def acquire(self, customer: str, urgency: Urgency) -> None:
        """Wait until a transaction may hold a connection.

        Raises:
            NoConnectionError: Transactions hold too many connections for too long.
        """
        now = self._clock()
        deadline = now + urgency.timeout_s
        waiter = None
        # A transaction that has just arrived does not overtake those that wait.
        while self.count >= self.most or (waiter is None and len(self._waiting)):
            left = deadline - self._clock()
            if left <= 0:
                reason = f"transactions hold {self.count} connections"
                raise NoConnectionError(reason, is_reachable=True)
            if waiter is None:
                waiter = self._waiting.enqueue(customer, urgency, now)
            await self._waiting.wait(waiter, timeout_s=left)
        self.count += 1

    def release(self) -> None:
        """Record that a transaction has ended."""
        self.count -= 1
        self._waiting.wake_next()

    def resize(self, limit: int) -> None:
        """Set the maximum number of connections of the pool."""
        grown = max_pinned(limit) - self.most
        self._limit = limit
        for _ in range(grown):
            self._waiting.wake_next()

    def close(self) -> None:
        """Let the waiting transactions find that the pool is closed."""
        self._limit = max(self._limit, self.count + len(self._waiting) + 1)
        self._waiting.wake_all()
