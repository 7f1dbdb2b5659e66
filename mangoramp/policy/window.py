"""How many statements of one instance a server is given at a time.

It answers many instances before a server that runs a few statements at a time, keeps a
few more waiting and refuses the rest: each instance finds its share from the refusals,
and what does not fit waits in the instance, in the order of urgency.
"""

from __future__ import annotations

import math

SHRINK = 0.7  # a refused window keeps most of what was served
LEAST = 1.0
SAME_CROWD_S = 0.1  # refusals that are closer together tell of the same crowd


class Window:
    """Additive increase, multiplicative decrease of the statements under way."""

    def __init__(self) -> None:
        self._size = math.inf
        self._shrunk_at = -math.inf

    def has_room(self, under_way: int) -> bool:
        """Whether one more statement may be sent.

        Args:
            under_way: Statements that the server was sent and has not answered.
        """
        return under_way < int(self._size) if math.isfinite(self._size) else True

    def served(self, under_way: int) -> None:
        """Note that a statement was run; a window that was full grows."""
        if math.isfinite(self._size) and not self.has_room(under_way):
            self._size += 1 / self._size

    def refused(self, under_way: int, now: float) -> None:
        """Note that the server had no room for a statement.

        Args:
            under_way: Statements that it was sent, the refused one included.
            now: The time, in seconds.
        """
        # Not more than the server has kept; once a crowd, some room for the others.
        kept = min(self._size, under_way - 1.0)
        if now - self._shrunk_at >= SAME_CROWD_S:
            self._shrunk_at = now
            kept = min(kept, SHRINK * min(self._size, float(under_way)))
        self._size = max(LEAST, kept)
