"""Admission control at a home: the customer's rate limit, then a server slot."""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from .errors import Code, Fault, FaultError, Step
from .policy.loans import Ask, Grant
from .policy.statement import Kind
from .proxies.messages import RunStatement
from .rates import SINGLE_SITE, Limits, RateLimiter, Site
from .slot_queue import SlotQueue

DEFAULT_SLOTS = 64


class Admission:
    """Admits the requests of one group within one failure domain.

    Args:
        group: The group's name.
        limits: Returns a customer's fleet-wide limits, or None if the table has no
            row for it.
        site: Where the home runs and how it reaches the homes of other failure
            domains.
        holds: Returns whether the home's lease, as currently known, covers a time.
        settled_at: When the token loans of a predecessor that released the home before
            its lease expired have ended, in seconds (`policy.loans.SHARE_HOLD_S`
            after the release).
        slots: Returns how many requests of a kind may run here concurrently.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self,
        group: str,
        limits: Callable[[str], Limits | None],
        *,
        site: Site = SINGLE_SITE,
        holds: Callable[[float], bool] = lambda now: True,
        settled_at: float = -math.inf,
        slots: Callable[[Kind], int] = lambda kind: DEFAULT_SLOTS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._group = group
        self._limits = limits
        self._rate_limiter = RateLimiter(
            group, site, holds=holds, settled_at=settled_at, clock=clock
        )
        self._slot_queues = {
            kind: SlotQueue(lambda kind=kind: slots(kind), clock=clock)  # type: ignore[misc]
            for kind in Kind
        }

    @asynccontextmanager
    async def admit(self, req: RunStatement) -> AsyncIterator[None]:
        """Charge a request to the customer's rate and hold a slot while it runs.

        Args:
            req: The request.

        Raises:
            FaultError: The request is refused and was not run.
        """
        limits = self._require_limits(req.customer)
        await self._rate_limiter.acquire(req.customer, limits)
        async with self._slot_queues[req.kind].acquire(
            req.customer, weight=limits.weight, timeout_s=req.timeout_s
        ):
            yield

    @asynccontextmanager
    async def charge(self, customer: str) -> AsyncIterator[None]:
        """Charge a request that needs no slot to the customer's rate.

        A request of a transaction runs on the connection that the transaction holds.

        Args:
            customer: The customer that sent the request.

        Raises:
            FaultError: The request is refused and was not run.
        """
        await self._rate_limiter.acquire(customer, self._require_limits(customer))
        yield

    def lend(self, customer: str, ask: Ask) -> Grant:
        """Lend tokens to the home of another failure domain.

        Raises:
            FaultError: The customer has no row here.
        """
        return self._rate_limiter.lend(customer, self._require_limits(customer), ask)

    def register_customer(self, customer: str) -> None:
        """Create a customer's token bucket before its first request."""
        limits = self._limits(customer)
        if limits is not None:
            self._rate_limiter.register_customer(customer, limits)

    def reset(self) -> None:
        """Discard all tokens: the home has moved to another instance and may return."""
        self._rate_limiter.reset()

    def close(self) -> None:
        """Stop, and refuse the requests that wait for tokens."""
        self._rate_limiter.close()

    def _require_limits(self, customer: str) -> Limits:
        limits = self._limits(customer)
        if limits is None:
            message = f"the table has no row for this customer and {self._group}"
            raise FaultError(Fault(Code.FORBIDDEN, message, Step.ADMIT))
        return limits
