"""Judges the servers of a group by their answers to reads, compared with one another.

Addresses servers that pass their health check but fail a part of their statements,
answer many times as slowly, drop answers or connections, or go down and up within
seconds. What a server reports about itself is not considered.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from .server_record import (
    MAX_ANSWER_AGE_S,
    PRIOR_ANSWERS,
    PRIOR_FAILURE_RATE,
    Answer,
    ServerRecord,
)

WEIGHTS = (1.0, 1 / 2, 1 / 4, 1 / 8, 1 / 32)  # at the last one, only probes are sent
MIN_FAILURES = 3  # fewer may be chance
CONFIDENCE_Z = 3.0  # standard deviations; 2 ejected servers that all failed 2%
FAILURE_FACTOR = 2.0  # servers that all fail differ by less
MIN_FAILURE_RATE = 0.02  # added to the others' rate before they are compared
MIN_SLOW_ANSWERS = 5
MIN_SLOW_SPAN_S = 0.2  # connections that open at once delay answers for less
LAST_REPLICA_LEVEL = 2  # the weight of the best replica is never below that
SLOW_FACTOR = 3.0  # statements of one kind differ less on average
SLOW_OBJECTIVE_SHARE = 0.1  # of the objective; a smaller delay does not matter
MIN_SPELLS = 2  # a single one may be a planned restart
STEP_DOWN_S = 0.25  # all steps together take about as long as a read's timeout
STEP_UP_S = 1.5  # longer than servers that flap stay up
SPELL_HOLD_S = 3.0  # without a spell before a step up; twice a short flapping period
GOOD_ANSWERS = 4  # before a step up, if nothing else came within STEP_UP_S
CERTAIN_GOOD_ANSWERS = 16  # in a row; a server that fails 40% never gives as many
PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 3.0  # with few reads, probes take a larger share of them


@dataclass(frozen=True, slots=True)
class WeightStep:
    """A change of a server's weight, and the figures that led to it.

    Attributes:
        server_id: The server's id.
        weight: The new weight.
        is_down: Whether the weight was reduced.
        reason: Why it changed.
        answers: Number of recent answers and failures.
        failures: Number of recent failures.
        spells: Recent spells in which the server could not be reached.
        latency_s: Mean latency of the recent answers in seconds, 0 without any.
        others_failure_rate: Failure rate of the better half of the other servers.
        others_latency_s: Their mean latency in seconds, 0 if unknown.
    """

    server_id: str
    weight: float
    is_down: bool
    reason: str
    answers: int
    failures: int
    spells: int
    latency_s: float
    others_failure_rate: float
    others_latency_s: float


@dataclass(frozen=True, slots=True)
class _Others:
    """What a server is compared with.

    Attributes:
        answers: Answers and failures of the better half of the other servers.
        failures: Failures of these.
        spells: Mean number of their spells.
        mean_s: Median of the other replicas' mean latencies, 0 if unknown.
    """

    answers: int
    failures: int
    spells: float
    mean_s: float

    @property
    def failure_rate(self) -> float:
        return self.failures / self.answers if self.answers else 0.0

    @property
    def max_failure_rate(self) -> float:
        """The failure rate that the other servers have at most."""
        prior = PRIOR_FAILURE_RATE * PRIOR_ANSWERS
        bound = _bound(self.failures + prior, self.answers + PRIOR_ANSWERS, 1)
        return max(bound, FAILURE_FACTOR * (self.failure_rate + MIN_FAILURE_RATE))


class OutlierDetector:
    """Reduces the share of reads of servers that answer worse than their group.

    A server's weight is the share that it gets of the reads which it would otherwise
    get. A primary's weight is not applied, but reads that a replica can serve avoid a
    primary whose weight is reduced.
    """

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}

    def weight(self, server_id: str) -> float:
        """Return a server's weight, 1 for a server that is not an outlier."""
        record = self._records.get(server_id)
        return WEIGHTS[record.level] if record is not None else 1.0

    def is_outlier(self, server_id: str) -> bool:
        """Return whether a server's weight is reduced."""
        return self.weight(server_id) < 1.0

    def record_answer(
        self, server_id: str, now: float, latency_s: float, objective_s: float
    ) -> None:
        """Record a good answer.

        Args:
            server_id: The server's id.
            now: The current time, in seconds.
            latency_s: Latency per statement in flight, in seconds.
            objective_s: The latency objective of the read, in seconds.
        """
        record = self._record(server_id)
        record.record_latency(now, latency_s)
        record.answers.append(Answer(now, False, latency_s, objective_s))
        is_slow = latency_s >= record.slow_s
        if is_slow:
            record.record_bad(now)
        else:
            record.good_answers += 1

    def record_failure(self, server_id: str, now: float, *, is_reachable: bool) -> None:
        """Record a failed statement, a timeout or a failed connection attempt.

        Args:
            server_id: The server's id.
            now: The current time, in seconds.
            is_reachable: Whether the server answered.
        """
        record = self._record(server_id)
        record.answers.append(Answer(now, True, 0.0, math.inf))
        record.record_bad(now)
        if not is_reachable:
            record.record_unreachable(now)

    def record_read(self) -> None:
        """Count a read of the group, which may make probes due."""
        for record in self._records.values():
            record.reads_since += 1

    def admit(self, server_id: str, now: float) -> bool:
        """Return whether a server gets the read that it was chosen for.

        Of the reads of an outlier, a share equal to its weight is admitted.
        """
        record = self._records.get(server_id)
        if record is None or not record.level:
            return True
        is_admitted = self.would_admit(server_id)
        record.credit += WEIGHTS[record.level]
        if is_admitted:
            record.credit -= 1.0
            self._record_sent(record, now)
        return is_admitted

    def would_admit(self, server_id: str) -> bool:
        """Return what :meth:`admit` would return, without counting a read."""
        record = self._records.get(server_id)
        if record is None or not record.level:
            return True
        return record.credit + WEIGHTS[record.level] >= 1.0

    def admit_probe(self, server_id: str, now: float) -> bool:
        """Return whether a read is sent to an outlier to measure it again."""
        is_probe = self.would_probe(server_id, now)
        if is_probe:
            self._record_sent(self._records[server_id], now)
        return is_probe

    def would_probe(self, server_id: str, now: float, *, new_reads: int = 0) -> bool:
        """Return what :meth:`admit_probe` would return, without counting a probe.

        Args:
            server_id: The server's id.
            now: The current time, in seconds.
            new_reads: Reads that would be counted before.
        """
        record = self._records.get(server_id)
        if record is None or not record.level:
            return False
        passed_s = now - record.probed_at
        is_share_due = (record.reads_since + new_reads) * WEIGHTS[-1] >= 1.0
        is_due = passed_s >= PROBE_INTERVAL_S and is_share_due
        return is_due or passed_s >= MAX_PROBE_INTERVAL_S

    def retain(self, server_ids: Collection[str]) -> None:
        """Drop the records of servers that left the group."""
        for server_id in self._records.keys() - set(server_ids):
            del self._records[server_id]

    def evaluate(self, now: float, replicas: Collection[str]) -> list[WeightStep]:
        """Compare the servers and change their weights, by one step at a time.

        At least one of the replicas is not ejected but keeps a quarter of its share.

        Args:
            now: The current time, in seconds.
            replicas: The ids of the replicas that may serve reads.
        """
        for record in self._records.values():
            record.prune(now)
        found = [self._step(server_id, now, replicas) for server_id in self._records]
        return [step for step in found if step is not None]

    def _step(
        self, server_id: str, now: float, replicas: Collection[str]
    ) -> WeightStep | None:
        record = self._records[server_id]
        others = self._others(server_id, now, replicas)
        record.slow_s = _slow_s(record.objective_s, others)
        passed_s = now - record.stepped_at
        lowest = self._lowest_level(server_id, now, replicas)
        if record.level > lowest:
            return self._change(server_id, lowest, now, others, "no replica is better")
        reason = self._verdict(record, others, now)
        if reason and passed_s >= STEP_DOWN_S and record.level < lowest:
            return self._change(server_id, record.level + 1, now, others, reason)
        if not record.level or not self._may_return(record, now):
            return None
        reason = "it answers well again" if record.answers else "it was not asked"
        return self._change(server_id, record.level - 1, now, others, reason)

    def _may_return(self, record: ServerRecord, now: float) -> bool:
        passed_s = now - record.stepped_at
        if not record.answers:
            return passed_s >= MAX_ANSWER_AGE_S
        is_good = record.good_answers >= CERTAIN_GOOD_ANSWERS or (
            record.good_answers >= GOOD_ANSWERS and now - record.bad_at >= STEP_UP_S
        )
        is_steady = now - record.unreachable_at >= SPELL_HOLD_S
        return is_good and is_steady and passed_s >= STEP_UP_S

    def _lowest_level(
        self, server_id: str, now: float, replicas: Collection[str]
    ) -> int:
        """Return the index of the lowest weight that a server may have now."""
        others = [r for r in replicas if r != server_id]
        own = self._badness(server_id, now)
        is_spare = any(
            self.weight(r) >= WEIGHTS[LAST_REPLICA_LEVEL]
            and (not self.is_outlier(r) or self._badness(r, now) < own)
            for r in others
        )
        is_last = server_id in replicas and not is_spare
        return LAST_REPLICA_LEVEL if is_last else len(WEIGHTS) - 1

    def _change(
        self, server_id: str, level: int, now: float, others: _Others, reason: str
    ) -> WeightStep:
        record = self._records[server_id]
        is_down = level > record.level
        step = WeightStep(
            server_id=server_id,
            weight=WEIGHTS[level],
            is_down=is_down,
            reason=reason,
            answers=len(record.answers),
            failures=record.failures,
            spells=len(record.spells),
            latency_s=record.mean_s(now),
            others_failure_rate=others.failure_rate,
            others_latency_s=others.mean_s,
        )
        record.level = level
        record.stepped_at = now
        record.credit = 0.0
        record.good_answers = 0
        if not is_down:
            # The answers before the step led to the verdict that is being lifted.
            record.answers.clear()
            record.spells.clear()
        return step

    def _badness(self, server_id: str, now: float) -> tuple[float, float]:
        record = self._records.get(server_id)
        if record is None:
            return (PRIOR_FAILURE_RATE, 0.0)
        return (record.failure_rate, record.mean_s(now))

    def _verdict(self, record: ServerRecord, others: _Others, now: float) -> str:
        """Return why a server is clearly worse than the others, empty if it is not."""
        answers, failures = len(record.answers), record.failures
        if (
            failures >= MIN_FAILURES
            and _bound(failures, answers, -1) > others.max_failure_rate
        ):
            return "it fails more often than others"
        if len(record.spells) >= MIN_SPELLS + 2 * others.spells:
            return "it is unreachable again and again"
        latest = record.latest(now)
        is_slow = (
            len(latest) >= MIN_SLOW_ANSWERS
            and latest[-1].at - latest[0].at >= MIN_SLOW_SPAN_S
            and min(record.mean_s(now), record.peak(now)) >= record.slow_s
        )
        return "it is slower than others" if is_slow else ""

    def _others(self, server_id: str, now: float, replicas: Collection[str]) -> _Others:
        others = {i: r for i, r in self._records.items() if i != server_id}
        by_rate = sorted(
            (r for r in others.values() if r.answers), key=lambda r: r.failure_rate
        )
        by_rate = by_rate[: (len(by_rate) + 1) // 2]
        # A read at the primary takes a transaction, so that only replicas compare.
        means = sorted(
            r.mean_s(now)
            for i, r in others.items()
            if i in replicas and len(r.latest(now)) >= MIN_SLOW_ANSWERS
        )
        spells = [len(r.spells) for r in by_rate]
        return _Others(
            answers=sum(len(r.answers) for r in by_rate),
            failures=sum(r.failures for r in by_rate),
            spells=sum(spells) / len(spells) if spells else 0.0,
            mean_s=means[(len(means) - 1) // 2] if means else 0.0,
        )

    def _record(self, server_id: str) -> ServerRecord:
        return self._records.setdefault(server_id, ServerRecord())

    def _record_sent(self, record: ServerRecord, now: float) -> None:
        record.probed_at = now
        record.reads_since = 0


def _slow_s(objective_s: float, others: _Others) -> float:
    """Return the latency from which a server is slow, infinite if it is unknown."""
    if others.mean_s <= 0:
        return math.inf
    return max(
        SLOW_FACTOR * others.mean_s, others.mean_s + SLOW_OBJECTIVE_SHARE * objective_s
    )


def _bound(failures: float, answers: float, sign: int) -> float:
    """Return a bound of Wilson's interval for a failure rate.

    Args:
        failures: Number of failures.
        answers: Number of answers and failures, above 0.
        sign: 1 for the upper bound, -1 for the lower one.
    """
    z2 = CONFIDENCE_Z**2
    rate = failures / answers
    middle = rate + z2 / (2 * answers)
    spread = CONFIDENCE_Z * math.sqrt(
        rate * (1 - rate) / answers + z2 / (4 * answers**2)
    )
    return (middle + sign * spread) / (1 + z2 / answers)
