"""Connection pool for one database server."""

from __future__ import annotations

import asyncio
import math
import random
import socket
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from typing import Any

import asyncpg
from asyncpg.prepared_stmt import PreparedStatement

from ..errors import Code, Fault, FaultError, Outcome, Step
from ..events import CONNECTION_CLOSED, CONNECTION_SILENT, SERVER_FULL, emit
from ..objects import ServerState
from .exchange import exchange

USER = "mangoramp"
DATABASE = "mangoramp"
CONNECT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5
PROBE_AFTER_IDLE_S = 2.0
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.25
PROBE_SQL = "SELECT 1"
SERVER_FULL_MAX_ATTEMPTS = 4
SERVER_FULL_MAX_WAIT_S = 0.1
IDLE_IN_TRANSACTION_TIMEOUT_MS = 1000
TCP_USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

SERVER_ERRORS = (OSError, TimeoutError, asyncpg.PostgresError, asyncpg.InterfaceError)


class Conn(asyncpg.Connection):
    """A server connection with its age and its prepared statements.

    Attributes:
        opened_at: Time at which the connection was opened, in seconds.
        used_at: Time of the last answer on the connection, in seconds.
        statements: Prepared statements by their SQL, least recently used first.
    """

    __slots__ = ("opened_at", "statements", "used_at")

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.opened_at = 0.0
        self.used_at = 0.0
        self.statements: OrderedDict[str, PreparedStatement] = OrderedDict()


async def connect(server: ServerState, *, role: str) -> Conn:
    """Open a connection to a database server.

    Args:
        server: The server.
        role: Purpose of the connection, shown in its ``application_name``.

    Raises:
        FaultError: The server is unreachable or has no free connection slot.
    """
    try:
        conn: Conn = await asyncpg.connect(
            host=server.host,
            port=server.port,
            user=USER,
            database=DATABASE,
            ssl=False,
            timeout=CONNECT_TIMEOUT_S,
            server_settings={
                "application_name": f"mangoramp {role}",
                "idle_in_transaction_session_timeout": str(
                    IDLE_IN_TRANSACTION_TIMEOUT_MS
                ),
            },
            connection_class=Conn,
        )
    except asyncpg.TooManyConnectionsError:
        raise _connect_error(server, Code.OVERLOADED, "no room for") from None
    except SERVER_ERRORS:
        raise _connect_error(server, Code.NO_SERVER, "no") from None
    _set_tcp_timeouts(conn)
    return conn


class Pool:
    """The connections from one home to one database server.

    Args:
        server: The server.
        size: Maximum number of open connections.
        clock: Returns the current time in seconds.
        rng: Random source for the jitter of retry delays.
    """

    def __init__(
        self,
        server: ServerState,
        *,
        size: int,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.server = server
        self.size = size
        self.busy = 0
        self._clock = clock
        self._rng = rng or random.Random(server.name)
        self._idle: list[Conn] = []
        self._slots = asyncio.Semaphore(size)
        self._closed = False
        self._last_failure_at = -math.inf
        self._probe_task: asyncio.Task[None] | None = None

    @asynccontextmanager
    async def lease(self, deadline: float = math.inf) -> AsyncIterator[Conn]:
        """Acquire a connection for the duration of a ``with`` block.

        The connection returns to the pool only if every answer on it was read
        completely. After a fault this holds if the server answered and rolled back the
        open transaction; otherwise the connection is closed.

        Args:
            deadline: Time at which to stop waiting, on this pool's clock.

        Raises:
            FaultError: No connection became available before the deadline.
        """
        with self.releasing(await self.acquire(deadline)) as conn:
            yield conn

    @contextmanager
    def releasing(self, conn: Conn) -> Iterator[Conn]:
        """Release an acquired connection at the end of a ``with`` block.

        Args:
            conn: The acquired connection.
        """
        clean = False
        try:
            yield conn
            clean = True
        except FaultError:
            clean = True
            raise
        finally:
            self.release(conn, clean=clean)

    async def acquire(self, deadline: float = math.inf) -> Conn:
        """Acquire a connection, which the caller must release.

        Args:
            deadline: Time at which to stop waiting, on this pool's clock.

        Raises:
            FaultError: No connection became available before the deadline.
        """
        self.busy += 1
        try:
            await self._acquire_slot(deadline)
        except BaseException:
            self.busy -= 1
            raise
        try:
            return await self._get_connection(deadline)
        except BaseException:
            self._release_slot()
            raise

    def release(self, conn: Conn, *, clean: bool) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        Args:
            conn: The connection.
            clean: Whether the connection has no outstanding answer and no open
                transaction.
        """
        self._release_slot()
        is_usable = clean and not conn.is_closed() and not conn.is_in_transaction()
        if is_usable and not self._closed:
            conn.used_at = self._clock()
            self._idle.append(conn)
            self._start_probing()
            return
        self._last_failure_at = self._clock()
        self._discard(conn, "not reusable")

    def close(self) -> None:
        """Close the idle connections and stop probing."""
        self._closed = True
        if self._probe_task is not None:
            self._probe_task.cancel()
            self._probe_task = None
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().terminate()

    async def _acquire_slot(self, deadline: float) -> None:
        remaining_s = deadline - self._clock()
        try:
            async with asyncio.timeout(
                None if math.isinf(remaining_s) else max(remaining_s, 0.0)
            ):
                await self._slots.acquire()
        except TimeoutError:
            raise self._timeout_error() from None

    def _release_slot(self) -> None:
        self._slots.release()
        self.busy -= 1

    async def _get_connection(self, deadline: float) -> Conn:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_closed():
                continue
            if not self._needs_probe(conn) or await self._check_alive(conn):
                return conn
        return await self._open(deadline)

    def _needs_probe(self, conn: Conn) -> bool:
        """Whether the connection was idle for long, or unused since another failed."""
        is_long_idle = self._clock() - conn.used_at >= PROBE_AFTER_IDLE_S
        return is_long_idle or conn.used_at <= self._last_failure_at

    async def _open(self, deadline: float) -> Conn:
        for attempt in range(1, SERVER_FULL_MAX_ATTEMPTS + 1):
            try:
                conn = await self._connect(deadline)
            except FaultError as exc:
                if (
                    exc.fault.code is not Code.OVERLOADED
                    or attempt == SERVER_FULL_MAX_ATTEMPTS
                ):
                    raise
                emit(SERVER_FULL, server=self.server.name, attempt=attempt)
                await self._wait_before_retry(deadline)
                continue
            conn.opened_at = conn.used_at = self._clock()
            return conn
        raise self._timeout_error()

    async def _connect(self, deadline: float) -> Conn:
        remaining_s = deadline - self._clock()
        try:
            async with asyncio.timeout(
                None if math.isinf(remaining_s) else max(remaining_s, 0.0)
            ):
                return await connect(self.server, role="work")
        except TimeoutError:
            raise self._timeout_error() from None

    async def _wait_before_retry(self, deadline: float) -> None:
        wait_s = self._rng.uniform(0.5, 1.0) * SERVER_FULL_MAX_WAIT_S
        if self._clock() + wait_s >= deadline:
            raise self._timeout_error()
        await asyncio.sleep(wait_s)

    async def _check_alive(self, conn: Conn) -> bool:
        try:
            await exchange(conn, conn.fetchval(PROBE_SQL), PROBE_TIMEOUT_S)
        except TimeoutError:
            self._close_silent(conn)
            return False
        except SERVER_ERRORS:
            self._discard(conn, "lost while idle")
            return False
        conn.used_at = self._clock()
        return True

    def _close_silent(self, silent: Conn) -> None:
        """Close a silent connection and those that have been idle at least as long."""
        emit(CONNECTION_SILENT, server=self.server.name)
        suspects = [c for c in self._idle if c.used_at <= silent.used_at]
        for conn in (silent, *suspects):
            self._discard(
                conn,
                "silent" if conn is silent else "idle as long as a silent connection",
            )
        self._idle = [c for c in self._idle if c not in suspects]

    def _discard(self, conn: Conn, reason: str) -> None:
        conn.terminate()
        emit(CONNECTION_CLOSED, server=self.server.name, reason=reason)

    def _start_probing(self) -> None:
        if self._probe_task is None:
            self._probe_task = asyncio.ensure_future(self._probe_idle())

    async def _probe_idle(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            idle_before = self._clock() - PROBE_AFTER_IDLE_S
            for conn in [c for c in self._idle if c.used_at <= idle_before]:
                await self._probe_connection(conn)

    async def _probe_connection(self, conn: Conn) -> None:
        if conn not in self._idle or self._slots.locked():
            return
        async with self._slots:
            self._idle.remove(conn)
            if await self._check_alive(conn):
                self._idle.insert(0, conn)

    def _timeout_error(self) -> FaultError:
        message = f"no connection to the server {self.server.name} in time"
        fault = Fault(
            Code.TIMEOUT,
            message,
            Step.CONNECT,
            self.server.name,
            Outcome.NOT_RUN,
            RETRY_AFTER_S,
        )
        return FaultError(fault)


def _connect_error(server: ServerState, code: Code, prefix: str) -> FaultError:
    message = f"{prefix} connection to the server {server.name}"
    fault = Fault(
        code, message, Step.CONNECT, peer=server.name, retry_after_s=RETRY_AFTER_S
    )
    return FaultError(fault)


def _set_tcp_timeouts(conn: Conn) -> None:
    """Let the kernel abort a connection whose peer acknowledges no data."""
    sock = conn._transport.get_extra_info("socket")
    if sock is None:
        return
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
