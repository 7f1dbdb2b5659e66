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


def out_of_time() -> FaultError:
    """The request's time ended while it was being run."""
    return _unknown(Code.TIMEOUT, "the request ran out of time", Step.RUN, "")


def _unknown(code: Code, message: str, step: Step, peer: str) -> FaultError:
    return FaultError(Fault(code, message, step, peer, Outcome.UNKNOWN, RETRY_AFTER_S))
