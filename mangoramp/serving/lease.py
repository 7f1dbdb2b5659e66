"""Leases of server connections, from the local pool or from a remote home."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NoReturn, Protocol

from returns.result import Result, Success

from ..control.group import Server
from ..errors import Fault, Outcome
from ..events import RELEASED_IN_TRANSACTION, emit
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
    AnswerTimeoutError,
    AssignValue,
    Command,
    ConnectionLostError,
    NotSentError,
    OpenTransaction,
    PrepareAs,
    Refusal,
    ResetSession,
    RunFor,
    ServerConnection,
)
from .operation import Ticket, over_rate_error
from .pool import EVACUATED_REASON, ServerPool, Urgency
from .workload import count_requests

MIN_ROUND_TRIP_S = 0.002  # to a server; with less time left nothing is sent
MIN_CONCLUSIVE_TIMEOUT_S = 0.2  # a healthy server normally answers within this time
HOME_ROUND_TRIP_S = 0.1  # allowance in addition to the batch timeout
SERVER_FAILURES = frozenset({Refusal.FAILED, Refusal.TIMEOUT})
PIN_TIMEOUT_S = 10.0  # exceeds the limits on transaction idle time and statement time
DROP_TIMEOUT_S = 0.5  # of one attempt
DROP_RETRY_S = 0.25  # a home that was only silent is told soon after it is back
# Former builds number pinned connections from 1 in each process, so that a handle below
# this is valid only for the process that gave it out.
MIN_UNIQUE_HANDLE = 2**62


@dataclass(frozen=True, slots=True)
class SessionContext:
    """The context that a connection needs to run a session's commands.

    Attributes:
        values: The session variables.
        shapes: The shapes of the prepared statements by name.
    """

    values: Mapping[str, str]
    shapes: Mapping[str, Shape]


class Lease(Protocol):
    """A leased connection to a server."""

    server: Server
    customer: str
    server_s: float

    @property
    def home_name(self) -> str:
        """The name of the home that holds the connection, empty for this instance."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on the connection."""

    @property
    def pinned_as(self) -> str:
        """The home's handle of the transaction's connection, empty if it has none."""

    async def admit(self, commands: tuple[Command, ...], *, timeout_s: float) -> float:
        """Wait until the server's limits allow commands.

        Args:
            commands: The commands, which must be run immediately afterwards.
            timeout_s: Timeout for all answers in seconds.

        Returns:
            The part of the timeout that is left.

        Raises:
            NotSentError: The limits do not allow the commands in time.
        """

    async def run(
        self,
        session_context: SessionContext | None,
        commands: tuple[Command, ...],
        *,
        timeout_s: float,
    ) -> tuple[Answer, ...]:
        """Apply a session's context to the connection and run commands.

        Args:
            session_context: The context to apply, None to leave the connection as is.
            commands: The commands.
            timeout_s: Timeout for all answers in seconds.

        Raises:
            NotSentError: Nothing was sent.
            ConnectionLostError: The connection is closed and the outcome is unknown.
        """

    def release(self) -> None:
        """Return the connection to its pool."""

    def discard(self) -> None:
        """Close the connection, so that the server rolls back an open transaction."""


@dataclass(slots=True, eq=False)
class LocalLease:
    """A connection leased from this process's pool.

    Attributes:
        server: The server.
        conn: The connection.
        customer: The customer that owns the connection.
        pool: The pool that the connection belongs to.
        is_parked: Whether the connection is idle inside an open transaction.
        server_s: Always 0: the time from sending to the answers is the server's.
    """

    server: Server
    conn: ServerConnection
    customer: str
    pool: ServerPool
    is_parked: bool = False
    server_s: float = 0.0

    @property
    def home_name(self) -> str:
        """The name of the home that holds the connection, empty for this instance."""
        return ""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on the connection."""
        return self.is_parked

    @property
    def pinned_as(self) -> str:
        """The home's handle of the transaction's connection, empty: it is local."""
        return ""

    async def run(
        self,
        session_context: SessionContext | None,
        commands: tuple[Command, ...],
        *,
        timeout_s: float,
    ) -> tuple[Answer, ...]:
        """Apply a session's context to the connection and run commands."""
        self._check_evacuation()
        if not commands:
            return ()
        self._resume()
        sent_at = self.pool.clock()
        try:
            answers = await self._run(session_context, commands, timeout_s)
        except ConnectionLostError as exc:
            is_timeout = isinstance(exc, AnswerTimeoutError)
            if not is_timeout or timeout_s >= MIN_CONCLUSIVE_TIMEOUT_S:
                self.pool.record_failure(sent_at, str(exc))
            raise
        except BaseException:
            self.conn.close()  # it may differ from its context
            raise
        refusals = [a.refusal for a in answers if a.refusal is not None]
        self.pool.record_answer(
            was_refused=Refusal.BUSY in refusals,
            sent_at=sent_at,
            has_failed=any(r in SERVER_FAILURES for r in refusals),
        )
        if answers[-1].state is not SessionState.IDLE:
            self.is_parked = True
            self.pool.park()
        return answers

    def _check_evacuation(self) -> None:
        """Raise an error if the server's evacuation forbids to send anything.

        No other check follows before the commands are written to the connection.
        """
        if self.pool.may_send(in_transaction=self.in_transaction):
            return
        if self.in_transaction:
            self.conn.close()  # the server rolls the transaction back
        raise NotSentError(EVACUATED_REASON)

    async def admit(self, commands: tuple[Command, ...], *, timeout_s: float) -> float:
        """Wait until the server's limits allow commands."""
        capacity = self.pool.capacity
        if capacity is None or not capacity.refresh() or capacity.cold is None:
            return timeout_s
        started = self.pool.clock()
        await capacity.admit(self.conn, count_requests(commands), timeout_s=timeout_s)
        return timeout_s - (self.pool.clock() - started)

    def _resume(self) -> None:
        if self.is_parked:
            self.is_parked = False
            self.pool.resume()

    async def _run(
        self,
        session_context: SessionContext | None,
        commands: tuple[Command, ...],
        timeout_s: float,
    ) -> tuple[Answer, ...]:
        if session_context is None:
            return await self.conn.run(commands, timeout_s=timeout_s)
        setup = tuple(_setup_commands(self.conn, session_context, commands))
        resolved = tuple(_with_alias(self.conn, session_context, c) for c in commands)
        answers = await self.conn.run(setup + resolved, timeout_s=timeout_s)
        command_answers = answers[len(setup) :]
        if any(answer.refusal is not None for answer in answers[: len(setup)]):
            self.conn.close()
            raise ConnectionLostError(
                "the session's values were not taken", command_answers
            )
        return command_answers

    def release(self) -> None:
        """Return the connection to its pool, closed if a transaction is open on it."""
        if self.in_transaction and self.conn.is_open:
            emit(RELEASED_IN_TRANSACTION, server=self.server.id, customer=self.customer)
            self.conn.close()
        self._resume()
        self.pool.release(self.conn, self.customer)

    def discard(self) -> None:
        """Close the connection, so that the server rolls back an open transaction."""
        self.conn.close()


class HomeLostError(ConnectionLostError):
    """A connection's home did not answer, so the outcome is unknown."""


class ServerUnreachableError(NotSentError):
    """A connection's home cannot reach the server; nothing was sent."""


class HomeClient(Protocol):
    """Sends requests to homes."""

    async def call(
        self, home: str, message: RunBatch | DropPinned, *, timeout_s: float
    ) -> Result[BatchMessage, Fault]:
        """Send a request to a home and wait for the answer."""

    def suspect(self, home: str) -> None:
        """Exclude a home for a while."""

    def connection_id(self, home: str) -> int:
        """Return the id of the link's connection to a home, 0 if it has none."""


@dataclass(slots=True, eq=False)
class RemoteLease:
    """A connection leased from a home, which acquires it for the first commands.

    Attributes:
        server: The server.
        home: The name of the home that holds the connection.
        customer: The customer that owns the connection.
        home_client: Sends requests to the home.
        urgency: How urgently the connection is needed at the home.
        ticket: Whether the operation has been charged to the customer's limits.
        handle: The home's handle of the pinned connection, 0 for none.
        server_s: Seconds that the server took for the last commands, 0 if unknown.
    """

    server: Server
    home: str
    customer: str
    home_client: HomeClient
    urgency: Urgency
    ticket: Ticket
    handle: int = 0
    server_s: float = 0.0
    _pinned_over: int = 0
    _last_handle: int = 0
    _drop_tasks: set[asyncio.Task[None]] = field(default_factory=set, repr=False)

    @property
    def home_name(self) -> str:
        """The name of the home that holds the connection."""
        return self.home

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on the home's connection."""
        return bool(self.handle)

    @property
    def pinned_as(self) -> str:
        """The home's latest handle of a pinned connection, empty if it gave none."""
        return f"{self._last_handle:x}" if self._last_handle else ""

    async def admit(self, commands: tuple[Command, ...], *, timeout_s: float) -> float:
        """Return the timeout, since the home applies the server's limits."""
        return timeout_s

    async def run(
        self,
        session_context: SessionContext | None,
        commands: tuple[Command, ...],
        *,
        timeout_s: float,
    ) -> tuple[Answer, ...]:
        """Run commands on the home's connection."""
        if self._may_be_of_former_process(self.handle):
            self.handle = 0
            raise NotSentError(f"the home {self.home} was restarted or reconnected")
        message = self._batch(session_context, commands, timeout_s)
        may_pin = any(isinstance(command, OpenTransaction) for command in commands)
        asked_over = self.home_client.connection_id(self.home) if may_pin else 0
        result = await self.home_client.call(
            self.home, message, timeout_s=timeout_s + HOME_ROUND_TRIP_S
        )
        if not isinstance(result, Success):
            self._raise_call_failed(result.failure())
        answer = result.unwrap()
        if isinstance(answer, BatchOverRate):
            raise over_rate_error(answer.wait_s)
        if not isinstance(answer, BatchNotSent) or answer.is_charged:
            self.ticket.is_admitted = True
        if isinstance(answer, BatchNotSent):
            if not answer.is_reachable and not answer.reachable_from:
                raise ServerUnreachableError(answer.reason)
            raise NotSentError(answer.reason, wait_s=answer.wait_s)
        if isinstance(answer, BatchLost):
            self.handle = 0
            raise ConnectionLostError(answer.reason, answer.answers)
        assert isinstance(answer, BatchRun)
        self._accept_handle(answer.handle, asked_over)
        self.server_s = answer.server_s
        return answer.answers

    def _batch(
        self,
        session_context: SessionContext | None,
        commands: tuple[Command, ...],
        timeout_s: float,
    ) -> RunBatch:
        endpoint = self.server.endpoint
        return RunBatch(
            server=endpoint.id,
            group=endpoint.group,
            customer=self.customer,
            values=None if session_context is None else dict(session_context.values),
            shapes={}
            if session_context is None
            else _executed_shapes(session_context, commands),
            commands=commands,
            timeout_s=timeout_s,
            wait_s=self.urgency.timeout_s,
            due_s=self.urgency.due_s,
            priority=self.urgency.priority,
            handle=self.handle,
            ticket="" if self.ticket.is_admitted else self.ticket.request_id,
            is_deferrable=self.urgency.is_deferrable,
            is_hedge=self.ticket.is_hedge,
        )

    def _accept_handle(self, handle: int, asked_over: int) -> None:
        """Keep the home's handle of the connection, 0 if none is pinned.

        Args:
            handle: The handle.
            asked_over: The id of the link's connection before the batch that opened the
                transaction, 0 for a later batch.

        Raises:
            HomeLostError: It is a former build's, and may be of an earlier process.
        """
        self.handle = handle
        self._last_handle = handle or self._last_handle
        if not _is_of_former_build(handle):
            return
        self._pinned_over = asked_over or self._pinned_over
        if not self._pinned_over or self._may_be_of_former_process(handle):
            self.handle = 0
            reason = f"the home {self.home} was restarted or reconnected meanwhile"
            raise HomeLostError(reason)

    def _may_be_of_former_process(self, handle: int) -> bool:
        """Return whether a restarted home may use a handle for another connection."""
        return (
            _is_of_former_build(handle)
            and self.home_client.connection_id(self.home) != self._pinned_over
        )

    def release(self) -> None:
        """Close a pinned connection; the home has released any other itself."""
        if self.handle:
            self.discard()

    def discard(self) -> None:
        """Ask the home to close the pinned connection, without waiting for it."""
        handle, self.handle = self.handle, 0
        if not handle:
            return
        task = asyncio.ensure_future(self._drop(handle))
        self._drop_tasks.add(task)
        task.add_done_callback(self._drop_tasks.discard)

    async def _drop(self, handle: int) -> None:
        """Ask the home to close a connection until it answers or has closed it."""
        message = DropPinned(handle=handle)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PIN_TIMEOUT_S):
                while not self._may_be_of_former_process(handle):
                    result = await self.home_client.call(
                        self.home, message, timeout_s=DROP_TIMEOUT_S
                    )
                    if isinstance(result, Success):
                        return
                    await asyncio.sleep(DROP_RETRY_S)

    def _raise_call_failed(self, fault: Fault) -> NoReturn:
        self.home_client.suspect(self.home)
        was_pinned = bool(self.handle)
        self.discard()
        reason = f"the home {self.home}: {fault.message}"
        if fault.outcome is Outcome.NOT_RUN and not was_pinned:
            raise NotSentError(reason)
        raise HomeLostError(reason)


def _is_of_former_build(handle: int) -> bool:
    return 0 < handle < MIN_UNIQUE_HANDLE


def _executed_shapes(
    session_context: SessionContext, commands: tuple[Command, ...]
) -> dict[str, Shape]:
    names = {
        command.statement.name
        for command in commands
        if isinstance(command, RunFor) and isinstance(command.statement, Execute)
    }
    return {name: session_context.shapes[name] for name in names}


def _setup_commands(
    conn: ServerConnection,
    session_context: SessionContext,
    commands: tuple[Command, ...],
) -> list[Command]:
    context = conn.context
    found: list[Command] = []
    if not context.values.keys() <= session_context.values.keys():
        found.append(ResetSession())
        context.values.clear()
        context.aliases.clear()
    for name, value in session_context.values.items():
        if context.values.get(name) != value:
            found.append(AssignValue(name, value))
            context.values[name] = value
    for shape in _executed_shapes(session_context, commands).values():
        if shape not in context.aliases:
            alias = f"p{len(context.aliases) + 1}"
            context.aliases[shape] = alias
            found.append(PrepareAs(alias, shape))
    return found


def _with_alias(
    conn: ServerConnection, session_context: SessionContext, command: Command
) -> Command:
    if isinstance(command, RunFor) and isinstance(command.statement, Execute):
        alias = conn.context.aliases[session_context.shapes[command.statement.name]]
        return RunFor(command.request_id, command.statement, alias, command.after)
    return command
