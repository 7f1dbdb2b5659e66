"""Runs statements on a connection and encodes what they answer."""

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

INTEGERS = frozenset({"int2", "int4", "int8", "oid"})
FLOATS = frozenset({"float4", "float8"})
UNCERTAIN_CLASSES = frozenset({"08", "57", "58", "XX"})
UNCERTAIN_STATES = frozenset({"40003"})
STALE_PLAN_STATES = frozenset({"0A000", "26000"})
RETRY_AFTER_S = 0.5
STATEMENTS_KEPT = 64
STATUS_SQL = "SELECT * FROM mangoramp_status()"


@dataclass(frozen=True, slots=True)
class RowSet:
    """What a statement answered.

    Attributes:
        columns: The names of the columns.
        rows: The rows as JSON.
        count: How many rows there are, or were changed.
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
        params: Its parameters as JSON has them.
        server: The server's name, for faults.
        timeout_s: Seconds that it may take; None sets no limit.
        in_transaction: Whether it is part of a transaction, which an error ends.

    Raises:
        FaultError: The server refused the statement, or its answer was lost.
    """
    sending = _Sending(server)
    cached = sql in conn.statements
    try:
        with told(conn, server, lambda: sending.outcome):
            return await exchange(conn, _run(conn, sql, params, sending), timeout_s)
    except FaultError as exc:
        if exc.fault.sqlstate not in STALE_PLAN_STATES:
            raise
        conn.statements.pop(sql, None)
        if in_transaction or not cached:
            raise
    return await run(conn, sql, params, server=server, timeout_s=timeout_s)


@contextmanager
def told(conn: Conn, server: str, outcome: Callable[[], Outcome]) -> Iterator[None]:
    """Turn what goes wrong on a connection into faults.

    Args:
        conn: The connection; it is closed unless the server answered.
        server: The server's name.
        outcome: Tells what is true if nothing more is heard.

    Raises:
        FaultError: In place of what went wrong.
    """
    try:
        yield
    except FaultError:
        raise
    except asyncpg.PostgresConnectionError as exc:
        conn.terminate()
        raise FaultError(_lost(exc, server, outcome())) from None
    except asyncpg.PostgresError as exc:
        if not is_rollback(exc):
            conn.terminate()
        raise FaultError(refusal(exc, server, outcome())) from None
    except TimeoutError:
        conn.terminate()
        raise FaultError(_late(server, outcome())) from None
    except Exception as exc:
        conn.terminate()
        raise FaultError(_lost(exc, server, outcome())) from None


async def control(conn: Conn, sql: str, *, timeout_s: float | None) -> str:
    """Run statements of this module's callers, without parameters and rows.

    Args:
        conn: The connection.
        sql: One or more statements, sent together.
        timeout_s: Seconds that they may take; None sets no limit.

    Returns:
        The command tag of the last one.
    """
    tag: str = await exchange(conn, conn.execute(sql), timeout_s)
    return tag


async def read_status(
    conn: asyncpg.Connection, *, asked_at: float, timeout_s: float
) -> ServerStatus:
    """Ask a server for its status.

    Args:
        conn: The connection.
        asked_at: The time now, in seconds.
        timeout_s: Seconds to wait for the answer.
    """
    row = await exchange(conn, conn.fetchrow(STATUS_SQL), timeout_s)
    return _status(row, asked_at)


async def wait_status(
    conn: asyncpg.Connection, last: ServerStatus, *, asked_at: float, wait_s: float
) -> ServerStatus:
    """Ask a server for its status as soon as it changes.

    Args:
        conn: The connection.
        last: The status that is known.
        asked_at: The time now, in seconds.
        wait_s: Seconds after which to answer in any case.
    """
    work = conn.fetchrow(
        "SELECT * FROM mangoramp_wait($1, $2, $3, $4)",
        str(last.term),
        str(last.held),
        str(last.applied),
        str(int(wait_s * 1000)),
    )
    row = await exchange(conn, work, wait_s + 1.0)
    return _status(row, asked_at)


def refusal(exc: asyncpg.PostgresError, server: str, sent: Outcome) -> Fault:
    """The fault for an error that a server answered.

    Args:
        exc: The error.
        server: The server's name.
        sent: What to say where the error itself does not tell of a rollback.
    """
    state = exc.sqlstate or ""
    message = f"the server refused the statement: {exc}"
    outcome = Outcome.NOT_RUN if is_rollback(exc) else sent
    retry_after_s = RETRY_AFTER_S if is_transient(state) else None
    return Fault(
        Code.STATEMENT_FAILED, message, Step.RUN, server, outcome, retry_after_s, state
    )


def is_rollback(exc: asyncpg.PostgresError) -> bool:
    """Whether an error tells that the server took the statement back.

    An error that ends the connection may come after the commit.
    """
    if (exc.severity_en or exc.severity) not in (None, "ERROR"):
        return False
    state = exc.sqlstate or ""
    return state[:2] not in UNCERTAIN_CLASSES and state not in UNCERTAIN_STATES


def _lost(exc: Exception, server: str, outcome: Outcome) -> Fault:
    message = f"the connection to the server {server} was lost: {exc}"
    return Fault(
        Code.CONNECTION_LOST, message, Step.RUN, server, outcome, RETRY_AFTER_S
    )


@dataclass(slots=True)
class _Sending:
    """How far a statement has come."""

    server: str
    sent: bool = False

    @property
    def outcome(self) -> Outcome:
        """What is true if nothing more is heard."""
        return Outcome.UNKNOWN if self.sent else Outcome.NOT_RUN


async def _run(
    conn: Conn, sql: str, params: Sequence[Param], sending: _Sending
) -> RowSet:
    stmt = await _prepared(conn, sql)
    args = _arguments(params, stmt.get_parameters(), sending.server)
    sending.sent = True
    try:
        rows = await stmt.fetch(*args)
    except asyncpg.InterfaceError as exc:
        if not isinstance(exc, ValueError):
            raise
        raise FaultError(_bad_parameter(exc, sending.server)) from None
    columns = tuple(attribute.name for attribute in stmt.get_attributes())
    body = msgspec.json.encode([tuple(row) for row in rows], enc_hook=str)
    return RowSet(columns, body, _count(stmt.get_statusmsg(), len(rows)))


async def _prepared(conn: Conn, sql: str) -> PreparedStatement:
    stmt = conn.statements.get(sql)
    if stmt is None:
        stmt = conn.statements[sql] = await conn.prepare(sql)
    conn.statements.move_to_end(sql)
    if len(conn.statements) > STATEMENTS_KEPT:
        conn.statements.popitem(last=False)
    return stmt


def _late(server: str, outcome: Outcome) -> Fault:
    message = f"the server {server} did not answer in time"
    return Fault(Code.TIMEOUT, message, Step.RUN, server, outcome, RETRY_AFTER_S)


def _status(row: Any, asked_at: float) -> ServerStatus:
    return ServerStatus(**dict(row), asked_at=asked_at)


def _arguments(
    params: Sequence[Param], types: Sequence[asyncpg.Type], server: str
) -> list[Any]:
    if len(params) != len(types):
        message = f"{len(types)} parameters are needed, {len(params)} were given"
        raise FaultError(Fault(Code.BAD_REQUEST, message, Step.RUN, server))
    try:
        return [_argument(p, t.name) for p, t in zip(params, types, strict=True)]
    except ValueError as exc:
        raise FaultError(_bad_parameter(exc, server)) from None


def _argument(param: Param, kind: str) -> Any:
    if param is None:
        return None
    if kind in INTEGERS:
        return int(param)
    if kind in FLOATS:
        return float(param)
    if kind == "bool":
        return bool(param)
    return param if isinstance(param, str) else msgspec.json.encode(param).decode()


def _bad_parameter(exc: Exception, server: str) -> Fault:
    return Fault(Code.BAD_REQUEST, f"bad parameter: {exc}", Step.RUN, server)


def _count(status: str, rows: int) -> int:
    last = status.rsplit(" ", 1)[-1] if status else ""
    return int(last) if last.isdigit() else rows
