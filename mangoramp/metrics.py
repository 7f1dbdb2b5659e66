"""The metrics of a proxy, for Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from .errors import Fault, Outcome
from .operators.report import GroupReport, ProxyReport

SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
MAX_CUSTOMERS = 500
OTHERS = "others"


@dataclass(frozen=True, slots=True)
class Metrics:
    """The counters and histograms that the parts of a proxy are given.

    Attributes:
        requests: Requests by group, outcome and code; the code of those done is empty.
        customers: Requests by customer and outcome; customers beyond the first 500 that
            came are counted together.
        reads: Reads by group and kind of server.
        times: Seconds from a request to its answer, by group.
        waits: Seconds that requests waited for their turn at a home, by group.
        failovers: Failovers that this proxy finished, by group.
    """

    requests: Counter
    customers: Counter
    reads: Counter
    times: Histogram
    waits: Histogram
    failovers: Counter
    known_customers: set[str]

    def done(self, group: str, customer: str, *, replica: bool | None) -> None:
        """Count a request that was answered with rows.

        Args:
            group: Its database group.
            customer: Whose it was.
            replica: Whether a replica served it; None for a write.
        """
        self.requests.labels(group, Outcome.DONE, "").inc()
        self.customers.labels(self._label(customer), Outcome.DONE).inc()
        if replica is not None:
            self.reads.labels(group, "replica" if replica else "primary").inc()

    def refused(self, group: str, customer: str, fault: Fault) -> None:
        """Count a request that was answered with a fault.

        Args:
            group: Its database group, empty if there is none of the name.
            customer: Whose it was, empty if that is not known.
            fault: The fault.
        """
        self.requests.labels(group, fault.outcome, fault.code).inc()
        if customer:
            self.customers.labels(self._label(customer), fault.outcome).inc()

    def waited(self, group: str, wait_s: float) -> None:
        """Count what a request waited for its turn at a home.

        Args:
            group: Its database group.
            wait_s: Seconds that it waited.
        """
        self.waits.labels(group).observe(wait_s)

    def _label(self, customer: str) -> str:
        if customer in self.known_customers:
            return customer
        if len(self.known_customers) >= MAX_CUSTOMERS:
            return OTHERS
        self.known_customers.add(customer)
        return customer


def make_metrics(registry: CollectorRegistry) -> Metrics:
    """Make the metrics of one proxy."""
    return Metrics(
        requests=Counter(
            "mangoramp_requests",
            "Requests by outcome",
            ("group", "outcome", "code"),
            registry=registry,
        ),
        customers=Counter(
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
        times=Histogram(
            "mangoramp_request_seconds",
            "Seconds from a request to its answer",
            ("group",),
            registry=registry,
            buckets=SECONDS,
        ),
        waits=Histogram(
            "mangoramp_wait_seconds",
            "Seconds that requests waited for their turn at a home",
            ("group",),
            registry=registry,
            buckets=SECONDS,
        ),
        failovers=Counter(
            "mangoramp_failovers",
            "Failovers that this proxy finished",
            ("group",),
            registry=registry,
        ),
        known_customers=set(),
    )


class ReportCollector(Collector):
    """Shows the proxy's status as gauges.

    Args:
        report: Tells what the proxy knows and does.
    """

    def __init__(self, report: Callable[[], ProxyReport]) -> None:
        self._report = report

    def describe(self) -> Iterable[Metric]:
        """Nothing, so that registering asks for no report."""
        return ()

    def collect(self) -> Iterator[Metric]:
        """Build the gauges."""
        found = self._report()
        yield _gauge("ready", "Whether it takes requests", found.ready)
        yield _gauge("table_version", "Version in force", found.table_version)
        yield _gauge("table_rows", "Rows of the table", found.table_rows)
        yield _gauge("keys", "Keys in force", found.keys)
        if found.platform_heard_s is not None:
            what = "Seconds since the platform was last heard"
            yield _gauge("platform_heard_seconds", what, found.platform_heard_s)
        yield from _group_gauges(found.groups)


def _gauge(name: str, what: str, value: float) -> Metric:
    return GaugeMetricFamily(f"mangoramp_{name}", what, value=float(value))


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
