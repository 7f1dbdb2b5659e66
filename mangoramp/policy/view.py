"""One database group as it is known here: who may read, write and acknowledge."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .freshness import FreshnessTracker, Mark
from .position import START, Lineage, Position
from .quorum import ServerStatus, committed, confirmed_at
from .routing import Candidate, ReadNeed

STALE_S = 1.5


@dataclass(frozen=True, slots=True)
class Member:
    """A server of a group.

    Attributes:
        name: The server's name.
        failure_domain: Where it runs.
        slots: Statements that it runs at the same time.
        leaving: Whether it is to get no new work.
    """

    name: str
    failure_domain: str
    slots: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """A group as the platform has it.

    Attributes:
        term: The current term.
        primary: The primary's name; empty while a failover runs.
        members: All servers of the group.
        lineage: Where the terms began.
    """

    term: int
    primary: str
    members: tuple[Member, ...]
    lineage: Lineage


class GroupView:
    """What is known of a group's servers, and what follows from it.

    Args:
        cfg: The group as the platform has it.
    """

    def __init__(self, cfg: Configuration) -> None:
        self.cfg = cfg
        self.statuses: dict[str, ServerStatus] = {}
        self.committed = START
        self._freshness = FreshnessTracker()

    def configure(self, cfg: Configuration) -> bool:
        """Take over what the platform has now.

        Args:
            cfg: The group's configuration.

        Returns:
            False if it is older than what is known.
        """
        if cfg.term < self.cfg.term:
            return False
        self.cfg = cfg
        known = {member.name for member in cfg.members}
        for name in self.statuses.keys() - known:
            del self.statuses[name]
        return True

    def take(self, status: ServerStatus) -> None:
        """Take over what a server said."""
        self.statuses[status.name] = status
        size = len(self.cfg.members)
        found = committed(self.cfg.term, self.statuses.values(), size)
        if found is not None:
            self.committed = max(self.committed, found)
        primary = self.statuses.get(self.cfg.primary)
        if primary is None or primary.term != self.cfg.term:
            return
        at = confirmed_at(primary, self.statuses.values(), size)
        if at is not None:
            self._freshness.record(Mark(at, primary.tail))

    def primary(self, now: float) -> ServerStatus | None:
        """The primary, if it answers and says that it is one in the group's term."""
        status = self.statuses.get(self.cfg.primary)
        if status is None or not status.is_primary or not self.is_live(status, now):
            return None
        return status if status.term == self.cfg.term else None

    def is_live(self, status: ServerStatus, now: float) -> bool:
        """Whether a server has answered lately."""
        return now - status.asked_at < STALE_S

    def candidates(self, now: float, busy: Mapping[str, int]) -> list[Candidate]:
        """The servers that may get reads.

        Args:
            now: The time, in seconds.
            busy: Statements running or waiting, by server.
        """
        return [
            self._candidate(member, busy.get(member.name, 0))
            for member in self.cfg.members
            if not member.leaving and self._is_current(member.name, now)
        ]

    def as_of(self, position: Position) -> float | None:
        """The moment up to which a position is known to be complete, in seconds."""
        return self._freshness.as_of(position, self.cfg.lineage)

    def is_acknowledged(self, position: Position) -> bool:
        """Whether a majority holds a write, in its term or in one that came of it."""
        return self.cfg.lineage.contains(position) and self.is_committed(position)

    def is_committed(self, position: Position) -> bool:
        """Whether everything up to a position is certain to outlast a failover."""
        return self.cfg.lineage.covers(self.committed, position)

    def unproven(self, need: ReadNeed, position: Position) -> str:
        """Why an answer may not be handed on yet.

        Args:
            need: What the read asked.
            position: What the server showed after the read.

        Returns:
            The reason, empty if the answer is good.
        """
        if not self.cfg.lineage.covers(position, need.seen):
            return "the server is behind the session"
        as_of = self.as_of(position)
        if as_of is None or as_of < need.as_of:
            return "the age of the answer is not proven"
        if not self.is_committed(position):
            return "the answer shows what a failover might take back"
        return ""

    def _candidate(self, member: Member, busy: int) -> Candidate:
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
