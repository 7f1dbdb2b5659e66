"""What is sent to a server's connection, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

import msgspec

from ..policy.position import Position
from ..sessions.reply import SessionState
from ..sessions.statement import Execute, Read, Shape, Write


class ResetSession(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Drops the connection's values and prepared statements."""


class AssignValue(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Sets a value of the connection."""

    name: str
    value: str


class PrepareAs(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Prepares a shape under a name of the connection."""

    alias: str
    shape: Shape


class OpenTransaction(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Opens a transaction.

    Attributes:
        read_only: Whether a replica may run it.
        after: What the server's log must hold, None for no such demand.
    """

    read_only: bool
    after: Position | None = None


class RollBack(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ends the connection's transaction and drops its writes."""


class CommitFor(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A caller's commit, with the id of its request."""

    request_id: str


class RunFor(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A caller's statement.

    Attributes:
        request_id: The id that the caller gave it.
        statement: The statement.
        alias: The prepared statement's name on the connection, empty without one.
        after: What the server's log must hold, None for no such demand.
    """

    request_id: str
    statement: Read | Write | Execute
    alias: str = ""
    after: Position | None = None


class AskStatus(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks the server for its role and position."""


Command = (
    ResetSession
    | AssignValue
    | PrepareAs
    | OpenTransaction
    | RollBack
    | CommitFor
    | RunFor
    | AskStatus
)


class Refusal(StrEnum):
    """Why a server did not do what it was asked."""

    BUSY = "busy"
    BEHIND = "behind"
    NOT_PRIMARY = "not_primary"
    WRONG_SERVER = "wrong_server"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    STATEMENT_UNKNOWN = "statement_unknown"
    FAILED = "failed"
    TIMEOUT = "timeout"
    OTHER = "other"

    @property
    def was_run(self) -> bool:
        """Whether the server may have run the statement."""
        return self in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset({Refusal.FAILED, Refusal.TIMEOUT, Refusal.OTHER})


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A server's answer to one command.

    Attributes:
        state: The connection's state after it.
        position: What the server shows, None if it did not say.
        rows: The rows as they came.
        signature: The server's signature.
        refusal: Why it was not done, None if it was.
        detail: What the server said of a refusal.
    """

    state: SessionState
    position: Position | None
    rows: tuple[str, ...] = ()
    signature: str = ""
    refusal: Refusal | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What a server says of itself.

    Attributes:
        is_primary: Whether it leads.
        term: The newest term that it knows.
        received: The last entry that its log holds.
    """

    is_primary: bool
    term: int
    received: Position


class ConnectionLostError(Exception):
    """A connection ended, or stayed silent, before all answers had come.

    Attributes:
        answers: Those that had come.
    """

    def __init__(self, reason: str, answers: tuple[Answer, ...] = ()) -> None:
        super().__init__(reason)
        self.answers = answers


class AnswerTimeoutError(ConnectionLostError):
    """An answer did not come in time; the connection was closed for it."""


class NotSentError(ConnectionLostError):
    """Nothing was sent to a server.

    Attributes:
        wait_s: Seconds until it might be, 0 if that is not known.
    """

    def __init__(self, reason: str, *, wait_s: float = 0.0) -> None:
        super().__init__(reason)
        self.wait_s = wait_s


class OpenRefusedError(Exception):
    """A server, or the way to it, refused a new connection.

    Attributes:
        refusal: Why, None if the server was not reached.
    """

    def __init__(self, reason: str, refusal: Refusal | None = None) -> None:
        super().__init__(reason)
        self.refusal = refusal


@dataclass(slots=True, eq=False)
class ConnectionMemory:
    """What a connection holds on its server's side.

    Attributes:
        values: The values that are set.
        aliases: The names of the shapes that are prepared.
    """

    values: dict[str, str] = field(default_factory=dict)
    aliases: dict[Shape, str] = field(default_factory=dict)


class ServerConnection(Protocol):
    """An open connection to a server; it runs one batch at a time."""

    memory: ConnectionMemory

    @property
    def is_open(self) -> bool:
        """Whether it can still be used."""

    async def run(
        self, batch: tuple[Command, ...], *, timeout_s: float
    ) -> tuple[Answer, ...]:
        """Send commands at once and wait for all their answers.

        Raises:
            ConnectionLostError: The connection is of no more use.
        """

    def close(self) -> None:
        """Close it; a transaction that it holds is rolled back."""


class Connector(Protocol):
    """Opens connections to servers."""

    async def open(
        self, server_id: str, group: str, address: tuple[str, int], customer: str
    ) -> ServerConnection:
        """Open a connection for one customer.

        Raises:
            OpenRefusedError: There is none.
        """

    async def fetch_status(self, conn: ServerConnection) -> ServerStatus | None:
        """Ask a server for its role and position; None if it does not say."""
