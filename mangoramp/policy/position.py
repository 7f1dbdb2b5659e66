"""Log positions, compared through the terms in which they were written."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a group's log.

    Attributes:
        term: The term of the last entry.
        offset: The number of entries.
    """

    term: int
    offset: int


START = Position(0, 0)


@dataclass(frozen=True, slots=True)
class Lineage:
    """Where each term of a group began.

    Attributes:
        starts: The offset at which each term began, by term, oldest first; terms of
            which no entry is part of the history are missing.
    """

    starts: tuple[tuple[int, int], ...] = ()

    def end_of(self, term: int) -> int | None:
        """The offset at which the next term cut a term off, None while it lasts."""
        for later, start in self.starts:
            if later > term:
                return start
        return None

    def contains(self, position: Position) -> bool:
        """Whether a position is part of the group's history.

        A replaced primary may hold entries that no other server has; they are not.
        """
        if not self._is_known(position):
            return False
        end = self.end_of(position.term)
        return end is None or position.offset <= end

    def covers(self, have: Position, want: Position) -> bool:
        """Whether a server at ``have`` shows everything up to ``want``."""
        if not self.contains(have):
            return False
        if want.term > have.term:
            return False
        if want.term == have.term:
            return want.offset <= have.offset
        end = self.end_of(want.term)
        offset = want.offset if end is None else min(want.offset, end)
        return offset <= have.offset

    def _is_known(self, position: Position) -> bool:
        if not self.starts or position.offset == 0:
            return True
        return any(term == position.term for term, _ in self.starts)
