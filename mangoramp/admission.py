"""Lets requests in at a home: rates first, then a turn at the servers."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from .errors import Code, Fault, FaultError, Step
from .policy.rate import Bucket
from .proxies.messages import RunStatement


@dataclass(frozen=True, slots=True)
class Limits:
    """A customer's rate, burst and weight at one home."""

    rate: float
    burst: float
    weight: float


class Admission:
    """Admits the requests of one group within one failure domain.

    Args:
        group: The group's name.
        limits: Tells a customer's limits here, None if it has no row.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        group: str,
        limits: Callable[[str], Limits | None],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._group = group
        self._limits = limits
        self._clock = clock
        self._buckets: dict[str, Bucket] = {}

    @asynccontextmanager
    async def turn(self, req: RunStatement) -> AsyncIterator[None]:
        """Hold a turn for a request while it runs.

        Args:
            req: The request.

        Raises:
            FaultError: The request is refused and was not run.
        """
        self._take_rate(req.customer)
        yield

    def take_rate(self, customer: str) -> None:
        """Count a request that needs no turn: a transaction holds its connection.

        Args:
            customer: Whose request it is.

        Raises:
            FaultError: The request is refused and was not run.
        """
        self._take_rate(customer)

    def _take_rate(self, customer: str) -> None:
        limits = self._limits(customer)
        if limits is None:
            message = f"the table has no row for this customer and {self._group}"
            raise FaultError(Fault(Code.FORBIDDEN, message, Step.ADMIT))
        wait_s = self._bucket(customer, limits).take(self._clock())
        if wait_s > 0:
            message = "the customer's rate is used up"
            fault = Fault(Code.OVER_RATE, message, Step.ADMIT, retry_after_s=wait_s)
            raise FaultError(fault)

    def _bucket(self, customer: str, limits: Limits) -> Bucket:
        now = self._clock()
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = Bucket(limits.rate, limits.burst, now=now, level=limits.burst)
            self._buckets[customer] = bucket
        if (bucket.rate, bucket.burst) != (limits.rate, limits.burst):
            bucket.resize(limits.rate, limits.burst, now)
        return bucket
