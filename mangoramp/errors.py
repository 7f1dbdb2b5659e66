"""Typed errors that carry the failed step, the peer and the outcome of the work."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """The outcome of a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """The processing step at which a fault occurred."""

    PARSE = "parse"
    KEY = "key"
    SESSION = "session"
    FORWARD = "forward"
    ADMIT = "admit"
    QUEUE = "queue"
    ROUTE = "route"
    CONNECT = "connect"
    RUN = "run"
    CONFIRM = "confirm"
    TRANSACTION = "transaction"
    PLATFORM = "platform"


class Code(StrEnum):
    """The error codes that clients receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    FORBIDDEN = "forbidden"
    SESSION_INVALID = "session_invalid"
    SESSION_AHEAD = "session_ahead"
    ROUTE_UNKNOWN = "route_unknown"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    GROUP_UNKNOWN = "group_unknown"
    TRANSACTION_UNKNOWN = "transaction_unknown"
    TRANSACTION_BUSY = "transaction_busy"
    KEY_REUSED = "idempotency_key_reused"
    STATEMENT_FAILED = "statement_failed"
    STATEMENT_UNKNOWN = "statement_unknown"
    TRANSACTION_ABORTED = "transaction_aborted"
    READ_ONLY = "read_only"
    OVER_RATE = "over_rate"
    OVERLOADED = "overloaded"
    NO_SERVER = "no_server"
    NO_HOME = "no_home"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection_lost"
    CONFLICT = "conflict"
    INTERNAL = "internal"


HTTP_STATUS: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.KEY_MISSING: 401,
    Code.KEY_UNKNOWN: 401,
    Code.FORBIDDEN: 403,
    Code.SESSION_INVALID: 400,
    Code.SESSION_AHEAD: 409,
    Code.ROUTE_UNKNOWN: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.GROUP_UNKNOWN: 404,
    Code.TRANSACTION_UNKNOWN: 404,
    Code.TRANSACTION_BUSY: 409,
    Code.KEY_REUSED: 409,
    Code.STATEMENT_FAILED: 422,
    Code.STATEMENT_UNKNOWN: 404,
    Code.TRANSACTION_ABORTED: 409,
    Code.READ_ONLY: 409,
    Code.OVER_RATE: 429,
    Code.OVERLOADED: 503,
    Code.NO_SERVER: 503,
    Code.NO_HOME: 503,
    Code.TIMEOUT: 504,
    Code.CONNECTION_LOST: 502,
    Code.CONFLICT: 409,
    Code.INTERNAL: 500,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A final error response to a request.

    Attributes:
        code: What went wrong, as one of the documented codes.
        message: One human-readable sentence; it never contains a key.
        step: The processing step at which the fault occurred.
        peer: The peer at which the fault occurred, empty for this process.
        outcome: Whether the work was run.
        retry_after_s: Seconds after which the client may retry; None if it should not.
        sqlstate: The database server's SQLSTATE, empty if it sent none.
    """

    code: Code
    message: str
    step: Step
    peer: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None
    sqlstate: str = ""

    @property
    def http_status(self) -> int:
        """The HTTP status of this fault."""
        return HTTP_STATUS[self.code]


class FaultError(Exception):
    """An exception that carries a fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.step}: {fault.code}: {fault.message}")
        self.fault = fault
