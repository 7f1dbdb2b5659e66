"""Commands sent to database servers, their answers, and the connection interfaces."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

import msgspec

from ..policy.position import Position
from ..sessions.reply import SessionState
from ..sessions.statement import Execute, Read, Shape, Write


class ResetSession(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Discards the connection's session variables and prepared statements."""


class AssignValue(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Sets a session variable on the connection."""

    name: str
    value: str


class PrepareAs(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Prepares a statement on the connection under an alias."""

    alias: str
    shape: Shape


class OpenTransaction(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Opens a transaction.

    Attributes:
        read_only: Whether the transaction is read-only, so that a replica may run it.
        after: The position that the server must have applied, None for any.
    """

    read_only: bool
    after: Position | None = None


class RollBack(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Rolls back the connection's transaction."""


class CommitFor(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Commits the connection's transaction for a caller's request."""

    request_id: str


class RunFor(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Runs a caller's statement.

    Attributes:
        request_id: The caller's id of the request.
        statement: The statement.
        alias: The alias of the prepared statement on the connection, empty for none.
        after: The position that the server must have applied, None for any.
    """

    request_id: str
    statement: Read | Write | Execute
    alias: str = ""
    after: Position | None = None


class AskStatus(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Queries the server's role and log position."""


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


def statement_bytes(commands: tuple[Command, ...]) -> int:
    """Return the size of the callers' statements among some commands, in bytes."""
    return sum(
        len(c.statement.arguments)
        if isinstance(c.statement, Execute)
        else len(c.statement.text)
        for c in commands
        if isinstance(c, RunFor)
    )


class Refusal(StrEnum):
    """Why a server refused a command."""

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
    def may_have_run(self) -> bool:
        """Whether the server may have run the statement despite the refusal."""
        return self in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset({Refusal.FAILED, Refusal.TIMEOUT, Refusal.OTHER})


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A server's answer to one command.

    Attributes:
        state: The connection's transaction state after the command.
        position: The log position that the server has applied, None if not reported.
        rows: The rows exactly as received.
        signature: The server's signature.
        refusal: Why the command was refused, None if it succeeded.
        detail: The server's explanation of a refusal.
    """

    state: SessionState
    position: Position | None
    rows: tuple[str, ...] = ()
    signature: str = ""
    refusal: Refusal | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """A server's self-reported status.

    Attributes:
        is_primary: Whether the server is the primary.
        term: The newest term known to the server.
        received: The position of the last entry in the server's log.
    """

    is_primary: bool
    term: int
    received: Position


class ConnectionLostError(Exception):
    """A connection broke or timed out before all commands were answered.

    Attributes:
        answers: The answers received before that.
    """

    def __init__(self, reason: str, answers: tuple[Answer, ...] = ()) -> None:
        super().__init__(reason)
        self.answers = answers


class AnswerTimeoutError(ConnectionLostError):
    """An answer timed out, so the connection was closed."""


class NotSentError(ConnectionLostError):
    """Nothing was sent to a server.

    Attributes:
        wait_s: Estimated seconds until a connection is available, 0 if unknown.
    """

    def __init__(self, reason: str, *, wait_s: float = 0.0) -> None:
        super().__init__(reason)
        self.wait_s = wait_s


class OpenRefusedError(Exception):
    """A new connection was refused or could not be established.

    Attributes:
        refusal: The server's refusal, None if the server was not reached.
    """

    def __init__(self, reason: str, refusal: Refusal | None = None) -> None:
        super().__init__(reason)
        self.refusal = refusal


@dataclass(slots=True, eq=False)
class ConnectionContext:
    """The session context that the server keeps for a connection.

    Attributes:
        values: The session variables that are set.
        aliases: The alias of each prepared shape.
    """

    values: dict[str, str] = field(default_factory=dict)
    aliases: dict[Shape, str] = field(default_factory=dict)


class ServerConnection(Protocol):
    """An open connection to a server, which runs one batch at a time."""

    context: ConnectionContext

    @property
    def is_open(self) -> bool:
        """Whether the connection is still usable."""

    async def run(
        self, batch: tuple[Command, ...], *, timeout_s: float
    ) -> tuple[Answer, ...]:
        """Send commands as one batch and wait for all answers.

        Raises:
            ConnectionLostError: The connection broke or timed out and is closed.
        """

    def close(self) -> None:
        """Close the connection; the server rolls back its open transaction."""


class Connector(Protocol):
    """Opens connections to servers."""

    async def open(
        self, server_id: str, group: str, address: tuple[str, int], customer: str
    ) -> ServerConnection:
        """Open a connection for one customer.

        Raises:
            OpenRefusedError: The connection was refused or not established.
        """

    async def fetch_status(self, conn: ServerConnection) -> ServerStatus | None:
        """Query a server's role and position; None if it gives no valid answer."""
