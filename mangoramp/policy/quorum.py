"""Conclusions from the statuses of a majority of a group's servers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .position import Position


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """A database server's status as last reported by the server.

    Attributes:
        name: The server's name.
        incarnation: An id that changes with each start of the server.
        term: The highest term to which the server was fenced.
        log_term: The term of the last entry in its log.
        held: The number of entries in its log.
        applied: The number of applied entries, which its answers reflect.
        is_primary: Whether it accepts writes in its term.
        asked_at: When the status was requested, in seconds; the status was true then or
            later.
        term_start: For a primary, the number of entries in its log when its term began.
        term_previous: For a primary, the term of the last of those entries.
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
        """The position up to which the server has applied its log."""
        return Position(self.log_term, self.applied)

    @property
    def tail(self) -> Position:
        """The position of the last entry in the server's log."""
        return Position(self.log_term, self.held)


def majority(size: int) -> int:
    """Return the smallest number of servers that is a majority of ``size``."""
    return size // 2 + 1


def committed(
    term: int, statuses: Iterable[ServerStatus], size: int
) -> Position | None:
    """Return the last position that is certain to survive a failover, if known.

    Only entries of the current term count: an entry of an older term may be held by a
    majority and still be lost to a server whose log ends in a later term. A primary
    starts its term with an entry of its own, whose commit also commits all entries
    before it.

    Args:
        term: The group's current term.
        statuses: The statuses of all servers of the group.
        size: The number of servers in the group.
    """
    held = [s.held for s in statuses if s.term == term and s.log_term == term]
    if len(held) < majority(size):
        return None
    held.sort(reverse=True)
    return Position(term, held[majority(size) - 1])


def confirmed_at(
    primary: ServerStatus, statuses: Iterable[ServerStatus], size: int
) -> float | None:
    """Return the latest time at which a primary is known to have been the primary.

    At that time a majority was not fenced to a later term, so the position that the
    primary reported includes every write acknowledged before.

    Args:
        primary: The primary's status.
        statuses: The statuses of all servers of the group, including the primary.
        size: The number of servers in the group.

    Returns:
        The time in seconds, None if no such time is known.
    """
    if not primary.is_primary:
        return None
    asked = [s.asked_at for s in statuses if s.term <= primary.term]
    if len(asked) < majority(size):
        return None
    asked.sort(reverse=True)
    return min(primary.asked_at, asked[majority(size) - 1])
