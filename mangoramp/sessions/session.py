"""The state of a caller's session."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..policy.position import Position
from .reply import SessionState
from .statement import Shape


@dataclass(frozen=True, slots=True)
class Commit:
    """A session's last commit in one database group.

    Attributes:
        position: Its position in the group's log.
        acknowledged_at: When it was acknowledged, in seconds.
    """

    position: Position
    acknowledged_at: float


@dataclass(slots=True, eq=False)
class Session:
    """The state of one caller's session.

    Attributes:
        database: The name of the database that the caller requested.
        key: The caller's key; never forwarded or logged.
        values: The session variables by name, as acknowledged to the caller.
        shapes: The shapes of the prepared statements by name.
        commits: The last commit in each group; the database's route may move from one
            group to another, whose logs have nothing to do with each other.
        state: The transaction state between two statements.
        transaction: The open transaction, None if there is none or it has failed.
        abort_reason: Why the transaction was aborted, until reported to the caller.
        is_disconnected: Whether the caller has disconnected.
    """

    database: str
    key: str = field(repr=False)
    values: dict[str, str] = field(default_factory=dict)
    shapes: dict[str, Shape] = field(default_factory=dict)
    commits: dict[str, Commit] = field(default_factory=dict)
    state: SessionState = SessionState.IDLE
    transaction: Any = None
    abort_reason: str = ""
    is_disconnected: bool = False
