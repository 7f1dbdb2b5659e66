"""Messages between a caller's instance and the home of its customer's connections."""

from __future__ import annotations

import msgspec

from ..proxies.envelope import Envelope
from ..sessions.statement import Shape
from .command import Answer, Command
from .primary_samples import PrimarySampleReport


class LoadHint(msgspec.Struct, frozen=True, array_like=True):
    """A home's load at the servers of one group.

    Attributes:
        waits: By server, the seconds until a new statement is served by priority class;
            servers without waiting statements are left out.
        silent_s: Seconds since the group's primary fell silent, None if it answers.
    """

    waits: dict[str, tuple[float, ...]] = {}
    silent_s: float | None = None


class _RunBatchFields(Envelope, frozen=True, array_like=True):
    """Run commands on one of a customer's connections.

    Attributes:
        server: The server's id.
        group: The server's database group.
        customer: The customer that owns the connection.
        values: The caller's session variables, None to keep the connection's.
        shapes: The shapes of the prepared statements that the commands run, by name.
        commands: The commands, in order.
        timeout_s: Timeout in seconds, including the wait for a connection.
        wait_s: Maximum wait for a connection in seconds, part of ``timeout_s``.
        due_s: Seconds until the request misses its latency objective.
        priority: The request's priority class; 0 is the most urgent.
        handle: The pinned connection to use, 0 for any connection.
        ticket: The id of the operation's first statement if the operation must still be
            charged to the customer's limits, else empty.
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


class RunBatch(_RunBatchFields, frozen=True, array_like=True, kw_only=True):
    """Run commands on one of a customer's connections.

    The former build expects the message's id after ``ticket``, so newer fields are in a
    class of their own, which places them after the id.

    Attributes:
        is_deferrable: Whether the commands are a read at the primary that a replica can
            serve.
        is_hedge: Whether another server runs the read already, so that it is sent only
            if the server has capacity and the customer most of its burst.
    """

    is_deferrable: bool = False
    is_hedge: bool = False


class _BatchRunFields(Envelope, frozen=True, array_like=True):
    """All commands were answered.

    Attributes:
        answers: The answers to the commands, in order.
        handle: The connection that is pinned by an open transaction, 0 for none.
        samples: The home's latest sample of each group's primary.
    """

    answers: tuple[Answer, ...]
    handle: int = 0
    samples: tuple[PrimarySampleReport, ...] = ()


class BatchRun(_BatchRunFields, frozen=True, array_like=True, kw_only=True):
    """All commands were answered.

    Attributes:
        load: The home's load at the group's servers, None if it does not report it.
        server_s: Seconds that the server took, without the wait for a connection; 0 if
            unknown.
    """

    load: LoadHint | None = None
    server_s: float = 0.0


class BatchLost(Envelope, frozen=True, array_like=True):
    """The connection was lost before all commands were answered.

    Attributes:
        reason: How the connection was lost.
        answers: The answers received before that.
    """

    reason: str
    answers: tuple[Answer, ...] = ()


class _BatchNotSentFields(Envelope, frozen=True, array_like=True):
    """Nothing was sent to the server.

    Attributes:
        reason: Why nothing was sent.
        is_reachable: Whether the server responded to the connection attempt.
        wait_s: Estimated seconds until a connection is available, 0 if unknown.
    """

    reason: str
    is_reachable: bool = True
    wait_s: float = 0.0


class BatchNotSent(_BatchNotSentFields, frozen=True, array_like=True, kw_only=True):
    """Nothing was sent to the server.

    Attributes:
        load: The home's load at the group's servers, None if it does not report it.
        reachable_from: The home that reaches a server which this one does not, empty
            if none is known.
        is_charged: Whether the operation has been charged to the customer's limits.
    """

    load: LoadHint | None = None
    reachable_from: str = ""
    is_charged: bool = True


class BatchOverRate(Envelope, frozen=True, array_like=True):
    """The operation exceeds the customer's limits; nothing was sent.

    Attributes:
        wait_s: Seconds until the operation may be admitted.
    """

    wait_s: float


class DropPinned(Envelope, frozen=True, array_like=True):
    """Close a pinned connection, which rolls back its transaction."""

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
