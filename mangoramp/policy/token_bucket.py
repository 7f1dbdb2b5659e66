"""A token bucket that can set room aside for tokens lent out."""

from __future__ import annotations


class TokenBucket:
    """A token bucket.

    Args:
        rate: Tokens per second.
        burst: The most tokens that the bucket holds, including those lent out.
        now: The current time, in seconds.
        level: The initial number of tokens.
    """

    def __init__(
        self, rate: float, burst: float, *, now: float, level: float = 0.0
    ) -> None:
        self.rate = rate
        self.burst = burst
        self._level = min(level, burst)
        self._lent = 0.0
        self._level_at = now

    def try_acquire(self, now: float, *, tokens: float = 1.0) -> float:
        """Take tokens if enough are available.

        Args:
            now: The current time, in seconds.
            tokens: The number of tokens to take.

        Returns:
            0 if they were taken, else the seconds until they could be.
        """
        self._refill(now)
        if self._level >= tokens:
            self._level -= tokens
            return 0.0
        if self.rate <= 0 or self.burst < tokens:
            return float("inf")
        return (tokens - self._level) / self.rate

    def acquire_up_to(self, limit: float, now: float) -> float:
        """Take the available tokens, up to a limit, and return how many were taken."""
        self._refill(now)
        taken = max(0.0, min(limit, self._level))
        self._level -= taken
        return taken

    def reserve_room(self, tokens: float, now: float) -> None:
        """Set aside room for tokens that were lent out."""
        self._refill(now)
        self._lent += tokens
        self._level = min(self._level, self._capacity)

    def release_room(self, tokens: float, now: float, *, returned: float = 0.0) -> None:
        """Release room that was set aside, and add back tokens that were not used."""
        self._refill(now)
        self._lent = max(0.0, self._lent - tokens)
        self._level = min(self._level + returned, self._capacity)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and burst; tokens above the new burst are lost."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, self._capacity)

    def level(self, now: float) -> float:
        """Return the number of tokens in the bucket."""
        self._refill(now)
        return self._level

    @property
    def _capacity(self) -> float:
        return max(0.0, self.burst - self._lent)

    def _refill(self, now: float) -> None:
        if now <= self._level_at:
            return
        self._level = min(
            self._capacity, self._level + self.rate * (now - self._level_at)
        )
        self._level_at = now
