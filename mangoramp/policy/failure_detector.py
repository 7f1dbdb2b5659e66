"""Failure detection of a group's primary by one observer."""

from __future__ import annotations

from dataclasses import dataclass

from .quorum import ServerStatus

MIN_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class PrimaryView:
    """An observer's view of a group's primary.

    Attributes:
        failure_domain: The failure domain in which the observer runs.
        term: The term of the group object that the observer knows.
        silent_s: Seconds since the server last answered as the primary of that term.
        moving: Whether replicas still receive new entries of this term.
    """

    failure_domain: str
    term: int
    silent_s: float
    moving: bool = False


class FailureDetector:
    """Measures the silence of one primary in one term.

    Args:
        now: The time, in seconds.
        moving_s: Seconds for which a new entry at a replica proves that the primary is
            alive.
    """

    def __init__(self, now: float, *, moving_s: float) -> None:
        self._moving_s = moving_s
        self._last_tick_at = now
        self._running_since = now
        self._last_answer_at = now
        self._last_entry_at = float("-inf")
        self._held: dict[str, int] = {}
        self._primary = ""
        self._term = 0

    def watch(self, now: float, term: int, primary: str) -> None:
        """Set the primary to observe; the silence of a new primary counts from now."""
        if (term, primary) == (self._term, self._primary):
            return
        self._term, self._primary = term, primary
        self._last_answer_at = now
        self._last_entry_at = float("-inf")
        self._held.clear()

    def record_status(self, now: float, status: ServerStatus) -> None:
        """Record a server's status."""
        if status.name == self._primary:
            if status.is_primary and status.term == self._term:
                self._last_answer_at = max(self._last_answer_at, status.asked_at)
            return
        before = self._held.get(status.name)
        if status.log_term == self._term:
            self._held[status.name] = status.held
            if before is not None and status.held > before:
                self._last_entry_at = now

    def tick(self, now: float) -> None:
        """Record that the observer is running; its own pause restarts the silence."""
        if now - self._last_tick_at > MIN_PAUSE_S:
            self._running_since = now
        self._last_tick_at = now

    def silent_s(self, now: float) -> float:
        """Return how long the primary has not answered this observer while it ran."""
        return now - max(self._last_answer_at, self._running_since)

    def is_moving(self, now: float) -> bool:
        """Return whether a replica has recently received a new entry of this term."""
        return now - self._last_entry_at < self._moving_s
