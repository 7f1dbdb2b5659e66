"""What a majority of a group's servers is known to hold."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .position import Position


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What a database server last said of itself.

    Attributes:
        name: The server's name.
        incarnation: Changes with each start of the server.
        term: The highest term it was moved to.
        log_term: The term of the last entry it holds.
        held: How many entries it holds.
        applied: How many entries its answers show.
        is_primary: Whether it takes writes in its term.
        asked_at: When it was asked, in seconds; what it says was true then or later.
        term_start: Of a primary, the entries that it held when its term began.
        term_previous: Of a primary, the term of the last of those entries.
    """

    name: str
    incarnation: str
    term: int
    log_term: int
    held: int
    applied: int
    is_primary: bool
    asked_at: float
    term_start: int = 0
    term_previous: int = 0

    @property
    def position(self) -> Position:
        """What the server's answers show."""
        return Position(self.log_term, self.applied)

    @property
    def tail(self) -> Position:
        """What the server holds."""
        return Position(self.log_term, self.held)


def majority(size: int) -> int:
    """How many of ``size`` servers are a majority."""
    return size // 2 + 1


def committed(
    term: int, statuses: Iterable[ServerStatus], size: int
) -> Position | None:
    """The last position that is certain to outlast a failover.

    Only entries of the current term count: one of an older term may be held by a
    majority and still be replaced by a server with a later one. A primary opens its
    term with an entry of its own, which makes all before it certain.

    Args:
        term: The group's current term.
        statuses: What all servers of the group said.
        size: How many servers the group has.
    """
    held = [s.held for s in statuses if s.term == term and s.log_term == term]
    if len(held) < majority(size):
        return None
    held.sort(reverse=True)
    return Position(term, held[majority(size) - 1])


def confirmed_at(
    primary: ServerStatus, statuses: Iterable[ServerStatus], size: int
) -> float | None:
    """The last moment at which a primary is known to have been the primary.

    At that moment a majority had not moved past its term, so nothing acknowledged
    before is missing from the position that the primary answered with.

    Args:
        primary: What the primary said.
        statuses: What all servers of the group said, the primary among them.
        size: How many servers the group has.

    Returns:
        The moment in seconds, None if there is none.
    """
    if not primary.is_primary:
        return None
    asked = [s.asked_at for s in statuses if s.term <= primary.term]
    if len(asked) < majority(size):
        return None
    asked.sort(reverse=True)
    return min(primary.asked_at, asked[majority(size) - 1])
