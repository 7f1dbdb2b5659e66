"""Samples of the primary's log position, derived from the answers to a batch."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ..control.group import GroupState
from ..sessions.reply import SessionState
from ..sessions.statement import Execute, Shape, Write
from .command import Answer, Command, OpenTransaction, RunFor


class PrimarySampleReport(msgspec.Struct, frozen=True, array_like=True):
    """A log position reported by a group's primary.

    The age is relative, as the clocks of two instances cannot be compared.

    Attributes:
        group: The database group.
        age_s: Seconds since the primary was queried.
        term: The term of the reported position.
        offset: The offset of the reported position.
    """

    group: str
    age_s: float
    term: int
    offset: int


def record_primary_samples(
    group: GroupState,
    asked_at: float,
    commands: tuple[Command, ...],
    answers: tuple[Answer, ...],
    shapes: Mapping[str, Shape],
) -> None:
    """Record the positions in answers that only a primary can give.

    Args:
        group: The server's group.
        asked_at: When the batch was sent, in seconds.
        commands: The commands of the batch.
        answers: The answers to the commands.
        shapes: The shapes of the prepared statements that the batch runs, by name.
    """
    for command, answer in zip(commands, answers, strict=False):
        if answer.refusal is None and _requires_primary(command, answer, shapes):
            group.record_position(asked_at, answer.position)


def _requires_primary(
    command: Command, answer: Answer, shapes: Mapping[str, Shape]
) -> bool:
    if isinstance(command, OpenTransaction):
        return not command.read_only
    # Inside a transaction, the answer has the position of the transaction's snapshot.
    if not isinstance(command, RunFor) or answer.state is not SessionState.IDLE:
        return False
    statement = command.statement
    if isinstance(statement, Execute):
        return statement.name in shapes and shapes[statement.name].writes
    return isinstance(statement, Write)
