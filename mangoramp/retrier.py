"""Retries a request if that is safe and the retry budget allows it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from .errors import Fault, FaultError, Outcome
from .events import REQUEST_RETRIED, emit
from .policy.retry import RetryBudget, RetryRule
from .proxies.messages import RunStatement

ResultT = TypeVar("ResultT")


class Retrier:
    """Runs requests of one group with retries.

    Args:
        group: The group's name, which seeds the jitter.
        clock: Returns the current time, in seconds.
        rule: The limits of retries.
    """

    def __init__(
        self,
        group: str,
        *,
        clock: Callable[[], float] = time.monotonic,
        rule: RetryRule | None = None,
    ) -> None:
        self._budget = RetryBudget(rule or RetryRule(), random.Random(group))
        self._clock = clock

    async def run(
        self,
        req: RunStatement,
        deadline: float,
        attempt: Callable[[float], Awaitable[ResultT]],
        *,
        repeatable: bool,
    ) -> ResultT:
        """Run a request, with retries.

        Args:
            req: The request.
            deadline: When the request times out, on this object's clock.
            attempt: Makes one attempt; its argument is the share of the remaining time
                that the attempt's exchanges may take.
            repeatable: Whether the request may safely be run twice.

        Raises:
            FaultError: The fault of the last attempt; its outcome is ``not_run`` only
                if no attempt was run.
        """
        self._budget.record_request()
        is_in_doubt = False
        attempt_number = 0
        while True:
            attempt_number += 1
            share = self._budget.attempt_share(attempt_number, repeatable=repeatable)
            try:
                return await attempt(share)
            except FaultError as exc:
                fault = exc.fault
            is_in_doubt = is_in_doubt or fault.outcome is not Outcome.NOT_RUN
            left_s = deadline - self._clock()
            wait_s = self._budget.try_acquire(
                fault, attempt_number, repeatable=repeatable, left_s=left_s
            )
            if wait_s is None:
                raise FaultError(_with_unknown_outcome(fault) if is_in_doubt else fault)
            _log_retry(req, fault, attempt_number, wait_s)
            await asyncio.sleep(wait_s)


def _with_unknown_outcome(fault: Fault) -> Fault:
    return replace(fault, outcome=Outcome.UNKNOWN)


def _log_retry(
    req: RunStatement, fault: Fault, attempt_number: int, wait_s: float
) -> None:
    emit(
        REQUEST_RETRIED,
        group=req.group,
        customer=req.customer,
        attempt=attempt_number,
        code=fault.code,
        peer=fault.peer,
        outcome=fault.outcome,
        reason=fault.message,
        wait_s=round(wait_s, 3),
    )
