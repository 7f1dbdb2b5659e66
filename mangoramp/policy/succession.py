"""Decides when to replace a primary, and by which server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .history import TermHistory
from .position import Position

MIN_SILENCE_S = 0.8  # four lost packets in a row, far longer than a slow statement
REPORT_AGE_ERROR_S = 0.3  # the age of a report is known to within one report interval
MIN_VACANCY_S = 1.0  # a change of primary in progress reaches the registry sooner
MIN_FAILURES = 2


@dataclass(frozen=True, slots=True)
class Evidence:
    """One instance's observations of a group's primary.

    Attributes:
        is_known: Whether the group has a known primary.
        is_draining: Whether the primary is about to leave.
        is_evacuated: Whether the primary's failure domain is being evacuated.
        is_listed: Whether the registry lists the primary.
        silent_s: Seconds since the primary stopped answering here; 0 while it answers.
        failures: The number of consecutive failed attempts.
        vacant_s: Seconds for which there has been no primary.
        peer_heard_s: Seconds since the primary last answered a peer, as reported by the
            reachable peers.
        statements_failing_s: Seconds for which all statements have failed here; 0 if
            the last one succeeded or too few have failed.
        report_s: Seconds between two reports of a peer.
        has_majority: Whether the reachable instances are a majority.
    """

    is_known: bool
    is_draining: bool = False
    is_listed: bool = True
    silent_s: float = 0.0
    failures: int = 0
    vacant_s: float = 0.0
    peer_heard_s: float = float("inf")
    statements_failing_s: float = 0.0
    report_s: float = 0.0
    has_majority: bool = True
    is_evacuated: bool = False


def reason_to_promote(evidence: Evidence) -> str:
    """Return the reason to replace a primary, empty if there is none."""
    if evidence.is_known and evidence.is_evacuated:
        return "its failure domain is being evacuated"
    if evidence.is_known and evidence.is_draining:
        return "it is about to leave"
    if not evidence.has_majority:
        return ""
    if not evidence.is_known:
        return "there is none" if evidence.vacant_s >= MIN_VACANCY_S else ""
    # Long enough for a report from a peer that still gets answers.
    required_s = max(MIN_SILENCE_S, REPORT_AGE_ERROR_S + 2 * evidence.report_s)
    heard_s = evidence.peer_heard_s + REPORT_AGE_ERROR_S
    if min(evidence.statements_failing_s, heard_s) >= required_s:
        return "it fails all statements"
    if evidence.failures < MIN_FAILURES or evidence.silent_s < required_s:
        return ""
    if heard_s < evidence.silent_s:
        return ""
    return "it is silent" if evidence.is_listed else "it is silent and not listed"


@dataclass(frozen=True, slots=True)
class Successor:
    """A server that could be promoted to primary.

    Attributes:
        id: The server's id.
        received: The position of the last entry in its log.
        is_near: Whether it runs in the former primary's failure domain.
        is_primary: Whether it is the primary already.
        started_ms: When its process started, in Unix milliseconds.
    """

    id: str
    received: Position
    is_near: bool = False
    is_primary: bool = False
    started_ms: int = 0


def choose_successor(
    successors: Iterable[Successor], history: TermHistory | None = None
) -> Successor | None:
    """Choose the server with the longest log, to lose the fewest writes.

    A server that is the primary already goes before all others. One whose last entries
    were discarded is not chosen, even if it is the only one: they would return after
    callers were served without them, and commits of a later term would be lost.

    Args:
        successors: The servers that could be promoted.
        history: What is known of the group's terms, None for nothing.
    """
    known = history or TermHistory()
    return max(
        (s for s in successors if s.is_primary or not known.is_discarded(s.received)),
        key=lambda s: (s.is_primary, s.received, s.is_near, s.id),
        default=None,
    )
