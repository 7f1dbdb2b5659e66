"""A stand-in for a database server: PostgreSQL's protocol over sqlite3.

Besides SQL it answers the functions that a database group of the platform offers:
``mangoramp_status``, ``_wait``, ``_fence``, ``_promote``, ``_follow`` and ``_log``.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import sqlite3
import uuid
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import asyncpg
import msgspec
import tornado.web
from pg_mimic import PgError, PgServer, ResultColumn, Statement
from pg_mimic.auth import AuthPlugin
from pg_mimic.messages import make_error_response
from pg_mimic.session import BaseSession, Portal
from pg_mimic.stream import ConnectionClosed
from pg_mimic.types import BOOL, BYTEA, FLOAT8, INT8, TEXT

from ._buffer import AnswerWriter
from .store import Change, Entry, Params, Store

PULL_WAIT_MS = 500
PULL_LIMIT = 200
PULL_RETRY_S = 0.05
PULL_TIMEOUT_S = 1.0
APPLY_POLL_S = 0.005
HEARD = 10_000
READ_WORDS = frozenset({"SELECT", "WITH", "VALUES", "EXPLAIN"})
CONTROL_WORDS = frozenset(
    {"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "SET", "RESET", "DISCARD"}
)
IDLE_LIMIT = "idle_in_transaction_session_timeout"
FUNCTION = re.compile(r"^\s*SELECT \* FROM (mangoramp_\w+)\(([^)]*)\)\s*$")
COMMENTS = re.compile(r"^(?:\s+|--[^\n]*\n|/\*.*?\*/)+", re.DOTALL)
AGGREGATE = re.compile(r"^(count|sum|max|min|length|total)\b", re.IGNORECASE)


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


class Admission(AuthPlugin):
    """Lets a connection in, after its cost, while there is room."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    async def authenticate(
        self, stream: Any, username: str, identity_provider: Any
    ) -> bool:
        """Admit the connection, or close it with SQLSTATE 53300."""
        options = self._endpoint.options
        while self._endpoint.faults.frozen:
            await asyncio.sleep(PULL_RETRY_S)
        if self._endpoint.faults.cut:
            raise ConnectionClosed
        await asyncio.sleep(options.connect_s)
        if len(self._endpoint.sessions) >= options.connections:
            fields = {"S": "FATAL", "V": "FATAL", "C": "53300", "M": "too many clients"}
            stream.write(make_error_response(fields))
            await stream.drain()
            raise ConnectionClosed
        return True


class EndpointSession(BaseSession):
    """One connection of a stand-in server."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.silent = False
        self.idle_limit_s = 0.0
        self._conn: sqlite3.Connection | None = None
        self._protocol: Any = None
        self._changes: list[Change] = []
        self._term = 0

    async def init(self, connection: Any) -> None:
        """Open the session's own database connection."""
        params = connection.startup_params
        read_only = params.get("default_transaction_read_only")
        self.idle_limit_s = int(params.get(IDLE_LIMIT, 0)) / 1000
        self._protocol = connection
        self.endpoint.heard.append(repr(connection.startup_params))
        self._conn = self.endpoint.store.connect(read_only=read_only == "on")
        self.endpoint.sessions.add(self)

    async def close(self) -> None:
        """Roll back what is open and leave."""
        self.endpoint.sessions.discard(self)
        self.rollback()
        if self._conn is not None:
            self._conn.close()

    def abort(self) -> None:
        """Cut the connection."""
        self._protocol.stream.writer.transport.abort()

    async def prepare(self, sql: str, param_oids: list[int | None]) -> Statement:
        """Parse one statement."""
        await self.gate()
        return EndpointStatement(self, sql)

    async def gate(self) -> None:
        """Hold back while the server is frozen or the connection silent.

        What a silent connection leaves open is rolled back after its
        ``idle_in_transaction_session_timeout``, as a PostgreSQL server does.
        """
        loop = asyncio.get_running_loop()
        since = loop.time()
        while self.endpoint.faults.frozen or self.silent:
            await asyncio.sleep(APPLY_POLL_S)
            if self.silent and 0 < self.idle_limit_s < loop.time() - since:
                self.abort()
                raise ConnectionClosed

    async def after(self) -> None:
        """Lose or delay the answer to finished work."""
        faults = self.endpoint.faults
        if faults.late_s:
            await asyncio.sleep(faults.late_s)
        if faults.drop_answers and faults.drop_after:
            faults.drop_after -= 1
        elif faults.drop_answers:
            faults.drop_answers -= 1
            self.abort()
            raise ConnectionClosed
        await self.gate()

    @property
    def conn(self) -> sqlite3.Connection:
        """The session's database connection."""
        assert self._conn is not None
        return self._conn

    async def control(self, word: str) -> None:
        """Run BEGIN, COMMIT, ROLLBACK, or a setting that has no effect here."""
        if word in ("BEGIN", "START"):
            self._protocol.tx_status = b"T"
        elif word in ("COMMIT", "END"):
            await self._commit()
        elif word == "ROLLBACK":
            self.rollback()

    def rollback(self) -> None:
        """End the open transaction without its changes."""
        if self._protocol is not None:
            self._protocol.tx_status = b"I"
        self._changes = []
        if self._conn is None or not self._conn.in_transaction:
            return
        self._conn.execute("ROLLBACK")
        self.endpoint.write_lock.release()

    async def run(self, sql: str, params: Params) -> list[tuple[Any, ...]]:
        """Run one statement and return its rows."""
        if is_read(sql):
            return self._execute(sql, params)
        await self.begin_write()
        try:
            rows = self._execute(sql, params)
        except PgError:
            if self._protocol.tx_status == b"I":
                self.rollback()
            raise
        self._changes.append(Change(sql, params))
        if self._protocol.tx_status == b"I":
            await self._commit()
        return rows

    async def begin_write(self) -> None:
        """Open the session's write; the wait for others' holds no slot."""
        if self.conn.in_transaction:
            return
        await self.endpoint.write_lock.acquire()
        if not self.endpoint.primary:
            self.endpoint.write_lock.release()
            raise PgError("25006", "cannot write: this server is a replica")
        try:
            self.conn.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as exc:
            self.endpoint.write_lock.release()
            raise PgError("25006", str(exc)) from None
        self._term = self.endpoint.store.term

    async def _commit(self) -> None:
        failed = self._protocol.tx_status == b"E"
        if not self.conn.in_transaction or failed:
            self.rollback()
            return
        endpoint = self.endpoint
        if not endpoint.primary or endpoint.store.term != self._term:
            self.rollback()
            raise PgError("25006", "the term ended before the commit")
        endpoint.store.commit(self.conn, tuple(self._changes))
        self._changes = []
        self._protocol.tx_status = b"I"
        endpoint.write_lock.release()
        endpoint.touch()

    def _execute(self, sql: str, params: Params) -> list[tuple[Any, ...]]:
        try:
            return self.conn.execute(sql, params).fetchall()
        except sqlite3.IntegrityError as exc:
            raise PgError("23505", str(exc)) from None
        except sqlite3.Error as exc:
            raise PgError(sqlstate_of(exc), str(exc)) from None


class EndpointStatement(Statement):
    """One parsed statement, of SQL or of the group's functions."""

    def __init__(self, session: EndpointSession, sql: str) -> None:
        self.session = session
        self.sql = sql
        self.param_oids = [TEXT] * param_count(sql)
        self._first: list[ResultColumn] | None = None

    async def describe(self) -> list[ResultColumn] | None:
        """The columns of the answer, None if it has none."""
        found = FUNCTION.match(self.sql)
        if found:
            return FUNCTION_COLUMNS[found[1]]
        word = sql_word(self.sql)
        if word in CONTROL_WORDS:
            return None
        columns = self._describe_sql(word)
        self._first = self._first or columns
        if columns != self._first:
            raise PgError("0A000", "cached plan must not change result type")
        return columns

    def bind(self, params: list[str | None]) -> Portal:
        """Bind the parameters."""
        return EndpointPortal(self, tuple(params))

    def _describe_sql(self, word: str) -> list[ResultColumn] | None:
        if word not in READ_WORDS and " RETURNING " not in self.sql.upper():
            return None
        conn = self.session.conn
        blank = (None,) * param_count(self.sql)
        try:
            if word in READ_WORDS:
                cursor = conn.execute(f"SELECT * FROM ({self.sql}) LIMIT 0", blank)
                names = [column[0] for column in cursor.description]
            else:
                names = re.split(r"(?i) RETURNING ", self.sql)[1].split(",")
        except sqlite3.Error as exc:
            raise PgError(sqlstate_of(exc), str(exc)) from None
        types = self.session.endpoint.store.column_types()
        return [column_of(name.strip(), types) for name in names]


class EndpointPortal(Portal):
    """A bound statement; the first execution runs it."""

    def __init__(self, statement: EndpointStatement, params: Params) -> None:
        self._statement = statement
        self._params = params

    async def execute(self, max_rows: int) -> tuple[list[tuple[Any, ...]], bool]:
        """Run the statement and return all its rows."""
        session = self._statement.session
        sql = self._statement.sql
        await session.gate()
        endpoint = session.endpoint
        endpoint.received.append(sql)
        endpoint.heard.append(repr(self._params))
        found = FUNCTION.match(sql)
        if found:
            rows = await FUNCTIONS[found[1]](endpoint, self._params)
            await session.gate()
            return rows, False
        word = sql_word(sql)
        if word in CONTROL_WORDS:
            await session.control(word)
        else:
            if not is_read(sql):
                await session.begin_write()
            async with endpoint.slots:
                await asyncio.sleep(endpoint.options.statement_s)
                rows = await session.run(sql, self._params)
                await session.after()
                columns = await self._statement.describe()
                return [coerce(row, columns or []) for row in rows], False
        await session.after()
        return [], False


def sql_word(sql: str) -> str:
    """The first word of a statement, in capitals."""
    found = re.match(r"[A-Za-z]+", COMMENTS.sub("", sql))
    return found[0].upper() if found else ""


def is_read(sql: str) -> bool:
    """Whether a statement changes nothing."""
    return sql_word(sql) in READ_WORDS and " RETURNING " not in sql.upper()


def param_count(sql: str) -> int:
    """How many ``$n`` parameters a statement has."""
    return max((int(n) for n in re.findall(r"\$(\d+)", sql)), default=0)


def column_of(name: str, types: dict[str, str]) -> ResultColumn:
    """Declare one column by what the schema says of its name."""
    kind = types.get(name.lower(), "")
    if "INT" in kind or AGGREGATE.match(name):
        return ResultColumn(name, INT8)
    if kind in ("REAL", "FLOAT", "DOUBLE PRECISION"):
        return ResultColumn(name, FLOAT8)
    if kind == "BLOB":
        return ResultColumn(name, BYTEA)
    return ResultColumn(name, TEXT)


def coerce(row: tuple[Any, ...], columns: list[ResultColumn]) -> tuple[Any, ...]:
    """Turn sqlite3's values into those of the declared columns."""
    casts: dict[int, Callable[[Any], Any]] = {INT8: int, FLOAT8: float, TEXT: str}
    return tuple(
        value if value is None or column.oid not in casts else casts[column.oid](value)
        for value, column in zip(row, columns, strict=False)
    )


def sqlstate_of(exc: sqlite3.Error) -> str:
    """The SQLSTATE nearest to one of sqlite3's errors."""
    text = str(exc)
    if "no such table" in text:
        return "42P01"
    if "no such column" in text:
        return "42703"
    if "readonly" in text:
        return "25006"
    return "42601"


async def _status(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    return [endpoint.status()]


async def _wait(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    term, held, applied, timeout_ms = (int(value or 0) for value in params)
    await endpoint.wait((term, held, applied), timeout_ms / 1000)
    return [endpoint.status()]


async def _fence(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    async with endpoint.write_lock:
        endpoint.fence(int(params[0] or 0))
    return [endpoint.status()]


async def _promote(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    async with endpoint.write_lock:
        endpoint.promote(int(params[0] or 0))
    return [endpoint.status()]


async def _follow(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    term, host, port = params
    endpoint.follow(int(term or 0), (host or "", int(port or 0)))
    return [endpoint.status()]


async def _log(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    term, log_term, after = (int(value or 0) for value in params)
    store = endpoint.store
    if term > store.term:
        endpoint.fence(term)
    if not endpoint.primary or term != store.term:
        raise PgError("55000", "not the primary of this term")
    if after > store.held or store.term_at(after) != log_term:
        return [(-1, store.term, b"")]
    if after == store.held:
        state = (store.term, store.held, store.applied)
        await endpoint.wait(state, PULL_WAIT_MS / 1000)
    if not endpoint.primary or term != store.term:
        raise PgError("55000", "not the primary of this term")
    entries = store.entries(after, PULL_LIMIT)
    return [(entry.position, entry.term, entry.body) for entry in entries]


STATUS_COLUMNS = [
    ResultColumn("name", TEXT),
    ResultColumn("incarnation", TEXT),
    ResultColumn("term", INT8),
    ResultColumn("log_term", INT8),
    ResultColumn("held", INT8),
    ResultColumn("applied", INT8),
    ResultColumn("is_primary", BOOL),
    ResultColumn("term_start", INT8),
    ResultColumn("term_previous", INT8),
]
LOG_COLUMNS = [
    ResultColumn("position", INT8),
    ResultColumn("term", INT8),
    ResultColumn("body", BYTEA),
]
FUNCTION_COLUMNS = {
    "mangoramp_status": STATUS_COLUMNS,
    "mangoramp_wait": STATUS_COLUMNS,
    "mangoramp_fence": STATUS_COLUMNS,
    "mangoramp_promote": STATUS_COLUMNS,
    "mangoramp_follow": STATUS_COLUMNS,
    "mangoramp_log": LOG_COLUMNS,
}
Function = Callable[[Endpoint, Params], Awaitable[list[tuple[Any, ...]]]]
FUNCTIONS: dict[str, Function] = {
    "mangoramp_status": _status,
    "mangoramp_wait": _wait,
    "mangoramp_fence": _fence,
    "mangoramp_promote": _promote,
    "mangoramp_follow": _follow,
    "mangoramp_log": _log,
}


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
