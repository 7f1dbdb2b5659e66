"""Replies to callers' statements."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..errors import Fault
from ..policy.memory_budget import Claim


class SessionState(StrEnum):
    """The transaction state of a session between two statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to one statement.

    Attributes:
        state: The session's state after the statement.
        rows: The rows, exactly as the server sent them.
        signature: The server's signature, empty if the statement needed no server.
        fault: Why the statement failed, None if it succeeded.
        claim: The memory that large rows take until the caller has received them.
    """

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: Fault | None = None
    claim: Claim | None = None
