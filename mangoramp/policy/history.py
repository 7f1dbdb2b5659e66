"""Tells which log positions a change of primary has discarded.

Handles a former primary that comes back with its old log: its last entries may have a
higher number than all that the group holds now, and yet are no part of the group's
history. Numbers go on from one term to the next, so an entry that was replaced has the
number of an entry of a later term, or a higher one.
"""

from __future__ import annotations

from collections.abc import Iterable

from .position import Position

MAX_TERMS = 32  # far more than change while a server is away


class TermHistory:
    """The lowest known position of each term of a group's log."""

    def __init__(self, positions: Iterable[Position] = ()) -> None:
        self._firsts: dict[int, int] = {}
        self.merge(positions)

    @property
    def positions(self) -> tuple[Position, ...]:
        """The lowest known position of each of the last terms, oldest first."""
        return tuple(Position(t, self._firsts[t]) for t in sorted(self._firsts))

    def merge(self, positions: Iterable[Position]) -> None:
        """Record positions that are known elsewhere."""
        for position in positions:
            self.record(position)

    def record(self, position: Position) -> None:
        """Record a position of the log of a primary."""
        known = self._firsts.get(position.term)
        if known is not None and known <= position.offset:
            return
        self._firsts[position.term] = position.offset
        if len(self._firsts) > MAX_TERMS:
            del self._firsts[min(self._firsts)]

    def record_start(self, term: int, received: Position) -> None:
        """Record what a primary of a term held.

        Args:
            term: The term that it leads.
            received: The last position in its log, of this term or of one before it.
        """
        if received.term < term:
            self.record(Position(term, received.offset + 1))
        else:
            self.record(received)

    def is_discarded(self, position: Position) -> bool:
        """Return whether a position is surely no part of the history any more."""
        return any(
            term > position.term and first <= position.offset
            for term, first in self._firsts.items()
        )
