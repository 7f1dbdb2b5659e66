"""Counts what callers are answered, for the metrics."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram

from ..errors import Fault

SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Traffic:
    """The counters of the callers' statements.

    Args:
        registry: Where they are shown.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._answers = Counter(
            "mangoramp_statements",
            "Statements by kind, outcome and code",
            ("kind", "outcome", "code"),
            registry=registry,
        )
        self._times = Histogram(
            "mangoramp_statement_seconds",
            "Seconds from a statement to its answer",
            ("kind",),
            registry=registry,
            buckets=SECONDS,
        )

    def answered(self, kind: str, fault: Fault | None, took_s: float) -> None:
        """Count an answer.

        Args:
            kind: The kind of statement.
            fault: Why it was not done, None if it was.
            took_s: Seconds that it took.
        """
        outcome = "done" if fault is None else fault.outcome.value
        code = "" if fault is None else fault.code.value
        self._answers.labels(kind, outcome, code).inc()
        self._times.labels(kind).observe(took_s)
