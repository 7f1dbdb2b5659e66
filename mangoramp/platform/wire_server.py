"""Server side of the wire protocol, for simulated servers and tests."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..policy.position import Position
from ..serving.command import (
    Answer,
    AskStatus,
    AssignValue,
    Command,
    CommitFor,
    OpenTransaction,
    PrepareAs,
    Refusal,
    ResetSession,
    RollBack,
    RunFor,
    ServerStatus,
)
from ..sessions.statement import (
    Assign,
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    Rollback,
    Write,
)
from . import wire

_WORD_BY_REFUSAL = {refusal: word for word, refusal in wire.REFUSAL_BY_WORD.items()}


@dataclass(frozen=True, slots=True)
class ServerStart:
    """The START message that opens a connection to a server."""

    group: str
    customer: str
    server_id: str


def decode_start(line: bytes) -> ServerStart:
    """Decode a START message.

    Raises:
        ValueError: The line is not a START message.
    """
    word, group, customer, server_id = line[:-2].decode(wire.ENCODING).split(" ")
    if word != "START":
        raise ValueError(word)
    return ServerStart(group, customer, server_id)


def decode_command(line: bytes) -> Command:
    """Decode a command.

    Raises:
        ValueError: The line is not a command.
    """
    _, request_id, text = line[:-2].decode(wire.ENCODING).split(" ", 2)
    if text in _COMMAND_BY_WORD:
        return _COMMAND_BY_WORD[text]
    after: Position | None = None
    if text.startswith("AFTER "):
        _, position, text = text.split(" ", 2)
        after = wire.decode_position(position)
    match wire.decode_statement(text):
        case Assign(name, value):
            return AssignValue(name, value)
        case Prepare(name, shape):
            return PrepareAs(name, shape)
        case Begin(read_only):
            return OpenTransaction(read_only, after)
        case Rollback():
            return RollBack()
        case Commit():
            return CommitFor(request_id)
        case Execute(name) as statement:
            return RunFor(request_id, statement, name, after)
        case (Read() | Write()) as statement:
            return RunFor(request_id, statement, after=after)
    raise ValueError(text)


_COMMAND_BY_WORD: dict[str, Command] = {"RESET": ResetSession(), "STATUS": AskStatus()}


def encode_answer(answer: Answer) -> bytes:
    """Encode the answer to a command."""
    if answer.refusal is not None:
        lines = [f"ERR {_WORD_BY_REFUSAL.get(answer.refusal, 'BAD')} {answer.detail}"]
    else:
        lines = [f"ROW {row}" for row in answer.rows]
        lines.append(f"DONE {answer.signature or wire.ABSENT}")
    letter = wire.LETTER_BY_STATE[answer.state]
    lines.append(f"READY {letter} {encode_position(answer.position)}")
    return ("\r\n".join(lines) + "\r\n").encode(wire.ENCODING)


def encode_start_accepted(position: Position) -> bytes:
    """Encode the acceptance of a START message."""
    return f"READY I {encode_position(position)}\r\n".encode()


def encode_start_refused(refusal: Refusal) -> bytes:
    """Encode the refusal of a START message."""
    return f"ERR {_WORD_BY_REFUSAL[refusal]} -\r\n".encode()


def encode_position(position: Position | None) -> str:
    """Encode a position, or a placeholder if there is none."""
    if position is None:
        return wire.ABSENT
    return f"{position.term}.{position.offset}"


def encode_status(status: ServerStatus) -> str:
    """Encode a server's status as the row of a STATUS answer."""
    role = "primary" if status.is_primary else "replica"
    return f"{role} {status.term} {encode_position(status.received)} 0 0 0 1"


def refuse(answer: Answer, refusal: Refusal) -> Answer:
    """Return a copy of an answer, turned into a refusal."""
    return msgspec.structs.replace(
        answer, refusal=refusal, rows=(), signature="", detail="-"
    )
