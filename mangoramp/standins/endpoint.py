"""A stand-in for a database server: PostgreSQL's protocol over sqlite3.

Besides SQL it answers the functions that a database group of the platform offers:
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
from .session import Admission, EndpointSession
from .store import Entry, Store

PULL_RETRY_S = 0.05
PULL_TIMEOUT_S = 1.0
APPLY_POLL_S = 0.005
HEARD = 10_000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for a server's failures.

    Attributes:
        frozen: Accept bytes and answer nothing, as a stopped process would.
        cut: Close every connection and refuse new ones.
        silent: Answer nothing on connections that are open now.
        drop_answers: How many of the next answers to lose after the work.
        drop_after: How many answers to let through before losing any.
        late_s: Seconds by which each answer is late.
        lag_s: Seconds between holding an entry and applying it.
        pull: Whether this replica takes entries from its primary.
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
    """What a stand-in server is like.

    Attributes:
        name: The server's name in its group.
        path: The file for its data.
        host: Address to listen on.
        port: Port to listen on; 0 takes a free one.
        slots: Statements that run at the same time.
        connections: Connections that may be open at the same time.
        connect_s: Seconds that a new connection takes.
        statement_s: Seconds that a statement occupies its slot.
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
    """The PostgreSQL listener; a caller that leaves in mid-answer is no error."""

    async def _handle_client(self, reader: Any, writer: Any) -> None:
        with contextlib.suppress(ConnectionError):
            await super()._handle_client(reader, AnswerWriter(writer))


class Endpoint:
    """One stand-in database server.

    Args:
        options: What the server is like.
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
        self.received: list[str] = []
        self.heard: deque[str] = deque(maxlen=HEARD)
        self._changed = asyncio.Event()
        self._held_at: dict[int, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._server = Listener(
            session_factory=lambda: EndpointSession(self),
            auth_plugin_factory=lambda username: Admission(self),
        )
        if options.primary and self.store.term in (0, 1):
            self.store.set_term(1)
            self.primary = True

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._server.sockets()[0].getsockname()[1])

    async def start(self) -> None:
        """Listen, and replicate from the primary once told which it is."""
        await self._server.start_server(self.options.host, self.options.port)
        self._tasks = [
            asyncio.ensure_future(self._pull_forever()),
            asyncio.ensure_future(self._apply_forever()),
        ]

    async def stop(self) -> None:
        """Close every connection and stop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server.close()
        self.store.close()

    def set_faults(self, faults: Faults) -> None:
        """Take over a set of switches."""
        if faults.silent and not self.faults.silent:
            for session in self.sessions:
                session.silent = True
        self.faults = faults
        if faults.cut:
            for session in list(self.sessions):
                session.abort()

    def status(self) -> tuple[Any, ...]:
        """The row that ``mangoramp_status`` answers."""
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

    def touch(self) -> None:
        """Wake those who wait for a change of state."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, state: tuple[int, int, int], timeout_s: float) -> None:
        """Wait until (term, held, applied) is no longer ``state``."""
        changed = self._changed
        if (self.store.term, self.store.held, self.store.applied) != state:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def fence(self, term: int) -> None:
        """Move to a higher term; a primary of a lower one takes no more writes."""
        if term <= self.store.term:
            return
        self.store.set_term(term)
        self.primary = False
        self.primary_address = None
        self.touch()

    def promote(self, term: int) -> None:
        """Become the primary of a term to which this server was fenced.

        The term opens with an entry that changes nothing, as a PostgreSQL server
        writes one at its promotion.
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
        self.touch()

    def follow(self, term: int, address: tuple[str, int]) -> None:
        """Replicate from the primary of a term."""
        if term < self.store.term:
            raise PgError("55000", f"follow for term {term} in {self.store.term}")
        if term == self.store.term and self.primary:
            raise PgError("55000", f"this is the primary of term {term}")
        self.fence(term)
        self.primary_address = address

    def hold(self, entries: list[Entry]) -> None:
        """Take entries from the primary."""
        now = asyncio.get_running_loop().time()
        for entry in entries:
            self._held_at[entry.position] = now
        self.store.receive(entries)
        self.touch()

    async def _apply_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            changed = self._changed
            while self.store.applied < self.store.held and not self.primary:
                due = self._held_at.get(self.store.applied + 1, 0.0)
                if due + self.faults.lag_s > loop.time():
                    break
                async with self.write_lock:
                    self._held_at.pop(self.store.applied + 1, None)
                    self.store.apply_next()
                self.touch()
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
                await self._pull_once(conn)
        finally:
            conn.terminate()

    async def _pull_once(self, conn: asyncpg.Connection) -> None:
        store = self.store
        asked = (store.term, store.log_term, store.held)
        rows = await conn.fetch(
            "SELECT * FROM mangoramp_log($1, $2, $3)",
            *map(str, asked),
            timeout=PULL_TIMEOUT_S,
        )
        if (store.term, store.log_term, store.held) != asked or self.primary:
            return
        entries = [Entry(row["position"], row["term"], row["body"]) for row in rows]
        if entries and entries[0].position < 0:
            store.truncate(max(0, store.held - 1))
            self.touch()
        elif entries and self.faults.pull:
            self.hold(entries)


class FaultHandler(tornado.web.RequestHandler):
    """Sets a server's switches over HTTP: ``PUT /faults`` with all of them."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Remember the server."""
        self.endpoint = endpoint

    def put(self) -> None:
        """Take over the switches of the body."""
        self.endpoint.set_faults(msgspec.json.decode(self.request.body, type=Faults))

    def get(self) -> None:
        """Show the statements that the server has received."""
        self.write(msgspec.json.encode(self.endpoint.received))


def control_application(endpoint: Endpoint) -> tornado.web.Application:
    """The HTTP application of a stand-in's control port."""
    return tornado.web.Application([("/faults", FaultHandler, {"endpoint": endpoint})])
