"""The HTTP application for callers."""

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
from .in_flight import InFlight

MAX_AGE_S = 86_400.0
MAX_PARAMS = 32_767
MAX_INT = 2**63 - 1

Route = tuple[str, type[tornado.web.RequestHandler], dict[str, Any]]
Int64 = Annotated[int, Meta(ge=-MAX_INT - 1, le=MAX_INT)]
Text = Annotated[str, Meta(pattern="^[^\0]*$")]
Param = Text | Int64 | float | bool | None
Params = Annotated[tuple[Param, ...], Meta(max_length=MAX_PARAMS)]


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a statement's request."""

    sql: str
    params: Params = ()


class AnswerBody(msgspec.Struct):
    """The body of a statement's answer."""

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
        """Remember where requests go."""
        self.ingress = ingress

    async def post(self, group: str) -> None:
        """Run one statement."""
        req = self._request(group)
        if not isinstance(req, Success):
            self.refuse(req.failure())
            return
        answer = await self.ingress.run(req.unwrap())
        if not isinstance(answer, Success):
            self.refuse(answer.failure())
            return
        self._answer_rows(answer.unwrap())

    def _answer_rows(self, answer: StatementAnswer) -> None:
        rows = answer.rows
        self.show_token(answer.token)
        body = AnswerBody(
            outcome=Outcome.DONE,
            columns=rows.columns,
            rows=msgspec.Raw(rows.rows),
            count=rows.count,
            server=rows.server,
            replica=rows.replica,
            age_s=rows.age_s,
            repeated=rows.repeated,
        )
        self.answer(200, body)

    def _request(self, group: str) -> Result[StatementRequest, Fault]:
        body = self.decode_body(StatementBody)
        max_age = self.seconds("Mangoramp-Max-Age", most=MAX_AGE_S)
        timeout = self.seconds(
            "Mangoramp-Timeout", least=MIN_TIMEOUT_S, most=MAX_TIMEOUT_S
        )
        once = self.idempotency_key()
        for part in (body, max_age, timeout, once):
            if not isinstance(part, Success):
                return Failure(part.failure())
        timeout_s = timeout.unwrap()
        return Success(
            StatementRequest(
                group=group,
                key=self.key,
                sql=body.unwrap().sql,
                params=body.unwrap().params,
                token=self.token,
                idempotency_key=once.unwrap(),
                max_age_s=max_age.unwrap(),
                timeout_s=DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s,
            )
        )


class NotFoundHandler(BaseHandler):
    """Answers every other path."""

    def prepare(self) -> None:
        """Refuse."""
        self.count()
        self.refuse(Fault(Code.ROUTE_UNKNOWN, "there is no such route", Step.PARSE))


def callers_application(
    ingress: Ingress,
    routes: Sequence[Route] = (),
    *,
    in_flight: InFlight | None = None,
) -> tornado.web.Application:
    """The application for callers.

    Args:
        ingress: Where requests go.
        routes: Further routes.
        in_flight: Counts the requests in flight.
    """
    args = {"ingress": ingress}
    return tornado.web.Application(
        [(r"/v1/groups/([^/]+)/statements", StatementHandler, args), *routes],
        default_handler_class=NotFoundHandler,
        log_function=lambda handler: None,
        in_flight=in_flight or InFlight(),
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
