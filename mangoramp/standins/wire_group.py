"""A stand-in for a group of database servers that speak the platform's wire."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

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

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Entry:
    """One commit of the group's log."""

    position: Position
    items: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Run:
    """One statement as a server ran it.

    Attributes:
        server: The server.
        customer: Whose connection it came on.
        request_id: Its id.
        text: What it ran: the item, and the data of a write.
        values: The connection's values.
        shape: The prepared shape, None for a statement as such.
        in_transaction: Whether a transaction was open.
    """

    server: str
    customer: str
    request_id: str
    text: str
    values: tuple[tuple[str, str], ...]
    shape: Shape | None
    in_transaction: bool


@dataclass(slots=True)
class ServerFaults:
    """Switches for a server's failures.

    Attributes:
        lose: Answers that are not sent, by kind of command.
        refuse: What to answer to the next statements instead of running them.
        mute: Whether it reads and answers nothing.
        work_s: Seconds that each statement takes.
        max_connections: Connections that it accepts.
    """

    lose: list[type] = field(default_factory=list)
    refuse: list[Refusal] = field(default_factory=list)
    mute: bool = False
    work_s: float = 0.0
    max_connections: int = 100


class WireGroup:
    """The servers of a group and their common log.

    Args:
        name: The group's name.
        server_ids: Its servers; the first one leads.

    Attributes:
        log: The commits that are in force.
        history: All commits that ever were, those that a promotion dropped included.
        runs: All statements that were run.
    """

    def __init__(self, name: str, server_ids: tuple[str, ...]) -> None:
        self.name = name
        self.term = 1
        self.log: list[Entry] = []
        self.history: list[Entry] = []
        self.runs: list[Run] = []
        self.servers = {i: WireServer(self, i) for i in server_ids}
        self.primary = server_ids[0]

    def listen(self) -> None:
        """Begin to serve, each server on a port of its own."""
        for server in self.servers.values():
            server.listen(0, HOST)

    def commit(self, items: tuple[tuple[str, str], ...]) -> Position:
        """Append to the log; replicas that do not lag show it at once."""
        position = Position(self.term, len(self.log) + 1)
        self.log.append(Entry(position, items))
        self.history.append(self.log[-1])
        for server in self.servers.values():
            if not server.is_deaf:
                server.applied = len(self.log)
        self.servers[self.primary].applied = len(self.log)
        return position

    def promote(self, server_id: str) -> None:
        """Make a server the primary; what it has not received is lost."""
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
    """One server.

    Args:
        group: Its group.
        server_id: Its id.

    Attributes:
        applied: How many entries of the log it shows.
        is_deaf: Whether it receives nothing.
        opened: How many connections it has accepted.
    """

    def __init__(self, group: WireGroup, server_id: str) -> None:
        super().__init__()
        self.group = group
        self.id = server_id
        self.faults = ServerFaults()
        self.applied = 0
        self.is_deaf = False
        self.opened = 0
        self._port = 0
        self._streams: set[IOStream] = set()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        port: int = next(iter(self._sockets.values())).getsockname()[1]
        return port

    @property
    def listening_port(self) -> int:
        """The port that it listens on, or did before it crashed."""
        return self.port if self._sockets else self._port

    @property
    def leads(self) -> bool:
        """Whether it is the primary."""
        return self.group.primary == self.id

    @property
    def shows(self) -> Position:
        """The last position that its answers show."""
        log = self.group.log
        return log[self.applied - 1].position if self.applied else Position(1, 0)

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._streams)

    def crash(self) -> None:
        """Stop listening and break all connections."""
        self._port = self.port if self._sockets else self._port
        self.stop()
        self._sockets.clear()
        self.reset()

    def restart(self) -> None:
        """Listen again on the same port, with the same log."""
        if not self._sockets:
            self.listen(self._port, HOST)

    def reset(self) -> None:
        """Break all connections."""
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection."""
        if len(self._streams) >= self.faults.max_connections:
            stream.write(wire_server.encode_start_refused(Refusal.TOO_MANY_CONNECTIONS))
            stream.close()
            return
        self._streams.add(stream)
        self.opened += 1
        try:
            await _Serving(self, stream).run()
        except StreamClosedError:
            return
        finally:
            self._streams.discard(stream)
            stream.close()


class _Serving:
    """One connection at a server."""

    def __init__(self, server: WireServer, stream: IOStream) -> None:
        self._server = server
        self._group = server.group
        self._stream = stream
        self._customer = ""
        self._values: dict[str, str] = {}
        self._shapes: dict[str, Shape] = {}
        self._state = SessionState.IDLE
        self._may_write = False
        self._written: list[tuple[str, str]] = []

    async def run(self) -> None:
        opening = wire_server.decode_start(await self._read())
        if (opening.group, opening.server_id) != (self._group.name, self._server.id):
            self._stream.write(wire_server.encode_start_refused(Refusal.WRONG_SERVER))
            return
        self._customer = opening.customer
        self._stream.write(wire_server.encode_start_accepted(self._server.shows))
        while True:
            command = wire_server.decode_command(await self._read())
            await self._serve(command)

    async def _read(self) -> bytes:
        line: bytes = await self._stream.read_until(wire.LINE_END)
        while self._server.faults.mute:
            await asyncio.sleep(0.01)
        return line

    async def _serve(self, command: Command) -> None:
        faults = self._server.faults
        if isinstance(command, RunFor | CommitFor):
            await asyncio.sleep(faults.work_s)
        refusal = self._refusal(command)
        answer = self._plain()
        if refusal is not None:
            if self._state is SessionState.IN_TRANSACTION and refusal.may_have_run:
                self._state = SessionState.FAILED
            answer = wire_server.refuse(self._plain(), refusal)
        else:
            answer = self._do(command)
        if type(command) in faults.lose:
            faults.lose.remove(type(command))
            return
        self._stream.write(wire_server.encode_answer(answer))

    def _refusal(self, command: Command) -> Refusal | None:
        faults = self._server.faults
        if isinstance(command, RunFor | CommitFor) and faults.refuse:
            return faults.refuse.pop(0)
        after = getattr(command, "after", None)
        if after is not None and self._server.shows < after:
            return Refusal.BEHIND
        if self._server.leads:
            return None
        opens = isinstance(command, OpenTransaction) and not command.read_only
        return Refusal.NOT_PRIMARY if opens or self._writes(command) else None

    def _writes(self, command: Command) -> bool:
        if not isinstance(command, RunFor):
            return False
        if isinstance(command.statement, Execute):
            shape = self._shapes.get(command.statement.name)
            return shape is not None and shape.writes
        return command.statement.text.startswith("WRITE ")

    def _plain(self) -> Answer:
        return Answer(self._state, self._server.shows)

    def _do(self, command: Command) -> Answer:
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
                self._written = []
            case RollBack():
                self._state = SessionState.IDLE
                self._written = []
            case AskStatus():
                return self._status()
            case CommitFor(request_id):
                return self._commit(request_id)
            case RunFor():
                return self._run(command)
        return self._plain()

    def _status(self) -> Answer:
        status = ServerStatus(self._server.leads, self._group.term, self._server.shows)
        row = wire_server.encode_status(status)
        return Answer(self._state, self._server.shows, (row,))

    def _commit(self, request_id: str) -> Answer:
        self._state = SessionState.IDLE
        if self._written:
            self._group.commit(tuple(self._written))
        self._written = []
        return Answer(self._state, self._server.shows, (), f"sig.{request_id}")

    def _run(self, command: RunFor) -> Answer:
        statement = command.statement
        shape: Shape | None = None
        if isinstance(statement, Execute):
            shape = self._shapes.get(statement.name)
            if shape is None:
                return wire_server.refuse(self._plain(), Refusal.STATEMENT_UNKNOWN)
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
                in_transaction,
            )
        )
        rows: tuple[str, ...] = ()
        if self._writes(command):
            self._written.append((fields[0], fields[1]))
            if not in_transaction:
                self._group.commit(tuple(self._written))
                self._written = []
        else:
            rows = (self._find(fields[0]),)
        signature = f"sig.{command.request_id}"
        return Answer(self._state, self._server.shows, rows, signature)

    def _find(self, item: str) -> str:
        found = ""
        for entry in self._group.log[: self._server.applied]:
            found = dict(entry.items).get(item, found)
        return dict(self._written).get(item, found)
