"""Unauthenticated HTTP routes: health, readiness, metrics and status."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import tornado.web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest


class HealthHandler(tornado.web.RequestHandler):
    """``GET /health``: whether the process is alive."""

    def get(self) -> None:
        """Return 200."""
        self.finish("ok\n")


class ReadyHandler(tornado.web.RequestHandler):
    """``GET /ready``: whether the process accepts requests."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Set the readiness check."""
        self.is_ready = is_ready

    def get(self) -> None:
        """Return 200 if the process is ready, else 503."""
        ready = self.is_ready()
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


class MetricsHandler(tornado.web.RequestHandler):
    """``GET /metrics``: the metrics in the Prometheus text format."""

    def initialize(self, registry: CollectorRegistry) -> None:
        """Set the registry that holds the metrics."""
        self.registry = registry

    def get(self) -> None:
        """Return the metrics."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self.registry))


class StatusHandler(tornado.web.RequestHandler):
    """``GET /v1/status``: the proxy's state as JSON."""

    def initialize(self, collect_report: Callable[[], msgspec.Struct]) -> None:
        """Set the function that collects the state."""
        self.collect_report = collect_report

    def get(self) -> None:
        """Return the proxy's state."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self.collect_report()))


def health_application(
    registry: CollectorRegistry,
    is_ready: Callable[[], bool],
    collect_report: Callable[[], msgspec.Struct],
) -> tornado.web.Application:
    """Build the application for health, readiness, metrics and status.

    Args:
        registry: The metrics.
        is_ready: Returns whether the process accepts requests.
        collect_report: Returns the proxy's state.
    """
    return tornado.web.Application(
        [
            ("/health", HealthHandler),
            ("/ready", ReadyHandler, {"is_ready": is_ready}),
            ("/metrics", MetricsHandler, {"registry": registry}),
            ("/v1/status", StatusHandler, {"collect_report": collect_report}),
        ],
        log_function=lambda handler: None,
    )
