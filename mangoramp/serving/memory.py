"""Waits for memory for large statements and answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Step
from ..policy.memory_budget import MAX_WAIT_S, Claim, MemoryBudget, TooLate


class Memory:
    """The memory of this process that large statements and answers may take.

    Args:
        limit: Bytes that they may take in total.
        clock: Returns the time in seconds.
    """

    def __init__(self, limit: int, clock: Callable[[], float]) -> None:
        self.budget = MemoryBudget(limit)
        self._clock = clock

    async def claim(self, owner: Hashable, size: int) -> Result[Claim, Fault]:
        """Claim memory for bytes that are not read before; wait for a short time.

        Args:
            owner: Whose claim it is; owners take turns.
            size: Bytes to claim.
        """
        fut = asyncio.get_running_loop().create_future()
        claim = self.budget.claim(owner, size, self._clock(), _waker(fut))
        if isinstance(claim, TooLate):
            return Failure(_no_memory_fault(claim))
        if claim.granted_at is not None:
            return Success(claim)
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await fut
        except TimeoutError:
            if claim.granted_at is not None:
                return Success(claim)
            return Failure(_no_memory_fault(self.budget.give_up(claim, self._clock())))
        except asyncio.CancelledError:
            self.release(claim)
            raise
        return Success(claim)

    def try_claim(self, owner: Hashable, size: int) -> Result[Claim, Fault]:
        """Claim memory for bytes that have arrived already, without a wait."""
        claim = self.budget.try_claim(owner, size, self._clock())
        if isinstance(claim, TooLate):
            return Failure(_no_memory_fault(claim))
        return Success(claim)

    def resize(self, claim: Claim, size: int) -> None:
        """Change the size of a granted claim, once the actual size is known."""
        self.budget.resize(claim, size, self._clock())

    def try_resize(self, claim: Claim, size: int) -> Result[Claim, Fault]:
        """Change the size of a granted claim, if there is memory for it."""
        refusal = self.budget.try_resize(claim, size, self._clock())
        if refusal is not None:
            return Failure(_no_memory_fault(refusal))
        return Success(claim)

    def release(self, claim: Claim) -> None:
        """End a claim."""
        self.budget.release(claim, self._clock())


def _waker(fut: asyncio.Future[None]) -> Callable[[], None]:
    def wake() -> None:
        if not fut.done():
            fut.set_result(None)

    return wake


def _no_memory_fault(refusal: TooLate) -> Fault:
    message = "large statements and answers of others take all memory for them"
    retry_s = round(refusal.retry_after_s, 3)
    return Fault(Code.OVERLOADED, message, Step.QUEUE, retry_after_s=retry_s)
