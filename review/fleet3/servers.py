"""Stand-in for the database servers of one service, as the users' pages describe them.

Each server has a log of its own. A commit goes to the replicas over the network and is
acknowledged once ``sync`` of them have received it. A promoted server leads the next
term with what it has received and nothing more.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass, field

LINE_END = b"\r\n"
DARK_DROP_S = 3.0  # a connection whose far end is dark is dropped after this time


@dataclass(frozen=True)
class Entry:
    """A commit in a log."""

    term: int
    number: int
    items: tuple[tuple[str, str], ...]
    request: str

    @property
    def position(self) -> tuple[int, int]:
        """The position of the entry."""
        return (self.term, self.number)


@dataclass
class Group:
    """The servers of one service."""

    name: str
    record: object
    slots: int = 2
    queue: int = 16
    max_connections: int = 16
    sync: int = 0
    delay_s: float = 0.001
    apply_s: float = 0.02
    promote_s: float = 0.3
    handshake_s: float = 0.012
    read_s: float = 0.015
    write_s: float = 0.005
    rows: dict[str, list[str]] = field(default_factory=dict)
    servers: dict[str, Server] = field(default_factory=dict)
    term: int = 1
    acknowledged: list[Entry] = field(default_factory=list)

    @property
    def primary(self) -> Server | None:
        """The server that leads the newest term, None if it is down."""
        found = [s for s in self.servers.values() if s.leads]
        return found[0] if found else None

    def add(self, server_id: str, host: str, zone: str, port: int) -> Server:
        """Add a server; the first one leads."""
        server = Server(self, server_id, host, zone, port)
        server.leads = not self.servers
        server.term = 1
        self.servers[server_id] = server
        return server

    async def promote(self, server_id: str) -> None:
        """Let a server lead the next term with what it has received."""
        await asyncio.sleep(self.promote_s)
        chosen = self.servers[server_id]
        if chosen.leads or not chosen.is_up:
            return
        self.term += 1
        for server in self.servers.values():
            server.leads = False
        chosen.leads = True
        chosen.term = self.term
        lost = [e for e in self.acknowledged if e not in chosen.log]
        self.record.add(
            "lead",
            server=server_id,
            term=self.term,
            holds=len(chosen.log),
            acknowledged_but_not_held=[e.request for e in lost],
        )
        for server in self.servers.values():
            if server is not chosen and server.is_up and not server.is_deaf:
                server.follow(chosen)


class Server:
    """One server."""

    def __init__(
        self, group: Group, server_id: str, host: str, zone: str, port: int
    ) -> None:
        self.group = group
        self.id = server_id
        self.host = host
        self.zone = zone
        self.port = port
        self.born = round(time.time() * 1000)
        self.log: list[Entry] = []
        self.applied_at: list[float] = []
        self.leads = False
        self.term = 0
        self.is_up = True
        self.is_dark = False
        self.is_deaf = False
        self.state = "ready"
        self.sequence = 0
        self.busy = 0
        self.waiting = 0
        self.connections: set[asyncio.StreamWriter] = set()
        self.turned_busy = 0
        self._slots = asyncio.Semaphore(group.slots)
        self._server: asyncio.Server | None = None
        self._received = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**21
        )

    async def crash(self) -> None:
        """Stop at once; all connections are reset."""
        self.is_up = False
        self.leads = False
        if self._server is not None:
            self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self) -> dict[str, object]:
        """Return what the server writes into the store."""
        self.sequence += 1
        return {
            "service": self.group.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.leads else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }

    def follow(self, primary: Server) -> None:
        """Take over the log of the primary."""
        self.log = list(primary.log)
        self.term = primary.term
        now = time.monotonic()
        self.applied_at = self.applied_at[: len(self.log)]
        missing = len(self.log) - len(self.applied_at)
        self.applied_at += [now + self.group.apply_s] * missing
        self._received.set()
        self._received = asyncio.Event()

    @property
    def visible(self) -> tuple[int, int]:
        """The position that reads show."""
        shown = self.shown()
        return shown[-1].position if shown else (1, 0)

    def shown(self) -> list[Entry]:
        """Return the entries that reads show."""
        if self.leads:
            return self.log
        now = time.monotonic()
        count = sum(1 for at in self.applied_at if at <= now)
        return self.log[:count]

    async def commit(self, items: tuple[tuple[str, str], ...], request: str) -> Entry:
        """Append a commit and wait until enough replicas have received it."""
        entry = Entry(self.term, len(self.log) + 1, items, request)
        self.log.append(entry)
        self.applied_at.append(time.monotonic())
        others = [s for s in self.group.servers.values() if s is not self]
        sent = [asyncio.ensure_future(self._replicate(s, entry)) for s in others]
        while sum(entry in s.log for s in others) < self.group.sync:
            if not self.leads:
                raise ConnectionResetError
            await asyncio.sleep(0.0005)
        del sent
        if not self.leads:
            raise ConnectionResetError
        self.group.acknowledged.append(entry)
        return entry

    async def _replicate(self, replica: Server, entry: Entry) -> None:
        await asyncio.sleep(self.group.delay_s)
        is_able = replica.is_up and not replica.is_deaf and not replica.is_dark
        if not self.leads or not is_able or entry in replica.log:
            return
        replica.follow(self)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError
        ):
            await _Connection(self, reader, writer).run()
        self.connections.discard(writer)
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    @contextlib.asynccontextmanager
    async def slot(self, seconds: float):
        """Occupy a slot; yields False if the queue is full."""
        if self._slots.locked() and self.waiting >= self.group.queue:
            self.turned_busy += 1
            yield False
            return
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(seconds)
            yield True
        finally:
            self.busy -= 1
            self._slots.release()


_transactions = itertools.count(1)


class _Connection:
    def __init__(
        self, server: Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._reads_only = False
        self._snapshot: list[Entry] | None = None
        self._writes: list[tuple[str, str]] = []
        self._tx = 0
        self._names: dict[str, str] = {}
        self._values: dict[str, str] = {}
        self._tenant = ""

    async def run(self) -> None:
        server, group = self._server, self._server.group
        word, *fields = (await self._line()).split(" ")
        service, self._tenant, *wanted = fields
        if word != "START" or service != group.name or wanted not in ([], [server.id]):
            self._send("ERR MISDIRECT")
            return
        if len(server.connections) >= group.max_connections:
            self._send("ERR TOOMANY")
            return
        server.connections.add(self._writer)
        async with server.slot(group.handshake_s) as is_free:
            if not is_free:
                self._send("ERR BUSY")
                return
        self._ready()
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word == "BYE":
                return
            request, _, text = rest.partition(" ")
            await self._query(request, text)

    async def _line(self) -> str:
        line = await self._reader.readuntil(LINE_END)
        while self._server.is_dark:
            await asyncio.sleep(0.02)
        return line[:-2].decode("latin-1")

    def _send(self, line: str) -> None:
        self._writer.write(line.encode("latin-1") + LINE_END)

    def _ready(self) -> None:
        term, number = self._server.visible
        self._send(f"READY {self._state} {term}.{number}")

    def _done(self, signature: str = "-") -> None:
        self._send(f"DONE {signature}")
        self._ready()

    def _refuse(self, code: str, detail: str = "") -> None:
        if self._state == "T" and code != "BUSY":
            self._state = "E"
        self._send(f"ERR {code} {detail or self._server.id}")
        self._ready()

    async def _query(self, request: str, text: str) -> None:
        server = self._server
        after = None
        if text.startswith("AFTER "):
            _, mark, text = text.split(" ", 2)
            after = tuple(map(int, mark.split(".")))
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("ROLLBACK", "COMMIT"):
            self._refuse("BAD")
            return
        if after is not None and server.visible < after:
            self._refuse("BEHIND")
            return
        if word == "STATUS":
            await self._status()
        elif word == "BEGIN":
            self._begin(rest == "READ")
        elif word == "ROLLBACK":
            self._end()
            self._done()
        elif word == "COMMIT":
            await self._commit(request)
        elif word in ("READ", "WRITE", "EXEC"):
            await self._run(request, word, rest)
        else:
            self._session(word, rest)

    def _session(self, word: str, rest: str) -> None:
        if word == "SET":
            name, _, value = rest.partition(" ")
            self._values[name] = value
        elif word == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            self._names[name] = kind
        elif word == "RESET":
            self._values.clear()
            self._names.clear()
        elif word == "FORGET":
            self._names.pop(rest, None)
        else:
            self._refuse("BAD")
            return
        self._done()

    def _begin(self, reads_only: bool) -> None:
        if not reads_only and not self._server.leads:
            self._state = "T"
            self._refuse("READONLY")
            return
        self._state, self._reads_only = "T", reads_only
        self._writes, self._tx = [], next(_transactions)
        self._snapshot = list(self._server.shown()) if reads_only else None
        self._done()

    def _end(self) -> None:
        self._state, self._writes, self._snapshot, self._tx = "I", [], None, 0

    async def _status(self) -> None:
        server = self._server
        async with server.slot(0.001) as is_free:
            if not is_free:
                server.group.record.add("status_refused_as_busy", server=server.id)
                self._refuse("BUSY")
                return
        received = server.log[-1].position if server.log else (1, 0)
        role = "primary" if server.leads else "replica"
        held = f"{received[0]}.{received[1]}"
        self._send(
            f"ROW {role} {server.term} {held} 0 0 {server.busy} "
            f"{len(server.connections)}"
        )
        self._done()

    async def _commit(self, request: str) -> None:
        server = self._server
        if self._state != "T":
            self._end()
            self._send("ERR FAILED the transaction has failed")
            self._ready()
            return
        if self._writes and not server.leads:
            self._refuse("READONLY")
            return
        async with server.slot(server.group.write_s) as is_free:
            if not is_free:
                self._refuse("BUSY")
                return
            if self._writes:
                await server.commit(tuple(self._writes), request)
        self._end()
        self._done(f"{server.id}.{request}")

    async def _run(self, request: str, word: str, rest: str) -> None:
        server, group = self._server, self._server.group
        writes = word == "WRITE"
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self._names:
                self._refuse("NOSTMT")
                return
            writes = self._names[name] == "WRITE"
        if self._state == "T" and not self._reads_only and not server.leads:
            self._refuse("READONLY")
            return
        if writes and not server.leads:
            self._refuse("READONLY")
            return
        async with server.slot(group.write_s if writes else group.read_s) as is_free:
            if not is_free:
                self._refuse("BUSY")
                return
            item, _, data = rest.partition(" ")
            group.record.note_run(server, self._tenant, request, word, item, self._tx)
            if writes and self._state == "T":
                self._writes.append((item, data))
            elif writes:
                if not server.leads:
                    self._refuse("READONLY")
                    return
                await server.commit(((item, data),), request)
            else:
                shown = server.shown() if self._snapshot is None else self._snapshot
                self._row(item, shown)
        self._done(f"{server.id}.{request}")

    def _row(self, item: str, shown: list[Entry]) -> None:
        if item in self._server.group.rows:
            for row in self._server.group.rows[item]:
                self._send(f"ROW {row}")
            return
        for entry in reversed(shown):
            for name, data in entry.items:
                if name == item:
                    self._send(f"ROW {data}")
                    return
        self._send("ROW -")
