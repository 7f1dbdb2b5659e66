"""Factories for the faults that a home returns."""

from __future__ import annotations

from .errors import Code, Fault, FaultError, Outcome, Step

RETRY_AFTER_S = 0.5


def no_server(reason: str, peer: str = "") -> FaultError:
    """No server can run the request, and it was sent to none."""
    fault = Fault(Code.NO_SERVER, reason, Step.ROUTE, peer, retry_after_s=RETRY_AFTER_S)
    return FaultError(fault)


def session_ahead(group: str) -> FaultError:
    """The session has seen a position that the group is not known to hold."""
    message = f"the session is ahead of the group {group}"
    step = Step.SESSION
    return FaultError(Fault(Code.SESSION_AHEAD, message, step, retry_after_s=1.0))


def unproven(reason: str, peer: str = "") -> FaultError:
    """A read was run, but its result is not proven to be fresh enough."""
    return _unknown_outcome(Code.NO_SERVER, reason, Step.CONFIRM, peer)


def unconfirmed(reason: str, peer: str) -> FaultError:
    """A write may have been applied, but no majority confirmed it."""
    message = f"the write may have been made: {reason}"
    return _unknown_outcome(Code.TIMEOUT, message, Step.CONFIRM, peer)


def timed_out(*, started: bool) -> FaultError:
    """The request timed out.

    Args:
        started: Whether the request may have been sent to a server.
    """
    if started:
        message = "the request ran out of time"
        return _unknown_outcome(Code.TIMEOUT, message, Step.RUN, "")
    message = "the request ran out of time before it was run"
    fault = Fault(Code.TIMEOUT, message, Step.QUEUE, retry_after_s=RETRY_AFTER_S)
    return FaultError(fault)


def internal_error(*, started: bool) -> FaultError:
    """The proxy itself failed.

    Args:
        started: Whether the request may have been sent to a server.
    """
    outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
    return FaultError(Fault(Code.INTERNAL, "the proxy failed", Step.RUN, "", outcome))


def rolled_back(peer: str) -> FaultError:
    """The server rolled a transaction back."""
    message = f"the server {peer} rolled the work back"
    return FaultError(
        Fault(
            Code.STATEMENT_FAILED,
            message,
            Step.RUN,
            peer,
            retry_after_s=RETRY_AFTER_S,
            sqlstate="40000",
        )
    )


def key_reused(peer: str) -> FaultError:
    """The idempotency key was already used for a different request."""
    message = "the idempotency key was used for another request"
    return FaultError(Fault(Code.KEY_REUSED, message, Step.RUN, peer))


def transaction_unknown(outcome: Outcome) -> FaultError:
    """The customer has no open transaction with this id here."""
    message = "no such transaction is open"
    fault = Fault(Code.TRANSACTION_UNKNOWN, message, Step.TRANSACTION, outcome=outcome)
    return FaultError(fault)


def transaction_rolled_back(reason: str) -> Fault:
    """A transaction was rolled back before its commit."""
    message = f"the transaction was rolled back: {reason}"
    return Fault(Code.TRANSACTION_UNKNOWN, message, Step.TRANSACTION)


def transaction_busy() -> FaultError:
    """Another request of the same transaction is running."""
    message = "another request of this transaction runs"
    return FaultError(Fault(Code.TRANSACTION_BUSY, message, Step.TRANSACTION))


def too_many_transactions() -> FaultError:
    """The limit of open transactions is reached."""
    message = "too many transactions are open"
    fault = Fault(
        Code.OVERLOADED, message, Step.TRANSACTION, retry_after_s=RETRY_AFTER_S
    )
    return FaultError(fault)


def _unknown_outcome(code: Code, message: str, step: Step, peer: str) -> FaultError:
    return FaultError(Fault(code, message, step, peer, Outcome.UNKNOWN, RETRY_AFTER_S))
