"""Typed errors: every fault carries its step, its peer and what became of the work."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What became of a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """The step of a request's way at which a fault arose."""

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
    """The codes of the one error form."""

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
    """A final answer that is not the one asked for.

    Attributes:
        code: What went wrong, as one of the documented codes.
        message: One sentence for a person; it holds no key.
        step: Where on the request's way the fault arose.
        peer: The peer at which it arose, empty for this process itself.
        outcome: Whether the work was run.
        retry_after_s: When to come back, in seconds; None means not to.
        sqlstate: The database server's SQLSTATE, empty if it gave none.
    """

    code: Code
    message: str
    step: Step
    peer: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None
    sqlstate: str = ""

    @property
    def status(self) -> int:
        """The HTTP status of this fault."""
        return HTTP_STATUS[self.code]


class FaultError(Exception):
    """A fault on its way up to the caller."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.step}: {fault.code}: {fault.message}")
        self.fault = fault
