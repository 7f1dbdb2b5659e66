"""Additional attempts of reads: when they are made and how many.

Addresses servers that fail a part of their statements, drop answers or answer late. A
read has no effect, so that it may run at another server, too. A fault of all servers
must not multiply their load, therefore additional attempts are limited to a share of
the reads.
"""

from __future__ import annotations

from collections import deque

RETRY_RATIO = 0.1  # retries per read
HEDGE_RATIO = 0.05  # hedged attempts per read
BURST = 20.0  # failures until an outlier is ejected, at 100 reads per second
MIN_HEDGE_DELAY_S = 0.01  # most statements are answered by then
MAX_HEDGE_OBJECTIVE_SHARE = 0.5  # leaves the other half to the second attempt
MAX_LATENCIES = 128
MIN_LATENCIES = 20  # fewer have no 95th percentile
QUANTILE = 0.95
SORT_INTERVAL = 16  # answers after which the percentile is computed again


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


class LatencyWindow:
    """The latest latencies of one server's reads and their 95th percentile."""

    def __init__(self) -> None:
        self._latencies: deque[float] = deque(maxlen=MAX_LATENCIES)
        self._unsorted = 0
        self._p95_s: float | None = None

    def record(self, latency_s: float) -> None:
        """Add the latency of an answer, in seconds."""
        self._latencies.append(latency_s)
        self._unsorted += 1

    @property
    def p95_s(self) -> float | None:
        """The 95th percentile in seconds, None while too few latencies are known."""
        if len(self._latencies) < MIN_LATENCIES:
            return None
        if self._p95_s is None or self._unsorted >= SORT_INTERVAL:
            self._unsorted = 0
            ordered = sorted(self._latencies)
            self._p95_s = ordered[int(QUANTILE * len(ordered))]
        return self._p95_s


def hedge_delay_s(p95_s: float | None, objective_s: float) -> float:
    """Return after which time a read's answer is overdue, in seconds.

    Args:
        p95_s: The 95th percentile of the server's latency, None if unknown.
        objective_s: The latency objective of the read.
    """
    most_s = MAX_HEDGE_OBJECTIVE_SHARE * objective_s
    if p95_s is None:
        return most_s
    return min(max(p95_s, MIN_HEDGE_DELAY_S), most_s)
