"""Base class of the HTTP handlers: bodies, headers, responses and errors."""

from __future__ import annotations

import math
import re
from types import TracebackType
from typing import Any, TypeVar

import msgspec
import tornado.web
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from ..events import HANDLER_FAILED, emit, place_of
from .in_flight import InFlightCounter

T = TypeVar("T")
TOKEN_HEADER = "Mangoramp-Session"
TOKEN_COOKIE = "mangoramp-session"
COOKIE_ATTRIBUTES = "HttpOnly; Path=/; SameSite=Strict"
MAX_BODY_BYTES = 1_000_000
MAX_DISCARDED_BYTES = 4_000_000
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 60.0
MIN_TIMEOUT_S = 0.001
SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[A-Za-z0-9._:~/+=@-]{1,128}")
IDEMPOTENCY_KEY_FORMAT = "1 to 128 letters, digits or ._:~/+=@-"
CODES_BY_STATUS = {404: Code.ROUTE_UNKNOWN, 405: Code.METHOD_NOT_ALLOWED}


class FaultBody(msgspec.Struct):
    """The body of every error response."""

    outcome: Outcome
    code: Code
    message: str
    step: Step
    peer: str
    retry_after_s: float | None
    sqlstate: str


@tornado.web.stream_request_body
class BaseHandler(tornado.web.RequestHandler):
    """Base class of the handlers: one format for responses and one for errors.

    The body is streamed, so that a body over the limit is not held in memory.
    """

    _received_bytes = 0
    _in_flight: InFlightCounter | None = None

    def prepare(self) -> None:
        """Refuse a body that is too long even to be read and discarded."""
        self.track_in_flight()
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > MAX_DISCARDED_BYTES:
            self.set_header("Connection", "close")
            self.send_fault(_body_too_large())

    def track_in_flight(self) -> None:
        """Count the request as in flight until its response or a disconnect."""
        counter: InFlightCounter | None = self.settings.get("in_flight")
        if counter is None:
            return
        self._in_flight = counter
        counter.start_request()
        if counter.is_draining:
            self.set_header("Connection", "close")

    def on_finish(self) -> None:
        """Stop counting a request whose response was sent."""
        self._untrack_in_flight()

    def on_connection_close(self) -> None:
        """Stop counting a request whose caller disconnected."""
        self._untrack_in_flight()

    def _untrack_in_flight(self) -> None:
        if self._in_flight is not None:
            self._in_flight.finish_request()
            self._in_flight = None

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body unless the body is over the limit."""
        self._received_bytes += len(chunk)
        if self._received_bytes <= MAX_BODY_BYTES:
            self.request.body += chunk

    def decode_body(self, type_: type[T]) -> Result[T, Fault]:
        """Decode the body from JSON."""
        if self._received_bytes > MAX_BODY_BYTES:
            return Failure(_body_too_large())
        try:
            return Success(msgspec.json.decode(self.request.body, type=type_))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return Failure(_bad_request(f"the body is refused: {exc}"))
        except RecursionError:
            return Failure(_bad_request("the body is refused: it is nested too deep"))

    def compute_etag(self) -> None:
        """Send no ETag: no response equals an earlier one."""

    def send_json(self, status: int, body: Any) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def send_fault(self, fault: Fault) -> None:
        """Send a fault as the common error body."""
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
        self.send_json(fault.http_status, body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send a tornado error or an unhandled exception as the common error body."""
        if status_code < 500:
            code = CODES_BY_STATUS.get(status_code, Code.BAD_REQUEST)
            self.send_fault(Fault(code, self._reason, Step.PARSE))
            return
        message = "the proxy failed"
        unknown = Outcome.UNKNOWN
        self.send_fault(Fault(Code.INTERNAL, message, Step.RUN, outcome=unknown))

    def log_exception(
        self,
        typ: type[BaseException] | None,
        value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        """Log the location of an unhandled exception, but not its values."""
        if isinstance(value, tornado.web.HTTPError) or value is None:
            return
        emit(HANDLER_FAILED, error=type(value).__name__, place=place_of(value))

    def set_session_token(self, token: str) -> None:
        """Send the session's next token as a header and as a cookie."""
        self.set_header(TOKEN_HEADER, token)
        self.add_header("Set-Cookie", f"{TOKEN_COOKIE}={token}; {COOKIE_ATTRIBUTES}")

    @property
    def session_token(self) -> str:
        """The caller's session token, empty if there is none."""
        headers = self.request.headers
        return headers.get(TOKEN_HEADER) or self.get_cookie(TOKEN_COOKIE) or ""

    @property
    def api_key(self) -> str:
        """The caller's API key, empty if there is none."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def read_seconds(
        self, name: str, *, minimum: float = 0.0, maximum: float
    ) -> Result[float | None, Fault]:
        """Read a header that holds seconds, None if it is absent."""
        text = self.request.headers.get(name)
        if text is None:
            return Success(None)
        if not SECONDS_PATTERN.fullmatch(text) or not minimum <= float(text) <= maximum:
            allowed = f"a number from {minimum:g} to {maximum:g}"
            return Failure(
                _bad_request(f"{name}: found {text[:40]!r}, allowed: {allowed}")
            )
        return Success(float(text))

    def read_idempotency_key(self) -> Result[str, Fault]:
        """Read the idempotency key, empty if there is none."""
        text = self.request.headers.get("Idempotency-Key")
        if text is None:
            return Success("")
        if not IDEMPOTENCY_KEY_PATTERN.fullmatch(text):
            allowed = f"allowed: {IDEMPOTENCY_KEY_FORMAT}"
            return Failure(
                _bad_request(f"Idempotency-Key: found {text[:40]!r}, {allowed}")
            )
        return Success(text)


def _bad_request(message: str) -> Fault:
    return Fault(Code.BAD_REQUEST, message, Step.PARSE)


def _body_too_large() -> Fault:
    message = f"the body is over {MAX_BODY_BYTES} bytes"
    return Fault(Code.BODY_TOO_LARGE, message, Step.PARSE)
