"""The routes open to all: health, readiness, metrics and status."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import tornado.web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest


class HealthHandler(tornado.web.RequestHandler):
    """``GET /health``: the process runs."""

    def get(self) -> None:
        """Answer that it does."""
        self.finish("ok\n")


class ReadyHandler(tornado.web.RequestHandler):
    """``GET /ready``: the process takes requests."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Remember how to tell."""
        self.is_ready = is_ready

    def get(self) -> None:
        """Answer whether it does."""
        ready = self.is_ready()
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


class MetricsHandler(tornado.web.RequestHandler):
    """``GET /metrics``: the metrics in Prometheus' text form."""

    def initialize(self, registry: CollectorRegistry) -> None:
        """Remember the metrics."""
        self.registry = registry

    def get(self) -> None:
        """Answer the metrics."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self.registry))


class StatusHandler(tornado.web.RequestHandler):
    """``GET /v1/status``: what the proxy knows and does, as JSON."""

    def initialize(self, report: Callable[[], msgspec.Struct]) -> None:
        """Remember how to tell."""
        self.report = report

    def get(self) -> None:
        """Answer the status."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self.report()))


def health_application(
    registry: CollectorRegistry,
    is_ready: Callable[[], bool],
    report: Callable[[], msgspec.Struct],
) -> tornado.web.Application:
    """The application for health, readiness, metrics and status.

    Args:
        registry: The metrics.
        is_ready: Tells whether the process takes requests.
        report: Tells what the process knows and does.
    """
    return tornado.web.Application(
        [
            ("/health", HealthHandler),
            ("/ready", ReadyHandler, {"is_ready": is_ready}),
            ("/metrics", MetricsHandler, {"registry": registry}),
            ("/v1/status", StatusHandler, {"report": report}),
        ],
        log_function=lambda handler: None,
    )
