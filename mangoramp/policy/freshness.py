"""The proven age of what a server's answers show."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .position import Lineage, Position

MARKS = 2048
MARK_GAP_S = 0.02


@dataclass(frozen=True, slots=True)
class Mark:
    """A confirmed primary's position at a moment.

    Attributes:
        at: The moment, in seconds.
        position: Everything acknowledged before it is at or before this position.
    """

    at: float
    position: Position


class Freshness:
    """Remembers when the confirmed primary was where."""

    def __init__(self) -> None:
        self._marks: deque[Mark] = deque(maxlen=MARKS)

    def mark(self, mark: Mark) -> None:
        """Take over a confirmed position; one older than the last is passed over."""
        if self._marks and mark.at <= self._marks[-1].at:
            return
        if self._is_close(mark):
            self._marks.pop()
        self._marks.append(mark)

    def as_of(self, position: Position, lineage: Lineage) -> float | None:
        """The moment up to which a server's answers show all that was acknowledged.

        Args:
            position: What the server's answers show.
            lineage: Where the group's terms began.

        Returns:
            The moment in seconds, None if nothing is proven.
        """
        for mark in reversed(self._marks):
            if lineage.covers(position, mark.position):
                return mark.at
        return None

    def _is_close(self, mark: Mark) -> bool:
        if len(self._marks) < 2:
            return False
        last, before = self._marks[-1], self._marks[-2]
        same = last.position == mark.position == before.position
        return same or mark.at - before.at < MARK_GAP_S
