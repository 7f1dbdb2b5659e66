"""Which server of a group a read goes to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .position import Lineage, Position


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """What a read asks of its server.

    Attributes:
        seen: The position that the session has seen.
        as_of: The moment that the data must reach, in seconds.
        failure_domain: Where the read is served from.
    """

    seen: Position
    as_of: float
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that a read might go to.

    Attributes:
        name: The server's name.
        failure_domain: Where it runs.
        is_primary: Whether it is the group's primary.
        position: What its answers show.
        as_of: The moment up to which they are complete, None if not proven.
        busy: Statements running or waiting there.
        slots: Statements that it runs at the same time.
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
    """The server that a read goes to, and why."""

    server: str
    reason: str


@dataclass(frozen=True, slots=True)
class NoneFit:
    """No server is fit now; why each is not."""

    reasons: tuple[str, ...]


def choose_reader(
    need: ReadNeed, candidates: Sequence[Candidate], lineage: Lineage
) -> Chosen | NoneFit:
    """Choose the least busy replica that shows enough, else the primary.

    Args:
        need: What the read asks.
        candidates: The servers that answer and may get work.
        lineage: Where the group's terms began.
    """
    faults = {c.name: _unfit(need, c, lineage) for c in candidates}
    fit = [c for c in candidates if not faults[c.name]]
    replicas = [c for c in fit if not c.is_primary]
    if replicas:
        best = min(replicas, key=lambda c: _cost(need, c))
        return Chosen(best.name, "replica covers session and age")
    if fit:
        return Chosen(fit[0].name, "no replica covers session and age")
    return NoneFit(tuple(f"{name}: {why}" for name, why in faults.items()))


def _cost(need: ReadNeed, candidate: Candidate) -> tuple[float, bool, str]:
    load = candidate.busy / max(candidate.slots, 1)
    away = candidate.failure_domain != need.failure_domain
    return (load, away, candidate.name)


def _unfit(need: ReadNeed, candidate: Candidate, lineage: Lineage) -> str:
    if not lineage.covers(candidate.position, need.seen):
        return "behind the session"
    if candidate.is_primary:
        return ""
    if candidate.as_of is None:
        return "age not proven"
    if candidate.as_of < need.as_of:
        return "too old"
    return ""
