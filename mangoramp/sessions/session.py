"""The state of a caller's session."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..policy.position import Position
from .reply import SessionState
from .statement import Shape


@dataclass(slots=True, eq=False)
class Session:
    """The state of one caller's session.

    Attributes:
        database: The name of the database that the caller requested.
        key: The caller's key; never forwarded or logged.
        values: The session variables.
        shapes: The shapes of the prepared statements by name.
        seen: The position of the session's last commit, None before the first.
        seen_at: When that commit was acknowledged, in seconds.
        state: The transaction state between two statements.
        transaction: The open transaction, None if there is none or it has failed.
        failure: Why the transaction was aborted, until it is reported to the caller.
        is_left: Whether the caller has disconnected.
    """

    database: str
    key: str = field(repr=False)
    values: dict[str, str] = field(default_factory=dict)
    shapes: dict[str, Shape] = field(default_factory=dict)
    seen: Position | None = None
    seen_at: float = 0.0
    state: SessionState = SessionState.IDLE
    transaction: Any = None
    failure: str = ""
    is_left: bool = False
