"""Prometheus metrics of an instance's state."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from .clock import boot_time

if TYPE_CHECKING:
    from .instance import Instance


class InstanceCollector(Collector):
    """Collects metrics of an instance's configuration, peers, servers and pools.

    Args:
        instance: The instance.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance

    def describe(self) -> Iterable[Metric]:
        """Return nothing, so that registration does not call ``collect``."""
        return ()

    def collect(self) -> Iterator[Metric]:
        """Build the metrics from the current state."""
        instance = self._instance
        yield _gauge("ready", "Whether it takes new callers", instance.is_ready)
        version = instance.gateway.version
        yield _gauge("configuration_version", "Version in force", version)
        yield _gauge(
            "configuration_unconfirmed_seconds",
            "Seconds since the configuration was known to be the newest",
            instance.gateway.unconfirmed_s(),
        )
        peers = instance.peers
        yield _gauge(
            "instances", "Instances that are known", len(peers.known_instances)
        )
        yield _gauge(
            "instances_in_touch", "Instances in touch", len(peers.live_instances)
        )
        yield _gauge("hub", "Whether it is a hub of its failure domain", peers.is_hub)
        homes = instance.homes
        yield _gauge("home", "Whether it holds connections for others", homes.is_home)
        count = 0 if homes.is_direct else len(homes.names)
        yield _gauge("homes", "Homes of connections, 0 if each holds its own", count)
        yield _gauge(
            "home_customers", "Customers whose home it is", len(homes.customers)
        )
        yield _gauge("store_era", "Restorations of the store", instance.store_era)
        yield from self._groups()
        yield from self._connections()
        if instance.evacuations.is_enabled:
            yield from self._evacuations()
        if instance.cfg.features.load_control:
            yield from self._load()

    def _groups(self) -> Iterator[Metric]:
        now = boot_time()
        age = GaugeMetricFamily(
            "mangoramp_primary_sample_age_seconds",
            "Seconds since the primary's position was proved",
            labels=("group",),
        )
        lag = GaugeMetricFamily(
            "mangoramp_replica_lag_seconds",
            "Seconds after which a replica has usually applied an entry",
            labels=("group", "server"),
        )
        for group in self._instance.servers.groups.values():
            latest = group.samples.latest
            if latest is not None:
                age.add_metric((group.name,), now - latest.asked_at)
            for server in group.replicas(now):
                lag.add_metric((group.name, server.id), server.lag_s)
        yield from (age, lag)
        yield from self._weights()

    def _weights(self) -> Iterator[Metric]:
        weight = GaugeMetricFamily(
            "mangoramp_server_weight",
            "Share that a server gets of the reads meant for it",
            labels=("server",),
        )
        for group in self._instance.servers.groups.values():
            if group.outliers is None:
                return
            for server_id in group.servers:
                weight.add_metric((server_id,), group.outliers.weight(server_id))
        yield weight

    def _evacuations(self) -> Iterator[Metric]:
        evacuations = self._instance.evacuations
        evacuated = GaugeMetricFamily(
            "mangoramp_evacuated",
            "Whether a failure domain is evacuated",
            labels=("failure_domain",),
        )
        for domain, (_, is_evacuated) in evacuations.table.entries.items():
            evacuated.add_metric((domain,), float(is_evacuated))
        yield evacuated
        yield _gauge(
            "evacuated_statements",
            "Statements and open transactions at evacuated servers",
            evacuations.statements,
        )

    def _connections(self) -> Iterator[Metric]:
        labels = ("server",)
        held = GaugeMetricFamily(
            "mangoramp_server_connections", "Connections that are held", labels=labels
        )
        waiting = GaugeMetricFamily(
            "mangoramp_server_waiting", "Statements that wait for one", labels=labels
        )
        opened = CounterMetricFamily(
            "mangoramp_server_connections_opened", "Connections opened", labels=labels
        )
        failing = GaugeMetricFamily(
            "mangoramp_server_failures", "Failed attempts in a row", labels=labels
        )
        pace = GaugeMetricFamily(
            "mangoramp_server_pace",
            "Statements that may be in flight; absent without this limit",
            labels=labels,
        )
        cold = GaugeMetricFamily(
            "mangoramp_server_cold_seconds", "Seconds that it stays cold", labels=labels
        )
        now = boot_time()
        for pool in self._instance.servers.pools():
            name = (pool.server.id,)
            if pool.capacity is not None and pool.capacity.pace is not None:
                pace.add_metric(name, pool.capacity.pace.limit)
            cold.add_metric(name, max(0.0, pool.server.cold_until - now))
            held.add_metric(name, pool.connection_count)
            waiting.add_metric(name, pool.waiting)
            opened.add_metric(name, pool.opened)
            failing.add_metric(name, pool.server.failures)
        yield from (held, waiting, opened, failing, pace, cold)

    def _load(self) -> Iterator[Metric]:
        share = GaugeMetricFamily(
            "mangoramp_slot_share",
            "This home's part of a server's concurrency",
            labels=("server",),
        )
        for server_id, part in self._instance.slot_shares.shares():
            share.add_metric((server_id,), part)
        backlog = GaugeMetricFamily(
            "mangoramp_backlog",
            "Statements that wait for a connection",
            labels=("priority",),
        )
        totals: dict[int, int] = {}
        for pool in self._instance.servers.pools():
            for priority, count in pool.waiting_by_class().items():
                totals[priority] = totals.get(priority, 0) + count
        for priority, count in sorted(totals.items()):
            backlog.add_metric((str(priority),), count)
        yield from (share, backlog)


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"mangoramp_{name}", help_text, value=float(value))
