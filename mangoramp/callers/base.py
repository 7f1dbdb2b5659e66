"""What the handlers for callers share: bodies, headers, answers and errors."""

from __future__ import annotations

import math
import re
from types import TracebackType
from typing import Any, TypeVar

import msgspec
import tornado.web
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from ..events import HANDLER_FAILED, emit
from .in_flight import InFlight

T = TypeVar("T")
TOKEN_HEADER = "Mangoramp-Session"
TOKEN_COOKIE = "mangoramp-session"
COOKIE_RULES = "HttpOnly; Path=/; SameSite=Strict"
MAX_BODY_BYTES = 1_000_000
MAX_DISCARDED_BYTES = 4_000_000
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 60.0
MIN_TIMEOUT_S = 0.001
SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
IDEMPOTENCY_KEY = re.compile(r"[A-Za-z0-9._:~/+=@-]{1,128}")
IDEMPOTENCY_KEY_TEXT = "1 to 128 letters, digits or ._:~/+=@-"
CODES_BY_STATUS = {404: Code.ROUTE_UNKNOWN, 405: Code.METHOD_NOT_ALLOWED}


class FaultBody(msgspec.Struct):
    """The one error form."""

    outcome: Outcome
    code: Code
    message: str
    step: Step
    peer: str
    retry_after_s: float | None
    sqlstate: str


@tornado.web.stream_request_body
class BaseHandler(tornado.web.RequestHandler):
    """What all handlers share: one form for answers and one for errors.

    The body is taken in pieces, so that one over the limit costs no memory.
    """

    _received = 0
    _in_flight: InFlight | None = None

    def prepare(self) -> None:
        """Refuse at once a body that is too long even to be passed over."""
        self.count()
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > MAX_DISCARDED_BYTES:
            self.set_header("Connection", "close")
            self.refuse(_too_large())

    def count(self) -> None:
        """Count the request as in flight until it is answered or given up."""
        found: InFlight | None = self.settings.get("in_flight")
        if found is None:
            return
        self._in_flight = found
        found.enter()
        if found.closing:
            self.set_header("Connection", "close")

    def on_finish(self) -> None:
        """The request was answered."""
        self._leave()

    def on_connection_close(self) -> None:
        """The caller is gone."""
        self._leave()

    def _leave(self) -> None:
        if self._in_flight is not None:
            self._in_flight.leave()
            self._in_flight = None

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body while it is within the limit."""
        self._received += len(chunk)
        if self._received <= MAX_BODY_BYTES:
            self.request.body += chunk

    def decode_body(self, type_: type[T]) -> Result[T, Fault]:
        """Decode the body from JSON."""
        if self._received > MAX_BODY_BYTES:
            return Failure(_too_large())
        try:
            return Success(msgspec.json.decode(self.request.body, type=type_))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return Failure(_bad(f"the body is refused: {exc}"))
        except RecursionError:
            return Failure(_bad("the body is refused: it is nested too deep"))

    def compute_etag(self) -> None:
        """No entity tag: no answer is the same as one before."""

    def answer(self, status: int, body: Any) -> None:
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def refuse(self, fault: Fault) -> None:
        """Send a fault in the one error form."""
        retry_after_s = fault.retry_after_s
        if retry_after_s is not None and not math.isfinite(retry_after_s):
            retry_after_s = None
        if retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(retry_after_s))))
        if fault.http_status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        body = FaultBody(
            outcome=fault.outcome,
            code=fault.code,
            message=fault.message,
            step=fault.step,
            peer=fault.peer,
            retry_after_s=retry_after_s,
            sqlstate=fault.sqlstate,
        )
        self.answer(fault.http_status, body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer what tornado refused, or what broke here, in the one error form."""
        if status_code < 500:
            code = CODES_BY_STATUS.get(status_code, Code.BAD_REQUEST)
            self.refuse(Fault(code, self._reason, Step.PARSE))
            return
        message = "the proxy failed"
        unknown = Outcome.UNKNOWN
        self.refuse(Fault(Code.INTERNAL, message, Step.RUN, outcome=unknown))

    def log_exception(
        self,
        typ: type[BaseException] | None,
        value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        """Log what broke here: the place, not the values."""
        if isinstance(value, tornado.web.HTTPError) or tb is None:
            return
        while tb.tb_next is not None:
            tb = tb.tb_next
        place = f"{tb.tb_frame.f_code.co_qualname}:{tb.tb_lineno}"
        emit(HANDLER_FAILED, error=type(value).__name__, place=place)

    def show_token(self, token: str) -> None:
        """Give the session's next token, as a header and as a cookie."""
        self.set_header(TOKEN_HEADER, token)
        self.add_header("Set-Cookie", f"{TOKEN_COOKIE}={token}; {COOKIE_RULES}")

    @property
    def token(self) -> str:
        """The caller's session token, empty if there is none."""
        headers = self.request.headers
        return headers.get(TOKEN_HEADER) or self.get_cookie(TOKEN_COOKIE) or ""

    @property
    def key(self) -> str:
        """The caller's key, empty if none was shown."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def seconds(
        self, name: str, *, least: float = 0.0, most: float
    ) -> Result[float | None, Fault]:
        """Read a header that holds seconds, None if it is not there."""
        text = self.request.headers.get(name)
        if text is None:
            return Success(None)
        if not SECONDS.fullmatch(text) or not least <= float(text) <= most:
            allowed = f"a number from {least:g} to {most:g}"
            return Failure(_bad(f"{name}: found {text[:40]!r}, allowed: {allowed}"))
        return Success(float(text))

    def idempotency_key(self) -> Result[str, Fault]:
        """Read the idempotency key, empty if there is none."""
        text = self.request.headers.get("Idempotency-Key")
        if text is None:
            return Success("")
        if not IDEMPOTENCY_KEY.fullmatch(text):
            allowed = f"allowed: {IDEMPOTENCY_KEY_TEXT}"
            return Failure(_bad(f"Idempotency-Key: found {text[:40]!r}, {allowed}"))
        return Success(text)


def _bad(message: str) -> Fault:
    return Fault(Code.BAD_REQUEST, message, Step.PARSE)


def _too_large() -> Fault:
    message = f"the body is over {MAX_BODY_BYTES} bytes"
    return Fault(Code.BODY_TOO_LARGE, message, Step.PARSE)
