"""Log positions, compared through the terms in which they were written."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a group's log.

    Attributes:
        term: The term of the last entry.
        offset: The number of entries.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}.{self.offset}"


START = Position(0, 0)


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a term began.

    Attributes:
        term: The term.
        previous: The term of the last entry that its primary held at its promotion.
        offset: How many entries its primary held then.
    """

    term: int
    previous: int
    offset: int


@dataclass(frozen=True)
class Lineage:
    """How a group's history runs through its terms.

    A failover may pass over a term: its primary's entries, which no majority held, are
    then not part of the history, though a later term has more entries.

    Attributes:
        origins: Where each term began, oldest first.
    """

    origins: tuple[Origin, ...]

    @cached_property
    def ends(self) -> dict[int, int | None]:
        """Where each term of the history was cut off, None for the last one."""
        found: dict[int, int | None] = {}
        origin, end = self.origins[-1], None
        while origin.term not in found:
            found[origin.term] = end
            end = origin.offset
            before = self._by_term.get(origin.previous)
            if before is None:
                found[origin.previous] = end
                break
            origin = before
        return found

    def contains(self, position: Position) -> bool:
        """Whether a position is part of the group's history.

        A replaced primary may hold entries that no other server has; they are not.
        """
        if position.term not in self.ends:
            return False
        end = self.ends[position.term]
        return end is None or position.offset <= end

    def covers(self, have: Position, want: Position) -> bool:
        """Whether a server at ``have`` shows all that is left of ``want``."""
        if not self.contains(have):
            return False
        left = self._left_of(want)
        if left is None or left.term > have.term:
            return False
        return left.offset <= have.offset

    @cached_property
    def _by_term(self) -> dict[int, Origin]:
        return {origin.term: origin for origin in self.origins}

    def _left_of(self, position: Position) -> Position | None:
        while position.term not in self.ends:
            origin = self._by_term.get(position.term)
            if origin is None:
                return None
            offset = min(position.offset, origin.offset)
            position = Position(origin.previous, offset)
        end = self.ends[position.term]
        offset = position.offset if end is None else min(position.offset, end)
        return Position(position.term, offset)
