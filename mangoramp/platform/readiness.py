"""HTTP server for the load balancer's readiness probes and for metrics."""

from __future__ import annotations

from collections.abc import Callable

import tornado.web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from tornado.httpserver import HTTPServer

from ..control.settings import Address


class ReadinessServer:
    """Serves ``/readiness`` and ``/metrics``.

    Args:
        is_ready: Returns whether this process accepts new callers.
        registry: The registry of the metrics to expose.
    """

    def __init__(
        self, is_ready: Callable[[], bool], registry: CollectorRegistry
    ) -> None:
        self._server = HTTPServer(
            tornado.web.Application(
                [
                    (r"/readiness", _ReadinessHandler, {"is_ready": is_ready}),
                    (r"/metrics", _MetricsHandler, {"registry": registry}),
                ],
                log_function=lambda handler: None,
            )
        )

    def listen(self, address: Address) -> None:
        """Start serving on an address."""
        host, port = address
        self._server.listen(port, address=host)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.stop()


class _ReadinessHandler(tornado.web.RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)


class _MetricsHandler(tornado.web.RequestHandler):
    def initialize(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def get(self) -> None:
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self._registry))
