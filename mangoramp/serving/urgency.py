"""How urgently requests need a connection, and the error if there is none."""

from __future__ import annotations

from dataclasses import dataclass


class NoConnectionError(Exception):
    """No connection was available; nothing was sent.

    Attributes:
        is_reachable: Whether the server responded to the connection attempt.
        is_observed: Whether this request's own attempt showed that; otherwise it is
            known from earlier attempts.
        wait_s: Estimated seconds until a connection is available, 0 if unknown.
    """

    def __init__(
        self,
        reason: str,
        *,
        is_reachable: bool,
        is_observed: bool = True,
        wait_s: float = 0.0,
    ) -> None:
        super().__init__(reason)
        self.is_reachable = is_reachable
        self.is_observed = is_observed
        self.wait_s = wait_s


@dataclass(frozen=True, slots=True)
class Urgency:
    """How urgently a request needs a connection.

    Attributes:
        priority: The priority class; 0 is the most urgent.
        due_s: Seconds until the request misses its latency objective.
        timeout_s: Maximum wait for a connection in seconds.
        is_deferrable: Whether the request is a read at the primary that a replica can
            serve.
    """

    priority: int
    due_s: float
    timeout_s: float
    is_deferrable: bool = False
