"""Stand-ins for database servers with the users' wire protocol.

A service has one log. The primary appends to it; each replica receives an entry over
the network and applies it later. Reads, writes, commits, STATUS and new connections
occupy a slot; at most ``queue`` of them wait for one, and the others are refused with
BUSY.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

from platform_api import HOST, Store

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
RETRANSMIT_S = 0.2  # the least time after which TCP sends a lost packet again


@dataclass(frozen=True)
class Entry:
    """A commit."""

    term: int
    number: int
    request_id: str
    items: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Profile:
    """How the servers of a service behave.

    Attributes:
        slots: Statements that a server runs at once.
        queue: Statements that may wait for a slot.
        connections: Connections that a server accepts.
        handshake_s: Seconds for which a new connection occupies a slot.
        work_s: Mean seconds of a read, write or commit.
        spread: Standard deviation of these, as a part of the mean.
        max_work_s: The most seconds that one takes; one in a hundred takes five times
            as long as it would.
        receive_s: Seconds until a replica has received a commit.
        apply_s: Seconds until it has applied it then.
        promote_s: Seconds from the order to the change of primary.
        sync_replicas: Replicas that must have received a commit before it is
            acknowledged.
    """

    slots: int = 2
    queue: int = 24
    connections: int = 16
    handshake_s: float = 0.012
    work_s: float = 0.009
    spread: float = 0.7
    max_work_s: float = 0.022
    receive_s: float = 0.001
    apply_s: float = 0.06
    promote_s: float = 1.0
    sync_replicas: int = 0

    def draw_work_s(self, rng: random.Random) -> float:
        """Return the seconds that one read, write or commit takes."""
        variance = math.log(1 + self.spread**2)
        mean = math.log(self.work_s) - variance / 2
        work_s = rng.lognormvariate(mean, math.sqrt(variance))
        return min(self.max_work_s, 5 * work_s if rng.random() < 0.01 else work_s)


class BusyError(Exception):
    """All slots are taken and too many requests wait for one."""


class Service:
    """A database service: its servers and what they ran.

    Args:
        name: The name of the service.
        zones: The zones of its servers; the first server is the primary.
        profile: How the servers behave.
        note: Writes a line to the record.
    """

    def __init__(
        self,
        name: str,
        zones: tuple[str, ...],
        profile: Profile,
        note: Callable[[str], None],
    ) -> None:
        self.name = name
        self.profile = profile
        self.note = note
        self.term = 1
        self.rng = random.Random(name)
        self.servers = [Server(self, f"i-{name}-{n}", z) for n, z in enumerate(zones)]
        self.primary = self.servers[0]
        self.discarded: list[Entry] = []
        self._received = asyncio.Condition()
        self._tasks: set[asyncio.Task[Any]] = set()

    def find(self, server_id: str) -> Server | None:
        """Return a server by its id."""
        return next((s for s in self.servers if s.id == server_id), None)

    async def start(self, store: Store) -> None:
        """Start all servers and register them."""
        for server in self.servers:
            await server.start()
            self.spawn(server.beat(store))

    def add_server(self, zone: str, store: Store) -> None:
        """Start one more server, which gets the log of the primary."""
        number = len(self.servers)
        server = Server(self, f"i-{self.name}-{number}", zone)
        server.log = list(self.primary.log)
        server.applied = len(server.log)
        self.servers.append(server)
        self.spawn(self._start_server(server, store))

    async def _start_server(self, server: Server, store: Store) -> None:
        await server.start()
        await server.beat(store)

    def spawn(self, coro: Any) -> None:
        """Run a coroutine until the service is closed."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def commit(
        self, server: Server, request_id: str, items: list[tuple[str, str]]
    ) -> bool:
        """Commit at the primary; return whether it may be acknowledged."""
        last = server.log[-1].number if server.log else 0
        entry = Entry(self.term, last + 1, request_id, tuple(items))
        server.log.append(entry)
        server.applied = len(server.log)
        for other in self.servers:
            if other is not server:
                self.spawn(other.receive(server, entry))
        if not self.profile.sync_replicas:
            return True
        async with self._received:
            await self._received.wait_for(
                lambda: self._count_received(server, entry) or not server.is_up
            )
        return server.is_up

    def _count_received(self, server: Server, entry: Entry) -> int:
        return sum(s.has(entry) for s in self.servers if s is not server)

    async def wake_commits(self) -> None:
        """Have commits that wait for a replica check again."""
        async with self._received:
            self._received.notify_all()

    def promote(self, server_id: str) -> bool:
        """Order a change of primary; return whether the server runs."""
        server = self.find(server_id)
        if server is None or not server.is_up:
            return False
        if server is not self.primary:
            self.spawn(self._promote(server))
        return True

    async def _promote(self, server: Server) -> None:
        await asyncio.sleep(self.profile.promote_s)
        if not server.is_up or server is self.primary:
            return
        kept = len(server.log)
        longest = max((s.log for s in self.servers), key=len)
        self.discarded += longest[kept:]
        for other in self.servers:
            del other.log[kept:]
            other.applied = min(other.applied, kept)
        server.applied = kept
        self.term += 1
        self.primary = server
        self.note(f"{server.id} leads term {self.term} with {kept} commits")
        for changed in self.servers:
            changed.register()

    def close(self) -> None:
        """Stop all servers."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.stop()


class Server:
    """One server of a service.

    Attributes:
        log: The commits that it has received.
        applied: How many of them it shows.
        is_deaf: Whether it receives nothing.
        loss: The part of the packets with commits that are lost on the way to it.
        is_draining: Whether it reports that it is about to leave.
        is_up: Whether it runs.
    """

    def __init__(self, service: Service, server_id: str, zone: str) -> None:
        self.service = service
        self.id = server_id
        self.zone = zone
        self.log: list[Entry] = []
        self.applied = 0
        self.is_deaf = False
        self.loss = 0.0
        self.is_draining = False
        self.is_up = False
        self.port = 0
        self.busy = 0
        self.refused_status = 0
        self.answered_status = 0
        self._slots = asyncio.Semaphore(service.profile.slots)
        self._waiting = 0
        self._sequence = 0
        self._stalled_until = 0.0
        self._born = int(time.time() * 1000)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._store: Store | None = None

    def has(self, entry: Entry) -> bool:
        """Return whether it has received a commit that is part of the log."""
        return len(self.log) >= entry.number and self.log[entry.number - 1] is entry

    @property
    def position(self) -> str:
        """The position of the last commit that it shows."""
        return _position(self.log[self.applied - 1] if self.applied else None)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.is_up = False
        self.stop()
        self.service.spawn(self.service.wake_commits())

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def beat(self, store: Store) -> None:
        """Register, and expire some time after a crash."""
        self._store = store
        silent = 0
        while silent < MISSED_HEARTBEATS:
            silent = 0 if self.is_up else silent + 1
            self.register()
            await asyncio.sleep(HEARTBEAT_S)
        store.delete("servers", self.id)

    def register(self) -> None:
        """Write the registry entry; a count alone makes no change."""
        if self._store is None or not self.is_up:
            return
        self._sequence += 1
        entry = {
            "service": self.service.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.profile.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.service.primary is self else "replica",
            "born": self._born,
        }
        known = self._store.get("servers", self.id)
        if known is None or {**known.spec, "sequence": 0} != {**entry, "sequence": 0}:
            self._store.write("servers", self.id, {**entry, "sequence": self._sequence})

    async def receive(self, primary: Server, entry: Entry) -> None:
        """Receive a commit after the network's delay, and apply it later."""
        profile = self.service.profile
        if self.service.rng.random() < self.loss:
            # What follows on the connection waits for the retransmission, too.
            now = time.monotonic()
            self._stalled_until = max(self._stalled_until, now + RETRANSMIT_S)
        await asyncio.sleep(profile.receive_s)
        while self.is_deaf or not self.is_up:
            await asyncio.sleep(0.01)
        while time.monotonic() < self._stalled_until:
            await asyncio.sleep(self._stalled_until - time.monotonic())
        if self.service.primary is not primary or not primary.has(entry):
            return
        # In order: what was missed comes first.
        for missed in primary.log[len(self.log) : entry.number]:
            self.log.append(missed)
        await self.service.wake_commits()
        await asyncio.sleep(profile.apply_s * self.service.rng.uniform(0.5, 1.5))
        self.applied = max(self.applied, min(entry.number, len(self.log)))

    @contextlib.asynccontextmanager
    async def slot(self, work_s: float) -> AsyncIterator[None]:
        """Occupy a slot for some time, or refuse."""
        if self._slots.locked() and self._waiting >= self.service.profile.queue:
            raise BusyError
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(work_s)
            yield
        finally:
            self.busy -= 1
            self._slots.release()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await _Connection(self, reader, writer).run(len(self._writers))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._writers)


def _position(entry: Entry | None) -> str:
    return f"{entry.term}.{entry.number}" if entry is not None else "1.0"


def _parse(position: str) -> tuple[int, int]:
    term, _, number = position.partition(".")
    return int(term), int(number)


class _Connection:
    """A connection to a server."""

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
        self._is_plain = False
        self._items: list[tuple[str, str]] = []

    async def run(self, connections: int) -> None:
        word, *fields = (await self._read()).split(" ")
        if word != "START" or fields[0] != self._service.name:
            return await self._refuse_start("MISDIRECT")
        if len(fields) > 2 and fields[2] != self._server.id:
            return await self._refuse_start("MISDIRECT")
        if connections > self._service.profile.connections:
            return await self._refuse_start("TOOMANY")
        try:
            async with self._server.slot(self._service.profile.handshake_s):
                pass
        except BusyError:
            return await self._refuse_start("BUSY")
        self._send(f"READY I {self._server.position}")
        while True:
            _, request_id, text = (await self._read()).split(" ", 2)
            lines = await self._answer(request_id, text)
            self._send(*lines, f"READY {self._state} {self._server.position}")

    async def _read(self) -> str:
        line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode("latin-1")

    def _send(self, *lines: str) -> None:
        self._writer.write("".join(f"{x}\r\n" for x in lines).encode("latin-1"))

    async def _refuse_start(self, code: str) -> None:
        self._send(f"ERR {code} {self._server.id}")
        await self._writer.drain()

    def _error(self, code: str) -> list[str]:
        if self._state == "T" and code != "BUSY":
            self._state = "E"
        return [f"ERR {code} {self._server.id}"]

    async def _answer(self, request_id: str, text: str) -> list[str]:
        after = (0, 0)
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = _parse(position)
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return [f"ERR BAD {self._server.id}"]
        if word in ("SET", "RESET", "PREPARE", "FORGET"):
            return ["DONE -"]
        if word == "ROLLBACK":
            self._state, self._items = "I", []
            return ["DONE -"]
        if word == "BEGIN":
            return self._begin(rest, after)
        try:
            return await self._run(request_id, word, rest, after)
        except BusyError:
            if word == "STATUS":
                self._server.refused_status += 1
            return self._error("BUSY")

    def _begin(self, rest: str, after: tuple[int, int]) -> list[str]:
        if _parse(self._server.position) < after:
            return self._error("BEHIND")
        self._is_plain = rest != "READ"
        if self._is_plain and not self._leads():
            return self._error("READONLY")
        self._state, self._items = "T", []
        return ["DONE -"]

    def _leads(self) -> bool:
        return self._service.primary is self._server

    async def _run(
        self, request_id: str, word: str, rest: str, after: tuple[int, int]
    ) -> list[str]:
        work_s = 0.001
        if word != "STATUS":
            work_s = self._service.profile.draw_work_s(self._service.rng)
        async with self._server.slot(work_s):
            if word == "STATUS":
                return self._status()
            lost_lead = self._state == "T" and self._is_plain and not self._leads()
            if lost_lead or (word == "WRITE" and not self._leads()):
                return self._error("READONLY")
            if _parse(self._server.position) < after:
                return self._error("BEHIND")
            done = f"DONE {self._server.id}.{request_id}"
            if word == "READ":
                return [f"ROW {self._show(rest)}", done]
            return await self._write(request_id, word, rest, done)

    def _status(self) -> list[str]:
        server = self._server
        server.answered_status += 1
        role = "primary" if self._leads() else "replica"
        received = _position(server.log[-1] if server.log else None)
        lag = len(server.log) - server.applied
        counts = f"{lag} {server.busy} {server.open_connections}"
        return [f"ROW {role} {self._service.term} {received} 0 {counts}", "DONE -"]

    def _show(self, item: str) -> str:
        value = "-"
        for entry in self._server.log[: self._server.applied]:
            value = dict(entry.items).get(item, value)
        self._service.note(
            f"{self._server.id} reads {item} at {self._server.position}: {value}"
        )
        return value

    async def _write(
        self, request_id: str, word: str, rest: str, done: str
    ) -> list[str]:
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            self._items.append((item, data))
            if self._state == "T":
                return [done]
        if word == "COMMIT" and self._state == "E":
            self._state, self._items = "I", []
            return [f"ERR ABORTED {self._server.id}"]
        self._state = "I"
        items, self._items = self._items, []
        if items and not await self._service.commit(self._server, request_id, items):
            raise ConnectionError
        return [done]
