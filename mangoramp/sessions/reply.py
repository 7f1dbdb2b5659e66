"""What a session answers to its caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..errors import Fault


class SessionState(StrEnum):
    """Where a session stands between two statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to one statement.

    Attributes:
        state: The session's state after it.
        rows: The rows, exactly as the server sent them.
        signature: The server's signature, empty if the statement needed no server.
        fault: Why it was not done, None if it was.
    """

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: Fault | None = None
