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
        peers = instance.peers
        yield _gauge(
            "instances", "Instances that are known", len(peers.known_instances)
        )
        yield _gauge(
            "instances_in_touch", "Instances in touch", len(peers.live_instances)
        )
        yield _gauge("hub", "Whether it is a hub of its failure domain", peers.is_hub)
        homes = instance.homes
        is_home = not homes.is_direct and instance.cfg.name in homes.names
        yield _gauge("home", "Whether it holds connections for others", is_home)
        yield _gauge("store_era", "Restorations of the store", instance.store_era)
        yield from self._groups()
        yield from self._connections()

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
        for pool in self._instance.servers.pools():
            name = (pool.server.id,)
            held.add_metric(name, pool.connection_count)
            waiting.add_metric(name, pool.waiting)
            opened.add_metric(name, pool.opened)
            failing.add_metric(name, pool.server.failures)
        yield from (held, waiting, opened, failing)


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"mangoramp_{name}", help_text, value=float(value))
