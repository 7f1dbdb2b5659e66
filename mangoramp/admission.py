"""Lets requests in at a home: rates first, then a turn at the servers."""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from .errors import Code, Fault, FaultError, Step
from .policy.loans import Ask, Grant
from .policy.statement import Kind
from .proxies.messages import RunStatement
from .rates import ALONE, Limits, Rates, Site
from .turns import Turns

MANY_SLOTS = 64


class Admission:
    """Admits the requests of one group within one failure domain.

    Args:
        group: The group's name.
        limits: Tells a customer's limits over the whole fleet, None if it has no row.
        site: Where the home runs, and how it reaches other domains' homes.
        holds: Tells whether the home's lease, as known now, covers a time.
        settled_at: When loans of a predecessor that gave the home up before its lease
            was over have ended, in seconds (`policy.loans.SHARE_HOLD_S` after it).
        slots: Tells how many requests of a kind may run here at the same time.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        group: str,
        limits: Callable[[str], Limits | None],
        *,
        site: Site = ALONE,
        holds: Callable[[float], bool] = lambda now: True,
        settled_at: float = -math.inf,
        slots: Callable[[Kind], int] = lambda kind: MANY_SLOTS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._group = group
        self._limits = limits
        self._rates = Rates(
            group, site, holds=holds, settled_at=settled_at, clock=clock
        )
        self._turns = {
            kind: Turns(lambda kind=kind: slots(kind), clock=clock)  # type: ignore[misc]
            for kind in Kind
        }

    @asynccontextmanager
    async def turn(self, req: RunStatement) -> AsyncIterator[None]:
        """Hold a turn for a request while it runs.

        Args:
            req: The request.

        Raises:
            FaultError: The request is refused and was not run.
        """
        limits = self._limits_of(req.customer)
        await self._rates.take(req.customer, limits)
        async with self._turns[req.kind].turn(
            req.customer, weight=limits.weight, timeout_s=req.timeout_s
        ):
            yield

    @asynccontextmanager
    async def counted(self, customer: str) -> AsyncIterator[None]:
        """Count a request that needs no turn: a transaction holds its connection.

        Args:
            customer: Whose request it is.

        Raises:
            FaultError: The request is refused and was not run.
        """
        await self._rates.take(customer, self._limits_of(customer))
        yield

    def lend(self, customer: str, ask: Ask) -> Grant:
        """Answer the home of another failure domain that asks for tokens.

        Raises:
            FaultError: The customer has no row here.
        """
        return self._rates.lend(customer, self._limits_of(customer), ask)

    def begin(self, customer: str) -> None:
        """Follow a customer's row, also before its first request."""
        limits = self._limits(customer)
        if limits is not None:
            self._rates.begin(customer, limits)

    def restart(self) -> None:
        """Forget all tokens: the home has moved, and may come back later."""
        self._rates.restart()

    def close(self) -> None:
        """Stop; requests that wait for tokens are refused."""
        self._rates.close()

    def _limits_of(self, customer: str) -> Limits:
        limits = self._limits(customer)
        if limits is None:
            message = f"the table has no row for this customer and {self._group}"
            raise FaultError(Fault(Code.FORBIDDEN, message, Step.ADMIT))
        return limits
