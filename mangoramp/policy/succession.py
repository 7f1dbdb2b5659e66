"""When a primary is to be replaced, and by which server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .position import Position

SILENT_S = 0.8  # four lost packets in a row, far more than a slow statement's wait
LATER_S = 0.3  # a report's age is known to within the time between two of them
VACANT_S = 1.0  # a change of primary that is under way shows in the registry sooner
LEAST_FAILURES = 2


@dataclass(frozen=True, slots=True)
class Evidence:
    """What one instance knows of a group's primary.

    Attributes:
        is_known: Whether there is a primary at all.
        is_draining: Whether it is about to leave.
        is_listed: Whether the registry lists it.
        silent_s: Seconds since it stopped to answer here; 0 while it answers.
        failures: Failed attempts in a row.
        vacant_s: Seconds for which there has been no primary.
        peer_heard_s: Seconds since a peer heard it, as far as peers in touch say.
        report_s: Seconds between two reports of a peer.
        has_majority: Whether the instances in touch outnumber the rest.
    """

    is_known: bool
    is_draining: bool = False
    is_listed: bool = True
    silent_s: float = 0.0
    failures: int = 0
    vacant_s: float = 0.0
    peer_heard_s: float = float("inf")
    report_s: float = 0.0
    has_majority: bool = True


def reason_to_promote(evidence: Evidence) -> str:
    """Why a primary is to be replaced; empty if it is not."""
    if evidence.is_known and evidence.is_draining:
        return "it is about to leave"
    if not evidence.has_majority:
        return ""
    if not evidence.is_known:
        return "there is none" if evidence.vacant_s >= VACANT_S else ""
    # Long enough for a peer that still hears it to have said so.
    patience_s = max(SILENT_S, LATER_S + 2 * evidence.report_s)
    if evidence.failures < LEAST_FAILURES or evidence.silent_s < patience_s:
        return ""
    if evidence.peer_heard_s < evidence.silent_s - LATER_S:
        return ""
    return "it is silent" if evidence.is_listed else "it is silent and not listed"


@dataclass(frozen=True, slots=True)
class Successor:
    """A server that might lead.

    Attributes:
        id: The server.
        received: The last entry that its log holds.
        is_near: Whether it runs where the former primary ran.
    """

    id: str
    received: Position
    is_near: bool = False


def choose_successor(successors: Iterable[Successor]) -> Successor | None:
    """Choose the server whose log holds most, so that the least is lost."""
    return max(successors, key=lambda s: (s.received, s.is_near, s.id), default=None)
