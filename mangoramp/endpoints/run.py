"""Runs statements on a connection and encodes what they answer."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import asyncpg
import msgspec

from ..errors import Code, Fault, FaultError, Outcome, Step
from ..policy.quorum import ServerStatus
from ..proxies.messages import Param

INTEGERS = frozenset({"int2", "int4", "int8", "oid"})
FLOATS = frozenset({"float4", "float8"})
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
    conn: asyncpg.Connection, sql: str, params: Sequence[Param], *, server: str
) -> RowSet:
    """Run one statement.

    Args:
        conn: The connection.
        sql: The statement.
        params: Its parameters as JSON has them.
        server: The server's name, for faults.

    Raises:
        FaultError: The server refused the statement, or its answer was lost.
    """
    sent = False
    try:
        stmt = await conn.prepare(sql)
        types = stmt.get_parameters()
        args = _arguments(params, types, server)
        sent = True
        rows = await stmt.fetch(*args)
    except asyncpg.PostgresError as exc:
        raise FaultError(_refused(exc, server)) from None
    except (OSError, asyncpg.InterfaceError) as exc:
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        message = f"the connection to the server {server} was lost: {exc}"
        raise FaultError(
            Fault(Code.CONNECTION_LOST, message, Step.RUN, server, outcome, 0.5)
        ) from None
    columns = tuple(attribute.name for attribute in stmt.get_attributes())
    body = msgspec.json.encode([tuple(row) for row in rows], enc_hook=str)
    return RowSet(columns, body, _count(stmt.get_statusmsg(), len(rows)))


async def read_status(
    conn: asyncpg.Connection, *, asked_at: float, timeout_s: float
) -> ServerStatus:
    """Ask a server for its status.

    Args:
        conn: The connection.
        asked_at: The time now, in seconds.
        timeout_s: Seconds to wait for the answer.
    """
    row = await conn.fetchrow(STATUS_SQL, timeout=timeout_s)
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
    row = await conn.fetchrow(
        "SELECT * FROM mangoramp_wait($1, $2, $3, $4)",
        str(last.term),
        str(last.held),
        str(last.applied),
        str(int(wait_s * 1000)),
        timeout=wait_s + 1.0,
    )
    return _status(row, asked_at)


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
        fault = Fault(Code.BAD_REQUEST, f"bad parameter: {exc}", Step.RUN, server)
        raise FaultError(fault) from None


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


def _refused(exc: asyncpg.PostgresError, server: str) -> Fault:
    state = exc.sqlstate or ""
    message = f"the server refused the statement: {exc}"
    return Fault(Code.STATEMENT_FAILED, message, Step.RUN, server, sqlstate=state)


def _count(status: str, rows: int) -> int:
    last = status.rsplit(" ", 1)[-1] if status else ""
    return int(last) if last.isdigit() else rows
