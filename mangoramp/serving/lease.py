"""Connections that are taken for a while: of this process, or at their home."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NoReturn, Protocol

from returns.result import Result, Success

from ..control.group import Server
from ..errors import Fault, Outcome
from ..sessions.reply import SessionState
from ..sessions.statement import Execute, Shape
from .batches import (
    BatchLost,
    BatchMessage,
    BatchNotSent,
    BatchOverRate,
    BatchRun,
    DropPinned,
    RunBatch,
)
from .command import (
    Answer,
    AssignValue,
    Command,
    ConnectionLostError,
    NotSentError,
    PrepareAs,
    Refusal,
    ResetSession,
    RunFor,
    ServerConnection,
)
from .operation import Ticket, over_rate
from .pool import ServerPool, Urgency

LEAST_S = 0.002  # a way to a server and back; less time left is none
HOP_S = 0.1  # the way to a home and back, beside the time for the answers
DROP_S = 0.5  # a home that does not answer drops the connection itself


@dataclass(frozen=True, slots=True)
class Image:
    """What of a session a connection must be brought into.

    Attributes:
        values: The session's values.
        shapes: The shapes of its prepared statements by name.
    """

    values: Mapping[str, str]
    shapes: Mapping[str, Shape]


class Lease(Protocol):
    """A connection that is taken."""

    server: Server
    customer: str

    @property
    def held_by(self) -> str:
        """The instance that holds the connection, empty for this one."""

    async def run(
        self, image: Image | None, commands: tuple[Command, ...], *, timeout_s: float
    ) -> tuple[Answer, ...]:
        """Run commands, after what brings the connection into a session's state.

        Args:
            image: The session's state, None to leave the connection as it is.
            commands: The commands.
            timeout_s: Seconds for all answers.

        Raises:
            ConnectionLostError: The connection is closed; what it ran is not known.
        """

    def give_back(self) -> None:
        """End the lease."""

    def discard(self) -> None:
        """Close the connection, so that the server rolls back what is open."""


@dataclass(slots=True, eq=False)
class LocalLease:
    """A connection of this process.

    Attributes:
        server: The server.
        conn: The connection.
        customer: Whose it is.
        pool: Where it belongs.
        is_parked: Whether a transaction holds it that waits for its caller.
    """

    server: Server
    conn: ServerConnection
    customer: str
    pool: ServerPool
    is_parked: bool = False

    @property
    def held_by(self) -> str:
        """The instance that holds the connection, empty for this one."""
        return ""

    async def run(
        self, image: Image | None, commands: tuple[Command, ...], *, timeout_s: float
    ) -> tuple[Answer, ...]:
        """Run commands, after what brings the connection into a session's state."""
        self._resume()
        answers = await self._run(image, commands, timeout_s)
        was_refused = any(a.refusal is Refusal.BUSY for a in answers)
        self.pool.answered(was_refused=was_refused)
        if needs_pin(answers):
            self.is_parked = True
            self.pool.park()
        return answers

    def _resume(self) -> None:
        if self.is_parked:
            self.is_parked = False
            self.pool.resume()

    async def _run(
        self, image: Image | None, commands: tuple[Command, ...], timeout_s: float
    ) -> tuple[Answer, ...]:
        if image is None:
            return await self.conn.run(commands, timeout_s=timeout_s)
        prelude = tuple(_prelude(self.conn, image, commands))
        named = tuple(_with_alias(self.conn, image, c) for c in commands)
        answers = await self.conn.run(prelude + named, timeout_s=timeout_s)
        wanted = answers[len(prelude) :]
        if any(answer.refusal is not None for answer in answers[: len(prelude)]):
            self.conn.close()
            raise ConnectionLostError("the session's values were not taken", wanted)
        return wanted

    def give_back(self) -> None:
        """End the lease."""
        self._resume()
        self.pool.release(self.conn, self.customer)

    def discard(self) -> None:
        """Close the connection, so that the server rolls back what is open."""
        self.conn.close()


class HomeLostError(ConnectionLostError):
    """The home of a connection did not answer; what it ran is not known."""


class ServerUnreachedError(NotSentError):
    """The home of a connection does not reach the server; nothing was sent."""


class HomeCaller(Protocol):
    """The way to a home."""

    async def call(
        self, home: str, message: RunBatch | DropPinned, *, timeout_s: float
    ) -> Result[BatchMessage, Fault]:
        """Ask a home."""

    def suspect(self, home: str) -> None:
        """Pass a home over for a while."""


@dataclass(slots=True, eq=False)
class RemoteLease:
    """A connection at its home, taken when the first commands are run.

    Attributes:
        server: The server.
        home: The instance that holds the connection.
        customer: Whose it is.
        caller: The way to the home.
        urgency: How urgently the connection is needed there.
        ticket: Whether the operation was taken from its customer's limits.
        handle: The pinned connection, 0 if none is.
    """

    server: Server
    home: str
    customer: str
    caller: HomeCaller
    urgency: Urgency
    ticket: Ticket
    handle: int = 0
    _drops: set[asyncio.Future[Result[BatchMessage, Fault]]] = field(
        default_factory=set, repr=False
    )

    @property
    def held_by(self) -> str:
        """The instance that holds the connection."""
        return self.home

    async def run(
        self, image: Image | None, commands: tuple[Command, ...], *, timeout_s: float
    ) -> tuple[Answer, ...]:
        """Run commands at the home."""
        endpoint = self.server.endpoint
        message = RunBatch(
            server=endpoint.id,
            group=endpoint.group,
            customer=self.customer,
            values=None if image is None else dict(image.values),
            shapes={} if image is None else _needed(image, commands),
            commands=commands,
            timeout_s=timeout_s,
            wait_s=self.urgency.timeout_s,
            due_s=self.urgency.due_s,
            priority=self.urgency.priority,
            handle=self.handle,
            ticket="" if self.ticket.is_taken else self.ticket.request_id,
        )
        result = await self.caller.call(self.home, message, timeout_s=timeout_s + HOP_S)
        if not isinstance(result, Success):
            self._raise_unreached(result.failure())
        answer = result.unwrap()
        if isinstance(answer, BatchOverRate):
            raise over_rate(answer.wait_s)
        self.ticket.is_taken = True
        if isinstance(answer, BatchNotSent):
            if not answer.is_reachable:
                raise ServerUnreachedError(answer.reason)
            raise NotSentError(answer.reason, wait_s=answer.wait_s)
        if isinstance(answer, BatchLost):
            self.handle = 0
            raise ConnectionLostError(answer.reason, answer.answers)
        assert isinstance(answer, BatchRun)
        self.handle = answer.handle
        return answer.answers

    def give_back(self) -> None:
        """End the lease; a home keeps a connection only while it is pinned."""
        if self.handle:
            self.discard()

    def discard(self) -> None:
        """Let the home close the connection."""
        handle, self.handle = self.handle, 0
        if not handle:
            return
        drop = self.caller.call(self.home, DropPinned(handle=handle), timeout_s=DROP_S)
        task = asyncio.ensure_future(drop)
        self._drops.add(task)
        task.add_done_callback(self._drops.discard)

    def _raise_unreached(self, fault: Fault) -> NoReturn:
        self.caller.suspect(self.home)
        handle, self.handle = self.handle, 0
        reason = f"the home {self.home}: {fault.message}"
        if fault.outcome is Outcome.NOT_RUN and not handle:
            raise NotSentError(reason)
        raise HomeLostError(reason)


def needs_pin(answers: tuple[Answer, ...]) -> bool:
    """Whether a connection is left inside a transaction."""
    return bool(answers) and answers[-1].state is not SessionState.IDLE


def _needed(image: Image, commands: tuple[Command, ...]) -> dict[str, Shape]:
    names = {
        command.statement.name
        for command in commands
        if isinstance(command, RunFor) and isinstance(command.statement, Execute)
    }
    return {name: image.shapes[name] for name in names}


def _prelude(
    conn: ServerConnection, image: Image, commands: tuple[Command, ...]
) -> list[Command]:
    memory = conn.memory
    found: list[Command] = []
    if not memory.values.keys() <= image.values.keys():
        found.append(ResetSession())
        memory.values.clear()
        memory.aliases.clear()
    for name, value in image.values.items():
        if memory.values.get(name) != value:
            found.append(AssignValue(name, value))
            memory.values[name] = value
    for shape in _needed(image, commands).values():
        if shape not in memory.aliases:
            alias = f"p{len(memory.aliases) + 1}"
            memory.aliases[shape] = alias
            found.append(PrepareAs(alias, shape))
    return found


def _with_alias(conn: ServerConnection, image: Image, command: Command) -> Command:
    if isinstance(command, RunFor) and isinstance(command.statement, Execute):
        alias = conn.memory.aliases[image.shapes[command.statement.name]]
        return RunFor(command.request_id, command.statement, alias, command.after)
    return command
