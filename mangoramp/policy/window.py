"""Limit on the statements that one instance has in flight at a server.

A server runs a few statements at a time, queues a few more and refuses the rest. Each
of the many instances finds its share from the refusals; excess statements wait in the
instance, ordered by urgency.
"""

from __future__ import annotations

import math

DECREASE_FACTOR = 0.7  # keeps most of the throughput after a refusal
MIN_WINDOW = 1.0
DECREASE_INTERVAL_S = 0.1  # refusals closer together belong to the same overload


class ConcurrencyWindow:
    """An additive-increase, multiplicative-decrease limit on statements in flight."""

    def __init__(self) -> None:
        self._size = math.inf
        self._decreased_at = -math.inf

    @property
    def size(self) -> float:
        """Statements that may be in flight, infinite before the first refusal."""
        return self._size

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more statement may be sent.

        Args:
            in_flight: Statements that were sent to the server and not yet answered.
        """
        return in_flight < int(self._size) if math.isfinite(self._size) else True

    def record_success(self, in_flight: int) -> None:
        """Record that a statement was run; the window grows if it was full."""
        if math.isfinite(self._size) and not self.has_room(in_flight):
            self._size += 1 / self._size

    def record_refusal(self, in_flight: int, now: float) -> None:
        """Record that the server refused a statement for lack of room.

        Args:
            in_flight: Statements in flight, including the refused one.
            now: The current time, in seconds.
        """
        # Every refusal limits the window to what the server accepted; the first of an
        # overload also makes room for other instances.
        new_size = min(self._size, in_flight - 1.0)
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self._decreased_at = now
            new_size = min(
                new_size, DECREASE_FACTOR * min(self._size, float(in_flight))
            )
        self._size = max(MIN_WINDOW, new_size)
