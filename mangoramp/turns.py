"""Turns at the servers: who runs next when more is wanted than the slots can do."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from .errors import Code, Fault, FaultError, Step
from .policy.fairness import FairQueue

EACH_WAITING = 128
TOTAL_WAITING = 512
FIRST_COST_S = 0.01
COST_PART = 0.2
MIN_RETRY_S = 0.05

Turn = asyncio.Future[None]


class Turns:
    """Turns for one kind of request at one home.

    Args:
        slots: Tells how many requests may run at the same time now.
        clock: Tells the time in seconds.
    """

    def __init__(
        self, slots: Callable[[], int], *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._slots = slots
        self._clock = clock
        self._running = 0
        self._queue: FairQueue[Turn] = FairQueue(
            max_per_customer=EACH_WAITING, max_total=TOTAL_WAITING
        )
        self._costs: dict[str, float] = {}

    @asynccontextmanager
    async def turn(
        self, customer: str, *, weight: float, timeout_s: float
    ) -> AsyncIterator[None]:
        """Hold a turn.

        Args:
            customer: Whose request it is.
            weight: The customer's weight.
            timeout_s: Seconds left to the request.

        Raises:
            FaultError: The turn would come too late, or too many wait.
        """
        cost_s = self._costs.get(customer, FIRST_COST_S)
        await self._wait(customer, weight, cost_s, timeout_s)
        began = self._clock()
        try:
            yield
        finally:
            took_s = self._clock() - began
            self._costs[customer] = cost_s + COST_PART * (took_s - cost_s)
            self._queue.charge(customer, took_s - cost_s)
            self._running -= 1
            self._start_next()

    async def _wait(
        self, customer: str, weight: float, cost_s: float, timeout_s: float
    ) -> None:
        if self._running < self._slots() and not len(self._queue):
            self._running += 1
            return
        work_s = self._queue.expected_wait_s(customer, weight=weight, cost_s=cost_s)
        wait_s = work_s / max(1, self._slots())
        if wait_s > timeout_s:
            raise _overloaded("its turn would come too late", wait_s - timeout_s)
        fut: Turn = asyncio.get_running_loop().create_future()
        if not self._queue.push(customer, fut, weight=weight, cost_s=cost_s):
            raise _overloaded("too many requests wait", wait_s)
        try:
            await fut
        except asyncio.CancelledError:
            self._leave(customer, fut)
            raise

    def _leave(self, customer: str, fut: Turn) -> None:
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
    retry_after_s = max(MIN_RETRY_S, wait_s)
    return FaultError(
        Fault(Code.OVERLOADED, message, Step.QUEUE, retry_after_s=retry_after_s)
    )
