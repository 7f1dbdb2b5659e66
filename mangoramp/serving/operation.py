"""A caller's operation and the errors that end it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..control.deployment import Route
from ..errors import Code, Fault, FaultError, Outcome, Step
from ..policy.statement_backoff import StatementBackoff
from ..sessions.session import Session

DEFAULT_RETRY_AFTER_S = 0.1  # a connection or slot is usually free by then


@dataclass(slots=True)
class Ticket:
    """Records whether an operation has been charged to its customer's limits.

    Attributes:
        request_id: The id of the operation's first statement.
        is_admitted: Whether the operation has been admitted and charged.
        is_hedge: Whether it is the second attempt of a read whose first one still runs.
    """

    request_id: str
    is_admitted: bool = False
    is_hedge: bool = False


@dataclass(frozen=True, slots=True)
class Operation:
    """A statement to run on a server.

    Attributes:
        request_id: The caller's id of the request.
        customer: The customer that sent the statement.
        route: The route of the session's database.
        received_at: When the statement was received, in seconds.
        fresh_since: When the statement or its transaction began, in seconds; the data
            age that the route allows counts back from here.
        session: The caller's session.
        ticket: Whether the operation has been charged to the customer's limits.
        pauses: The delays between attempts.
    """

    request_id: str
    customer: str
    route: Route
    received_at: float
    fresh_since: float
    session: Session
    ticket: Ticket
    pauses: StatementBackoff = field(default_factory=StatementBackoff)

    @property
    def due_at(self) -> float:
        """When the operation misses the route's latency objective, in seconds."""
        return self.received_at + self.route.objective_s

    @property
    def deadline(self) -> float:
        """When the operation times out, in seconds."""
        return self.received_at + self.route.timeout_s


def refused_error(
    code: Code, message: str, step: Step, *, peer: str = "", retry_after_s: float
) -> FaultError:
    """Return the error for a statement that was refused and has not run."""
    return FaultError(
        Fault(code, message, step, peer=peer, retry_after_s=retry_after_s)
    )


def aborted_error(reason: str, *, peer: str = "") -> FaultError:
    """Return the error for a transaction that was rolled back."""
    return refused_error(
        Code.TRANSACTION_ABORTED,
        f"the transaction was rolled back: {reason}",
        Step.TRANSACTION,
        peer=peer,
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def over_rate_error(wait_s: float) -> FaultError:
    """Return the error for an operation that exceeds its customer's limits."""
    return refused_error(
        Code.OVER_RATE,
        "the customer is over its rate",
        Step.ADMIT,
        retry_after_s=wait_s,
    )


def outcome_unknown_error(code: Code, message: str, *, peer: str) -> FaultError:
    """Return the error for a statement that may or may not have run."""
    return FaultError(
        Fault(code, message, Step.RUN, peer=peer, outcome=Outcome.UNKNOWN)
    )
