"""Choice of the server of a group that a read is sent to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .position import Lineage, Position


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """What a read requires of the server that runs it.

    Attributes:
        seen: The position that the session has seen.
        as_of: The time up to which the data must be complete, in seconds.
        failure_domain: The failure domain that the read is served from.
    """

    seen: Position
    as_of: float
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Candidate:
    """A candidate server for a read.

    Attributes:
        name: The server's name.
        failure_domain: The failure domain that the server runs in.
        is_primary: Whether the server is the group's primary.
        position: The position that the server's answers show.
        as_of: The time up to which its answers are complete, None if not proven.
        busy: Statements running or waiting at the server.
        slots: Statements that the server runs concurrently.
    """

    name: str
    failure_domain: str
    is_primary: bool
    position: Position
    as_of: float | None
    busy: int
    slots: int


@dataclass(frozen=True, slots=True)
class Chosen:
    """The chosen server, and the reason for the choice."""

    server: str
    reason: str


@dataclass(frozen=True, slots=True)
class NoneFit:
    """No server is eligible at present; one reason for each server."""

    reasons: tuple[str, ...]


def choose_read_server(
    need: ReadNeed, candidates: Sequence[Candidate], lineage: Lineage
) -> Chosen | NoneFit:
    """Choose the least busy replica that meets the requirements, else the primary.

    Args:
        need: What the read requires.
        candidates: The servers that answer and may get work.
        lineage: The positions at which the group's terms began.
    """
    objections = {c.name: _objection(need, c, lineage) for c in candidates}
    eligible = [c for c in candidates if not objections[c.name]]
    replicas = [c for c in eligible if not c.is_primary]
    if replicas:
        least_busy = min(replicas, key=lambda c: _load_rank(need, c))
        return Chosen(least_busy.name, "replica covers session and age")
    if eligible:
        return Chosen(eligible[0].name, "no replica covers session and age")
    return NoneFit(
        tuple(f"{name}: {objection}" for name, objection in objections.items())
    )


def _load_rank(need: ReadNeed, candidate: Candidate) -> tuple[float, bool, str]:
    load = candidate.busy / max(candidate.slots, 1)
    is_remote = candidate.failure_domain != need.failure_domain
    return (load, is_remote, candidate.name)


def _objection(need: ReadNeed, candidate: Candidate, lineage: Lineage) -> str:
    if not lineage.covers(candidate.position, need.seen):
        return "behind the session"
    if candidate.is_primary:
        return ""
    if candidate.as_of is None:
        return "age not proven"
    if candidate.as_of < need.as_of:
        return "too old"
    return ""
