"""Records what the outcome of a batch shows about its server."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..control.group import Server
from .command import AnswerTimeoutError, ConnectionLostError, NotSentError
from .lease import (
    MIN_CONCLUSIVE_TIMEOUT_S,
    HomeLostError,
    ServerUnreachableError,
)
from .pool import NoConnectionError


@contextmanager
def recording_outcome(
    server: Server, clock: Callable[[], float], timeout_s: float
) -> Iterator[None]:
    """Record whether a server answers the batch that is run inside.

    Args:
        server: The server.
        clock: Returns the time in seconds.
        timeout_s: Timeout of the batch in seconds.
    """
    started = clock()
    server.busy += 1
    try:
        yield
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
        raise
    except ConnectionLostError as exc:
        server.record_failure(clock(), str(exc))
        raise
    finally:
        server.busy -= 1
    now = clock()
    server.record_answer(now, now - started)


def record_no_connection(server: Server, exc: NoConnectionError, now: float) -> None:
    """Record a failed attempt to get a connection, if the server was not reached."""
    if not exc.is_reachable:
        server.record_failure(now, str(exc))
