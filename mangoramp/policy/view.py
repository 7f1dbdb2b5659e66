"""The known state of one database group, for routing and acknowledgement."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .freshness import FreshnessTracker, Mark
from .position import START, Lineage, Position
from .quorum import ServerStatus, committed, confirmed_at
from .routing import Candidate, ReadNeed

MAX_STATUS_AGE_S = 1.5


@dataclass(frozen=True, slots=True)
class GroupServer:
    """A database server of a group.

    Attributes:
        name: The server's name.
        failure_domain: The failure domain in which it runs.
        slots: The number of statements that it runs concurrently.
        leaving: Whether the server is being removed and gets no new work.
    """

    name: str
    failure_domain: str
    slots: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """A group's configuration on the platform.

    Attributes:
        term: The current term.
        primary: The primary's name, empty during a failover.
        members: All servers of the group.
        lineage: The group's history of terms.
    """

    term: int
    primary: str
    members: tuple[GroupServer, ...]
    lineage: Lineage


class GroupView:
    """The known configuration and server statuses of a group.

    Args:
        cfg: The group's configuration on the platform.
    """

    def __init__(self, cfg: Configuration) -> None:
        self.cfg = cfg
        self.statuses: dict[str, ServerStatus] = {}
        self.committed = START
        self._freshness = FreshnessTracker()

    def configure(self, cfg: Configuration) -> bool:
        """Apply a configuration unless it is of an older term.

        Args:
            cfg: The group's configuration.

        Returns:
            False if the configuration was older and was ignored.
        """
        if cfg.term < self.cfg.term:
            return False
        self.cfg = cfg
        known = {member.name for member in cfg.members}
        for name in self.statuses.keys() - known:
            del self.statuses[name]
        return True

    def record_status(self, status: ServerStatus) -> None:
        """Record a server's status."""
        self.statuses[status.name] = status
        size = len(self.cfg.members)
        found = committed(self.cfg.term, self.statuses.values(), size)
        if found is not None:
            self.committed = max(self.committed, found)
        primary = self.statuses.get(self.cfg.primary)
        if primary is None or primary.term != self.cfg.term:
            return
        confirmed_until = confirmed_at(primary, self.statuses.values(), size)
        if confirmed_until is not None:
            self._freshness.record(Mark(confirmed_until, primary.tail))

    def primary(self, now: float) -> ServerStatus | None:
        """Return the primary's status, None unless it answers and leads the term."""
        status = self.statuses.get(self.cfg.primary)
        if status is None or not status.is_primary or not self.is_live(status, now):
            return None
        return status if status.term == self.cfg.term else None

    def is_live(self, status: ServerStatus, now: float) -> bool:
        """Return whether a server has answered recently."""
        return now - status.asked_at < MAX_STATUS_AGE_S

    def candidates(self, now: float, busy: Mapping[str, int]) -> list[Candidate]:
        """Return the servers that may run reads.

        Args:
            now: The time, in seconds.
            busy: The number of running and queued statements, by server.
        """
        return [
            self._candidate(member, busy.get(member.name, 0))
            for member in self.cfg.members
            if not member.leaving and self._is_current(member.name, now)
        ]

    def as_of(self, position: Position) -> float | None:
        """Return the time up to which a position includes all writes, in seconds."""
        return self._freshness.as_of(position, self.cfg.lineage)

    def is_acknowledged(self, position: Position) -> bool:
        """Return whether a majority holds a write and the write is in the history."""
        return self.cfg.lineage.contains(position) and self.is_committed(position)

    def is_committed(self, position: Position) -> bool:
        """Return whether a position is certain to survive a failover in full."""
        return self.cfg.lineage.covers(self.committed, position)

    def unproven_reason(self, need: ReadNeed, position: Position) -> str:
        """Return the reason why a read's answer may not be returned yet.

        Args:
            need: The requirements of the read.
            position: The position that the server had applied after the read.

        Returns:
            The reason, empty if the answer may be returned.
        """
        if not self.cfg.lineage.covers(position, need.seen):
            return "the server is behind the session"
        as_of = self.as_of(position)
        if as_of is None or as_of < need.as_of:
            return "the age of the answer is not proven"
        if not self.is_committed(position):
            return "the answer shows what a failover might take back"
        return ""

    def _candidate(self, member: GroupServer, busy: int) -> Candidate:
        position = self.statuses[member.name].position
        return Candidate(
            name=member.name,
            failure_domain=member.failure_domain,
            is_primary=member.name == self.cfg.primary,
            position=position,
            as_of=self.as_of(position),
            busy=busy,
            slots=member.slots,
        )

    def _is_current(self, name: str, now: float) -> bool:
        status = self.statuses.get(name)
        if status is None or not self.is_live(status, now):
            return False
        if name == self.cfg.primary:
            return status.is_primary and status.term == self.cfg.term
        return self.cfg.lineage.contains(status.tail)
