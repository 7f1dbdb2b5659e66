"""Fair queueing for the servers' slots."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from .errors import Code, Fault, FaultError, Step
from .policy.fairness import FairQueue

MAX_WAITING_PER_CUSTOMER = 128
MAX_WAITING = 512
INITIAL_COST_S = 0.01
COST_SMOOTHING = 0.2
MIN_RETRY_AFTER_S = 0.05

Waiter = asyncio.Future[None]


class SlotQueue:
    """Grants slots to the requests of one kind at one home.

    Args:
        slots: Returns how many requests may currently run concurrently.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self, slots: Callable[[], int], *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._slots = slots
        self._clock = clock
        self._running = 0
        self._queue: FairQueue[Waiter] = FairQueue(
            max_per_customer=MAX_WAITING_PER_CUSTOMER, max_total=MAX_WAITING
        )
        self._costs: dict[str, float] = {}

    @asynccontextmanager
    async def acquire(
        self, customer: str, *, weight: float, timeout_s: float
    ) -> AsyncIterator[None]:
        """Acquire a slot and hold it within the context.

        Args:
            customer: The customer that sent the request.
            weight: The customer's relative share of the slots.
            timeout_s: Time that the request has left, in seconds.

        Raises:
            FaultError: The request would not get a slot in time, or too many requests
                are waiting.
        """
        cost_s = self._costs.get(customer, INITIAL_COST_S)
        await self._wait_for_slot(customer, weight, cost_s, timeout_s)
        started_at = self._clock()
        try:
            yield
        finally:
            took_s = self._clock() - started_at
            self._costs[customer] = cost_s + COST_SMOOTHING * (took_s - cost_s)
            self._queue.charge(customer, took_s - cost_s)
            self._running -= 1
            self._start_next()

    async def _wait_for_slot(
        self, customer: str, weight: float, cost_s: float, timeout_s: float
    ) -> None:
        if self._running < self._slots() and not len(self._queue):
            self._running += 1
            return
        work_s = self._queue.expected_wait_s(customer, weight=weight, cost_s=cost_s)
        wait_s = work_s / max(1, self._slots())
        if wait_s > timeout_s:
            raise _overloaded("its turn would come too late", wait_s - timeout_s)
        fut: Waiter = asyncio.get_running_loop().create_future()
        if not self._queue.push(customer, fut, weight=weight, cost_s=cost_s):
            raise _overloaded("too many requests wait", wait_s)
        try:
            await fut
        except asyncio.CancelledError:
            self._cancel(customer, fut)
            raise

    def _cancel(self, customer: str, fut: Waiter) -> None:
        if fut.done() and not fut.cancelled():
            self._running -= 1
            self._start_next()
        else:
            self._queue.cancel(customer, fut)

    def _start_next(self) -> None:
        while self._running < self._slots():
            fut = self._queue.pop()
            if fut is None:
                return
            if not fut.done():
                self._running += 1
                fut.set_result(None)


def _overloaded(message: str, wait_s: float) -> FaultError:
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
    return FaultError(
        Fault(Code.OVERLOADED, message, Step.QUEUE, retry_after_s=retry_after_s)
    )
