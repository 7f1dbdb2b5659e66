"""Records what the outcome of a batch shows about its server."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from ..control.group import Server
from .command import (
    Answer,
    AnswerTimeoutError,
    ConnectionLostError,
    NotSentError,
    Refusal,
)
from .lease import (
    MIN_CONCLUSIVE_TIMEOUT_S,
    HomeLostError,
    ServerUnreachableError,
)
from .pool import NoConnectionError


@dataclass(slots=True)
class BatchOutcome:
    """The outcome of a batch.

    Attributes:
        answers: The answers to its commands, set by the caller once they are known.
    """

    answers: tuple[Answer, ...] = ()


@contextmanager
def recording_outcome(
    server: Server, clock: Callable[[], float], timeout_s: float
) -> Iterator[BatchOutcome]:
    """Record whether a server answers the batch that is run inside.

    Args:
        server: The server.
        clock: Returns the time in seconds.
        timeout_s: Timeout of the batch in seconds.
    """
    outcome = BatchOutcome()
    started = clock()
    server.busy += 1
    try:
        yield outcome
    except ServerUnreachableError as exc:
        server.record_failure(clock(), str(exc))
        raise
    except (HomeLostError, NotSentError):
        # A failed home is no evidence that the server failed.
        raise
    except AnswerTimeoutError as exc:
        # A timeout of a statement with little time left is no evidence either.
        if timeout_s >= MIN_CONCLUSIVE_TIMEOUT_S:
            server.record_failure(clock(), str(exc))
            server.record_statement(clock(), has_failed=True)
        raise
    except ConnectionLostError as exc:
        server.record_failure(clock(), str(exc))
        server.record_statement(clock(), has_failed=True)
        raise
    finally:
        server.busy -= 1
    now = clock()
    server.record_answer(now, now - started)
    if any(answer.signature for answer in outcome.answers):
        server.record_statement(now, has_failed=False)
    elif any(answer.refusal is Refusal.FAILED for answer in outcome.answers):
        server.record_statement(now, has_failed=True)


def record_no_connection(server: Server, exc: NoConnectionError, now: float) -> None:
    """Record a failed attempt to get a connection, if the server was not reached."""
    if not exc.is_reachable:
        server.record_failure(now, str(exc))
