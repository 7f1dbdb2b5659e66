"""When what an instance knows of the store was last known to be complete."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum

from ..decoding import MAX_INTEGER
from ..policy.revision import NO_REVISION, Revision
from .reports import Confirmed, KnownState, Proof, Report

MAX_HOPS = 3  # a watcher, its hub, a hub of another failure domain, a follower
PAUSE_S = 0.6  # without any report, which arrive each 0.3 s; likely this process's
READ_WAITING_S = 0.5  # in which the reports that waited meanwhile are read


class Topic(Enum):
    """What an instance follows in the store."""

    CONFIGURATION = "configuration"
    REGISTRY = "registry"
    EVACUATIONS = "evacuations"


class Confirmations:
    """The latest time at which nothing newer than what is known here existed.

    The proof comes from an answer of the store, or from the report of a peer that knows
    no more than this instance and has a proof itself. The time that a report is under
    way is unknown, so that a proof looks younger by it with each hop; passed around
    without end, it would never grow old.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._confirmed_at = {
            topic: [float("-inf")] * (MAX_HOPS + 1) for topic in Topic
        }
        self._heard_at = clock()
        self._trusts_from = float("-inf")
        self._known_to = dict.fromkeys(Topic, NO_REVISION)

    def confirm(
        self, topic: Topic, as_of: float, known_to: Revision, hops: int = 0
    ) -> None:
        """Note that all changes up to a time and a revision are known.

        Args:
            topic: What is known.
            as_of: The time, in seconds.
            known_to: The revision.
            hops: How often the proof was passed on, 0 for an answer of the store.
        """
        confirmed_at = self._confirmed_at[topic]
        confirmed_at[hops] = max(confirmed_at[hops], as_of)
        self._known_to[topic] = max(self._known_to[topic], known_to)

    def age_s(self, topic: Topic) -> float:
        """Return the seconds since all changes were known, infinity if never."""
        return self._clock() - max(self._confirmed_at[topic])

    def known_to(self, topic: Topic) -> Revision:
        """Return the revision of the store up to which all changes are known."""
        return self._known_to[topic]

    def apply_report(self, report: Report, known: KnownState) -> None:
        """Take over the proofs of a peer for what it knows no more of.

        After a pause of this process, reports that waited look as if they had just
        been sent, so that their proofs are not used.

        Args:
            report: The peer's report, which has just arrived.
            known: What is known here.
        """
        now = self._clock()
        if now - self._heard_at > PAUSE_S:
            self._trusts_from = now + READ_WAITING_S
        self._heard_at = now
        if report.confirmed is None or now < self._trusts_from:
            return
        missing = known.missing(report)
        for topic in Topic:
            proof: Proof | None = getattr(report.confirmed, topic.value)
            if proof is None or topic.value in missing or proof.hops >= MAX_HOPS:
                continue
            as_of = now - proof.age_ms / 1000
            self.confirm(topic, as_of, proof.known_to, proof.hops + 1)

    def to_report(self) -> Confirmed:
        """Return the proofs, for this instance's report."""
        return Confirmed(*map(self._proof, Topic))

    def _proof(self, topic: Topic) -> Proof | None:
        confirmed_at, known_to = self._confirmed_at[topic], self.known_to(topic)
        hops = max(range(MAX_HOPS), key=confirmed_at.__getitem__)
        age_s = self._clock() - confirmed_at[hops]
        if math.isinf(age_s):
            return None
        # A peer may have told any age; a larger number would spoil the whole report.
        age_ms = min(max(0, math.ceil(1000 * age_s)), MAX_INTEGER)
        return Proof(age_ms, known_to.number, known_to.era, hops)
