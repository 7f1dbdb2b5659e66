"""Divides a customer's limit between the sides of a fleet that is cut.

Handles callers who are still served on both sides of a cut: over all sides, the parts
of the limit add up to at most one. The parts follow the use of the limit while all
instances were in touch, which all sides know. As an instance that is silent may also
have ended, its part passes to the majority as time goes by, while a minority gives up
its own part at the same pace, ahead of the majority by the time in which both notice
the cut.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from .isolation import has_majority

EVEN_PART = 0.2  # of the limit is split evenly, so that no instance's part is zero
TRANSFER_S = 4.0  # in which a silent instance loses 63% of its part to the majority
NOTICE_S = 0.6  # by which two sides may differ on the time of a cut: two reports
SETTLE_S = 2.0  # longer than it takes to notice that an instance is silent
USAGE_AVERAGING_S = 4.0  # longer than an instance is usually out of touch
COMPLETE_S = 10.0  # after which what was used before hardly counts
MIN_USAGE = 0.01
COPY_INTERVAL_S = 0.5
PAIR = 2  # instances, of which one is no majority of both
HOLD_S = 2.0  # in which even parts do not change; many cuts are hardly longer
VIEWS_DIFFER_S = 1.5  # by which two sides may differ on the time, also through hubs
MAX_COPIES = 6  # covers the time in which silence is noticed


@dataclass(frozen=True, slots=True)
class Reach:
    """Which instances are in touch with one another.

    Attributes:
        heard: The instances in touch, including this one.
        everyone: All instances; never empty.
        silent_s: Seconds since each of the others was last heard.
        lost_s: Seconds for which instances in touch were silent since all were in
            touch; what they used has passed to others meanwhile.
        alone_s: Seconds since this instance was part of the majority, 0 while it is.
        is_settled: Whether all have been in touch for so long that none is about to be
            noticed as silent.
    """

    heard: Collection[str]
    everyone: Collection[str]
    silent_s: Mapping[str, float]
    lost_s: Mapping[str, float] = field(default_factory=dict)
    is_settled: bool = True
    alone_s: float = 0.0

    @property
    def is_whole(self) -> bool:
        """Whether all instances are in touch."""
        return len(self.heard) >= len(self.everyone)

    @property
    def has_majority(self) -> bool:
        """Whether the instances in touch are the majority."""
        return has_majority(self.heard, self.everyone)


class ReachObserver:
    """Observes which instances are in touch, for one of them.

    Args:
        now: The current time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._majority_since = now
        self._had_majority = False
        self._lost_s: dict[str, float] = {}
        self._whole_since: float | None = None
        self._alone_since: float | None = None

    def observe(
        self,
        heard: Collection[str],
        everyone: Collection[str],
        silent_s: Mapping[str, float],
        now: float,
    ) -> Reach:
        """Return which instances are in touch.

        To an instance that was apart from the majority, those that it did not hear
        meanwhile count as silent only since its return: they were in touch with others.
        """
        reach = Reach(heard, everyone, silent_s, self._lost_s)
        if not reach.is_whole:
            self._whole_since = None
        elif self._whole_since is None:
            self._whole_since = now
        elif now - self._whole_since >= SETTLE_S:
            self._lost_s, self._alone_since, self._had_majority = {}, None, True
        if reach.is_whole:
            return replace(reach, is_settled=not self._lost_s)
        for name, s in silent_s.items():
            self._lost_s[name] = max(s, self._lost_s.get(name, 0.0))
        if reach.has_majority and not self._had_majority:
            self._majority_since = now
        self._had_majority = reach.has_majority
        if not self._had_majority:
            return replace(reach, alone_s=self._alone_s(reach, now))
        together_s = now - self._majority_since
        if together_s >= SETTLE_S:
            self._alone_since = None
        silent_s = {name: min(s, together_s) for name, s in silent_s.items()}
        return replace(reach, silent_s=silent_s)

    def _alone_s(self, reach: Reach, now: float) -> float:
        if self._alone_since is None:
            silences = sorted(reach.silent_s.values(), reverse=True)
            needed = math.ceil(len(reach.everyone) / 2)
            self._alone_since = now - silences[min(needed, len(silences)) - 1]
        return now - self._alone_since


class EvenParts:
    """The parts of the sides of a cut where customers have homes, for one instance.

    Callers use all instances alike, and what a home admits is not known to all others.
    So each instance stands for an even part at first, whichever side the customer's
    former home is on. As one that is silent may have ended, its part passes to the
    majority after a while, and a minority gives it up ahead of that. Of two instances
    none is a majority; there a silent one is taken to have ended.

    Args:
        now: The current time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._silent_since: dict[str, float] = {}
        self._alone_since: float | None = now - HOLD_S  # others may have its part

    def observe(
        self, heard: Collection[str], everyone: Collection[str], now: float
    ) -> float:
        """Return the part of the limit that the instances in touch may use together.

        Args:
            heard: The instances in touch, including this one.
            everyone: All instances; never empty.
            now: The current time, in seconds.
        """
        silent = set(everyone).difference(heard)
        self._silent_since = {n: self._silent_since.get(n, now) for n in silent}
        if silent and len(everyone) == PAIR:
            return 1.0 - EVEN_PART / PAIR
        if has_majority(heard, everyone):
            self._alone_since = None
            hold_s = HOLD_S + VIEWS_DIFFER_S
            left = sum(
                _part(1 / len(everyone), now - since - hold_s, len(everyone))
                for since in self._silent_since.values()
            )
            return max(0.0, 1.0 - left)
        if self._alone_since is None:
            self._alone_since = now
        count = len(everyone) - len(silent)
        alone_s = now - self._alone_since - HOLD_S
        return _part(count / len(everyone), alone_s, len(everyone), members=count)


class UsageParts:
    """How much of a customer's limit each instance used, and the parts that follow.

    Args:
        now: The current time, in seconds.
        is_unused: Whether nothing was used before, so that an empty record is complete.
    """

    def __init__(self, now: float, *, is_unused: bool) -> None:
        self._usage: dict[str, float] = {}
        self._usage_at = now
        self._copies: deque[tuple[float, dict[str, float]]] = deque(maxlen=MAX_COPIES)
        self._agreed: dict[str, float] | None = {} if is_unused else None
        self._complete_at = now if is_unused else now + COMPLETE_S
        self._is_frozen = False

    def record(self, instance: str, count: float, now: float) -> None:
        """Record operations that an instance admitted."""
        if now > self._usage_at:
            decay = math.exp((self._usage_at - now) / USAGE_AVERAGING_S)
            self._usage_at = now
            self._usage = {
                name: used * decay
                for name, used in self._usage.items()
                if used * decay > MIN_USAGE
            }
        self._usage[instance] = self._usage.get(instance, 0.0) + count

    def share_of(self, instance: str, instances: Collection[str]) -> float:
        """Return the part of the limit that one of some instances uses among them.

        Args:
            instance: The instance.
            instances: The instances, with this one.
        """
        total = sum(self._usage.get(name, 0.0) for name in instances)
        even = 1.0 / len(instances)
        used = self._usage.get(instance, 0.0) / total if total > 0 else even
        return EVEN_PART * even + (1.0 - EVEN_PART) * used

    def observe(self, reach: Reach, now: float) -> None:
        """Record which instances are in touch.

        Args:
            reach: The instances in touch.
            now: The current time, in seconds.
        """
        if not reach.is_whole:
            self._agreed = self._record_of_before(reach, now)
            self._is_frozen = True
        elif reach.is_settled:
            self._copy(now)

    def usable(self, reach: Reach, now: float) -> float:
        """Return the part of the limit that the instances in touch may use together.

        Args:
            reach: The instances in touch.
            now: The current time, in seconds.
        """
        if reach.is_whole:
            return 1.0
        agreed = self._record_of_before(reach, now)
        count = len(reach.everyone)
        if reach.has_majority:
            left = sum(
                _part(_used_by_silent(agreed, name, reach), silent_s - NOTICE_S, count)
                for name, silent_s in reach.silent_s.items()
            )
            return max(0.0, 1.0 - left)
        used = sum(_used_by_heard(agreed, name, reach) for name in reach.heard)
        return _part(used, reach.alone_s, count, members=len(reach.heard))

    def _copy(self, now: float) -> None:
        if self._is_frozen:
            # The sides have not told each other what they used during the cut.
            self._is_frozen = False
            self._usage, self._usage_at = dict(self._agreed or {}), now
            self._copies.clear()
            if self._agreed is None:
                self._complete_at = now + COMPLETE_S
        if now < self._complete_at:
            return
        if not self._copies or now - self._copies[-1][0] >= COPY_INTERVAL_S:
            self._copies.append((now, dict(self._usage)))

    def _record_of_before(self, reach: Reach, now: float) -> dict[str, float] | None:
        """Return the record of before a cut, None if there is none.

        Both sides of the cut have the same.
        """
        if self._is_frozen:
            return self._agreed
        cut_at = now - min(reach.silent_s.values(), default=0.0)
        before = [used for at, used in self._copies if at <= cut_at]
        return before[-1] if before else self._agreed


def _used_by_heard(agreed: dict[str, float] | None, name: str, reach: Reach) -> float:
    if agreed is None:
        return 0.0
    return _share(agreed, name, reach) * _kept(reach.lost_s.get(name, 0.0))


def _used_by_silent(agreed: dict[str, float] | None, name: str, reach: Reach) -> float:
    if agreed is None:
        return 1.0 / len(reach.silent_s)
    return _share(agreed, name, reach)


def _share(agreed: dict[str, float], name: str, reach: Reach) -> float:
    total = sum(agreed.get(n, 0.0) for n in reach.everyone)
    if total <= 0:
        return 1.0 / len(reach.everyone)
    return agreed.get(name, 0.0) / total


def _part(used: float, silent_s: float, count: int, *, members: int = 1) -> float:
    """Return the part that silent instances may still use after a time of silence."""
    kept = used * _kept(silent_s)
    return EVEN_PART * members / count + (1.0 - EVEN_PART) * kept


def _kept(silent_s: float) -> float:
    return math.exp(-max(0.0, silent_s) / TRANSFER_S)
