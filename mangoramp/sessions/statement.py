"""The statements of a caller's session."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction."""

    read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Ends a transaction and keeps its writes."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Ends a transaction and drops its writes."""


class Read(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reads an item; ``text`` is the statement exactly as the caller sent it."""

    text: str


class Write(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Writes an item; ``text`` is the statement exactly as the caller sent it."""

    text: str


@dataclass(frozen=True, slots=True)
class Assign:
    """Sets a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Shape:
    """What a prepared statement runs.

    Attributes:
        writes: Whether it writes.
        text: The shape's name.
    """

    writes: bool
    text: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Gives a statement's shape a name in the session."""

    name: str
    shape: Shape


class Execute(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Runs a prepared statement; ``arguments`` are exactly as the caller sent them."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Forget:
    """Drops a prepared statement's name."""

    name: str


@dataclass(frozen=True, slots=True)
class Malformed:
    """A text that is no statement."""

    reason: str


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
)


@dataclass(frozen=True, slots=True)
class Request:
    """One statement with the id that its caller gave it."""

    id: str
    statement: Statement
