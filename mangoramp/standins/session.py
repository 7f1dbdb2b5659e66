"""Connections of a stand-in server: admission, statements and transactions."""

from __future__ import annotations

import asyncio
import re
import sqlite3
from typing import TYPE_CHECKING, Any

from pg_mimic import PgError, ResultColumn, Statement
from pg_mimic.auth import AuthPlugin
from pg_mimic.messages import make_error_response
from pg_mimic.session import BaseSession, Portal
from pg_mimic.stream import ConnectionClosed
from pg_mimic.types import TEXT

from ._sql import (
    CONTROL_KEYWORDS,
    READ_KEYWORDS,
    coerce_row,
    first_keyword,
    is_read,
    param_count,
    result_column,
    sqlstate_for,
)
from .functions import FUNCTION_CALL, FUNCTION_COLUMNS, FUNCTIONS
from .store import Change, Params

if TYPE_CHECKING:
    from .endpoint import Endpoint

FAULT_POLL_S = 0.01
IDLE_TIMEOUT_SETTING = "idle_in_transaction_session_timeout"


class ConnectionAdmission(AuthPlugin):
    """Admits a connection after the connect delay if the connection limit allows it."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    async def authenticate(
        self, stream: Any, username: str, identity_provider: Any
    ) -> bool:
        """Admit the connection, or refuse it with SQLSTATE 53300."""
        options = self._endpoint.options
        while self._endpoint.faults.frozen:
            await asyncio.sleep(FAULT_POLL_S)
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
    """A connection of a stand-in server."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.silent = False
        self.idle_timeout_s = 0.0
        self._conn: sqlite3.Connection | None = None
        self._protocol: Any = None
        self._changes: list[Change] = []
        self._term = 0

    async def init(self, connection: Any) -> None:
        """Open the sqlite3 connection of the session."""
        params = connection.startup_params
        read_only = params.get("default_transaction_read_only")
        self.idle_timeout_s = int(params.get(IDLE_TIMEOUT_SETTING, 0)) / 1000
        self._protocol = connection
        self.endpoint.received_parameters.append(repr(connection.startup_params))
        self._conn = self.endpoint.store.connect(read_only=read_only == "on")
        self.endpoint.sessions.add(self)

    async def close(self) -> None:
        """Roll back the open transaction and unregister the session."""
        self.endpoint.sessions.discard(self)
        self.rollback()
        if self._conn is not None:
            self._conn.close()

    def abort(self) -> None:
        """Close the connection without sending the pending data."""
        self._protocol.stream.writer.transport.abort()

    async def prepare(self, sql: str, param_oids: list[int | None]) -> Statement:
        """Parse a statement."""
        await self.wait_until_responsive()
        return EndpointStatement(self, sql)

    async def wait_until_responsive(self) -> None:
        """Block while the server is frozen or the connection is silent.

        A silent connection is closed, and its transaction rolled back, after
        ``idle_in_transaction_session_timeout``, as PostgreSQL does.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while self.endpoint.faults.frozen or self.silent:
            await asyncio.sleep(FAULT_POLL_S)
            if self.silent and 0 < self.idle_timeout_s < loop.time() - started:
                self.abort()
                raise ConnectionClosed

    async def apply_answer_faults(self) -> None:
        """Drop or delay the answer of an executed statement as the faults require."""
        faults = self.endpoint.faults
        if faults.late_s:
            await asyncio.sleep(faults.late_s)
        if faults.drop_answers and faults.drop_after:
            faults.drop_after -= 1
        elif faults.drop_answers:
            faults.drop_answers -= 1
            self.abort()
            raise ConnectionClosed
        await self.wait_until_responsive()

    @property
    def conn(self) -> sqlite3.Connection:
        """The session's sqlite3 connection."""
        assert self._conn is not None
        return self._conn

    async def run_control_statement(self, keyword: str) -> None:
        """Run a transaction control statement; SET, RESET and DISCARD do nothing."""
        if keyword in ("BEGIN", "START"):
            self._protocol.tx_status = b"T"
        elif keyword in ("COMMIT", "END"):
            await self._commit()
        elif keyword == "ROLLBACK":
            self.rollback()

    def rollback(self) -> None:
        """Discard the open transaction and its changes."""
        if self._protocol is not None:
            self._protocol.tx_status = b"I"
        self._changes = []
        if self._conn is None or not self._conn.in_transaction:
            return
        self._conn.execute("ROLLBACK")
        self.endpoint.write_lock.release()

    async def run(self, sql: str, params: Params) -> list[tuple[Any, ...]]:
        """Run a statement and return its rows."""
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
        """Start a write transaction; waiting for the write lock occupies no slot."""
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
        endpoint.notify_changed()

    def _execute(self, sql: str, params: Params) -> list[tuple[Any, ...]]:
        try:
            return self.conn.execute(sql, params).fetchall()
        except sqlite3.IntegrityError as exc:
            raise PgError("23505", str(exc)) from None
        except sqlite3.Error as exc:
            raise PgError(sqlstate_for(exc), str(exc)) from None


class EndpointStatement(Statement):
    """A parsed statement: SQL or a call of one of the group's functions."""

    def __init__(self, session: EndpointSession, sql: str) -> None:
        self.session = session
        self.sql = sql
        self.param_oids = [TEXT] * param_count(sql)
        self._first_columns: list[ResultColumn] | None = None

    async def describe(self) -> list[ResultColumn] | None:
        """Return the result columns, None if the statement returns no rows."""
        function_call = FUNCTION_CALL.match(self.sql)
        if function_call:
            return FUNCTION_COLUMNS[function_call[1]]
        keyword = first_keyword(self.sql)
        if keyword in CONTROL_KEYWORDS:
            return None
        columns = self._describe_sql(keyword)
        self._first_columns = self._first_columns or columns
        if columns != self._first_columns:
            raise PgError("0A000", "cached plan must not change result type")
        return columns

    def bind(self, params: list[str | None]) -> Portal:
        """Bind the parameters."""
        return EndpointPortal(self, tuple(params))

    def _describe_sql(self, keyword: str) -> list[ResultColumn] | None:
        if keyword not in READ_KEYWORDS and " RETURNING " not in self.sql.upper():
            return None
        conn = self.session.conn
        null_params = (None,) * param_count(self.sql)
        try:
            if keyword in READ_KEYWORDS:
                cursor = conn.execute(
                    f"SELECT * FROM ({self.sql}) LIMIT 0", null_params
                )
                names = [column[0] for column in cursor.description]
            else:
                names = re.split(r"(?i) RETURNING ", self.sql)[1].split(",")
        except sqlite3.Error as exc:
            raise PgError(sqlstate_for(exc), str(exc)) from None
        types = self.session.endpoint.store.column_types()
        return [result_column(name.strip(), types) for name in names]


class EndpointPortal(Portal):
    """A statement with bound parameters; executing it returns all rows at once."""

    def __init__(self, statement: EndpointStatement, params: Params) -> None:
        self._statement = statement
        self._params = params

    async def execute(self, max_rows: int) -> tuple[list[tuple[Any, ...]], bool]:
        """Run the statement and return all its rows."""
        session = self._statement.session
        sql = self._statement.sql
        await session.wait_until_responsive()
        endpoint = session.endpoint
        endpoint.received_statements.append(sql)
        endpoint.received_parameters.append(repr(self._params))
        function_call = FUNCTION_CALL.match(sql)
        if function_call:
            rows = await FUNCTIONS[function_call[1]](endpoint, self._params)
            await session.wait_until_responsive()
            return rows, False
        keyword = first_keyword(sql)
        if keyword in CONTROL_KEYWORDS:
            await session.run_control_statement(keyword)
        else:
            if not is_read(sql):
                await session.begin_write()
            async with endpoint.slots:
                await asyncio.sleep(endpoint.options.statement_s)
                rows = await session.run(sql, self._params)
                await session.apply_answer_faults()
                columns = await self._statement.describe()
                return [coerce_row(row, columns or []) for row in rows], False
        await session.apply_answer_faults()
        return [], False
