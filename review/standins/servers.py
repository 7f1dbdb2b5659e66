"""Stand-in for the servers of one database service."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .platform import HOST, Store
from .record import Record

HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S  # of silence, until the store removes the entry
NETWORK_S = 0.001  # one way, between two servers
QUEUE = 16  # requests that wait for a slot; more are refused with BUSY
MAX_LINE_BYTES = 2**21

Position = tuple[int, int]


@dataclass(frozen=True)
class Commit:
    """One commit of the log."""

    term: int
    number: int
    request_id: str
    items: tuple[tuple[str, str], ...]

    @property
    def position(self) -> Position:
        """Where it stands in the log."""
        return self.term, self.number


@dataclass(frozen=True)
class Ack:
    """A commit that was acknowledged to the caller of the server."""

    at: float
    commit: Commit


@dataclass(frozen=True)
class Loss:
    """An acknowledged commit that a server did not hold when it was promoted."""

    ack: Ack
    server: str
    promoted_with: Position


@dataclass(frozen=True)
class Stranger:
    """A statement that ran inside a transaction which another caller had begun.

    Attributes:
        request_id: The statement's id.
        word: What it does.
        owner: The caller whose transaction it is.
        customer: The tenant that the connection was opened for.
        server: The server.
    """

    request_id: str
    word: str
    owner: str
    customer: str
    server: str


@dataclass(frozen=True)
class Run:
    """One statement of a caller that a server received."""

    at: float
    server: str
    request_id: str
    text: str
    begins: bool
    ended_at: float = 0.0


@dataclass
class Service:
    """A database service: one primary and its replicas.

    Attributes:
        name: The service's name.
        store: The platform's store.
        record: The record of the run.
        sync: How many replicas must receive a commit before it is acknowledged.
        slots: Requests that each server runs at once.
        connections: Connections that each server accepts.
        handshake_s: How long a new connection occupies a slot.
        work_s: Draws how long a statement takes, in seconds.
        lag_s: How long after its receipt a replica applies a commit.
        promote_s: How long a promotion takes.
    """

    name: str
    store: Store
    record: Record
    sync: int = 0
    slots: int = 2
    connections: int = 16
    handshake_s: float = 0.012
    work_s: Callable[[], float] = lambda: 0.009
    lag_s: float = 0.06
    promote_s: float = 1.0
    term: int = 1
    servers: dict[str, Server] = field(default_factory=dict)
    acks: list[Ack] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    losses: list[Loss] = field(default_factory=list)
    strangers: list[Stranger] = field(default_factory=list)
    arrivals: dict[str, float] = field(default_factory=dict)
    primary: str = ""
    row_bytes: int = 0
    rows: int = 1

    async def start(self, zones: tuple[str, ...]) -> None:
        """Start one server in each zone; the first one is the primary."""
        for number, zone in enumerate(zones, 1):
            server = Server(self, f"i-{self.name}-{number}", zone)
            self.servers[server.id] = server
            await server.start()
        self.primary = next(iter(self.servers))
        for server in self.servers.values():
            server.report()

    def close(self) -> None:
        """Stop all servers."""
        for server in self.servers.values():
            server.crash()

    async def promote(self, server_id: str) -> bool:
        """Make a server the primary; it leads with the log that it has received."""
        server = self.servers.get(server_id)
        if server is None or not server.is_up:
            return False
        if self.primary == server_id:
            return True
        await asyncio.sleep(self.promote_s)
        if not server.is_up:
            return False
        former = self.servers[self.primary]
        if self.sync:
            self._check_log(server)
        self.term += 1
        self.primary = server_id
        kept = len(server.log)
        for other in self.servers.values():
            if other.log[:kept] != server.log[: len(other.log)]:
                other.log = list(server.log)
            del other.log[kept:]
            other.applied = min(other.applied, len(other.log))
        server.applied = kept
        self.record.write(
            "promotion",
            f"{server_id} leads term {self.term} with {show(server.last)}"
            f" after {former.id}",
        )
        former.report()
        server.report()
        return True

    def _check_log(self, server: Server) -> None:
        held = set(server.log)
        missing = [ack for ack in self.acks if ack.commit not in held]
        self.losses += [Loss(ack, server.id, server.last) for ack in missing]


class Server:
    """One server of a service."""

    def __init__(self, service: Service, server_id: str, zone: str) -> None:
        self.service = service
        self.id = server_id
        self.zone = zone
        self.log: list[Commit] = []
        self.applied = 0
        self.is_up = False
        self.is_deaf = False
        self.is_draining = False
        self.slow_x = 1.0
        self.busy = 0
        self.waiting = 0
        self.port = 0
        self._sequence = 0
        self._born = round(time.time() * 1000)
        self._slots = asyncio.Semaphore(service.slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._received = asyncio.Event()

    @property
    def is_primary(self) -> bool:
        """Whether it leads."""
        return self.service.primary == self.id

    @property
    def last(self) -> Position:
        """The position of the last commit that it has received."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def shown(self) -> Position:
        """The position of the last commit that it has applied."""
        return self.log[self.applied - 1].position if self.applied else (1, 0)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._writers)

    async def start(self) -> None:
        """Listen and report."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self.spawn(self._beat())

    def crash(self) -> None:
        """End the process: nothing more is sent, all connections break."""
        if not self.is_up:
            return
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def drain(self) -> None:
        """Report to the store that it is about to leave."""
        self.is_draining = True
        self.report()

    def report(self) -> None:
        """Write the entry of the registry."""
        if not self.is_up:
            return
        self._sequence += 1
        self.service.store.write(
            "servers",
            self.id,
            {
                "service": self.service.name,
                "address": f"{HOST}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.service.slots,
                "state": "draining" if self.is_draining else "ready",
                "cold_remaining_ms": 0,
                "db_role": "primary" if self.is_primary else "replica",
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    def spawn(self, coro: object) -> None:
        """Run a task that ends with the server."""
        task = asyncio.ensure_future(coro)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.report()

    async def receive(self, commit: Commit) -> None:
        """Receive a commit over the network, and apply it later."""
        await asyncio.sleep(NETWORK_S)
        while self.is_deaf:
            await asyncio.sleep(0.02)
        primary = self.service.servers[self.service.primary]
        if not self.is_up or self.is_primary:
            return
        while commit in primary.log and len(self.log) < commit.number:
            self.log.append(primary.log[len(self.log)])
        self._received.set()
        self._received = asyncio.Event()
        await asyncio.sleep(self.service.lag_s)
        if commit in self.log:
            self.applied = max(self.applied, self.log.index(commit) + 1)

    async def commit(self, request_id: str, items: list[tuple[str, str]]) -> None:
        """Append a commit and wait until it may be acknowledged."""
        commit = Commit(self.service.term, len(self.log) + 1, request_id, tuple(items))
        self.log.append(commit)
        self.applied = len(self.log)
        others = [s for s in self.service.servers.values() if s is not self]
        for other in others:
            other.spawn(other.receive(commit))
        while sum(commit in o.log for o in others) < self.service.sync:
            waits = [asyncio.ensure_future(o._received.wait()) for o in others]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()
        self.service.acks.append(Ack(self.service.record.now, commit))

    async def occupy(self, seconds: float) -> bool:
        """Use a slot; returns False if too many wait already."""
        if self.waiting >= QUEUE:
            return False
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(seconds * self.slow_x)
        finally:
            self.busy -= 1
            self._slots.release()
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await _Connection(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


class _Connection:
    """One connection of a server."""

    def __init__(
        self,
        server: Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._service = server.service
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._may_write = False
        self._writes: list[tuple[str, str]] = []
        self._shapes: dict[str, bool] = {}
        self._customer = ""
        self._owner = ""

    async def run(self) -> None:
        """Serve the connection until it ends."""
        word, *fields = (await self._line()).split(" ")
        expected = [self._service.name, self._server.id]
        if word != "START" or [fields[0], (fields + [self._server.id])[2]] != expected:
            self._send("ERR MISDIRECT -")
            return
        self._customer = fields[1]
        if self._server.connections > self._service.connections:
            self._send("ERR TOOMANY -")
            return
        if not await self._server.occupy(self._service.handshake_s):
            self._send("ERR BUSY -")
            return
        self._send(f"READY I {show(self._server.shown)}")
        while True:
            line = await self._line()
            if line == "BYE":
                return
            _, request_id, text = line.split(" ", 2)
            lines = await self._answer(request_id, text)
            position = show(self._server.shown)
            self._send(*lines, f"READY {self._state} {position}")
            await self._writer.drain()

    async def _line(self) -> str:
        raw = await self._reader.readuntil(b"\r\n")
        return raw[:-2].decode("latin-1")

    def _send(self, *lines: str) -> None:
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    def _refuse(self, code: str) -> list[str]:
        if self._state == "T" and code not in ("BUSY", "BEHIND"):
            self._state = "E"
        return [f"ERR {code} {self._server.id}"]

    async def _answer(self, request_id: str, text: str) -> list[str]:
        after = ""
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if word == "STATUS":
            return await self._status()
        if word == "ROLLBACK":
            self._state, self._writes = "I", []
            return ["DONE -"]
        if self._state == "E":
            return ["ERR BAD -"]
        if after and self._server.shown < _position(after):
            return self._refuse("BEHIND")
        if word == "BEGIN":
            return self._begin(rest == "READ")
        if word == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            self._shapes[name] = kind == "WRITE"
            return ["DONE -"]
        if word == "RESET":
            self._shapes.clear()
            return ["DONE -"]
        if word in ("SET", "FORGET"):
            return ["DONE -"]
        return await self._run(request_id, word, rest)

    def _check_owner(self, request_id: str, word: str) -> None:
        """Note a statement that runs inside another caller's transaction."""
        if self._state != "T":
            return
        owner = request_id.rpartition("-")[0]
        self._owner = self._owner or owner
        if owner != self._owner:
            self._service.strangers.append(
                Stranger(request_id, word, self._owner, self._customer, self._server.id)
            )

    async def _status(self) -> list[str]:
        server = self._server
        if not await server.occupy(0.0):
            return ["ERR BUSY -"]
        role = "primary" if server.is_primary else "replica"
        term = self._service.term
        return [
            f"ROW {role} {term} {show(server.last)} 0 0 {server.busy}"
            f" {server.connections}",
            "DONE -",
        ]

    def _begin(self, read_only: bool) -> list[str]:
        if not read_only and not self._server.is_primary:
            return self._refuse("READONLY")
        self._state, self._writes, self._owner = "T", [], ""
        self._may_write = not read_only
        return ["DONE -"]

    async def _run(self, request_id: str, word: str, rest: str) -> list[str]:
        server, record = self._server, self._service.record
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self._shapes:
                return self._refuse("NOSTMT")
            word = "WRITE" if self._shapes[name] else "READ"
        needs_primary = word == "WRITE" or (self._state == "T" and self._may_write)
        if word == "COMMIT" and not self._writes:
            needs_primary = False
        if needs_primary and not server.is_primary:
            return self._refuse("READONLY")
        arrived = record.now
        self._service.arrivals[request_id] = arrived
        record.write(server.id, f"got {request_id} {word} {rest[:40]}")
        if not await server.occupy(self._service.work_s()):
            return self._refuse("BUSY")
        if needs_primary and not server.is_primary:
            return self._refuse("READONLY")
        self._check_owner(request_id, word)
        record.write(
            server.id, f"ran {request_id} {word} {rest[:40]} for {self._customer}"
        )
        self._service.runs.append(
            Run(arrived, server.id, request_id, word, self._state == "I", record.now)
        )
        rows = await self._apply(request_id, word, rest)
        return [*rows, f"DONE sig.{server.id}.{request_id}"]

    async def _apply(self, request_id: str, word: str, rest: str) -> list[str]:
        """Carry a statement out and return its rows."""
        if word == "READ":
            size = self._service.row_bytes
            row = "x" * size if size else show(self._server.shown)
            return [f"ROW {row}"] * self._service.rows
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            self._writes.append((item, data))
        if word == "COMMIT" or self._state == "I":
            writes, self._writes, self._state = self._writes, [], "I"
            if writes:
                await self._server.commit(request_id, writes)
        return []


def show(position: Position) -> str:
    """Return a position as it is sent."""
    return f"{position[0]}.{position[1]}"


def _position(text: str) -> Position:
    term, _, number = text.partition(".")
    return int(term), int(number)


def lognormal(mean_s: float, spread: float, longest_s: float) -> Callable[[], float]:
    """Return a source of work times, as the deployments' sheets describe them."""
    rng = random.Random(mean_s)
    median = mean_s / (1 + spread**2) ** 0.5

    def draw() -> float:
        return min(longest_s, median * rng.lognormvariate(0, spread))

    return draw
