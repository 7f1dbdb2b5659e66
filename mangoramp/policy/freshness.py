"""The proven age of the data that a server's answers show."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .position import Lineage, Position

MAX_MARKS = 2048
MIN_MARK_GAP_S = 0.02


@dataclass(frozen=True, slots=True)
class Mark:
    """The position of a confirmed primary at a point in time.

    Attributes:
        at: The time, in seconds.
        position: Every write acknowledged before ``at`` is at or before this position.
    """

    at: float
    position: Position


class FreshnessTracker:
    """Tracks the positions of the confirmed primary over time."""

    def __init__(self) -> None:
        self._marks: deque[Mark] = deque(maxlen=MAX_MARKS)

    def record(self, mark: Mark) -> None:
        """Add a confirmed position; ignored unless it is newer than the last one."""
        if self._marks and mark.at <= self._marks[-1].at:
            return
        if self._is_close(mark):
            self._marks.pop()
        self._marks.append(mark)

    def as_of(self, position: Position, lineage: Lineage) -> float | None:
        """Return the time up to which answers include all acknowledged writes.

        Args:
            position: The position that the server's answers show.
            lineage: The positions at which the group's terms began.

        Returns:
            The time in seconds, None if no bound can be proven.
        """
        for mark in reversed(self._marks):
            if lineage.covers(position, mark.position):
                return mark.at
        return None

    def _is_close(self, mark: Mark) -> bool:
        if len(self._marks) < 2:
            return False
        last, before = self._marks[-1], self._marks[-2]
        is_unchanged = last.position == mark.position == before.position
        return is_unchanged or mark.at - before.at < MIN_MARK_GAP_S
