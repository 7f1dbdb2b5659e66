"""The statements that callers send."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..errors import Fault


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction."""

    read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls back the transaction."""


class Read(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reads an item; ``text`` is the statement exactly as the caller sent it."""

    text: str


class Write(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Writes an item; ``text`` is the statement exactly as the caller sent it."""

    text: str


@dataclass(frozen=True, slots=True)
class Assign:
    """Sets a session variable."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Shape:
    """The operation that a prepared statement runs.

    Attributes:
        writes: Whether the operation writes.
        text: The name of the operation.
    """

    writes: bool
    text: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepares a statement of a given shape under a name."""

    name: str
    shape: Shape


class Execute(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Runs a prepared statement; ``arguments`` are exactly as the caller sent them."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Forget:
    """Discards a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Malformed:
    """A text that could not be parsed as a statement."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unread:
    """A statement whose text was discarded on arrival.

    Attributes:
        fault: Why it was.
    """

    fault: Fault


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | Assign
    | Prepare
    | Execute
    | Forget
    | Malformed
    | Unread
)


@dataclass(frozen=True, slots=True)
class Request:
    """A statement and the caller's id for it."""

    id: str
    statement: Statement
