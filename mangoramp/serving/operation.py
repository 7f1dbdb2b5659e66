"""One operation of a caller on its way to the servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..control.deployment import Route
from ..errors import Code, Fault, FaultError, Outcome, Step
from ..policy.statement_backoff import StatementBackoff
from ..sessions.session import Session

BACK_SOON_S = 0.1  # a connection or a slot is free again within this time


@dataclass(slots=True)
class Ticket:
    """Whether an operation was taken from its customer's limits.

    Attributes:
        request_id: The id of its first statement.
        is_taken: Whether it was taken.
    """

    request_id: str
    is_taken: bool = False


@dataclass(frozen=True, slots=True)
class Operation:
    """A statement that has to be run.

    Attributes:
        request_id: The id that the caller gave it.
        customer: Whose it is.
        route: The route that it takes.
        received_at: When it was read, in seconds.
        fresh_since: When the read, or its transaction, began, in seconds.
        session: The caller's session.
        ticket: Whether it was taken from its customer's limits.
        pauses: The pauses between its tries.
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
        """When its answer is late for its callers' objective, in seconds."""
        return self.received_at + self.route.objective_s

    @property
    def deadline(self) -> float:
        """When its answer is of no more use, in seconds."""
        return self.received_at + self.route.timeout_s


def refused(
    code: Code, message: str, step: Step, *, peer: str = "", retry_after_s: float
) -> FaultError:
    """A refusal of what has not run."""
    return FaultError(
        Fault(code, message, step, peer=peer, retry_after_s=retry_after_s)
    )


def aborted(reason: str, *, peer: str = "") -> FaultError:
    """The end of a transaction of which nothing is kept."""
    return refused(
        Code.TRANSACTION_ABORTED,
        f"the transaction was rolled back: {reason}",
        Step.TRANSACTION,
        peer=peer,
        retry_after_s=BACK_SOON_S,
    )


def over_rate(wait_s: float) -> FaultError:
    """The refusal of an operation beyond its customer's limits."""
    return refused(
        Code.OVER_RATE,
        "the customer is over its rate",
        Step.ADMIT,
        retry_after_s=wait_s,
    )


def unknown(code: Code, message: str, *, peer: str) -> FaultError:
    """An end of which nobody knows whether the statement has run."""
    return FaultError(
        Fault(code, message, Step.RUN, peer=peer, outcome=Outcome.UNKNOWN)
    )
