"""How long a group's primary has been silent, as one observer sees it."""

from __future__ import annotations

from dataclasses import dataclass

from .quorum import ServerStatus

PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class View:
    """What an observer in one failure domain says of a primary.

    Attributes:
        failure_domain: Where the observer runs.
        term: The term of the group object that the observer knows.
        silent_s: Seconds for which it heard nothing from the primary as such.
        moving: Whether replicas still receive new entries of this term.
    """

    failure_domain: str
    term: int
    silent_s: float
    moving: bool = False


class Suspicion:
    """Follows one primary in one term.

    Args:
        now: The time, in seconds.
        moving_s: Seconds for which a new entry at a replica proves a live primary.
    """

    def __init__(self, now: float, *, moving_s: float) -> None:
        self._moving_s = moving_s
        self._ticked_at = now
        self._awake_since = now
        self._heard_at = now
        self._moved_at = float("-inf")
        self._held: dict[str, int] = {}
        self._primary = ""
        self._term = 0

    def watch(self, now: float, term: int, primary: str) -> None:
        """Follow a primary; a new one is given time to be heard."""
        if (term, primary) == (self._term, self._primary):
            return
        self._term, self._primary = term, primary
        self._heard_at = now
        self._moved_at = float("-inf")
        self._held.clear()

    def hear(self, now: float, status: ServerStatus) -> None:
        """Take over a server's status."""
        if status.name == self._primary:
            if status.is_primary and status.term == self._term:
                self._heard_at = max(self._heard_at, status.asked_at)
            return
        before = self._held.get(status.name)
        if status.log_term == self._term:
            self._held[status.name] = status.held
            if before is not None and status.held > before:
                self._moved_at = now

    def tick(self, now: float) -> None:
        """Note that the observer runs; after a pause of its own it starts anew."""
        if now - self._ticked_at > PAUSE_S:
            self._awake_since = now
        self._ticked_at = now

    def silent_s(self, now: float) -> float:
        """Seconds for which the primary was not heard by a running observer."""
        return now - max(self._heard_at, self._awake_since)

    def is_moving(self, now: float) -> bool:
        """Whether a replica has lately received a new entry of this term."""
        return now - self._moved_at < self._moving_s
