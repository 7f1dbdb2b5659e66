"""The pauses between the tries of one statement.

It answers statements that no server takes for seconds, each of which would otherwise
ask many times a second and keep its instance from those that can be served.
"""

from __future__ import annotations

FIRST_S = 0.01  # a short statement ends and frees a slot
LONGEST_S = 0.08  # a small part of a promotion, and of any objective


class Pauses:
    """Tells how long one statement rests before its next try."""

    def __init__(self) -> None:
        self._next_s = FIRST_S

    def take(self) -> float:
        """The next pause, in seconds; the one after it is twice as long."""
        pause_s = self._next_s
        self._next_s = min(LONGEST_S, 2 * pause_s)
        return pause_s
