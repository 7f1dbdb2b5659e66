"""Prometheus metrics of a proxy."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from .errors import Fault, Outcome
from .operators.report import GroupReport, ProxyReport

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)
MAX_CUSTOMER_LABELS = 500
OTHER_CUSTOMERS = "others"


@dataclass(frozen=True, slots=True)
class Metrics:
    """The counters and histograms that the components of a proxy update.

    Attributes:
        requests: Requests by group, outcome and fault code; the code is empty if done.
        customer_requests: Requests by customer and outcome. Customers after the first
            500 share one label, which bounds the number of series.
        reads: Reads by group and role of the server.
        request_seconds: Seconds from a request to its answer, by group.
        wait_seconds: Seconds that requests waited in the queue of a home, by group.
        failovers: Failovers that this proxy completed, by group.
        labelled_customers: Customers with a label of their own.
    """

    requests: Counter
    customer_requests: Counter
    reads: Counter
    request_seconds: Histogram
    wait_seconds: Histogram
    failovers: Counter
    labelled_customers: set[str]

    def record_done(self, group: str, customer: str, *, replica: bool | None) -> None:
        """Count a successful request.

        Args:
            group: The request's database group.
            customer: The request's customer.
            replica: Whether a replica served it; None for a write.
        """
        self.requests.labels(group, Outcome.DONE, "").inc()
        self.customer_requests.labels(self._label(customer), Outcome.DONE).inc()
        if replica is not None:
            self.reads.labels(group, "replica" if replica else "primary").inc()

    def record_fault(self, group: str, customer: str, fault: Fault) -> None:
        """Count a request that was answered with a fault.

        Args:
            group: The request's database group, empty if no such group exists.
            customer: The request's customer, empty if unknown.
            fault: The fault.
        """
        self.requests.labels(group, fault.outcome, fault.code).inc()
        if customer:
            self.customer_requests.labels(self._label(customer), fault.outcome).inc()

    def record_wait(self, group: str, wait_s: float) -> None:
        """Record how long a request waited in the queue of a home.

        Args:
            group: The request's database group.
            wait_s: The wait, in seconds.
        """
        self.wait_seconds.labels(group).observe(wait_s)

    def _label(self, customer: str) -> str:
        if customer in self.labelled_customers:
            return customer
        if len(self.labelled_customers) >= MAX_CUSTOMER_LABELS:
            return OTHER_CUSTOMERS
        self.labelled_customers.add(customer)
        return customer


def make_metrics(registry: CollectorRegistry) -> Metrics:
    """Create the metrics of one proxy in a registry."""
    return Metrics(
        requests=Counter(
            "mangoramp_requests",
            "Requests by outcome",
            ("group", "outcome", "code"),
            registry=registry,
        ),
        customer_requests=Counter(
            "mangoramp_customer_requests",
            "Requests by customer",
            ("customer", "outcome"),
            registry=registry,
        ),
        reads=Counter(
            "mangoramp_reads",
            "Reads by kind of server",
            ("group", "server"),
            registry=registry,
        ),
        request_seconds=Histogram(
            "mangoramp_request_seconds",
            "Seconds from a request to its answer",
            ("group",),
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        ),
        wait_seconds=Histogram(
            "mangoramp_wait_seconds",
            "Seconds that requests waited for their turn at a home",
            ("group",),
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        ),
        failovers=Counter(
            "mangoramp_failovers",
            "Failovers that this proxy finished",
            ("group",),
            registry=registry,
        ),
        labelled_customers=set(),
    )


class ReportCollector(Collector):
    """Exports the proxy's status report as gauges.

    Args:
        report: Returns the proxy's current status report.
    """

    def __init__(self, report: Callable[[], ProxyReport]) -> None:
        self._report = report

    def describe(self) -> Iterable[Metric]:
        """Return no metrics, so that registration doesn't collect a report."""
        return ()

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges of a new report."""
        report = self._report()
        yield _gauge("ready", "Whether it takes requests", report.ready)
        yield _gauge("table_version", "Version in force", report.table_version)
        yield _gauge("table_rows", "Rows of the table", report.table_rows)
        yield _gauge("keys", "Keys in force", report.keys)
        if report.platform_heard_s is not None:
            help_text = "Seconds since the platform was last heard"
            yield _gauge("platform_heard_seconds", help_text, report.platform_heard_s)
        yield from _group_gauges(report.groups)


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"mangoramp_{name}", help_text, value=float(value))


def _group_gauges(groups: Iterable[GroupReport]) -> Iterator[Metric]:
    term = GaugeMetricFamily("mangoramp_group_term", "The term", labels=("group",))
    labels = ("group", "server")
    live = GaugeMetricFamily("mangoramp_server_live", "It answers", labels=labels)
    lag = GaugeMetricFamily(
        "mangoramp_server_lag_entries", "Entries it does not show yet", labels=labels
    )
    busy = GaugeMetricFamily(
        "mangoramp_connections_busy", "Connections in use or waited for", labels=labels
    )
    for group in groups:
        term.add_metric((group.name,), group.term)
        for server in group.servers:
            live.add_metric((group.name, server.name), server.live)
            lag.add_metric((group.name, server.name), server.lag)
            busy.add_metric((group.name, server.name), server.busy)
    yield from (term, live, lag, busy)
