"""HTTP server for the load balancer's readiness probes, metrics and operators."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import tornado.web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from returns.result import Failure, Result, Success
from tornado.httpserver import HTTPServer

from ..control.settings import Address
from ..errors import Code, Fault, Step

Explain = Callable[[str, str, str], Result[object, Fault]]
_WHERE_ARGUMENTS = {"database", "customer", "class"}


class ReadinessServer:
    """Serves ``/readiness``, ``/metrics`` and ``/where``.

    Args:
        is_ready: Returns whether this process accepts new callers.
        registry: The registry of the metrics to expose.
        explain: Explains where a request would go, given its database, its customer's
            name and its class.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        registry: CollectorRegistry,
        explain: Explain,
    ) -> None:
        self._server = HTTPServer(
            tornado.web.Application(
                [
                    (r"/readiness", _ReadinessHandler, {"is_ready": is_ready}),
                    (r"/metrics", _MetricsHandler, {"registry": registry}),
                    (r"/where", _WhereHandler, {"explain": explain}),
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


class _WhereHandler(tornado.web.RequestHandler):
    def initialize(self, explain: Explain) -> None:
        self._explain = explain

    def get(self) -> None:
        result = self._answer()
        if not isinstance(result, Success):
            fault = result.failure()
            self.set_status(fault.http_status)
            self._send({"code": fault.code.value, "message": fault.message})
            return
        self._send(result.unwrap())

    def _answer(self) -> Result[object, Fault]:
        given = self.request.query_arguments
        if given.keys() != _WHERE_ARGUMENTS:
            names = ", ".join(sorted(_WHERE_ARGUMENTS))
            message = f"the arguments are {names}, and no others"
            return Failure(Fault(Code.BAD_REQUEST, message, Step.PARSE))
        return self._explain(
            self.get_query_argument("database"),
            self.get_query_argument("customer"),
            self.get_query_argument("class"),
        )

    def _send(self, value: object) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))
