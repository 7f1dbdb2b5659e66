"""Exponential backoff with jitter, tracked separately for each action."""

from __future__ import annotations

import random
from collections.abc import Hashable

BASE_S = 0.15
MAX_S = 1.0


class Backoff:
    """Limits how often each action is attempted.

    Args:
        rng: A seeded source for the jitter.
        base_s: The longest wait before the first retry, in seconds.
        max_s: The longest wait before any retry, in seconds.
    """

    def __init__(
        self, rng: random.Random, *, base_s: float = BASE_S, max_s: float = MAX_S
    ) -> None:
        self._rng = rng
        self._base_s = base_s
        self._max_s = max_s
        self._attempts: dict[Hashable, tuple[int, float]] = {}

    def try_attempt(self, key: Hashable, now: float) -> bool:
        """Return whether an action may be attempted now, and if so count the attempt.

        Args:
            key: Identifies the action.
            now: The current time, in seconds.
        """
        attempts, next_at = self._attempts.get(key, (0, now))
        if now < next_at:
            return False
        limit_s = min(self._max_s, self._base_s * 2**attempts)
        wait_s = self._rng.uniform(limit_s / 2, limit_s)
        self._attempts[key] = (min(attempts + 1, 10), now + wait_s)
        return True

    def clear(self) -> None:
        """Reset the backoff of all actions."""
        self._attempts.clear()
