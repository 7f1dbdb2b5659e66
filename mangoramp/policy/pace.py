"""Limit on the statements in flight at a server that has just started or recovered.

Such a server may be slow at first or back at full speed at once. If every instance
sends its usual load immediately, a slow server is flooded; a fixed ramp leaves a fast
one idle. The limit starts at the instance's share of the server's slots and follows the
server's answers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

SLOW_FACTOR = 2.0  # times the usual latency
LATENCY_WEIGHT = 0.25  # the longest statements of a healthy server are no slowdown
USUAL_LATENCY_WEIGHT = 0.1  # of an answer that is slow although the limit is lowest
MAX_PAUSE_S = 0.25  # a recovery is noticed within this time at any share


class PaceChange(Enum):
    """What an answer did to the limit."""

    NONE = auto()
    GROWN = auto()
    REDUCED = auto()


@dataclass(frozen=True, slots=True)
class PaceStart:
    """Where a pace starts and ends.

    Attributes:
        share: This instance's part of the server's slots; may be below 1.
        full_share: The limit at which the pace ends.
        usual_latency_s: The usual latency of a statement in seconds, None if unknown.
    """

    share: float
    full_share: float
    usual_latency_s: float | None = None


class Pace:
    """A limit that grows with good answers and is halved by bad ones.

    It never falls below the starting share, since lower limits leave slots idle.

    Below 1, one statement at a time is sent, with pauses so that the mean number in
    flight equals the limit.

    Args:
        start: Where the pace starts and ends.

    Attributes:
        limit: Statements that may be in flight.
        full_share: The limit at which the pace ends.
    """

    def __init__(self, start: PaceStart) -> None:
        self.limit = min(start.share, start.full_share)
        self.full_share = start.full_share
        self._floor = self.limit  # all instances' shares add up to the server's slots
        self._usual_s = start.usual_latency_s
        self._latency_s = start.usual_latency_s
        self._reduced_at = -math.inf
        self._resume_at = -math.inf

    @property
    def is_over(self) -> bool:
        """Whether the limit has reached the full share."""
        return self.limit >= self.full_share

    def may_send(self, in_flight: int, now: float) -> bool:
        """Return whether one more statement may be sent.

        Args:
            in_flight: Statements and connections being opened that are not answered.
            now: The current time, in seconds.
        """
        if in_flight == 0:
            return now >= self._resume_at
        return in_flight < int(self.limit)

    def wait_s(self, in_flight: int, now: float) -> float:
        """Return the seconds until a statement may be sent if none is answered.

        Returns:
            0 if one may be sent now, infinity if an answer must arrive first.
        """
        if self.may_send(in_flight, now):
            return 0.0
        return math.inf if in_flight else self._resume_at - now

    def record_answer(
        self, latency_s: float, in_flight: int, sent_at: float, now: float
    ) -> PaceChange:
        """Adjust the limit to an answer that was not a rejection as busy.

        Args:
            latency_s: The time until the answer, in seconds.
            in_flight: Statements in flight, including the answered one.
            sent_at: When the statement was sent, in seconds.
            now: The current time, in seconds.
        """
        self._pause(latency_s, now)
        is_slow = self._is_slow(latency_s)
        if sent_at < self._reduced_at:
            return PaceChange.NONE  # this answer shows nothing of the reduced limit
        if is_slow:
            return self._reduce(now)
        if 2 * in_flight < self.limit:
            return PaceChange.NONE  # so few statements do not prove that more are run
        self.limit = min(self.full_share, self._grown())
        return PaceChange.GROWN

    def record_failure(self, sent_at: float, now: float) -> PaceChange:
        """Reduce the limit after a rejection as busy or a failure.

        Args:
            sent_at: When the statement was sent, in seconds.
            now: The current time, in seconds.
        """
        if sent_at < self._reduced_at:
            return PaceChange.NONE  # part of a failure that reduced the limit already
        change = self._reduce(now)
        self._pause(self._latency_s or 0.0, now)
        return change

    def _grown(self) -> float:
        # Either doubles the limit per round trip.
        return 2 * self.limit if self.limit < 1 else self.limit + 1

    def _reduce(self, now: float) -> PaceChange:
        reduced = max(self._floor, self.limit / 2)
        self._reduced_at = now
        if reduced == self.limit:
            return PaceChange.NONE
        self.limit = reduced
        return PaceChange.REDUCED

    def _is_slow(self, latency_s: float) -> bool:
        if self._usual_s is None or self._latency_s is None:
            self._usual_s = self._latency_s = latency_s
            return False
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        is_slow = self._latency_s > SLOW_FACTOR * self._usual_s
        if is_slow and self.limit <= self._floor:
            # Slow at the lowest limit: this is not caused by the load from here.
            self._usual_s += USUAL_LATENCY_WEIGHT * (latency_s - self._usual_s)
        return is_slow

    def _pause(self, latency_s: float, now: float) -> None:
        if self.limit < 1:
            pause_s = latency_s * (1 / self.limit - 1)
            self._resume_at = now + min(MAX_PAUSE_S, pause_s)
