"""Failover commands to database servers, each on its own short-lived connection."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from functools import singledispatch
from typing import Any

import asyncpg
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, FaultError, Outcome, Step
from ..objects import ServerState
from ..policy.failover import Command, Fence, Follow, Promote
from ..policy.quorum import ServerStatus
from .connection import connect
from .exchange import exchange
from .run import read_status

COMMAND_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5

Servers = Mapping[str, ServerState]


async def send_command(
    action: Command, servers: Servers, *, asked_at: float
) -> Result[ServerStatus, Fault]:
    """Send a failover command to a server.

    Args:
        action: The command.
        servers: The group's servers by name.
        asked_at: The current time, in seconds.

    Returns:
        The server's status after the command. On a fault, the server may have executed
        the command.
    """
    result = await _execute(servers[action.server], *_sql_and_params(action, servers))
    return result.map(
        lambda row: ServerStatus(**row | {"name": action.server}, asked_at=asked_at)
    )


async def probe(
    server: ServerState, *, asked_at: float, timeout_s: float
) -> Result[ServerStatus, Fault]:
    """Read a server's status on a new connection.

    Args:
        server: The server.
        asked_at: The current time, in seconds.
        timeout_s: Time limit for connecting and reading the status, in seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            conn = await connect(server, role="control")
            try:
                status = await read_status(conn, asked_at=asked_at, timeout_s=timeout_s)
            finally:
                conn.terminate()
    except FaultError as exc:
        return Failure(exc.fault)
    except (OSError, TimeoutError, asyncpg.PostgresError, asyncpg.InterfaceError):
        return Failure(_unconfirmed_fault(server, "no status in time"))
    return Success(replace(status, name=server.name))


async def _execute(
    server: ServerState, sql: str, params: tuple[str, ...]
) -> Result[dict[str, Any], Fault]:
    try:
        conn = await connect(server, role="control")
    except FaultError as exc:
        return Failure(exc.fault)
    try:
        row = await exchange(conn, conn.fetchrow(sql, *params), COMMAND_TIMEOUT_S)
        return Success(dict(row))
    except (
        OSError,
        TimeoutError,
        asyncpg.PostgresError,
        asyncpg.InterfaceError,
    ) as exc:
        return Failure(_unconfirmed_fault(server, str(exc) or type(exc).__name__))
    finally:
        conn.terminate()


def _unconfirmed_fault(server: ServerState, reason: str) -> Fault:
    message = f"the server {server.name} did not confirm a command: {reason}"
    unknown = Outcome.UNKNOWN
    return Fault(Code.NO_SERVER, message, Step.RUN, server.name, unknown, RETRY_AFTER_S)


@singledispatch
def _sql_and_params(action: Command, servers: Servers) -> tuple[str, tuple[str, ...]]:
    raise TypeError(f"unknown failover command: {action!r}")


@_sql_and_params.register
def _(action: Fence, servers: Servers) -> tuple[str, tuple[str, ...]]:
    return "SELECT * FROM mangoramp_fence($1)", (str(action.term),)


@_sql_and_params.register
def _(action: Promote, servers: Servers) -> tuple[str, tuple[str, ...]]:
    return "SELECT * FROM mangoramp_promote($1)", (str(action.term),)


@_sql_and_params.register
def _(action: Follow, servers: Servers) -> tuple[str, tuple[str, ...]]:
    primary = servers[action.primary]
    params = (str(action.term), primary.host, str(primary.port))
    return "SELECT * FROM mangoramp_follow($1, $2, $3)", params
