"""The faults that a home answers with."""

from __future__ import annotations

from .errors import Code, Fault, FaultError, Outcome, Step

RETRY_AFTER_S = 0.5


def no_server(why: str, peer: str = "") -> FaultError:
    """No server can take the request, and none was given it."""
    fault = Fault(Code.NO_SERVER, why, Step.ROUTE, peer, retry_after_s=RETRY_AFTER_S)
    return FaultError(fault)


def session_ahead(group: str) -> FaultError:
    """The session has seen what the group is not known to hold."""
    message = f"the session is ahead of the group {group}"
    step = Step.SESSION
    return FaultError(Fault(Code.SESSION_AHEAD, message, step, retry_after_s=1.0))


def unproven(why: str, peer: str = "") -> FaultError:
    """A read was run, but its answer is not proven good enough."""
    return _unknown(Code.NO_SERVER, why, Step.CONFIRM, peer)


def unconfirmed(why: str, peer: str) -> FaultError:
    """A write may have been made."""
    message = f"the write may have been made: {why}"
    return _unknown(Code.TIMEOUT, message, Step.CONFIRM, peer)


def out_of_time(*, started: bool) -> FaultError:
    """The request's time ended.

    Args:
        started: Whether it may have been given to a server.
    """
    if started:
        message = "the request ran out of time"
        return _unknown(Code.TIMEOUT, message, Step.RUN, "")
    message = "the request ran out of time before it was run"
    fault = Fault(Code.TIMEOUT, message, Step.QUEUE, retry_after_s=RETRY_AFTER_S)
    return FaultError(fault)


def failed(*, started: bool) -> FaultError:
    """The proxy itself is at fault.

    Args:
        started: Whether the request may have been given to a server.
    """
    outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
    return FaultError(Fault(Code.INTERNAL, "the proxy failed", Step.RUN, "", outcome))


def rolled_back(peer: str) -> FaultError:
    """The server took a transaction back."""
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
    """An idempotency key came with another request before."""
    message = "the idempotency key was used for another request"
    return FaultError(Fault(Code.KEY_REUSED, message, Step.RUN, peer))


def transaction_unknown(outcome: Outcome) -> FaultError:
    """There is no such open transaction of this customer here."""
    message = "no such transaction is open"
    fault = Fault(Code.TRANSACTION_UNKNOWN, message, Step.TRANSACTION, outcome=outcome)
    return FaultError(fault)


def transaction_over(why: str) -> Fault:
    """A transaction ended and was never committed."""
    message = f"the transaction was rolled back: {why}"
    return Fault(Code.TRANSACTION_UNKNOWN, message, Step.TRANSACTION)


def transaction_busy() -> FaultError:
    """Another request of the same transaction runs."""
    message = "another request of this transaction runs"
    return FaultError(Fault(Code.TRANSACTION_BUSY, message, Step.TRANSACTION))


def transactions_full() -> FaultError:
    """There is no room for another transaction."""
    message = "too many transactions are open"
    fault = Fault(
        Code.OVERLOADED, message, Step.TRANSACTION, retry_after_s=RETRY_AFTER_S
    )
    return FaultError(fault)


def _unknown(code: Code, message: str, step: Step, peer: str) -> FaultError:
    return FaultError(Fault(code, message, step, peer, Outcome.UNKNOWN, RETRY_AFTER_S))
