"""A rate and burst, kept as a token bucket that may lend tokens out."""

from __future__ import annotations


class Bucket:
    """A token bucket.

    Args:
        rate: Tokens a second.
        burst: The most tokens it holds, those that it lent out included.
        now: The time, in seconds.
        level: Tokens at the start.
    """

    def __init__(
        self, rate: float, burst: float, *, now: float, level: float = 0.0
    ) -> None:
        self.rate = rate
        self.burst = burst
        self._level = min(level, burst)
        self._held = 0.0
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

    def draw(self, most: float, now: float) -> float:
        """Take as many tokens as there are, up to a number of them."""
        self._fill(now)
        drawn = max(0.0, min(most, self._level))
        self._level -= drawn
        return drawn

    def hold(self, tokens: float, now: float) -> None:
        """Keep room for tokens that were lent out."""
        self._fill(now)
        self._held += tokens
        self._level = min(self._level, self._room)

    def release(self, tokens: float, now: float, *, returned: float = 0.0) -> None:
        """Give up room that was held, and take back tokens that were not used."""
        self._fill(now)
        self._held = max(0.0, self._held - tokens)
        self._level = min(self._level + returned, self._room)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; what the bucket holds over the burst is lost."""
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, self._room)

    def level(self, now: float) -> float:
        """How many tokens it holds."""
        self._fill(now)
        return self._level

    @property
    def _room(self) -> float:
        return max(0.0, self.burst - self._held)

    def _fill(self, now: float) -> None:
        if now <= self._at:
            return
        self._level = min(self._room, self._level + self.rate * (now - self._at))
        self._at = now
