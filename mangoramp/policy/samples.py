"""Samples of a group's primary position over time.

They prove how old the data is that a replica's answer shows.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .position import Position

MAX_SAMPLES = 512
MIN_SPACING_S = 0.02  # closer samples add almost no precision


@dataclass(frozen=True, slots=True)
class Sample:
    """The primary's position at a point in time.

    Attributes:
        asked_at: When the primary was asked, in seconds; the position includes every
            commit acknowledged before this time.
        position: The primary's position when it answered.
    """

    asked_at: float
    position: Position


class PrimarySamples:
    """The latest samples of one group, oldest first.

    Args:
        keep_s: Seconds after which a sample is too old to be useful to any read.
    """

    def __init__(self, *, keep_s: float = 30.0) -> None:
        self._keep_s = keep_s
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    @property
    def latest(self) -> Sample | None:
        """The newest sample, None if there are none."""
        return self._samples[-1] if self._samples else None

    def add(self, sample: Sample) -> None:
        """Add a sample; ignored if it was asked for before the last one."""
        last = self.latest
        if last is not None:
            if sample.asked_at < last.asked_at:
                return
            if sample.position < last.position:
                # From a former primary, or from a history discarded by a promotion.
                return
            if sample.position == last.position and self._is_close(sample):
                self._samples.pop()
        self._samples.append(sample)
        while sample.asked_at - self._samples[0].asked_at > self._keep_s:
            self._samples.popleft()

    def earliest_since(self, moment: float) -> Sample | None:
        """Return the earliest sample that includes all commits before a time.

        Args:
            moment: The time, in seconds; the sample was asked for then or later.
        """
        for sample in self._samples:
            if sample.asked_at >= moment:
                return sample
        return None

    def _is_close(self, sample: Sample) -> bool:
        if len(self._samples) < 2:
            return False
        last, before = self._samples[-1], self._samples[-2]
        return (
            last.position == before.position
            and sample.asked_at - before.asked_at < MIN_SPACING_S
        )
