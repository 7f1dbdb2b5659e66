"""Records what the outcome of a batch shows about its server.

With ``server_health``, also compares the servers by their answers to reads and limits
the additional attempts of reads.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter

from ..control.group import GroupState, Server
from ..events import SERVER_WEIGHT_RAISED, SERVER_WEIGHT_REDUCED, emit
from ..policy.ejection import WeightStep
from ..policy.hedging import (
    HEDGE_RATIO,
    RETRY_RATIO,
    AttemptBudget,
    LatencyWindow,
    hedge_delay_s,
)
from .command import (
    Answer,
    AnswerTimeoutError,
    ConnectionLostError,
    NotSentError,
    Refusal,
)
from .lease import (
    MIN_CONCLUSIVE_TIMEOUT_S,
    HomeLostError,
    ServerUnreachableError,
)
from .pool import NoConnectionError

EVALUATION_INTERVAL_S = 0.05  # a comparison costs about as much as routing a read


@dataclass(slots=True)
class BatchOutcome:
    """The outcome of a batch.

    Attributes:
        answers: The answers to its commands, set by the caller once they are known.
    """

    answers: tuple[Answer, ...] = ()


@contextmanager
def recording_outcome(
    server: Server, clock: Callable[[], float], timeout_s: float
) -> Iterator[BatchOutcome]:
    """Record whether a server answers the batch that is run inside.

    Args:
        server: The server.
        clock: Returns the time in seconds.
        timeout_s: Timeout of the batch in seconds.
    """
    outcome = BatchOutcome()
    started = clock()
    server.busy += 1
    try:
        yield outcome
    except ServerUnreachableError as exc:
        server.record_failure(clock(), str(exc))
        raise
    except (HomeLostError, NotSentError):
        # A failed home is no evidence that the server failed.
        raise
    except AnswerTimeoutError as exc:
        # A timeout of a statement with little time left is no evidence either.
        if timeout_s >= MIN_CONCLUSIVE_TIMEOUT_S:
            server.record_failure(clock(), str(exc))
            server.record_statement(clock(), has_failed=True)
        raise
    except ConnectionLostError as exc:
        server.record_failure(clock(), str(exc))
        server.record_statement(clock(), has_failed=True)
        raise
    finally:
        server.busy -= 1
    now = clock()
    server.record_answer(now, now - started)
    if any(answer.signature for answer in outcome.answers):
        server.record_statement(now, has_failed=False)
    elif any(answer.refusal is Refusal.FAILED for answer in outcome.answers):
        server.record_statement(now, has_failed=True)


def record_no_connection(server: Server, exc: NoConnectionError, now: float) -> None:
    """Record a failed attempt to get a connection, if the server was not reached."""
    if not exc.is_reachable and exc.is_observed:
        server.record_failure(now, str(exc))


class ServerHealth:
    """Compares servers by their answers and grants additional attempts to reads.

    Args:
        clock: Returns the time in seconds.
        may_hedge: Returns whether a customer's limits allow a hedged read.
        registry: The Prometheus registry to register the metrics in.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        may_hedge: Callable[[str], bool],
        registry: CollectorRegistry,
    ) -> None:
        self.may_hedge = may_hedge
        self._clock = clock
        self._retry_budgets: dict[str, AttemptBudget] = {}
        self._hedge_budgets: dict[str, AttemptBudget] = {}
        self._latencies: dict[str, LatencyWindow] = {}
        self._evaluated_at: dict[str, float] = {}
        self._retries = Counter(
            "mangoramp_read_retries",
            "Reads that failed on one server and were run on another",
            registry=registry,
        )
        self._hedges = Counter(
            "mangoramp_hedged_reads",
            "Overdue reads that were sent to a second server",
            ("outcome",),
            registry=registry,
        )

    def record_read(self, group: GroupState) -> None:
        """Count a read, which adds to its group's budgets."""
        _budget(self._retry_budgets, group.name, RETRY_RATIO).record_read()
        _budget(self._hedge_budgets, group.name, HEDGE_RATIO).record_read()
        if group.outliers is not None:
            group.outliers.record_read()

    def try_acquire_retry(self, group: str) -> bool:
        """Return whether a failed read may run again at another server; count it."""
        if not _budget(self._retry_budgets, group, RETRY_RATIO).try_acquire():
            return False
        self._retries.inc()
        return True

    def try_acquire_hedge(self, group: str) -> bool:
        """Return whether the budget allows a hedged read, and take it."""
        return _budget(self._hedge_budgets, group, HEDGE_RATIO).try_acquire()

    def record_hedge(self, outcome: str) -> None:
        """Count a hedged read by what became of its second attempt."""
        self._hedges.labels(outcome).inc()

    def hedge_delay_s(
        self, group: GroupState, server: Server, objective_s: float
    ) -> float:
        """Return after which time a server's answer is overdue, in seconds."""
        p95_s = self._latency(server.id).p95_s
        if group.outliers is not None and group.outliers.is_outlier(server.id):
            # An outlier's own latency says nothing about when an answer is due.
            others = (self._latency(s).p95_s for s in group.servers if s != server.id)
            p95_s = min((p95 for p95 in others if p95 is not None), default=p95_s)
        return hedge_delay_s(p95_s, objective_s)

    def record_answer(
        self,
        group: GroupState,
        server: Server,
        *,
        took_s: float,
        server_s: float,
        objective_s: float,
    ) -> None:
        """Record a server's good answer to a read.

        Args:
            group: The server's group.
            server: The server.
            took_s: Seconds from the start of the attempt to the answer.
            server_s: Seconds that the server took.
            objective_s: The latency objective of the read.
        """
        self._latency(server.id).record(took_s)
        if group.outliers is None:
            return
        # Statements beyond the slots wait for those that this process sent before.
        per_slot = max(1.0, server.busy / server.endpoint.slots)
        now = self._clock()
        group.outliers.record_answer(server.id, now, server_s / per_slot, objective_s)
        self._evaluate(group, now)

    def record_failure(
        self, group: GroupState, server: Server, *, is_reachable: bool
    ) -> None:
        """Record that a server failed a read, or could not be reached for it."""
        if group.outliers is None:
            return
        now = self._clock()
        group.outliers.record_failure(server.id, now, is_reachable=is_reachable)
        self._evaluate(group, now)

    def _evaluate(self, group: GroupState, now: float) -> None:
        last = self._evaluated_at.get(group.name, float("-inf"))
        if group.outliers is None or now - last < EVALUATION_INTERVAL_S:
            return
        self._evaluated_at[group.name] = now
        group.outliers.retain(group.servers)
        replicas = [s.id for s in group.replicas(now)]
        for step in group.outliers.evaluate(now, replicas):
            _log_step(group.name, step)
            server = group.servers[step.server_id]
            if step.weight == 1.0 and step.latency_s > 0:
                # The average holds the answers from when it was slow.
                server.latency_s = min(server.latency_s, step.latency_s)

    def _latency(self, server_id: str) -> LatencyWindow:
        return self._latencies.setdefault(server_id, LatencyWindow())


def _budget(
    budgets: dict[str, AttemptBudget], group: str, ratio: float
) -> AttemptBudget:
    found = budgets.get(group)
    if found is None:
        found = budgets[group] = AttemptBudget(ratio)
    return found


def _log_step(group: str, step: WeightStep) -> None:
    emit(
        SERVER_WEIGHT_REDUCED if step.is_down else SERVER_WEIGHT_RAISED,
        group=group,
        server=step.server_id,
        weight=step.weight,
        reason=step.reason,
        answers=step.answers,
        failures=step.failures,
        spells=step.spells,
        latency_s=round(step.latency_s, 4),
        others_failure_rate=round(step.others_failure_rate, 3),
        others_latency_s=round(step.others_latency_s, 4),
    )
