"""Tries a request again where that is safe and the budget allows it."""

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

Done = TypeVar("Done")


class Retrier:
    """Runs the attempts of one group's requests.

    Args:
        group: The group's name; it seeds the jitter.
        clock: Tells the time in seconds.
        rule: How retries are bounded.
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
        attempt: Callable[[float], Awaitable[Done]],
        *,
        repeatable: bool,
    ) -> Done:
        """Run a request, with retries.

        Args:
            req: The request.
            deadline: When its time is over, on this object's clock.
            attempt: Makes one attempt, given which share of the time left its
                exchanges may take.
            repeatable: Whether a second run does no harm.

        Raises:
            FaultError: The last attempt's fault; it says ``not_run`` only if that is
                true of every attempt.
        """
        self._budget.record_request()
        in_doubt = False
        number = 0
        while True:
            number += 1
            share = self._budget.attempt_share(number, repeatable=repeatable)
            try:
                return await attempt(share)
            except FaultError as exc:
                fault = exc.fault
            in_doubt = in_doubt or fault.outcome is not Outcome.NOT_RUN
            left_s = deadline - self._clock()
            wait_s = self._budget.try_acquire(
                fault, number, repeatable=repeatable, left_s=left_s
            )
            if wait_s is None:
                raise FaultError(_in_doubt(fault) if in_doubt else fault)
            _log(req, fault, number, wait_s)
            await asyncio.sleep(wait_s)


def _in_doubt(fault: Fault) -> Fault:
    return replace(fault, outcome=Outcome.UNKNOWN)


def _log(req: RunStatement, fault: Fault, number: int, wait_s: float) -> None:
    emit(
        REQUEST_RETRIED,
        group=req.group,
        customer=req.customer,
        attempt=number,
        code=fault.code,
        peer=fault.peer,
        outcome=fault.outcome,
        reason=fault.message,
        wait_s=round(wait_s, 3),
    )
