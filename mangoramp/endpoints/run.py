"""Runs statements on a server connection and encodes their results."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import asyncpg
import msgspec
from asyncpg.prepared_stmt import PreparedStatement

from ..errors import Code, Fault, FaultError, Outcome, Step
from ..policy.quorum import ServerStatus
from ..policy.retry import is_transient
from ..proxies.messages import Param
from .connection import Conn
from .exchange import exchange

INTEGER_TYPES = frozenset({"int2", "int4", "int8", "oid"})
FLOAT_TYPES = frozenset({"float4", "float8"})
BOOL_BY_TEXT = {
    "true": True,
    "t": True,
    "1": True,
    "false": False,
    "f": False,
    "0": False,
}
UNCERTAIN_SQLSTATE_CLASSES = frozenset({"08", "57", "58", "XX"})
UNCERTAIN_SQLSTATES = frozenset({"40003"})
STALE_PLAN_SQLSTATES = frozenset({"0A000", "26000"})
RETRY_AFTER_S = 0.5
MAX_PREPARED_STATEMENTS = 64
STATUS_SQL = "SELECT * FROM mangoramp_status()"


@dataclass(frozen=True, slots=True)
class RowSet:
    """The result of a statement.

    Attributes:
        columns: The column names.
        rows: The rows as JSON.
        count: Number of rows returned or changed.
    """

    columns: tuple[str, ...]
    rows: bytes
    count: int


async def run(
    conn: Conn,
    sql: str,
    params: Sequence[Param],
    *,
    server: str,
    timeout_s: float | None = None,
    in_transaction: bool = False,
) -> RowSet:
    """Run one statement, at most once.

    Args:
        conn: The connection.
        sql: The statement.
        params: The parameters, as decoded from JSON.
        server: The server's name, for faults.
        timeout_s: Time limit in seconds; None sets no limit.
        in_transaction: Whether the statement runs in a transaction, which an error
            aborts.

    Raises:
        FaultError: The server refused the statement or the answer was lost.
    """
    progress = _StatementProgress(server)
    was_cached = sql in conn.statements
    try:
        with raising_faults(conn, server, lambda: progress.outcome):
            return await exchange(
                conn, _prepare_and_fetch(conn, sql, params, progress), timeout_s
            )
    except FaultError as exc:
        if exc.fault.sqlstate not in STALE_PLAN_SQLSTATES:
            raise
        conn.statements.pop(sql, None)
        if in_transaction or not was_cached:
            raise
    return await run(conn, sql, params, server=server, timeout_s=timeout_s)


@contextmanager
def raising_faults(
    conn: Conn, server: str, outcome: Callable[[], Outcome]
) -> Iterator[None]:
    """Convert exceptions from a connection to faults.

    Args:
        conn: The connection; closed on errors unless the server confirmed a rollback.
        server: The server's name.
        outcome: Returns the outcome to report if the server does not confirm one.

    Raises:
        FaultError: Replaces the original exception.
    """
    try:
        yield
    except FaultError:
        raise
    except asyncpg.PostgresConnectionError as exc:
        conn.terminate()
        raise FaultError(_connection_lost_fault(exc, server, outcome())) from None
    except asyncpg.PostgresError as exc:
        if not is_rolled_back(exc):
            conn.terminate()
        raise FaultError(statement_fault(exc, server, outcome())) from None
    except TimeoutError:
        conn.terminate()
        raise FaultError(_timeout_fault(server, outcome())) from None
    except Exception as exc:
        conn.terminate()
        raise FaultError(_connection_lost_fault(exc, server, outcome())) from None


async def execute_script(conn: Conn, sql: str, *, timeout_s: float | None) -> str:
    """Execute fixed SQL without parameters and without result rows.

    Args:
        conn: The connection.
        sql: One or more statements, sent together.
        timeout_s: Time limit in seconds; None sets no limit.

    Returns:
        The command tag of the last statement.
    """
    tag: str = await exchange(conn, conn.execute(sql), timeout_s)
    return tag


async def read_status(
    conn: asyncpg.Connection, *, asked_at: float, timeout_s: float
) -> ServerStatus:
    """Read a server's status.

    Args:
        conn: The connection.
        asked_at: The current time, in seconds.
        timeout_s: Time limit in seconds.
    """
    row = await exchange(conn, conn.fetchrow(STATUS_SQL), timeout_s)
    return _parse_status(row, asked_at)


async def wait_for_status(
    conn: asyncpg.Connection, last: ServerStatus, *, asked_at: float, wait_s: float
) -> ServerStatus:
    """Wait for a server's status to change (long poll).

    Args:
        conn: The connection.
        last: The last known status.
        asked_at: The current time, in seconds.
        wait_s: Seconds after which the server answers without a change.
    """
    coro = conn.fetchrow(
        "SELECT * FROM mangoramp_wait($1, $2, $3, $4)",
        str(last.term),
        str(last.held),
        str(last.applied),
        str(int(wait_s * 1000)),
    )
    row = await exchange(conn, coro, wait_s + 1.0)
    return _parse_status(row, asked_at)


def statement_fault(
    exc: asyncpg.PostgresError, server: str, unconfirmed: Outcome
) -> Fault:
    """Build the fault for an error that the server returned.

    Args:
        exc: The error.
        server: The server's name.
        unconfirmed: The outcome if the error does not confirm a rollback.
    """
    state = exc.sqlstate or ""
    message = f"the server refused the statement: {exc}"
    outcome = Outcome.NOT_RUN if is_rolled_back(exc) else unconfirmed
    retry_after_s = RETRY_AFTER_S if is_transient(state) else None
    return Fault(
        Code.STATEMENT_FAILED, message, Step.RUN, server, outcome, retry_after_s, state
    )


def is_rolled_back(exc: asyncpg.PostgresError) -> bool:
    """Whether an error confirms that the server rolled back the statement.

    An error that ends the connection can occur after the commit.
    """
    if (exc.severity_en or exc.severity) not in (None, "ERROR"):
        return False
    state = exc.sqlstate or ""
    return (
        state[:2] not in UNCERTAIN_SQLSTATE_CLASSES and state not in UNCERTAIN_SQLSTATES
    )


def _connection_lost_fault(exc: Exception, server: str, outcome: Outcome) -> Fault:
    message = f"the connection to the server {server} was lost: {exc}"
    return Fault(
        Code.CONNECTION_LOST, message, Step.RUN, server, outcome, RETRY_AFTER_S
    )


@dataclass(slots=True)
class _StatementProgress:
    """Tracks whether a statement was sent."""

    server: str
    is_sent: bool = False

    @property
    def outcome(self) -> Outcome:
        """The outcome if the server answers nothing more."""
        return Outcome.UNKNOWN if self.is_sent else Outcome.NOT_RUN


async def _prepare_and_fetch(
    conn: Conn, sql: str, params: Sequence[Param], progress: _StatementProgress
) -> RowSet:
    stmt = await _prepare(conn, sql)
    args = _convert_params(params, stmt.get_parameters(), progress.server)
    progress.is_sent = True
    try:
        rows = await stmt.fetch(*args)
    except asyncpg.InterfaceError as exc:
        if not isinstance(exc, ValueError):
            raise
        raise FaultError(_bad_parameter_fault(exc, progress.server)) from None
    columns = tuple(attribute.name for attribute in stmt.get_attributes())
    body = msgspec.json.encode([tuple(row) for row in rows], enc_hook=str)
    return RowSet(columns, body, _parse_row_count(stmt.get_statusmsg(), len(rows)))


async def _prepare(conn: Conn, sql: str) -> PreparedStatement:
    stmt = conn.statements.get(sql)
    if stmt is None:
        stmt = conn.statements[sql] = await conn.prepare(sql)
    conn.statements.move_to_end(sql)
    if len(conn.statements) > MAX_PREPARED_STATEMENTS:
        conn.statements.popitem(last=False)
    return stmt


def _timeout_fault(server: str, outcome: Outcome) -> Fault:
    message = f"the server {server} did not answer in time"
    return Fault(Code.TIMEOUT, message, Step.RUN, server, outcome, RETRY_AFTER_S)


def _parse_status(row: Any, asked_at: float) -> ServerStatus:
    return ServerStatus(**dict(row), asked_at=asked_at)


def _convert_params(
    params: Sequence[Param], types: Sequence[asyncpg.Type], server: str
) -> list[Any]:
    if len(params) != len(types):
        message = f"{len(types)} parameters are needed, {len(params)} were given"
        raise FaultError(Fault(Code.BAD_REQUEST, message, Step.RUN, server))
    try:
        return [_convert_param(p, t.name) for p, t in zip(params, types, strict=True)]
    except ValueError as exc:
        raise FaultError(_bad_parameter_fault(exc, server)) from None


def _convert_param(param: Param, type_name: str) -> Any:
    if param is None:
        return None
    if type_name in INTEGER_TYPES:
        return int(param)
    if type_name in FLOAT_TYPES:
        return float(param)
    if type_name == "bool":
        return _convert_bool(param)
    return param if isinstance(param, str) else msgspec.json.encode(param).decode()


def _convert_bool(param: Param) -> bool:
    if isinstance(param, bool):
        return param
    value = BOOL_BY_TEXT.get(str(param).lower())
    if value is None:
        raise ValueError(f"{param!r} is not a boolean")
    return value


def _bad_parameter_fault(exc: Exception, server: str) -> Fault:
    return Fault(Code.BAD_REQUEST, f"bad parameter: {exc}", Step.RUN, server)


def _parse_row_count(status: str, rows: int) -> int:
    last = status.rsplit(" ", 1)[-1] if status else ""
    return int(last) if last.isdigit() else rows
