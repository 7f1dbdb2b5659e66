"""A customer's rate over all instances, from what they report to one another.

It answers callers that move between instances and customers that send many times their
rate: every instance keeps a copy of one bucket, takes its own operations out at once
and the others' when they report them. While an instance is not heard, the others leave
it the part that it used before, and it keeps to that part itself.
"""

from __future__ import annotations

import math
from collections.abc import Collection

EVEN_PART = 0.2  # of the rate is shared evenly, so that nobody's part is nothing
USAGE_MEMORY_S = 4.0  # over about this time usage is averaged; longer than an absence
COLD_FILL = 0.25  # of the burst is there at a start that follows an unknown use


class SharedBucket:
    """One instance's copy of a customer's bucket.

    Args:
        rate: Operations a second, over all instances.
        burst: Operations that may be saved up, over all instances.
        now: The time, in seconds.
        fill: The part of the burst that is there at the start.
    """

    def __init__(self, rate: float, burst: float, *, now: float, fill: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst * fill
        self._at = now
        self._usage: dict[str, float] = {}
        self._usage_at = now

    @property
    def level(self) -> float:
        """Operations that were left when it was last used."""
        return self._level

    def limit(self, rate: float, burst: float, now: float, part: float) -> None:
        """Set new limits; what was saved above the new burst is lost."""
        self._fill(now, part)
        self._rate, self._burst = rate, burst
        self._level = min(self._level, burst)

    def take(self, instance: str, now: float, part: float) -> float:
        """Take one operation of this instance's callers.

        Args:
            instance: This instance.
            now: The time, in seconds.
            part: The part of the limits that the instances in touch may use.

        Returns:
            0 if it was taken, else the seconds until it might be.
        """
        self._fill(now, part)
        if self._level >= 1.0:
            self._spend(instance, 1.0, now)
            return 0.0
        speed = self._rate * part
        return (1.0 - self._level) / speed if speed > 0 else math.inf

    def spent(self, instance: str, count: float, now: float, part: float) -> None:
        """Take out what another instance reports; the level may fall below zero."""
        self._fill(now, part)
        self._spend(instance, count, now)

    def part_of(self, heard: Collection[str], everyone: Collection[str]) -> float:
        """The part of the limits that some of the instances may use.

        Args:
            heard: The instances in touch with one another.
            everyone: All instances; never empty.
        """
        if len(heard) >= len(everyone):
            return 1.0
        even = len(heard) / len(everyone)
        in_touch = set(heard)
        total = sum(self._usage.values())
        if total <= 0:
            return even
        used = sum(u for name, u in self._usage.items() if name in in_touch) / total
        return EVEN_PART * even + (1 - EVEN_PART) * used

    def _spend(self, instance: str, count: float, now: float) -> None:
        self._level -= count
        self._fade(now)
        self._usage[instance] = self._usage.get(instance, 0.0) + count

    def _fade(self, now: float) -> None:
        if now <= self._usage_at:
            return
        keep = math.exp((self._usage_at - now) / USAGE_MEMORY_S)
        self._usage_at = now
        self._usage = {n: u * keep for n, u in self._usage.items() if u * keep > 0.01}

    def _fill(self, now: float, part: float) -> None:
        if now <= self._at:
            return
        gained = self._rate * part * (now - self._at)
        self._level = min(self._burst * part, self._level + gained)
        self._at = now
