"""What a batch's answers prove of the primary."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ..control.group import GroupState
from ..sessions.reply import SessionState
from ..sessions.statement import Execute, Shape, Write
from .command import Answer, Command, OpenTransaction, RunFor


class Proof(msgspec.Struct, frozen=True, array_like=True):
    """What a group's primary has proved to hold.

    Attributes:
        group: The database group.
        age_s: Seconds since it was asked.
        term: The term of the position that it answered.
        offset: The offset of that position.
    """

    group: str
    age_s: float
    term: int
    offset: int


def note_proofs(
    group: GroupState,
    asked_at: float,
    commands: tuple[Command, ...],
    answers: tuple[Answer, ...],
    shapes: Mapping[str, Shape],
) -> None:
    """Take over what only a primary could have answered.

    Args:
        group: The server's group.
        asked_at: When the batch was sent, in seconds.
        commands: The batch.
        answers: Its answers.
        shapes: The shapes of the prepared statements that it runs.
    """
    for command, answer in zip(commands, answers, strict=False):
        if answer.refusal is None and _needs_lead(command, answer, shapes):
            group.record_position(asked_at, answer.position)


def _needs_lead(command: Command, answer: Answer, shapes: Mapping[str, Shape]) -> bool:
    if isinstance(command, OpenTransaction):
        return not command.read_only
    # Inside a transaction an answer shows what the transaction sees.
    if not isinstance(command, RunFor) or answer.state is not SessionState.IDLE:
        return False
    statement = command.statement
    if isinstance(statement, Execute):
        return statement.name in shapes and shapes[statement.name].writes
    return isinstance(statement, Write)
