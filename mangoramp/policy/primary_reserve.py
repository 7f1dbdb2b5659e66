"""Reservation of a primary's concurrency for the work that only it can run.

When replicas are slow or busy, reads fall back to the primary and queue in front of the
writes, which have nowhere else to go.
"""

from __future__ import annotations

import math

RESERVED_PART = 0.25  # of the concurrency, at least one statement
HOLD_S = 1.0  # bridges the pauses between urgent statements under load


class PrimaryReserve:
    """Tracks the statements that wait for a primary because only it can run them."""

    def __init__(self) -> None:
        self._waiting: dict[int, int] = {}
        self._waited_at: dict[int, float] = {}

    def start_wait(self, priority: int) -> None:
        """Record that a statement that only the primary can run begins to wait."""
        self._waiting[priority] = self._waiting.get(priority, 0) + 1

    def end_wait(self, priority: int, now: float) -> None:
        """Record that such a statement has stopped waiting."""
        self._waiting[priority] -= 1
        self._waited_at[priority] = now

    def reserved(self, priority: int, concurrency: float, now: float) -> int:
        """Return how much of the concurrency a read that replicas can serve must leave.

        Args:
            priority: The read's priority class.
            concurrency: Statements that may be in flight at the primary; at least 1.
            now: The current time, in seconds.

        Returns:
            0 unless a statement at least as urgent as the read waits, or has waited
            within the last second, for the primary.
        """
        if not any(self._has_waited(p, now) for p in range(priority + 1)):
            return 0
        return max(1, math.ceil(RESERVED_PART * concurrency))

    def _has_waited(self, priority: int, now: float) -> bool:
        if self._waiting.get(priority):
            return True
        return now - self._waited_at.get(priority, -math.inf) <= HOLD_S
