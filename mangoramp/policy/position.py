"""Log positions and their comparison across terms."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in a group's log.

    Attributes:
        term: The term of the last entry up to the position.
        offset: The number of entries up to the position.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}.{self.offset}"


START = Position(0, 0)


@dataclass(frozen=True, slots=True)
class Origin:
    """The start of a term in the log.

    Attributes:
        term: The term.
        previous: The term of the last entry in its primary's log at the promotion.
        offset: The number of entries in that log at the promotion.
    """

    term: int
    previous: int
    offset: int


@dataclass(frozen=True)
class Lineage:
    """A group's history: the terms it consists of and where each of them ends.

    A failover may skip a term. The entries of that term's primary, which no majority
    held, are then not part of the history, even if a later term has more entries.

    Attributes:
        origins: The start of each term, oldest first.
    """

    origins: tuple[Origin, ...]

    @cached_property
    def ends(self) -> dict[int, int | None]:
        """The offset at which each term of the history ends, None for the last one."""
        ends: dict[int, int | None] = {}
        origin, end = self.origins[-1], None
        while origin.term not in ends:
            ends[origin.term] = end
            end = origin.offset
            previous = self._by_term.get(origin.previous)
            if previous is None:
                ends[origin.previous] = end
                break
            origin = previous
        return ends

    def contains(self, position: Position) -> bool:
        """Return whether a position is part of the group's history.

        Entries that only a replaced primary holds are not part of it.
        """
        if position.term not in self.ends:
            return False
        end = self.ends[position.term]
        return end is None or position.offset <= end

    def covers(self, have: Position, want: Position) -> bool:
        """Return whether ``have`` includes the surviving part of ``want``."""
        if not self.contains(have):
            return False
        surviving = self._surviving_part(want)
        if surviving is None or surviving.term > have.term:
            return False
        return surviving.offset <= have.offset

    @cached_property
    def _by_term(self) -> dict[int, Origin]:
        return {origin.term: origin for origin in self.origins}

    def _surviving_part(self, position: Position) -> Position | None:
        while position.term not in self.ends:
            origin = self._by_term.get(position.term)
            if origin is None:
                return None
            offset = min(position.offset, origin.offset)
            position = Position(origin.previous, offset)
        end = self.ends[position.term]
        offset = position.offset if end is None else min(position.offset, end)
        return Position(position.term, offset)
