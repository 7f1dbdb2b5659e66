"""Decides whether an instance knows enough to act for the whole deployment.

Handles instances that come back from a cut, a pause or a failing watch: what they know
is of the time before, and their peers have acted since. An act in the store is also
checked against the store itself, where a claim that is newer than the registry known
here shows that another instance has acted.
"""

from __future__ import annotations

from dataclasses import dataclass

from .revision import Revision

PAUSE_S = 1.0  # by which a check is late; longer than any usual delay
MIN_CHECKS_AFTER_PAUSE_S = 0.6  # two reports of a peer, which show newer knowledge


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What an instance knows of the registry, and how recently that was confirmed.

    Attributes:
        peers_know_more: Whether a peer has reported a newer revision.
        since_pause_s: Seconds since this process was last paused, infinite if never.
        report_s: Seconds between two reports of a peer.
    """

    peers_know_more: bool = False
    since_pause_s: float = float("inf")
    report_s: float = 0.0


def reason_to_wait(knowledge: Knowledge) -> str:
    """Return why an instance must not act yet, empty if it may."""
    if knowledge.peers_know_more:
        return "a peer knows a newer registry"
    required_s = max(MIN_CHECKS_AFTER_PAUSE_S, 2 * knowledge.report_s)
    if knowledge.since_pause_s < required_s:
        return f"it was paused {knowledge.since_pause_s:.1f} s ago"
    return ""


def is_claim_unseen(claimed_at: Revision, registry_at: Revision) -> bool:
    """Return whether a claim may have changed the registry since it was last seen.

    Args:
        claimed_at: The store's revision of the claim.
        registry_at: The newest revision of the registry that is known.
    """
    return claimed_at > registry_at


class PauseDetector:
    """Notices from the times of regular checks that the process was paused."""

    def __init__(self) -> None:
        self._due_at = float("inf")
        self._paused_at = float("-inf")

    def record_check(self, now: float, *, next_s: float) -> None:
        """Record a check.

        Args:
            now: The time in seconds, on a clock that counts pauses.
            next_s: Seconds until the next check.
        """
        if now - self._due_at > PAUSE_S:
            self._paused_at = now
        self._due_at = now + next_s

    def since_pause_s(self, now: float) -> float:
        """Return the seconds since the last pause ended, infinite if there was none."""
        return now - self._paused_at
