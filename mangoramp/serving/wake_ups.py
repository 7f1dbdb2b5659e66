"""Decides when requests that wait for a connection of a pool are woken."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from ..control.group import Server
from ..policy.wait_queue import Waiter
from .connections import Connections
from .in_flight import InFlightLimits
from .urgency import Urgency
from .waiting import WaitingRequests

MIN_WAKE_DELAY_S = 0.002  # a request that was woken has been handled by then


class WakeUps:
    """Suspends requests and wakes them when the limits allow a statement.

    Args:
        server: The server.
        clock: Returns the time in seconds.
        waiting: The requests that wait.
        limits: The limits on the statements in flight.
        connections: The connections to the server.

    Attributes:
        is_closed: Whether the pool is closed, so that no limit delays a waiter.
    """

    def __init__(
        self,
        server: Server,
        clock: Callable[[], float],
        waiting: WaitingRequests,
        limits: InFlightLimits,
        connections: Connections,
    ) -> None:
        self.is_closed = False
        self._server = server
        self._clock = clock
        self._waiting = waiting
        self._limits = limits
        self._connections = connections
        self._timer: asyncio.TimerHandle | None = None

    async def wait(self, waiter: Waiter, requests: int, urgency: Urgency) -> None:
        """Wait until a request is woken, may open a connection or is overdue.

        Args:
            waiter: The request.
            requests: Requests of its first batch that a cold limit counts.
            urgency: How urgently the connection is needed.

        Raises:
            NoConnectionError: The request cannot be served in time.
        """
        timeout_s = waiter.deadline - self._clock()
        delay_s = self._connections.open_blocked_until - self._clock()
        if 0 < delay_s < timeout_s:
            timeout_s = delay_s
        self._waiting.queue.statement_s = self._server.latency_s
        # Armed first: the request itself may be all that waits.
        self._arm_timer(requests)
        if urgency.is_deferrable:
            await self._waiting.wait(waiter, timeout_s=timeout_s)
            return
        reserve = self._limits.primary_reserve
        reserve.start_wait(urgency.priority)
        try:
            await self._waiting.wait(waiter, timeout_s=timeout_s)
        finally:
            reserve.end_wait(urgency.priority, self._clock())

    def wake_next(self, customer: str = "", in_flight: int | None = None) -> None:
        """Wake the next waiter to acquire a connection, if the limits allow a request.

        Args:
            customer: The customer whose connection became idle, empty for none; a
                waiter of this customer is preferred.
            in_flight: Statements in flight if they are not those of now.
        """
        if not len(self._waiting):
            return
        in_flight = self._limits.in_flight if in_flight is None else in_flight
        if not self.is_closed and not self._may_wake(customer, in_flight):
            return  # woken when the share grows or another statement ends
        if self._limits.is_limited():
            assert self._limits.capacity is not None
            if not self._limits.capacity.has_room(in_flight, 1):
                self._arm_timer(1)
                return
        self._waiting.queue.statement_s = self._server.latency_s
        self._waiting.wake_next(customer)

    def wake_for_share(self) -> None:
        """Wake as many waiters as a changed share and the connections allow."""
        self.update_min_interval()
        for woken in range(min(self._connections.free, len(self._waiting))):
            self.wake_next(in_flight=self._limits.in_flight + woken)

    def update_min_interval(self) -> None:
        """Estimate the waits by the interval of the present limits."""
        self._waiting.queue.min_interval_s = self._limits.min_interval_s

    def cancel_timer(self) -> None:
        """Cancel the wake-up that is scheduled, if any."""
        if self._timer is not None:
            self._timer.cancel()

    def _may_wake(self, customer: str, in_flight: int) -> bool:
        if self._limits.share is None:
            return True  # saves the search for the next waiter, who is woken anyway
        waiter = self._waiting.queue.next_waiter(self._clock(), customer)
        if waiter is None:
            return False
        return self._limits.is_in_share(in_flight, waiter.priority)

    def _arm_timer(self, requests: int) -> None:
        """Have the next waiter woken when the limits allow a batch."""
        if self._timer is not None or not self._limits.is_limited():
            return
        assert self._limits.capacity is not None
        delay_s = self._limits.capacity.wait_s(self._limits.in_flight, requests)
        if math.isinf(delay_s):
            return  # the next answer wakes a waiter
        delay_s = max(MIN_WAKE_DELAY_S, delay_s)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._limits.is_limited():
            self.wake_next()
            return
        self._limits.reset_cold_interval()
        self.update_min_interval()
        for _ in range(self._connections.limit):
            self.wake_next()
