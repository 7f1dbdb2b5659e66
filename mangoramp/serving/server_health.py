"""Records what the outcome of a batch shows about its server.

With ``server_health``, also limits the additional attempts of reads.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from prometheus_client import CollectorRegistry, Counter

from ..control.group import Server
from ..policy.hedging import RETRY_RATIO, AttemptBudget
from .command import AnswerTimeoutError, ConnectionLostError, NotSentError
from .lease import HomeLostError, ServerUnreachableError
from .pool import NoConnectionError

MIN_CONCLUSIVE_TIMEOUT_S = 0.2  # a healthy server normally answers within this time


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


class ServerHealth:
    """Grants additional attempts to the reads of each group.

    Args:
        registry: The Prometheus registry to register the metrics in.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._retry_budgets: dict[str, AttemptBudget] = {}
        self._retries = Counter(
            "mangoramp_read_retries",
            "Reads that failed on one server and were run on another",
            registry=registry,
        )

    def record_read(self, group: str) -> None:
        """Count a read, which adds to its group's budget."""
        self._retry_budget(group).record_read()

    def try_acquire_retry(self, group: str) -> bool:
        """Return whether a failed read may run again at another server; count it."""
        if not self._retry_budget(group).try_acquire():
            return False
        self._retries.inc()
        return True

    def _retry_budget(self, group: str) -> AttemptBudget:
        return self._retry_budgets.setdefault(group, AttemptBudget(RETRY_RATIO))
