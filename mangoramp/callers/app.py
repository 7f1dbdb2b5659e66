"""The HTTP application for callers: statements outside of transactions."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec
import tornado.web
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from ..ingress import Ingress, StatementAnswer, StatementRequest
from .base import (
    DEFAULT_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_DISCARDED_BYTES,
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    BaseHandler,
    FaultBody,
)
from .in_flight import InFlightCounter

MAX_ACCEPTED_AGE_S = 86_400.0
MAX_PARAMS = 32_767
MAX_INT64 = 2**63 - 1

Route = tuple[str, type[tornado.web.RequestHandler], dict[str, Any]]
Int64 = Annotated[int, Meta(ge=-MAX_INT64 - 1, le=MAX_INT64)]
TextWithoutNul = Annotated[str, Meta(pattern="^[^\0]*$")]
Param = TextWithoutNul | Int64 | float | bool | None
Params = Annotated[tuple[Param, ...], Meta(max_length=MAX_PARAMS)]


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request that runs a statement."""

    sql: str
    params: Params = ()


class StatementResponse(msgspec.Struct):
    """The body of the response to a statement."""

    outcome: Outcome
    columns: tuple[str, ...]
    rows: msgspec.Raw
    count: int
    server: str
    replica: bool
    age_s: float
    repeated: bool


class StatementHandler(BaseHandler):
    """``POST /v1/groups/{group}/statements``."""

    def initialize(self, ingress: Ingress) -> None:
        """Set the ingress that runs the requests."""
        self.ingress = ingress

    async def post(self, group: str) -> None:
        """Run one statement."""
        req = self._read_request(group)
        if not isinstance(req, Success):
            self.send_fault(req.failure())
            return
        answer = await self.ingress.run(req.unwrap())
        if not isinstance(answer, Success):
            self.send_fault(answer.failure())
            return
        self._send_rows(answer.unwrap())

    def _send_rows(self, answer: StatementAnswer) -> None:
        rows = answer.rows
        self.set_session_token(answer.token)
        body = StatementResponse(
            outcome=Outcome.DONE,
            columns=rows.columns,
            rows=msgspec.Raw(rows.rows),
            count=rows.count,
            server=rows.server,
            replica=rows.replica,
            age_s=rows.age_s,
            repeated=rows.repeated,
        )
        self.send_json(200, body)

    def _read_request(self, group: str) -> Result[StatementRequest, Fault]:
        body = self.decode_body(StatementBody)
        max_age = self.read_seconds("Mangoramp-Max-Age", maximum=MAX_ACCEPTED_AGE_S)
        timeout = self.read_seconds(
            "Mangoramp-Timeout", minimum=MIN_TIMEOUT_S, maximum=MAX_TIMEOUT_S
        )
        idempotency_key = self.read_idempotency_key()
        for part in (body, max_age, timeout, idempotency_key):
            if not isinstance(part, Success):
                return Failure(part.failure())
        timeout_s = timeout.unwrap()
        return Success(
            StatementRequest(
                group=group,
                key=self.api_key,
                sql=body.unwrap().sql,
                params=body.unwrap().params,
                token=self.session_token,
                idempotency_key=idempotency_key.unwrap(),
                max_age_s=max_age.unwrap(),
                timeout_s=DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s,
            )
        )


class NotFoundHandler(BaseHandler):
    """Refuses requests for unknown paths."""

    def prepare(self) -> None:
        """Send the fault for an unknown route."""
        self.track_in_flight()
        self.send_fault(Fault(Code.ROUTE_UNKNOWN, "there is no such route", Step.PARSE))


def callers_application(
    ingress: Ingress,
    routes: Sequence[Route] = (),
    *,
    in_flight: InFlightCounter | None = None,
) -> tornado.web.Application:
    """Build the HTTP application for callers.

    Args:
        ingress: Runs the requests.
        routes: Further routes.
        in_flight: Counts the requests in flight.
    """
    args = {"ingress": ingress}
    return tornado.web.Application(
        [(r"/v1/groups/([^/]+)/statements", StatementHandler, args), *routes],
        default_handler_class=NotFoundHandler,
        log_function=lambda handler: None,
        in_flight=in_flight or InFlightCounter(),
    )


__all__ = [
    "DEFAULT_TIMEOUT_S",
    "MAX_TIMEOUT_S",
    "Route",
    "StatementBody",
    "MAX_BODY_BYTES",
    "MAX_DISCARDED_BYTES",
    "BaseHandler",
    "FaultBody",
    "StatementHandler",
    "callers_application",
]
