"""A rate and burst, kept as a token bucket."""

from __future__ import annotations


class Bucket:
    """A token bucket.

    Args:
        rate: Tokens a second.
        burst: The most tokens it holds.
        now: The time, in seconds.
        level: Tokens at the start.
    """

    def __init__(
        self, rate: float, burst: float, *, now: float, level: float = 0.0
    ) -> None:
        self.rate = rate
        self.burst = burst
        self._level = min(level, burst)
        self._at = now

    def take(self, now: float, *, tokens: float = 1.0) -> float:
        """Take tokens if they are there.

        Args:
            now: The time, in seconds.
            tokens: How many to take.

        Returns:
            0 if they were taken, else the seconds until they could be.
        """
        self._fill(now)
        if self._level >= tokens:
            self._level -= tokens
            return 0.0
        if self.rate <= 0 or self.burst < tokens:
            return float("inf")
        return (tokens - self._level) / self.rate

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; what the bucket holds over the burst is lost."""
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def level(self, now: float) -> float:
        """How many tokens it holds."""
        self._fill(now)
        return self._level

    def _fill(self, now: float) -> None:
        if now <= self._at:
            return
        self._level = min(self.burst, self._level + self.rate * (now - self._at))
        self._at = now
