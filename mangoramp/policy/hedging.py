"""Limits on the additional attempts of reads.

Addresses servers that fail a part of their statements. A read has no effect, so that it
may run again at another server. A fault of all servers must not multiply their load,
therefore additional attempts are limited to a share of the reads.
"""

from __future__ import annotations

RETRY_RATIO = 0.1  # additional attempts per read
BURST = 20.0  # failures until an outlier is ejected, at 100 reads per second


class AttemptBudget:
    """A token bucket that is filled by the reads themselves.

    Args:
        ratio: Additional attempts per read.
        burst: The most additional attempts that accumulate; available at the start.
    """

    def __init__(self, ratio: float, burst: float = BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._level = burst

    def record_read(self) -> None:
        """Add a read's share to the budget."""
        self._level = min(self._burst, self._level + self._ratio)

    def try_acquire(self) -> bool:
        """Take one additional attempt; return whether the budget allowed it."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
