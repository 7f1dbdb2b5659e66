"""Retries that wait longer each time, with jitter from a seeded source."""

from __future__ import annotations

import random
from collections.abc import Hashable

BASE_S = 0.15
MAX_S = 1.0


class Backoff:
    """Tells when each action may be tried again.

    Args:
        rng: Source of the jitter.
        base_s: Seconds before the first retry.
        max_s: The longest wait, in seconds.
    """

    def __init__(
        self, rng: random.Random, *, base_s: float = BASE_S, max_s: float = MAX_S
    ) -> None:
        self._rng = rng
        self._base_s = base_s
        self._max_s = max_s
        self._tries: dict[Hashable, tuple[int, float]] = {}

    def due(self, key: Hashable, now: float) -> bool:
        """Whether an action may be tried now; if so, the try is counted.

        Args:
            key: What identifies the action.
            now: The time, in seconds.
        """
        tries, next_at = self._tries.get(key, (0, now))
        if now < next_at:
            return False
        longest = min(self._max_s, self._base_s * 2**tries)
        wait_s = self._rng.uniform(longest / 2, longest)
        self._tries[key] = (min(tries + 1, 10), now + wait_s)
        return True

    def clear(self) -> None:
        """Forget all tries."""
        self._tries.clear()
