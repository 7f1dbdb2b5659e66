"""Rejection of statements that cannot be served before their deadline.

During the loss of a primary or a long backlog, a statement that is held until its
deadline tells its caller too late to try again. These estimates find the statements
that certainly cannot be served, and spread the callers that return over the time that
the server needs for what is ahead of them.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence

INITIAL_OUTAGE_S = 2.5  # detection, claim and promotion of a successor
INITIAL_VACANCY_S = 0.5  # until the registry names a successor that already leads
MAX_OUTAGES = 15  # learned durations that are kept
EARLY_FRACTION = 0.25  # of the possible ends; a wrong rejection costs as much as a wait
PROBE_INTERVAL = 8  # one in eight rejected statements is sent all the same
MAX_AHEAD_S = 5.0  # an outage that is long overdue may still end at any time
MIN_RETRY_AFTER_S = 0.1  # a connection or slot is usually free by then


class OutageEstimate:
    """Estimates when the outage of one group's primary ends.

    The durations of earlier outages are the possible durations of the present one.
    Those shorter than the time already passed are ruled out, so that many short
    interruptions do not shorten the estimate for a lost primary.

    Args:
        initial_s: The duration in seconds that is assumed besides the learned ones.
    """

    def __init__(self, initial_s: float = INITIAL_OUTAGE_S) -> None:
        self._initial_s = initial_s
        self._durations: deque[float] = deque(maxlen=MAX_OUTAGES)
        self._began_at: float | None = None

    @property
    def began_at(self) -> float | None:
        """When the present outage began, in seconds; None if there is none."""
        return self._began_at

    def record_down(self, began_at: float) -> None:
        """Record that the primary does not answer.

        Args:
            began_at: When its silence began, in seconds; the earliest time counts.
        """
        if self._began_at is None or began_at < self._began_at:
            self._began_at = began_at

    def record_up(self, now: float) -> None:
        """Record that the primary answers or has been replaced."""
        if self._began_at is not None:
            self._durations.append(now - self._began_at)
            self._began_at = None

    def remaining_s(self, now: float) -> float:
        """Return the seconds within which the outage may well end, 0 without one.

        Of the earlier outages that lasted longer than this one so far, a quarter had
        ended by then. If none lasted longer, this one is expected to exceed the longest
        by as much again as it already does.
        """
        if self._began_at is None:
            return 0.0
        passed_s = now - self._began_at
        durations = sorted((self._initial_s, *self._durations))
        possible = [d for d in durations if d > passed_s]
        if possible:
            return possible[int(EARLY_FRACTION * len(possible))] - passed_s
        return passed_s - durations[-1]


class Backlog:
    """The waits at one server that its holder of connections last reported."""

    def __init__(self) -> None:
        self._waits: tuple[float, ...] = ()
        self._reported_at = -math.inf

    @property
    def reported_at(self) -> float:
        """The earliest time to which the report applies, in seconds."""
        return self._reported_at

    def record(self, waits: Sequence[float], now: float) -> None:
        """Record the expected waits.

        Args:
            waits: Seconds until a new statement is served, by priority class; the last
                entry also holds for less urgent classes. Empty if nothing waits.
            now: The earliest time at which this was so, in seconds.
        """
        self._waits = tuple(waits)
        self._reported_at = now

    def wait_s(self, priority: int, now: float) -> float:
        """Return the least wait that is possible now, in seconds.

        A backlog shrinks by at most one second per second, so an old report loses its
        effect by itself.
        """
        if not self._waits:
            return 0.0
        reported_s = self._waits[min(priority, len(self._waits) - 1)]
        return max(0.0, reported_s - (now - self._reported_at))


class ProbeCounter:
    """Selects the rejected statements that are sent to measure the backlog again."""

    def __init__(self) -> None:
        self._rejected = 0

    def is_probe(self) -> bool:
        """Count a statement to be rejected; return whether it is to be sent instead."""
        is_next = self.is_next_probe
        self._rejected += 1
        return is_next

    @property
    def is_next_probe(self) -> bool:
        """Whether the next statement to be rejected is sent instead."""
        return (self._rejected + 1) % PROBE_INTERVAL == 0


def retry_after_s(ahead_s: float, rng: random.Random) -> float:
    """Return after which time a rejected caller should try again, in seconds.

    Args:
        ahead_s: Seconds until what is ahead of the statement is done.
        rng: Source of the jitter, which spreads the callers over as long again.
    """
    ahead_s = min(max(ahead_s, MIN_RETRY_AFTER_S), MAX_AHEAD_S)
    return ahead_s + rng.uniform(0.0, ahead_s)
