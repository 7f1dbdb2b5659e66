"""Prometheus metrics of callers' statements."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram

from ..errors import Fault

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class StatementMetrics:
    """Counts callers' statements and records their latency.

    Args:
        registry: The Prometheus registry to register the metrics in.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._statements = Counter(
            "mangoramp_statements",
            "Statements by kind, outcome and code",
            ("kind", "outcome", "code"),
            registry=registry,
        )
        self._latency = Histogram(
            "mangoramp_statement_seconds",
            "Seconds from a statement to its answer",
            ("kind",),
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def record(self, kind: str, fault: Fault | None, took_s: float) -> None:
        """Record a completed statement.

        Args:
            kind: The kind of statement.
            fault: Why the statement failed, None if it succeeded.
            took_s: The latency in seconds.
        """
        outcome = "done" if fault is None else fault.outcome.value
        code = "" if fault is None else fault.code.value
        self._statements.labels(kind, outcome, code).inc()
        self._latency.labels(kind).observe(took_s)
