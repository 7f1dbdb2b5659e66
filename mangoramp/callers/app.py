"""The HTTP application for callers."""

from __future__ import annotations

from typing import Any

import msgspec
import tornado.web
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from ..ingress import Ingress, StatementAnswer, StatementRequest
from ..proxies.messages import Param
from .in_flight import InFlight

MAX_BODY_BYTES = 1_000_000
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 60.0
TOKEN_HEADER = "Mangoramp-Session"
TOKEN_COOKIE = "mangoramp-session"


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a statement's request."""

    sql: str
    params: tuple[Param, ...] = ()


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


class FaultBody(msgspec.Struct):
    """The one error form."""

    outcome: Outcome
    code: Code
    message: str
    step: Step
    peer: str
    retry_after_s: float | None
    sqlstate: str


class BaseHandler(tornado.web.RequestHandler):
    """What all handlers share: one form for answers and one for errors."""

    def prepare(self) -> None:
        """Count the request as in flight."""
        self.in_flight.enter()
        if self.in_flight.closing:
            self.set_header("Connection", "close")

    def on_finish(self) -> None:
        """Count the request as done."""
        self.in_flight.leave()

    @property
    def in_flight(self) -> InFlight:
        """The requests in flight at this application."""
        found: InFlight = self.settings["in_flight"]
        return found

    def answer(self, status: int, body: Any) -> None:
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def refuse(self, fault: Fault) -> None:
        """Send a fault in the one error form."""
        if fault.retry_after_s is not None:
            self.set_header("Retry-After", f"{fault.retry_after_s:.3f}")
        body = FaultBody(
            outcome=fault.outcome,
            code=fault.code,
            message=fault.message,
            step=fault.step,
            peer=fault.peer,
            retry_after_s=fault.retry_after_s,
            sqlstate=fault.sqlstate,
        )
        self.answer(fault.status, body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer what tornado refused, or what broke here, in the one error form."""
        if status_code < 500:
            self.set_status(status_code)
            self.refuse(Fault(Code.BAD_REQUEST, self._reason, Step.PARSE))
            return
        message = "the proxy failed"
        unknown = Outcome.UNKNOWN
        self.refuse(Fault(Code.INTERNAL, message, Step.RUN, outcome=unknown))

    @property
    def key(self) -> str:
        """The caller's key, empty if none was shown."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def seconds(self, name: str, *, most: float) -> Result[float | None, Fault]:
        """Read a header that holds seconds, None if it is not there."""
        text = self.request.headers.get(name)
        if text is None:
            return Success(None)
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= most:
            message = f"{name} must be a number from 0 to {most:g}, not {text!r}"
            return Failure(Fault(Code.BAD_REQUEST, message, Step.PARSE))
        return Success(value)


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
        self.set_header(TOKEN_HEADER, answer.token)
        self.set_cookie(TOKEN_COOKIE, answer.token, httponly=True, samesite="Strict")
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
        try:
            body = msgspec.json.decode(self.request.body, type=StatementBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            message = f"the body is refused: {exc}"
            return Failure(Fault(Code.BAD_REQUEST, message, Step.PARSE))
        max_age = self.seconds("Mangoramp-Max-Age", most=86_400)
        timeout = self.seconds("Mangoramp-Timeout", most=MAX_TIMEOUT_S)
        for header in (max_age, timeout):
            if not isinstance(header, Success):
                return Failure(header.failure())
        return Success(self._build(group, body, max_age.unwrap(), timeout.unwrap()))

    def _build(
        self,
        group: str,
        body: StatementBody,
        max_age_s: float | None,
        timeout_s: float | None,
    ) -> StatementRequest:
        headers = self.request.headers
        token = headers.get(TOKEN_HEADER) or self.get_cookie(TOKEN_COOKIE) or ""
        return StatementRequest(
            group=group,
            key=self.key,
            sql=body.sql,
            params=body.params,
            token=token,
            idempotency_key=headers.get("Idempotency-Key", ""),
            max_age_s=max_age_s,
            timeout_s=DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s,
        )


class NotFoundHandler(BaseHandler):
    """Answers every other path."""

    def prepare(self) -> None:
        """Refuse."""
        super().prepare()
        self.refuse(Fault(Code.GROUP_UNKNOWN, "there is no such route", Step.PARSE))


def callers_application(
    ingress: Ingress, *, in_flight: InFlight | None = None
) -> tornado.web.Application:
    """The application for callers.

    Args:
        ingress: Where requests go.
        in_flight: Counts the requests in flight.
    """
    args = {"ingress": ingress}
    return tornado.web.Application(
        [(r"/v1/groups/([^/]+)/statements", StatementHandler, args)],
        default_handler_class=NotFoundHandler,
        log_function=lambda handler: None,
        in_flight=in_flight or InFlight(),
    )
