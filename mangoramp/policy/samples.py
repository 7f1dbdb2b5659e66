"""What a group's primary is known to have held, and when."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .position import Position

MAX_SAMPLES = 512
SPACING_S = 0.02  # closer samples prove hardly more


@dataclass(frozen=True, slots=True)
class Sample:
    """A proof of what the primary held.

    Attributes:
        asked_at: Every commit acknowledged before this moment is included, in seconds.
        position: The primary's position when it answered.
    """

    asked_at: float
    position: Position


class PrimarySamples:
    """The latest samples of one group, oldest first.

    Args:
        keep_s: Seconds after which a sample proves nothing to any read.
    """

    def __init__(self, *, keep_s: float = 30.0) -> None:
        self._keep_s = keep_s
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    @property
    def latest(self) -> Sample | None:
        """The newest sample."""
        return self._samples[-1] if self._samples else None

    def add(self, sample: Sample) -> None:
        """Take over a sample; one asked before the last is passed over."""
        last = self.latest
        if last is not None:
            if sample.asked_at < last.asked_at:
                return
            if sample.position < last.position:
                # A former primary's answer, or a history that a promotion cut off.
                return
            if sample.position == last.position and self._is_close(sample):
                self._samples.pop()
        self._samples.append(sample)
        while sample.asked_at - self._samples[0].asked_at > self._keep_s:
            self._samples.popleft()

    def earliest_since(self, moment: float) -> Sample | None:
        """The lowest position that holds all commits from before a moment.

        Args:
            moment: In seconds; the sample was asked for at this moment or later.
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
            and sample.asked_at - before.asked_at < SPACING_S
        )
