"""Stand-in for a group of database servers with the platform's wire protocol."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from ..platform import wire, wire_server
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
from ..sessions.reply import SessionState
from ..sessions.statement import Execute, Shape
from ._ports import HOST
from .server_faults import ServerFaults as ServerFaults


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A commit in the group's log.

    Attributes:
        position: Its position.
        items: The items that it writes, each with its data.
        request_id: The id of the request that committed it.
    """

    position: Position
    items: tuple[tuple[str, str], ...]
    request_id: str


@dataclass(frozen=True, slots=True)
class Run:
    """A statement that a server executed.

    Attributes:
        server: The id of the server.
        customer: The customer of the connection.
        request_id: The id of the request.
        text: The item, followed by the data if the statement is a write.
        values: The session variables of the connection.
        shape: The prepared statement, None if the statement was not prepared.
        transaction: The number of the open transaction, 0 for none. No two
            transactions of any server have the same number.
    """

    server: str
    customer: str
    request_id: str
    text: str
    values: tuple[tuple[str, str], ...]
    shape: Shape | None
    transaction: int

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction was open."""
        return self.transaction > 0


@dataclass(frozen=True, slots=True)
class CommitRequest:
    """A COMMIT that a server got.

    Attributes:
        server: The id of the server.
        request_id: The id of the request.
        transaction: The number of the transaction that it ended, 0 for none.
    """

    server: str
    request_id: str
    transaction: int


_transaction_numbers = itertools.count(1)


class WireGroup:
    """The servers of a group and their shared log.

    Args:
        name: The group's name.
        server_ids: The ids of the servers; the first server is the primary.

    Attributes:
        log: The current commits.
        all_commits: All commits, including those discarded by a promotion.
        runs: All executed statements.
        commit_requests: All requests to commit, also those that had nothing to write.
    """

    def __init__(self, name: str, server_ids: tuple[str, ...]) -> None:
        self.name = name
        self.term = 1
        self.log: list[LogEntry] = []
        self.all_commits: list[LogEntry] = []
        self.runs: list[Run] = []
        self.commit_requests: list[CommitRequest] = []
        self.servers = {i: WireServer(self, i) for i in server_ids}
        self.primary = server_ids[0]

    def listen(self) -> None:
        """Start each server on a free port."""
        for server in self.servers.values():
            server.listen(0, HOST)

    def commit(
        self, items: tuple[tuple[str, str], ...], request_id: str = ""
    ) -> Position:
        """Append a commit to the log; replicas apply it at once unless paused."""
        position = Position(self.term, len(self.log) + 1)
        self.log.append(LogEntry(position, items, request_id))
        self.all_commits.append(self.log[-1])
        for server in self.servers.values():
            if not server.is_replication_paused:
                server.applied = len(self.log)
        self.servers[self.primary].applied = len(self.log)
        return position

    def promote(self, server_id: str) -> None:
        """Make a server the primary; commits that it has not received are discarded."""
        server = self.servers[server_id]
        self.log = self.log[: server.applied]
        for other in self.servers.values():
            other.applied = min(other.applied, len(self.log))
        self.term += 1
        self.primary = server_id

    def stop(self) -> None:
        """Stop all servers."""
        for server in self.servers.values():
            server.crash()


class WireServer(TCPServer):
    """A server of the group.

    Args:
        group: The server's group.
        server_id: The server's id.

    Attributes:
        applied: Number of log entries that the server has applied.
        is_replication_paused: Whether replication to this server is paused.
        accepted_connections: Number of connections accepted since the start.
        start_count: Number of starts; each is a new start in the registry.
        cold_until: When the server stops to report itself cold, on the monotonic clock.
        request_times: When each begin, statement and commit arrived, on the monotonic
            clock; a cold server must get few.
        last_request_at: When the last message from an instance arrived, on the
            monotonic clock; an evacuated server must get none.
    """

    def __init__(self, group: WireGroup, server_id: str) -> None:
        super().__init__()
        self.group = group
        self.id = server_id
        self.faults = ServerFaults()
        self.applied = 0
        self.is_replication_paused = False
        self.accepted_connections = 0
        self.start_count = 1
        self.cold_until = 0.0
        self.request_times: list[float] = []
        self.last_request_at = float("-inf")
        self.rng = random.Random(server_id)
        self._last_port = 0
        self._streams: set[IOStream] = set()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        port: int = next(iter(self._sockets.values())).getsockname()[1]
        return port

    @property
    def listening_port(self) -> int:
        """The port that the server listens on, or listened on before a crash."""
        return self.port if self._sockets else self._last_port

    @property
    def is_primary(self) -> bool:
        """Whether the server is the primary."""
        return self.group.primary == self.id

    @property
    def visible_position(self) -> Position:
        """The position of the last applied entry."""
        log = self.group.log
        return log[self.applied - 1].position if self.applied else Position(1, 0)

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._streams)

    @property
    def cold_left_ms(self) -> int:
        """Milliseconds for which the server still reports itself cold."""
        return max(0, round(1000 * (self.cold_until - time.monotonic())))

    def begin_cold_start(self, cold_s: float) -> None:
        """Report a new start, after which the server is cold.

        Args:
            cold_s: Seconds for which it is cold.
        """
        self.start_count += 1
        self.cold_until = time.monotonic() + cold_s

    def crash(self) -> None:
        """Stop listening and close all connections."""
        self._last_port = self.port if self._sockets else self._last_port
        self._stopped = False  # a TCPServer stops only once, but may crash again
        self.stop()
        self._sockets.clear()
        self.reset_connections()

    def restart(self, port: int = 0) -> None:
        """Listen again, with the same log.

        Args:
            port: The port, 0 for the same as before.
        """
        if not self._sockets:
            self.listen(port or self._last_port, HOST)

    def reset_connections(self) -> None:
        """Close all connections."""
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve a connection until it is closed."""
        if len(self._streams) >= self.faults.max_connections:
            stream.write(wire_server.encode_start_refused(Refusal.TOO_MANY_CONNECTIONS))
            stream.close()
            return
        self._streams.add(stream)
        self.accepted_connections += 1
        try:
            await _ConnectionHandler(self, stream).run()
        except StreamClosedError:
            return
        finally:
            self._streams.discard(stream)
            stream.close()


class _ConnectionHandler:
    """Serves a connection of a server."""

    def __init__(self, server: WireServer, stream: IOStream) -> None:
        self._server = server
        self._group = server.group
        self._stream = stream
        self._customer = ""
        self._values: dict[str, str] = {}
        self._shapes: dict[str, Shape] = {}
        self._state = SessionState.IDLE
        self._transaction = 0
        self._pending_writes: list[tuple[str, str]] = []

    async def run(self) -> None:
        start = wire_server.decode_start(await self._read())
        if (start.group, start.server_id) != (self._group.name, self._server.id):
            self._stream.write(wire_server.encode_start_refused(Refusal.WRONG_SERVER))
            return
        self._customer = start.customer
        self._stream.write(
            wire_server.encode_start_accepted(self._server.visible_position)
        )
        while True:
            command = wire_server.decode_command(await self._read())
            if isinstance(command, OpenTransaction | RunFor | CommitFor):
                self._server.request_times.append(self._server.last_request_at)
            await self._handle_command(command)

    async def _read(self) -> bytes:
        line: bytes = await self._stream.read_until(wire.LINE_END)
        self._server.last_request_at = time.monotonic()
        while self._server.faults.is_unresponsive:
            await asyncio.sleep(0.01)
        return line

    async def _handle_command(self, command: Command) -> None:
        faults = self._server.faults
        if isinstance(command, RunFor | CommitFor):
            await asyncio.sleep(faults.statement_s)
            if faults.resets_statements:
                raise StreamClosedError
        refusal = self._find_refusal(command)
        answer = self._empty_answer()
        if refusal is not None:
            if self._state is SessionState.IN_TRANSACTION and refusal.may_have_run:
                self._state = SessionState.FAILED
            answer = wire_server.refuse(self._empty_answer(), refusal)
        else:
            answer = self._execute(command)
        if type(command) in faults.drop_answers_to:
            faults.drop_answers_to.remove(type(command))
            return
        self._stream.write(wire_server.encode_answer(answer))

    def _find_refusal(self, command: Command) -> Refusal | None:
        faults = self._server.faults
        if isinstance(command, RunFor | CommitFor) and faults.refusals:
            return faults.refusals.pop(0)
        if isinstance(command, RunFor) and self._server.rng.random() < (
            faults.failed_part
        ):
            return Refusal.FAILED
        after = getattr(command, "after", None)
        if after is not None and self._server.visible_position < after:
            return Refusal.BEHIND
        if self._server.is_primary:
            return None
        begins_write = isinstance(command, OpenTransaction) and not command.read_only
        return Refusal.NOT_PRIMARY if begins_write or self._is_write(command) else None

    def _is_write(self, command: Command) -> bool:
        if not isinstance(command, RunFor):
            return False
        if isinstance(command.statement, Execute):
            shape = self._shapes.get(command.statement.name)
            return shape is not None and shape.writes
        return command.statement.text.startswith("WRITE ")

    def _empty_answer(self) -> Answer:
        return Answer(self._state, self._server.visible_position)

    def _execute(self, command: Command) -> Answer:
        match command:
            case ResetSession():
                self._values.clear()
                self._shapes.clear()
            case AssignValue(name, value):
                self._values[name] = value
            case PrepareAs(alias, shape):
                self._shapes[alias] = shape
            case OpenTransaction():
                self._state = SessionState.IN_TRANSACTION
                self._transaction = next(_transaction_numbers)
                self._pending_writes = []
            case RollBack():
                self._state = SessionState.IDLE
                self._pending_writes = []
            case AskStatus():
                return self._status()
            case CommitFor(request_id):
                return self._run_commit(request_id)
            case RunFor():
                return self._run_statement(command)
        return self._empty_answer()

    def _status(self) -> Answer:
        status = ServerStatus(
            self._server.is_primary, self._group.term, self._server.visible_position
        )
        row = wire_server.encode_status(status)
        return Answer(self._state, self._server.visible_position, (row,))

    def _run_commit(self, request_id: str) -> Answer:
        is_open = self._state is SessionState.IN_TRANSACTION
        self._group.commit_requests.append(
            CommitRequest(
                self._server.id, request_id, self._transaction if is_open else 0
            )
        )
        self._state = SessionState.IDLE
        if self._pending_writes:
            self._group.commit(tuple(self._pending_writes), request_id)
        self._pending_writes = []
        return Answer(
            self._state, self._server.visible_position, (), f"sig.{request_id}"
        )

    def _run_statement(self, command: RunFor) -> Answer:
        statement = command.statement
        shape: Shape | None = None
        if isinstance(statement, Execute):
            shape = self._shapes.get(statement.name)
            if shape is None:
                return wire_server.refuse(
                    self._empty_answer(), Refusal.STATEMENT_UNKNOWN
                )
            fields = statement.arguments.split(" ", 1)
        else:
            fields = statement.text.split(" ", 2)[1:]
        in_transaction = self._state is SessionState.IN_TRANSACTION
        self._group.runs.append(
            Run(
                self._server.id,
                self._customer,
                command.request_id,
                " ".join(fields),
                tuple(sorted(self._values.items())),
                shape,
                self._transaction if in_transaction else 0,
            )
        )
        rows: tuple[str, ...] = ()
        if self._is_write(command):
            self._pending_writes.append((fields[0], fields[1]))
            if not in_transaction:
                self._group.commit(tuple(self._pending_writes), command.request_id)
                self._pending_writes = []
        else:
            rows = (self._read_item(fields[0]),)
        signature = f"sig.{command.request_id}"
        return Answer(self._state, self._server.visible_position, rows, signature)

    def _read_item(self, item: str) -> str:
        value = ""
        for entry in self._group.log[: self._server.applied]:
            value = dict(entry.items).get(item, value)
        return dict(self._pending_writes).get(item, value)
