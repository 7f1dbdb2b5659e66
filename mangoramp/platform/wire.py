"""The words and lines of the wire that callers and servers speak."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

from ..errors import Code, Fault, Outcome
from ..policy.position import Position
from ..serving.command import (
    AskStatus,
    AssignValue,
    CommitFor,
    OpenTransaction,
    PrepareAs,
    Refusal,
    ResetSession,
    RollBack,
    RunFor,
    ServerStatus,
)
from ..sessions.reply import Reply, SessionState
from ..sessions.statement import (
    Assign,
    Begin,
    Commit,
    Execute,
    Forget,
    Malformed,
    Prepare,
    Read,
    Request,
    Rollback,
    Shape,
    Statement,
    Write,
)

END = b"\r\n"
MAX_MESSAGE_BYTES = 1024 * 1024
OWN_ID = "-"  # marks statements that no caller sent
NOTHING = "-"  # stands for no position and no signature
ENCODING = "latin-1"  # keeps every byte as it came
CONTROL = frozenset("\r\n\0")

_STATES = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
LETTERS = {state: letter for letter, state in _STATES.items()}

REFUSALS = {
    "BUSY": Refusal.BUSY,
    "BEHIND": Refusal.BEHIND,
    "READONLY": Refusal.NOT_PRIMARY,
    "MISDIRECT": Refusal.WRONG_SERVER,
    "TOOMANY": Refusal.TOO_MANY_CONNECTIONS,
    "NOSTMT": Refusal.STATEMENT_UNKNOWN,
    "FAILED": Refusal.FAILED,
    "TIMEOUT": Refusal.TIMEOUT,
}

_WORDS = {
    Code.KEY_UNKNOWN: "NOAUTH",
    Code.KEY_MISSING: "NOAUTH",
    Code.GROUP_UNKNOWN: "NODB",
    Code.BODY_TOO_LARGE: "TOOBIG",
    Code.BAD_REQUEST: "BAD",
    Code.STATEMENT_UNKNOWN: "NOSTMT",
    Code.STATEMENT_FAILED: "FAILED",
    Code.TRANSACTION_ABORTED: "ABORTED",
    Code.READ_ONLY: "READONLY",
    Code.OVER_RATE: "BUSY",
    Code.OVERLOADED: "BUSY",
    Code.NO_SERVER: "BUSY",
    Code.TIMEOUT: "TIMEOUT",
    Code.CONNECTION_LOST: "UNSURE",
}
_PROMISES = frozenset({"BUSY", "ABORTED", "BEHIND", "READONLY", "MISDIRECT", "TOOMANY"})


@dataclass(frozen=True, slots=True)
class Hello:
    """A caller's first message: the database, and the caller's key."""

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Goodbye:
    """Ends a session."""


@dataclass(frozen=True, slots=True)
class Garbled:
    """A line that is no message; nothing after it can be trusted."""

    reason: str


@dataclass(frozen=True, slots=True)
class TooLong:
    """A line that is longer than a message may be."""


CallerMessage = Hello | Goodbye | Request | Garbled | TooLong


def decode_caller(line: bytes) -> CallerMessage:
    """Decode one line of a caller, its end included."""
    if len(line) > MAX_MESSAGE_BYTES:
        return TooLong()
    text = line[:-2].decode(ENCODING)
    if not CONTROL.isdisjoint(text):
        return Garbled("a control character stands inside a message")
    word, _, rest = text.partition(" ")
    if word == "QUERY":
        request_id, _, statement = rest.partition(" ")
        if not request_id or request_id == OWN_ID:
            return Garbled("a statement needs an id")
        return Request(request_id, decode_statement(statement))
    if word == "START":
        database, _, key = rest.partition(" ")
        return Hello(database, key) if database else Garbled("no database is named")
    if word == "BYE" and not rest:
        return Goodbye()
    return Garbled("it begins with no word of the protocol")


def decode_statement(text: str) -> Statement:
    """Decode the text of a statement."""
    word, _, rest = text.partition(" ")
    decode = _STATEMENTS.get(word)
    fields = rest.split(" ", 2) if rest else []
    found = decode(text, rest, fields) if decode is not None else None
    return found or Malformed("it is no statement of the protocol")


def _begin(text: str, rest: str, fields: list[str]) -> Statement | None:
    if rest not in ("", "READ"):
        return None
    return Begin(read_only=rest == "READ")


def _bare(statement: Statement) -> _Decoder:
    return lambda text, rest, fields: None if rest else statement


def _read(text: str, rest: str, fields: list[str]) -> Statement | None:
    return Read(text) if len(fields) == 1 else None


def _write(text: str, rest: str, fields: list[str]) -> Statement | None:
    return Write(text) if len(fields) >= 2 else None


def _execute(text: str, rest: str, fields: list[str]) -> Statement | None:
    name, _, arguments = rest.partition(" ")
    return Execute(name, arguments) if name else None


def _assign(text: str, rest: str, fields: list[str]) -> Statement | None:
    name, _, value = rest.partition(" ")
    return Assign(name, value) if name and value else None


def _prepare(text: str, rest: str, fields: list[str]) -> Statement | None:
    if len(fields) != 3 or fields[1] not in ("READ", "WRITE"):
        return None
    return Prepare(fields[0], Shape(fields[1] == "WRITE", fields[2]))


def _forget(text: str, rest: str, fields: list[str]) -> Statement | None:
    return Forget(rest) if len(fields) == 1 else None


_Decoder = Callable[[str, str, list[str]], Statement | None]

_STATEMENTS: dict[str, _Decoder] = {
    "BEGIN": _begin,
    "COMMIT": _bare(Commit()),
    "ROLLBACK": _bare(Rollback()),
    "READ": _read,
    "WRITE": _write,
    "SET": _assign,
    "PREPARE": _prepare,
    "EXEC": _execute,
    "FORGET": _forget,
}


def encode_reply(reply: Reply) -> bytes:
    """Encode a session's answer to one statement."""
    lines = [f"ROW {row}" for row in reply.rows]
    if reply.fault is not None:
        lines = [_error_line(reply.fault)]
    else:
        lines.append(f"DONE {reply.signature or NOTHING}")
    lines.append(f"READY {LETTERS[reply.state]} {NOTHING}")
    return ("\r\n".join(lines) + "\r\n").encode(ENCODING)


def encode_error(fault: Fault) -> bytes:
    """Encode a fault that ends a session."""
    return (_error_line(fault) + "\r\n").encode(ENCODING)


WELCOME = f"READY I {NOTHING}\r\n".encode(ENCODING)


def error_word(fault: Fault) -> str:
    """The word for a fault; one that promises nothing where the outcome is unknown."""
    word = _WORDS.get(fault.code, "FAILED")
    if fault.outcome is Outcome.UNKNOWN and word in _PROMISES:
        return "UNSURE"
    return word


def _error_line(fault: Fault) -> str:
    text = fault.message.replace("\r", " ").replace("\n", " ")
    if fault.retry_after_s is not None:
        text = f"{text}; retry after {round(fault.retry_after_s * 1000)} ms"
    return f"ERR {error_word(fault)} {text}"


def encode_open(group: str, customer: str, server_id: str) -> bytes:
    """Encode the opening of a connection to a server."""
    return f"START {group} {customer} {server_id}\r\n".encode(ENCODING)


@singledispatch
def encode_command(command: object) -> bytes:
    """Encode one command for a server."""
    raise TypeError(command)


def _query(request_id: str, text: str) -> bytes:
    return f"QUERY {request_id} {text}\r\n".encode(ENCODING)


def _prefix(after: Position | None) -> str:
    return "" if after is None else f"AFTER {after.term}.{after.offset} "


@encode_command.register
def _(command: ResetSession) -> bytes:
    return _query(OWN_ID, "RESET")


@encode_command.register
def _(command: AssignValue) -> bytes:
    return _query(OWN_ID, f"SET {command.name} {command.value}")


@encode_command.register
def _(command: PrepareAs) -> bytes:
    kind = "WRITE" if command.shape.writes else "READ"
    return _query(OWN_ID, f"PREPARE {command.alias} {kind} {command.shape.text}")


@encode_command.register
def _(command: OpenTransaction) -> bytes:
    text = "BEGIN READ" if command.read_only else "BEGIN"
    return _query(OWN_ID, _prefix(command.after) + text)


@encode_command.register
def _(command: RollBack) -> bytes:
    return _query(OWN_ID, "ROLLBACK")


@encode_command.register
def _(command: AskStatus) -> bytes:
    return _query(OWN_ID, "STATUS")


@encode_command.register
def _(command: CommitFor) -> bytes:
    return _query(command.request_id, "COMMIT")


@encode_command.register
def _(command: RunFor) -> bytes:
    statement = command.statement
    if isinstance(statement, Execute):
        rest = f" {statement.arguments}" if statement.arguments else ""
        text = f"EXEC {command.alias}{rest}"
    else:
        text = statement.text
    return _query(command.request_id, _prefix(command.after) + text)


@dataclass(frozen=True, slots=True)
class RowLine:
    """One row."""

    row: str


@dataclass(frozen=True, slots=True)
class DoneLine:
    """A statement was run; its signature."""

    signature: str


@dataclass(frozen=True, slots=True)
class ErrorLine:
    """A statement, or a connection, was refused."""

    refusal: Refusal
    detail: str


@dataclass(frozen=True, slots=True)
class ReadyLine:
    """The end of an answer: the connection's state and what the server shows."""

    state: SessionState
    position: Position | None


ServerLine = RowLine | DoneLine | ErrorLine | ReadyLine


def decode_server(line: bytes) -> ServerLine:
    """Decode one line of a server, its end included.

    Raises:
        ValueError: It is no line of the protocol.
    """
    word, _, rest = line[:-2].decode(ENCODING).partition(" ")
    if word == "ROW":
        return RowLine(rest)
    if word == "DONE":
        return DoneLine("" if rest == NOTHING else rest)
    if word == "ERR":
        code, _, detail = rest.partition(" ")
        return ErrorLine(REFUSALS.get(code, Refusal.OTHER), f"{code} {detail}")
    if word == "READY":
        letter, _, position = rest.partition(" ")
        if letter in _STATES:
            return ReadyLine(_STATES[letter], decode_position(position))
    raise ValueError(f"a server sent a line that begins with {word[:20]!r}")


def decode_position(text: str) -> Position | None:
    """Decode TERM.NUMBER; None where there is no position."""
    term, _, number = text.partition(".")
    if not term.isdigit() or not number.isdigit():
        return None
    return Position(int(term), int(number))


def decode_status(row: str) -> ServerStatus | None:
    """Decode what a server says of itself; None if it cannot be read."""
    fields = row.split(" ")
    if len(fields) < 3 or not fields[1].isdigit():
        return None
    received = decode_position(fields[2])
    if received is None:
        return None
    return ServerStatus(fields[0] == "primary", int(fields[1]), received)
