"""When what an instance knows of the store was last known to be complete."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum

from .reports import Confirmed, KnownState, Report


class Topic(Enum):
    """What an instance follows in the store."""

    CONFIGURATION = "configuration"
    REGISTRY = "registry"
    EVACUATIONS = "evacuations"


class Confirmations:
    """The latest time at which nothing newer than what is known here existed.

    The proof comes from an answer of the store, or from the report of a peer that knows
    no more than this instance and has a proof itself.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._confirmed_at = dict.fromkeys(Topic, float("-inf"))

    def confirm(self, topic: Topic, as_of: float) -> None:
        """Note that all changes up to a time, in seconds, are known."""
        self._confirmed_at[topic] = max(self._confirmed_at[topic], as_of)

    def age_s(self, topic: Topic) -> float:
        """Return the seconds since all changes were known, infinity if never."""
        return self._clock() - self._confirmed_at[topic]

    def apply_report(self, report: Report, known: KnownState) -> None:
        """Take over the proofs of a peer for what it knows no more of.

        Args:
            report: The peer's report, which has just arrived.
            known: What is known here.
        """
        if report.confirmed is None:
            return
        now, missing = self._clock(), known.missing(report)
        for topic in Topic:
            age_ms = getattr(report.confirmed, topic.value)
            if age_ms is not None and topic.value not in missing:
                self.confirm(topic, now - age_ms / 1000)

    def to_report(self) -> Confirmed:
        """Return the ages of the proofs, for this instance's report."""
        return Confirmed(*(_milliseconds(self.age_s(topic)) for topic in Topic))


def _milliseconds(age_s: float) -> int | None:
    return None if math.isinf(age_s) else max(0, math.ceil(1000 * age_s))
