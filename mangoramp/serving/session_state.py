"""Bounds the memory of what sessions keep: their variables and prepared statements."""

from __future__ import annotations

from returns.result import Result, Success

from ..errors import Fault
from ..policy.memory_budget import Claim
from ..sessions.session import Session
from ..sessions.statement import Assign, Forget, Prepare
from .memory import Memory

SMALL_STATE_BYTES = 2048  # of one session, kept without asking for memory


class StateMemory:
    """The memory that the state of one session takes.

    Args:
        memory: The memory for the state of all sessions.
        session: The session.
    """

    def __init__(self, memory: Memory, session: Session) -> None:
        self._memory = memory
        self._session = session
        self._size = 0
        self._claim: Claim | None = None

    def reserve(self, statement: object) -> Result[Claim | None, Fault]:
        """Claim what a statement adds to the session's state, before it is executed."""
        if self._session.is_disconnected:
            return Success(None)
        size = self._size + self._growth(statement)
        claimed = self._resize(size)
        if isinstance(claimed, Success):
            self._size = size
        return claimed

    def release(self) -> None:
        """Give back the memory when the session ends."""
        if self._claim is not None:
            self._memory.release(self._claim)
            self._claim = None

    def _resize(self, size: int) -> Result[Claim | None, Fault]:
        if self._claim is not None:
            return self._memory.try_resize(self._claim, size)
        if size <= SMALL_STATE_BYTES:
            return Success(None)
        claimed = self._memory.try_claim(self._session.key, size)
        if isinstance(claimed, Success):
            self._claim = claimed.unwrap()
        return claimed

    def _growth(self, statement: object) -> int:
        match statement:
            case Assign(name, value):
                old = self._session.values.get(name)
                known = 0 if old is None else len(name) + len(old)
                return len(name) + len(value) - known
            case Prepare(name, shape):
                return len(name) + len(shape.text) - self._shape_bytes(name)
            case Forget(name):
                return -self._shape_bytes(name)
        return 0

    def _shape_bytes(self, name: str) -> int:
        shape = self._session.shapes.get(name)
        return 0 if shape is None else len(name) + len(shape.text)
