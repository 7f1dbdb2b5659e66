"""Stand-in database server that speaks the PostgreSQL protocol over sqlite3.

Besides SQL it implements the replication functions of the platform's database groups:
``mangoramp_status``, ``_wait``, ``_fence``, ``_promote``, ``_follow`` and ``_log``.
"""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import asyncpg
import msgspec
import tornado.web
from pg_mimic import PgError, PgServer

from ._buffer import AnswerWriter
from .session import ConnectionAdmission, EndpointSession
from .store import LogEntry, Store

PULL_RETRY_S = 0.05
PULL_TIMEOUT_S = 1.0
APPLY_POLL_S = 0.005
MAX_RECEIVED_PARAMETERS = 10_000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault injection settings of a server.

    Attributes:
        frozen: Accept data but send no answers, like a stopped process.
        cut: Close every connection and refuse new ones.
        silent: Send no answers on the connections that are currently open.
        drop_answers: Number of the next answers to drop after the statement has run.
        drop_after: Number of answers to send before dropping starts.
        late_s: Delay of each answer, in seconds.
        lag_s: Delay between receiving a log entry and applying it, in seconds.
        pull: Whether this replica fetches log entries from its primary.
    """

    frozen: bool = False
    cut: bool = False
    silent: bool = False
    drop_answers: int = 0
    drop_after: int = 0
    late_s: float = 0.0
    lag_s: float = 0.0
    pull: bool = True


@dataclass(frozen=True, slots=True)
class EndpointOptions:
    """Configuration of a stand-in server.

    Attributes:
        name: The server's name in its group.
        path: The sqlite3 file that stores the server's data.
        host: Address to listen on.
        port: Port to listen on; 0 selects a free port.
        slots: Maximum number of statements that run concurrently.
        connections: Maximum number of open connections.
        connect_s: Time to establish a connection, in seconds.
        statement_s: Time that a statement occupies its slot, in seconds.
        primary: Whether to start as the primary of term 1.
    """

    name: str
    path: Path
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 2
    connections: int = 16
    connect_s: float = 0.0
    statement_s: float = 0.0
    primary: bool = False


class Listener(PgServer):
    """PostgreSQL listener that ignores clients disconnecting during an answer."""

    async def _handle_client(self, reader: Any, writer: Any) -> None:
        with contextlib.suppress(ConnectionError):
            await super()._handle_client(reader, AnswerWriter(writer))


class Endpoint:
    """A stand-in database server.

    Args:
        options: The server's configuration.
    """

    def __init__(self, options: EndpointOptions) -> None:
        self.options = options
        self.faults = Faults()
        self.store = Store(options.path)
        self.primary = False
        self.primary_address: tuple[str, int] | None = None
        self.incarnation = uuid.uuid4().hex
        self.write_lock = asyncio.Lock()
        self.slots = asyncio.Semaphore(options.slots)
        self.sessions: set[EndpointSession] = set()
        self.received_statements: list[str] = []
        self.received_parameters: deque[str] = deque(maxlen=MAX_RECEIVED_PARAMETERS)
        self._changed = asyncio.Event()
        self._received_at: dict[int, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._server = Listener(
            session_factory=lambda: EndpointSession(self),
            auth_plugin_factory=lambda username: ConnectionAdmission(self),
        )
        if options.primary and self.store.term in (0, 1):
            self.store.set_term(1)
            self.primary = True

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._server.sockets()[0].getsockname()[1])

    async def start(self) -> None:
        """Start listening, and replicate as soon as :meth:`follow` names a primary."""
        await self._server.start_server(self.options.host, self.options.port)
        self._tasks = [
            asyncio.ensure_future(self._pull_forever()),
            asyncio.ensure_future(self._apply_forever()),
        ]

    async def stop(self) -> None:
        """Close all connections and stop the server."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server.close()
        self.store.close()

    def set_faults(self, faults: Faults) -> None:
        """Replace the fault settings and apply those that affect open connections."""
        if faults.silent and not self.faults.silent:
            for session in self.sessions:
                session.silent = True
        self.faults = faults
        if faults.cut:
            for session in list(self.sessions):
                session.abort()

    def status(self) -> tuple[Any, ...]:
        """Return the result row of ``mangoramp_status``."""
        store = self.store
        return (
            self.options.name,
            self.incarnation,
            store.term,
            store.log_term,
            store.held,
            store.applied,
            self.primary,
            store.term_start,
            store.term_previous,
        )

    def notify_changed(self) -> None:
        """Wake the tasks that wait for a change of the replication state."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, state: tuple[int, int, int], timeout_s: float) -> None:
        """Wait until (term, held, applied) differs from ``state`` or the time is up."""
        changed = self._changed
        if (self.store.term, self.store.held, self.store.applied) != state:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def fence(self, term: int) -> None:
        """Move to a higher term; a primary of a lower term stops accepting writes."""
        if term <= self.store.term:
            return
        self.store.set_term(term)
        self.primary = False
        self.primary_address = None
        self.notify_changed()

    def promote(self, term: int) -> None:
        """Become the primary of the term that this server was fenced to.

        The term starts with an empty log entry, like the record that PostgreSQL
        writes to its log at a promotion.
        """
        if term != self.store.term:
            raise PgError("55000", f"promotion for term {term} in {self.store.term}")
        if self.primary:
            return
        while self.store.applied < self.store.held:
            self.store.apply_next()
        if self.store.log_term != term:
            self.store.open_term()
        self.primary = True
        self.primary_address = None
        self.notify_changed()

    def follow(self, term: int, address: tuple[str, int]) -> None:
        """Replicate from the primary of a term."""
        if term < self.store.term:
            raise PgError("55000", f"follow for term {term} in {self.store.term}")
        if term == self.store.term and self.primary:
            raise PgError("55000", f"this is the primary of term {term}")
        self.fence(term)
        self.primary_address = address

    def store_entries(self, entries: list[LogEntry]) -> None:
        """Store log entries received from the primary."""
        now = asyncio.get_running_loop().time()
        for entry in entries:
            self._received_at[entry.position] = now
        self.store.receive(entries)
        self.notify_changed()

    async def _apply_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            changed = self._changed
            while self.store.applied < self.store.held and not self.primary:
                received_at = self._received_at.get(self.store.applied + 1, 0.0)
                if received_at + self.faults.lag_s > loop.time():
                    break
                async with self.write_lock:
                    self._received_at.pop(self.store.applied + 1, None)
                    self.store.apply_next()
                self.notify_changed()
                changed = self._changed
            if self.store.applied < self.store.held:
                await asyncio.sleep(APPLY_POLL_S)
                continue
            await changed.wait()

    async def _pull_forever(self) -> None:
        while True:
            address = self.primary_address
            if address is None or not self.faults.pull or self.faults.frozen:
                await asyncio.sleep(PULL_RETRY_S)
                continue
            try:
                await self._pull_from(address)
            except (OSError, asyncpg.PostgresError, TimeoutError):
                await asyncio.sleep(PULL_RETRY_S)

    async def _pull_from(self, address: tuple[str, int]) -> None:
        host, port = address
        conn = await asyncpg.connect(
            host=host, port=port, user="replica", database="log", ssl=False, timeout=2
        )
        try:
            while self.primary_address == address and self.faults.pull:
                await self._pull_entries(conn)
        finally:
            conn.terminate()

    async def _pull_entries(self, conn: asyncpg.Connection) -> None:
        store = self.store
        requested_state = (store.term, store.log_term, store.held)
        rows = await conn.fetch(
            "SELECT * FROM mangoramp_log($1, $2, $3)",
            *map(str, requested_state),
            timeout=PULL_TIMEOUT_S,
        )
        if (store.term, store.log_term, store.held) != requested_state or self.primary:
            return
        entries = [LogEntry(row["position"], row["term"], row["body"]) for row in rows]
        if entries and entries[0].position < 0:
            store.truncate(max(0, store.held - 1))
            self.notify_changed()
        elif entries and self.faults.pull:
            self.store_entries(entries)


class FaultHandler(tornado.web.RequestHandler):
    """Sets fault settings (``PUT /faults``) and lists received statements (``GET``)."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Store the server that the handler controls."""
        self.endpoint = endpoint

    def put(self) -> None:
        """Apply the fault settings of the request body."""
        self.endpoint.set_faults(msgspec.json.decode(self.request.body, type=Faults))

    def get(self) -> None:
        """Send the statements that the server has received."""
        self.write(msgspec.json.encode(self.endpoint.received_statements))


def control_application(endpoint: Endpoint) -> tornado.web.Application:
    """Create the HTTP application of a stand-in's control port."""
    return tornado.web.Application([("/faults", FaultHandler, {"endpoint": endpoint})])
