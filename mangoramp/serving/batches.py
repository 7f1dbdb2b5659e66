"""Messages between the instance that a caller is at and the home of its connections."""

from __future__ import annotations

from ..proxies.messages import Envelope
from ..sessions.statement import Shape
from .command import Answer, Command
from .proofs import Proof


class RunBatch(Envelope, frozen=True, array_like=True):
    """Run commands on a connection of a customer.

    Attributes:
        server: The server.
        group: Its database group.
        customer: Whose connection it is.
        values: The values of the caller's session, None to leave the connection's.
        shapes: The shapes of the prepared statements that the commands run.
        commands: The commands.
        timeout_s: Seconds for a connection and all answers.
        wait_s: Seconds of these to wait for a connection.
        due_s: Seconds until the answer is late for its objective.
        priority: The request's class, 0 for the most urgent.
        handle: The pinned connection to use, 0 for any.
        ticket: The id of the first statement of an operation that is still to be taken
            from the customer's limits; empty if none is.
    """

    server: str
    group: str
    customer: str
    values: dict[str, str] | None
    shapes: dict[str, Shape]
    commands: tuple[Command, ...]
    timeout_s: float
    wait_s: float
    due_s: float
    priority: int = 1
    handle: int = 0
    ticket: str = ""


class BatchRun(Envelope, frozen=True, array_like=True):
    """All answers.

    Attributes:
        answers: The answers to the commands.
        handle: The connection that stays pinned since a transaction is open, or 0.
        proofs: The latest proof of each group, as the home knows them.
    """

    answers: tuple[Answer, ...]
    handle: int = 0
    proofs: tuple[Proof, ...] = ()


class BatchLost(Envelope, frozen=True, array_like=True):
    """The connection was lost before all answers came.

    Attributes:
        reason: How.
        answers: The answers that came.
    """

    reason: str
    answers: tuple[Answer, ...] = ()


class BatchNotSent(Envelope, frozen=True, array_like=True):
    """Nothing was sent to the server.

    Attributes:
        reason: Why.
        is_reachable: Whether the server itself answered.
        wait_s: Seconds until there might be a connection, 0 if that is not known.
    """

    reason: str
    is_reachable: bool = True
    wait_s: float = 0.0


class BatchOverRate(Envelope, frozen=True, array_like=True):
    """The operation is beyond the customer's limits; nothing was sent.

    Attributes:
        wait_s: Seconds until it might not be.
    """

    wait_s: float


class DropPinned(Envelope, frozen=True, array_like=True):
    """Close a pinned connection; its transaction is rolled back."""

    handle: int


class PinnedDropped(Envelope, frozen=True, array_like=True):
    """The pinned connection is closed."""


BatchMessage = (
    RunBatch
    | BatchRun
    | BatchLost
    | BatchNotSent
    | BatchOverRate
    | DropPinned
    | PinnedDropped
)
