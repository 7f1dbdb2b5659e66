"""Requests that wait for a resource of a pool, such as one of its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..policy.wait_queue import Waiter, WaitQueue
from .urgency import NoConnectionError, Urgency


class WaitingRequests:
    """Suspends requests until they get the resource or cannot be served in time.

    Args:
        clock: Returns the time in seconds.
        resource: What the requests wait for, for error messages.

    Attributes:
        queue: The requests that wait.
    """

    def __init__(self, clock: Callable[[], float], resource: str) -> None:
        self.queue = WaitQueue()
        self._clock = clock
        self._resource = resource
        self._futs: dict[Waiter, asyncio.Future[None]] = {}

    def __len__(self) -> int:
        return len(self.queue)

    def enqueue(self, customer: str, urgency: Urgency, now: float) -> Waiter:
        """Add a request.

        Args:
            customer: The customer whose request waits.
            urgency: How urgent the request was at ``now``.
            now: When the request arrived, in seconds.
        """
        return self.queue.enqueue(
            customer,
            priority=urgency.priority,
            due_at=now + urgency.due_s,
            deadline=now + urgency.timeout_s,
        )

    async def wait(self, waiter: Waiter, *, timeout_s: float) -> None:
        """Wait until a request is woken or the timeout.

        Raises:
            NoConnectionError: The request cannot be served in time.
        """
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queue.requeue(waiter)
        self._futs[waiter] = fut
        self.reject_late()
        is_cancelled = True
        try:
            await asyncio.wait((fut,), timeout=timeout_s)
            is_cancelled = False
        finally:
            self.queue.remove(waiter)
            self._futs.pop(waiter, None)
            if is_cancelled and fut.done() and fut.exception() is None:
                self.wake_next()  # what this request was woken for is still free
        if fut.done():
            fut.result()

    def wake_next(self, customer: str = "") -> bool:
        """Wake the next request.

        Args:
            customer: The customer whose connection became idle, empty for none; a
                request of this customer is preferred.

        Returns:
            Whether a request was woken.
        """
        self.reject_late()
        now = self._clock()
        waiter = self.queue.next_waiter(now, customer)
        if waiter is None:
            return False
        self.queue.remove(waiter)
        self.queue.record_handover(now)
        self._futs.pop(waiter).set_result(None)
        return True

    def reject_all(self, reason: str) -> None:
        """Reject all requests."""
        for waiter in list(self.queue):
            self.queue.remove(waiter)
            exc = NoConnectionError(reason, is_reachable=True)
            self._futs.pop(waiter).set_exception(exc)

    def wake_all(self) -> None:
        """Wake all requests."""
        while self.wake_next():
            pass

    def reject_late(self) -> None:
        """Reject the requests that would miss their deadline at the current rate."""
        queue = self.queue
        for waiter, wait_s in queue.find_unservable(self._clock()):
            reason = (
                f"{len(queue)} wait for {self._resource}, "
                f"one is handed over every {queue.interval_s * 1000:.1f} ms"
            )
            queue.remove(waiter)
            exc = NoConnectionError(reason, is_reachable=True, wait_s=wait_s)
            self._futs.pop(waiter).set_exception(exc)
