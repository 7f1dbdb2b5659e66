"""Encodes and decodes the line-based wire protocol of callers and servers."""

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

LINE_END = b"\r\n"
MAX_MESSAGE_BYTES = 1024 * 1024
INTERNAL_REQUEST_ID = "-"  # request id of commands that no caller sent
MAX_NUMBER_DIGITS = 18  # larger numbers exceed what messages between instances hold
ABSENT = "-"  # placeholder for a missing position or signature
ENCODING = "latin-1"  # round-trips every byte value
CONTROL_CHARACTERS = frozenset("\r\n\0")

_STATE_BY_LETTER = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
LETTER_BY_STATE = {state: letter for letter, state in _STATE_BY_LETTER.items()}

REFUSAL_BY_WORD = {
    "BUSY": Refusal.BUSY,
    "BEHIND": Refusal.BEHIND,
    "READONLY": Refusal.NOT_PRIMARY,
    "MISDIRECT": Refusal.WRONG_SERVER,
    "TOOMANY": Refusal.TOO_MANY_CONNECTIONS,
    "NOSTMT": Refusal.STATEMENT_UNKNOWN,
    "FAILED": Refusal.FAILED,
    "TIMEOUT": Refusal.TIMEOUT,
}

_WORD_BY_CODE = {
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
# These words tell the caller that the statement did not run.
_NOT_RUN_WORDS = frozenset(
    {"BUSY", "ABORTED", "BEHIND", "READONLY", "MISDIRECT", "TOOMANY"}
)


@dataclass(frozen=True, slots=True)
class Start:
    """START: a caller's first message, with the database and the API key."""

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Bye:
    """BYE: ends a session."""


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """An invalid line; the rest of the connection's input cannot be trusted."""

    reason: str


@dataclass(frozen=True, slots=True)
class OversizedMessage:
    """A line that exceeds the maximum message length."""


CallerMessage = Start | Bye | Request | InvalidMessage | OversizedMessage


def decode_caller(line: bytes | bytearray) -> CallerMessage:
    """Decode one line from a caller, including the line terminator."""
    if len(line) > MAX_MESSAGE_BYTES:
        return OversizedMessage()
    text = line[:-2].decode(ENCODING)
    if not CONTROL_CHARACTERS.isdisjoint(text):
        return InvalidMessage("a control character stands inside a message")
    word, _, rest = text.partition(" ")
    if word == "QUERY":
        request_id, _, statement = rest.partition(" ")
        if not request_id or request_id == INTERNAL_REQUEST_ID:
            return InvalidMessage("a statement needs an id")
        return Request(request_id, decode_statement(statement))
    if word == "START":
        database, _, key = rest.partition(" ")
        return (
            Start(database, key) if database else InvalidMessage("no database is named")
        )
    if word == "BYE" and not rest:
        return Bye()
    return InvalidMessage("it begins with no word of the protocol")


def decode_statement(text: str) -> Statement:
    """Decode a statement; an invalid one becomes ``Malformed``."""
    word, _, rest = text.partition(" ")
    parse = _PARSER_BY_WORD.get(word)
    fields = rest.split(" ", 2) if rest else []
    found = parse(text, rest, fields) if parse is not None else None
    return found or Malformed("it is no statement of the protocol")


def _parse_begin(text: str, rest: str, fields: list[str]) -> Statement | None:
    if rest not in ("", "READ"):
        return None
    return Begin(read_only=rest == "READ")


def _without_arguments(statement: Statement) -> _Parser:
    return lambda text, rest, fields: None if rest else statement


def _parse_read(text: str, rest: str, fields: list[str]) -> Statement | None:
    return Read(text) if len(fields) == 1 else None


def _parse_write(text: str, rest: str, fields: list[str]) -> Statement | None:
    return Write(text) if len(fields) >= 2 else None


def _parse_execute(text: str, rest: str, fields: list[str]) -> Statement | None:
    name, _, arguments = rest.partition(" ")
    return Execute(name, arguments) if name else None


def _parse_assign(text: str, rest: str, fields: list[str]) -> Statement | None:
    name, _, value = rest.partition(" ")
    return Assign(name, value) if name and value else None


def _parse_prepare(text: str, rest: str, fields: list[str]) -> Statement | None:
    if len(fields) != 3 or fields[1] not in ("READ", "WRITE"):
        return None
    return Prepare(fields[0], Shape(fields[1] == "WRITE", fields[2]))


def _parse_forget(text: str, rest: str, fields: list[str]) -> Statement | None:
    return Forget(rest) if len(fields) == 1 else None


_Parser = Callable[[str, str, list[str]], Statement | None]

_PARSER_BY_WORD: dict[str, _Parser] = {
    "BEGIN": _parse_begin,
    "COMMIT": _without_arguments(Commit()),
    "ROLLBACK": _without_arguments(Rollback()),
    "READ": _parse_read,
    "WRITE": _parse_write,
    "SET": _parse_assign,
    "PREPARE": _parse_prepare,
    "EXEC": _parse_execute,
    "FORGET": _parse_forget,
}


def encode_reply(reply: Reply) -> bytes:
    """Encode the reply to one statement."""
    lines = [f"ROW {row}" for row in reply.rows]
    if reply.fault is not None:
        lines = [_error_line(reply.fault)]
    else:
        lines.append(f"DONE {reply.signature or ABSENT}")
    lines.append(f"READY {LETTER_BY_STATE[reply.state]} {ABSENT}")
    return ("\r\n".join(lines) + "\r\n").encode(ENCODING)


def encode_error(fault: Fault) -> bytes:
    """Encode a fault that ends a session."""
    return (_error_line(fault) + "\r\n").encode(ENCODING)


START_ACCEPTED = f"READY I {ABSENT}\r\n".encode(ENCODING)


def error_word(fault: Fault) -> str:
    """Return the ERR word for a fault.

    If the outcome is unknown, the word never implies that the statement did not run.
    """
    word = _WORD_BY_CODE.get(fault.code, "FAILED")
    if fault.outcome is Outcome.UNKNOWN and word in _NOT_RUN_WORDS:
        return "UNSURE"
    return word


def _error_line(fault: Fault) -> str:
    text = fault.message.replace("\r", " ").replace("\n", " ")
    # Other instances and servers are named as the store and the peers spell them.
    text = text.encode(ENCODING, "replace").decode(ENCODING)
    if fault.retry_after_s is not None:
        text = f"{text}; retry after {round(fault.retry_after_s * 1000)} ms"
    return f"ERR {error_word(fault)} {text}"


def encode_start(group: str, customer: str, server_id: str) -> bytes:
    """Encode the START message that opens a connection to a server."""
    return f"START {group} {customer} {server_id}\r\n".encode(ENCODING)


@singledispatch
def encode_command(command: object) -> bytes:
    """Encode one command for a server."""
    raise TypeError(command)


def _encode_query(request_id: str, text: str) -> bytes:
    return f"QUERY {request_id} {text}\r\n".encode(ENCODING)


def _after_prefix(after: Position | None) -> str:
    return "" if after is None else f"AFTER {after.term}.{after.offset} "


@encode_command.register
def _(command: ResetSession) -> bytes:
    return _encode_query(INTERNAL_REQUEST_ID, "RESET")


@encode_command.register
def _(command: AssignValue) -> bytes:
    return _encode_query(INTERNAL_REQUEST_ID, f"SET {command.name} {command.value}")


@encode_command.register
def _(command: PrepareAs) -> bytes:
    kind = "WRITE" if command.shape.writes else "READ"
    return _encode_query(
        INTERNAL_REQUEST_ID, f"PREPARE {command.alias} {kind} {command.shape.text}"
    )


@encode_command.register
def _(command: OpenTransaction) -> bytes:
    text = "BEGIN READ" if command.read_only else "BEGIN"
    return _encode_query(INTERNAL_REQUEST_ID, _after_prefix(command.after) + text)


@encode_command.register
def _(command: RollBack) -> bytes:
    return _encode_query(INTERNAL_REQUEST_ID, "ROLLBACK")


@encode_command.register
def _(command: AskStatus) -> bytes:
    return _encode_query(INTERNAL_REQUEST_ID, "STATUS")


@encode_command.register
def _(command: CommitFor) -> bytes:
    return _encode_query(command.request_id, "COMMIT")


@encode_command.register
def _(command: RunFor) -> bytes:
    statement = command.statement
    if isinstance(statement, Execute):
        rest = f" {statement.arguments}" if statement.arguments else ""
        text = f"EXEC {command.alias}{rest}"
    else:
        text = statement.text
    return _encode_query(command.request_id, _after_prefix(command.after) + text)


@dataclass(frozen=True, slots=True)
class RowLine:
    """ROW: one row of a result."""

    row: str


@dataclass(frozen=True, slots=True)
class DoneLine:
    """DONE: a statement was executed; carries the server's signature."""

    signature: str


@dataclass(frozen=True, slots=True)
class ErrorLine:
    """ERR: a statement or a connection was refused."""

    refusal: Refusal
    detail: str


@dataclass(frozen=True, slots=True)
class ReadyLine:
    """READY: ends an answer with the connection's state and the log position."""

    state: SessionState
    position: Position | None


ServerLine = RowLine | DoneLine | ErrorLine | ReadyLine


def decode_server(line: bytes) -> ServerLine:
    """Decode one line from a server, including the line terminator.

    Raises:
        ValueError: The line does not belong to the protocol.
    """
    word, _, rest = line[:-2].decode(ENCODING).partition(" ")
    if word == "ROW":
        return RowLine(rest)
    if word == "DONE":
        return DoneLine("" if rest == ABSENT else rest)
    if word == "ERR":
        code, _, detail = rest.partition(" ")
        return ErrorLine(REFUSAL_BY_WORD.get(code, Refusal.OTHER), f"{code} {detail}")
    if word == "READY":
        letter, _, position = rest.partition(" ")
        if letter in _STATE_BY_LETTER:
            return ReadyLine(_STATE_BY_LETTER[letter], decode_position(position))
    raise ValueError(f"a server sent a line that begins with {word[:20]!r}")


def _is_number(text: str) -> bool:
    # int() rejects some of the characters that isdigit() accepts.
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def decode_position(text: str) -> Position | None:
    """Decode ``TERM.OFFSET``; None if the text is not a position."""
    term, _, number = text.partition(".")
    if not _is_number(term) or not _is_number(number):
        return None
    return Position(int(term), int(number))


def decode_status(row: str) -> ServerStatus | None:
    """Decode the row of a STATUS answer; None if it is invalid."""
    fields = row.split(" ")
    if len(fields) < 3 or not _is_number(fields[1]):
        return None
    received = decode_position(fields[2])
    if received is None:
        return None
    return ServerStatus(fields[0] == "primary", int(fields[1]), received)
