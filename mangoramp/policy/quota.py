"""A customer's rate limit across all instances, replicated by usage reports.

Handles callers that move between instances and customers that send many times their
rate. Every instance keeps a copy of one token bucket; it deducts its own operations at
once and those of other instances when they report them. While some are out of touch,
``quota_parts`` divides the limit between those that are and those that are not.

Reports are late where processes are busy, paused or started anew. For the time of which
the others' counts are not known yet, a copy is refilled at this instance's share of the
rate only; the rest is added once they are known. Else each copy would be refilled at
the whole rate meanwhile, and the callers who wait would be admitted at all of them.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, replace

from .quota_parts import Reach, UsageParts

NEAR_LIMIT_FRACTION = 0.5  # of the burst; above it, late reports overrun no limit
COLD_START_FILL = 0.25  # of the burst is available at a start after unknown usage
RESTART_TOLERANCE_PART = 0.5  # all instances may restart twice within a window
MIN_UNKNOWN_OPERATIONS = 2  # of a small customer, before others hear of them


@dataclass(frozen=True, slots=True)
class RateTolerance:
    """By how much the operations within any window may exceed a customer's limit.

    Attributes:
        window_s: Length of the window in seconds.
        overage: Part of the limit.
        slack: Operations in addition.
    """

    window_s: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def operations(self, rate: float, burst: float) -> float:
        """Return the operations in excess that a customer may run within a window."""
        return self.overage * (rate * self.window_s + burst) + self.slack


@dataclass(frozen=True, slots=True)
class Counts:
    """How far the operations that other instances admitted are known.

    Attributes:
        known_at: The time up to which they are known, in seconds.
        share: The part of the rate that this instance may use before that.
        late_s: Seconds after which they are late, longer than between two reports.
    """

    known_at: float = math.inf
    share: float = 1.0
    late_s: float = math.inf


ALL_KNOWN = Counts()
"""The counts of an instance that admits all operations of a customer."""


@dataclass(frozen=True, slots=True)
class _Level:
    """The state of a copy of a bucket.

    Attributes:
        tokens: Operations that are left.
        at: When this was, in seconds.
        known_at: The time up to which it was refilled at the whole rate.
        held_s: Seconds of the whole rate that are still to be added.
    """

    tokens: float
    at: float
    known_at: float
    held_s: float = 0.0


def restart_fill(rate: float, burst: float, tolerance: RateTolerance) -> float:
    """Return the part of the burst that is available after a restart.

    What was used before is unknown: the customer may have run all that it may. After
    an outage its callers return at once, so that as much is admitted as the tolerance
    covers for two restarts.

    Args:
        rate: Operations per second.
        burst: The most operations that can accumulate.
        tolerance: By how much the limit may be exceeded.
    """
    if burst <= 0:
        return 0.0
    tolerated = RESTART_TOLERANCE_PART * tolerance.operations(rate, burst)
    return min(1.0, max(COLD_START_FILL, tolerated / burst))


class SharedBucket:
    """One instance's copy of a customer's bucket.

    Args:
        rate: Operations per second, over all instances.
        burst: The most operations that can accumulate, over all instances.
        now: The current time, in seconds.
        fill: The part of the burst that is available at the start.
        is_unused: Whether no instance admitted operations before.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        *,
        now: float,
        fill: float,
        is_unused: bool = True,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._level = _Level(burst * fill, now, now)
        self._counts = ALL_KNOWN
        self._own_since_known = 0
        self._parts = UsageParts(now, is_unused=is_unused)

    @property
    def level(self) -> float:
        """Operations that were left when the bucket was last updated."""
        return self._level.tokens

    def record_counts(self, counts: Counts) -> None:
        """Record how far the operations of the other instances are known."""
        if counts.known_at > self._counts.known_at:
            self._own_since_known = 0
        self._counts = counts

    def share_of(self, instance: str, instances: Collection[str]) -> float:
        """Return the part of the limits that one of the instances in touch uses.

        Args:
            instance: The instance.
            instances: The instances in touch.
        """
        return self._parts.share_of(instance, instances)

    def current_level(self, now: float, part: float) -> float:
        """Return the operations that are left, negative if too many were reported.

        Args:
            now: The current time, in seconds.
            part: The part of the limits that the instances in touch may use.
        """
        self._refill(now, part)
        return self._level.tokens

    def resize(self, rate: float, burst: float, now: float, part: float) -> None:
        """Change the limits; operations accumulated above the new burst are lost."""
        self._refill(now, part)
        self._rate, self._burst = rate, burst
        self._cap(burst)

    def cap_level(self, most: float, now: float, part: float) -> None:
        """Remove what is left beyond a number of operations.

        Args:
            most: The most operations that may be left.
            now: The current time, in seconds.
            part: The part of the limits that the instances in touch may use.
        """
        self._refill(now, part)
        self._cap(most)

    def try_acquire(self, instance: str, now: float, part: float) -> float:
        """Admit one operation of this instance's callers if the limits allow it.

        Args:
            instance: This instance.
            now: The current time, in seconds.
            part: The part of the limits that the instances in touch may use.

        Returns:
            0 if it was admitted, else the seconds until it might be.
        """
        self._refill(now, part)
        wait_s = self.wait_s(now, part)
        if wait_s == 0:
            self._spend(instance, 1.0, now)
            self._own_since_known += 1
        return wait_s

    def wait_s(self, now: float, part: float) -> float:
        """Return what :meth:`try_acquire` would return, without any change.

        Args:
            now: The current time, in seconds.
            part: The part of the limits that the instances in touch may use.
        """
        level = self._level_after(now, part).tokens
        if level >= 1.0:
            return self._counts_wait_s(level, now)
        usable_rate = self._rate * part
        return (1.0 - level) / usable_rate if usable_rate > 0 else math.inf

    def _counts_wait_s(self, level: float, now: float) -> float:
        """Return the seconds to wait for the others' counts, 0 if none is needed.

        What is left is there for all instances, and each might use all of it before it
        hears of the others.
        """
        counts = self._counts
        is_late = now - counts.known_at > counts.late_s
        if not is_late and level >= NEAR_LIMIT_FRACTION * self._burst:
            return 0.0
        own = self._own_since_known
        most = max(MIN_UNKNOWN_OPERATIONS, counts.share * (level + own))
        return 0.0 if own + 1 <= most else counts.late_s

    def record_remote_use(
        self, instance: str, count: float, now: float, part: float
    ) -> None:
        """Deduct operations that another instance reports; the level may go negative.

        Args:
            instance: The instance that admitted the operations.
            count: The number of operations.
            now: The current time, in seconds.
            part: The part of the limits that the instances in touch may use.
        """
        self._refill(now, part)
        self._spend(instance, count, now)

    def record_earlier_use(
        self, instance: str, count: float, now: float, part: float
    ) -> None:
        """Deduct operations that another instance admitted at an unknown time.

        An instance reports a customer that comes near its limit. What it admitted long
        before that has been refilled since, so that it is not deducted here either.

        Args:
            instance: The instance that admitted the operations.
            count: The number of operations.
            now: The current time, in seconds.
            part: The part of the limits that the instances in touch may use.
        """
        recent = self.current_level(now, part) - NEAR_LIMIT_FRACTION * self._burst
        self.record_remote_use(instance, min(count, max(0.0, recent)), now, part)

    def observe(self, reach: Reach, now: float) -> None:
        """Record which instances are in touch.

        Args:
            reach: The instances in touch.
            now: The current time, in seconds.
        """
        self._parts.observe(reach, now)

    def usable_part(self, reach: Reach, now: float) -> float:
        """Return the part of the limits that the reachable instances may use together.

        Args:
            reach: The instances in touch.
            now: The current time, in seconds.
        """
        return self._parts.usable(reach, now)

    def _spend(self, instance: str, count: float, now: float) -> None:
        self._level = replace(self._level, tokens=self._level.tokens - count)
        self._parts.record(instance, count, now)

    def _cap(self, most: float) -> None:
        self._level = replace(self._level, tokens=min(self._level.tokens, most))

    def _refill(self, now: float, part: float) -> None:
        if now > self._level.at:
            self._level = self._level_after(now, part)

    def _level_after(self, now: float, part: float) -> _Level:
        old, counts = self._level, self._counts
        if now <= old.at:
            return old
        share_s = counts.share * (now - old.at)
        held_s = old.held_s + (now - old.at) - share_s
        known_at = max(old.known_at, min(now, counts.known_at))
        unknown_s = now - old.known_at
        released_s = held_s
        if known_at < now:
            released_s = held_s * (known_at - old.known_at) / unknown_s
        gained = self._rate * part * (share_s + released_s)
        tokens = min(self._burst * part, old.tokens + gained)
        return _Level(tokens, now, known_at, held_s - released_s)
