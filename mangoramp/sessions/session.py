"""A caller's session: its values, prepared statements and open transaction."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..policy.position import Position
from .reply import SessionState
from .statement import Shape


@dataclass(slots=True, eq=False)
class Session:
    """What one caller's connection holds.

    Attributes:
        database: The database that the caller named.
        key: The caller's key; it is never sent on nor logged.
        values: The values that were acknowledged.
        shapes: The shapes of the prepared statements by name.
        seen: The position of the session's last commit, None before the first.
        seen_at: When that commit was acknowledged, in seconds.
        state: Where it stands between two statements.
        transaction: The open transaction, None if there is none or it has failed.
        failure: Why the transaction failed, for the first statement after it.
        is_left: Whether the caller is gone.
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
