"""Exponential backoff between the attempts of one statement.

Without it, statements that no server accepts for seconds would each retry many times a
second and starve the statements of the same instance that can be served.
"""

from __future__ import annotations

FIRST_PAUSE_S = 0.01  # a short statement finishes and frees a slot
MAX_PAUSE_S = 0.08  # short compared with a promotion and with any latency objective


class StatementBackoff:
    """The pauses before the retries of one statement."""

    def __init__(self) -> None:
        self._next_s = FIRST_PAUSE_S

    def next_pause_s(self) -> float:
        """Return the next pause, in seconds; each one doubles up to a limit."""
        pause_s = self._next_s
        self._next_s = min(MAX_PAUSE_S, 2 * pause_s)
        return pause_s
