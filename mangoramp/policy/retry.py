"""Retry policy: which failures are retried, after what delay, and how often."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..errors import Code, Fault, Outcome

TRANSIENT_CODES = frozenset(
    {
        Code.NO_SERVER,
        Code.NO_HOME,
        Code.CONNECTION_LOST,
        Code.TIMEOUT,
        Code.OVERLOADED,
    }
)
TRANSIENT_SQLSTATES = frozenset({"25006", "40000", "40001", "40P01", "55000", "57P03"})
TRANSIENT_SQLSTATE_CLASSES = frozenset({"08", "53", "57"})


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Limits on retries.

    Attributes:
        retry_ratio: The number of retries that each request adds to the budget.
        burst: The most retries that the budget holds.
        max_attempts: The most attempts for one request.
        first_wait_s: The longest wait before the second attempt, in seconds.
        max_wait_s: The longest wait before any attempt, in seconds.
        first_attempt_share: The share of a request's time that its first attempt may
            take.
    """

    retry_ratio: float = 0.1
    burst: float = 10.0
    max_attempts: int = 4
    first_wait_s: float = 0.05
    max_wait_s: float = 0.5
    first_attempt_share: float = 0.3


class RetryBudget:
    """Limits retries to a share of the requests, with jittered exponential backoff.

    Args:
        rule: The limits on retries.
        rng: A seeded source for the jitter.
    """

    def __init__(self, rule: RetryRule, rng: random.Random) -> None:
        self._rule = rule
        self._rng = rng
        self._level = rule.burst

    def record_request(self) -> None:
        """Add a request's share to the budget."""
        self._level = min(self._rule.burst, self._level + self._rule.retry_ratio)

    def attempt_share(self, attempt: int, *, repeatable: bool) -> float:
        """Return the share of a request's remaining time that an attempt may take.

        The first attempt of a repeatable request leaves time for a retry.

        Args:
            attempt: The attempt's number, from 1.
            repeatable: Whether the request is safe to run twice.
        """
        return self._rule.first_attempt_share if repeatable and attempt == 1 else 1.0

    def try_acquire(
        self, fault: Fault, attempt: int, *, repeatable: bool, left_s: float
    ) -> float | None:
        """Take a retry from the budget if one is allowed.

        Args:
            fault: The fault of the last attempt.
            attempt: The last attempt's number, from 1.
            repeatable: Whether the request is safe to run twice: a read, or a write
                with an idempotency key.
            left_s: Seconds left to the request.

        Returns:
            Seconds to wait before the next attempt, None if no retry is allowed.
        """
        if attempt >= self._rule.max_attempts or not may_retry(fault, repeatable):
            return None
        limit = min(self._rule.max_wait_s, self._rule.first_wait_s * 2 ** (attempt - 1))
        wait_s = self._rng.uniform(0.0, limit)
        if wait_s >= left_s or self._level < 1:
            return None
        self._level -= 1
        return wait_s


def may_retry(fault: Fault, repeatable: bool) -> bool:
    """Return whether a request may be retried after a fault.

    Args:
        fault: The fault of the failed attempt.
        repeatable: Whether the request is safe to run twice.
    """
    if fault.outcome is not Outcome.NOT_RUN and not repeatable:
        return False
    if fault.code is Code.STATEMENT_FAILED:
        return is_transient(fault.sqlstate)
    return fault.code in TRANSIENT_CODES


def is_transient(sqlstate: str) -> bool:
    """Return whether a SQLSTATE reports the server's state, not a statement error."""
    return sqlstate in TRANSIENT_SQLSTATES or sqlstate[:2] in TRANSIENT_SQLSTATE_CLASSES
