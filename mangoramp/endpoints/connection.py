"""Connections to one database server, within a budget."""

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
PROBE_AFTER_S = 2.0
PROBE_EVERY_S = 0.5
PROBE_TIMEOUT_S = 0.25
PROBE_SQL = "SELECT 1"
FULL_ATTEMPTS = 4
FULL_WAIT_S = 0.1
OPEN_LIMIT_MS = 1000
UNACKED_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_COUNT = 3

FAILURES = (OSError, TimeoutError, asyncpg.PostgresError, asyncpg.InterfaceError)


class Conn(asyncpg.Connection):
    """A connection that knows its age and the statements prepared on it.

    Attributes:
        opened_at: When it was opened, in seconds.
        used_at: When it last answered, in seconds.
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
        role: What the connection is for, shown as its application name.

    Raises:
        FaultError: The server could not be reached, or has no room.
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
                "idle_in_transaction_session_timeout": str(OPEN_LIMIT_MS),
            },
            connection_class=Conn,
        )
    except asyncpg.TooManyConnectionsError:
        raise _connect_fault(server, Code.OVERLOADED, "no room for") from None
    except FAILURES:
        raise _connect_fault(server, Code.NO_SERVER, "no") from None
    _bound_silence(conn)
    return conn


class Pool:
    """The connections of one home to one server.

    Args:
        server: The server.
        size: The most connections that may be open.
        clock: Tells the time in seconds.
        rng: A seeded source for the jitter of waits.
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
        self._room = asyncio.Semaphore(size)
        self._closed = False
        self._failed_at = -math.inf
        self._prober: asyncio.Task[None] | None = None

    @asynccontextmanager
    async def lease(self, deadline: float = math.inf) -> AsyncIterator[Conn]:
        """Lend a connection; it is lent again only after whole answers.

        A fault keeps it only where the server answered, and rolled back what was open.

        Args:
            deadline: When to stop waiting for one, on this pool's clock.

        Raises:
            FaultError: There was none in time.
        """
        with self.lend(await self.acquire(deadline)) as conn:
            yield conn

    @contextmanager
    def lend(self, conn: Conn) -> Iterator[Conn]:
        """Lend a connection that was acquired, and release it.

        Args:
            conn: The connection.
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
        """Take a connection; it must be released.

        Args:
            deadline: When to stop waiting for one, on this pool's clock.

        Raises:
            FaultError: There was none in time.
        """
        self.busy += 1
        try:
            await self._enter(deadline)
        except BaseException:
            self.busy -= 1
            raise
        try:
            return await self._take(deadline)
        except BaseException:
            self._leave()
            raise

    def release(self, conn: Conn, *, clean: bool) -> None:
        """Give a connection back.

        Args:
            conn: The connection.
            clean: Whether nothing is outstanding or open on it.
        """
        self._leave()
        usable = clean and not conn.is_closed() and not conn.is_in_transaction()
        if usable and not self._closed:
            conn.used_at = self._clock()
            self._idle.append(conn)
            self._start_prober()
            return
        self._failed_at = self._clock()
        self._drop(conn, "not clean")

    def close(self) -> None:
        """Close the idle connections and stop probing."""
        self._closed = True
        if self._prober is not None:
            self._prober.cancel()
            self._prober = None
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().terminate()

    async def _enter(self, deadline: float) -> None:
        left = deadline - self._clock()
        try:
            async with asyncio.timeout(None if math.isinf(left) else max(left, 0.0)):
                await self._room.acquire()
        except TimeoutError:
            raise self._none_in_time() from None

    def _leave(self) -> None:
        self._room.release()
        self.busy -= 1

    async def _take(self, deadline: float) -> Conn:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_closed():
                continue
            if not self._is_doubtful(conn) or await self._answers(conn):
                return conn
        return await self._open(deadline)

    def _is_doubtful(self, conn: Conn) -> bool:
        """Whether it rested for long, or since before another one failed."""
        rested = self._clock() - conn.used_at >= PROBE_AFTER_S
        return rested or conn.used_at <= self._failed_at

    async def _open(self, deadline: float) -> Conn:
        for attempt in range(1, FULL_ATTEMPTS + 1):
            try:
                conn = await self._connect(deadline)
            except FaultError as exc:
                if exc.fault.code is not Code.OVERLOADED or attempt == FULL_ATTEMPTS:
                    raise
                emit(SERVER_FULL, server=self.server.name, attempt=attempt)
                await self._pause(deadline)
                continue
            conn.opened_at = conn.used_at = self._clock()
            return conn
        raise self._none_in_time()

    async def _connect(self, deadline: float) -> Conn:
        left = deadline - self._clock()
        try:
            async with asyncio.timeout(None if math.isinf(left) else max(left, 0.0)):
                return await connect(self.server, role="work")
        except TimeoutError:
            raise self._none_in_time() from None

    async def _pause(self, deadline: float) -> None:
        wait_s = self._rng.uniform(0.5, 1.0) * FULL_WAIT_S
        if self._clock() + wait_s >= deadline:
            raise self._none_in_time()
        await asyncio.sleep(wait_s)

    async def _answers(self, conn: Conn) -> bool:
        try:
            await exchange(conn, conn.fetchval(PROBE_SQL), PROBE_TIMEOUT_S)
        except TimeoutError:
            self._suspect(conn)
            return False
        except FAILURES:
            self._drop(conn, "lost while idle")
            return False
        conn.used_at = self._clock()
        return True

    def _suspect(self, silent: Conn) -> None:
        """Close, with a silent connection, those that have been idle for as long."""
        emit(CONNECTION_SILENT, server=self.server.name)
        suspects = [c for c in self._idle if c.used_at <= silent.used_at]
        for conn in (silent, *suspects):
            self._drop(conn, "silent" if conn is silent else "as old as a silent one")
        self._idle = [c for c in self._idle if c not in suspects]

    def _drop(self, conn: Conn, reason: str) -> None:
        conn.terminate()
        emit(CONNECTION_CLOSED, server=self.server.name, reason=reason)

    def _start_prober(self) -> None:
        if self._prober is None:
            self._prober = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        while True:
            await asyncio.sleep(PROBE_EVERY_S)
            due = self._clock() - PROBE_AFTER_S
            for conn in [c for c in self._idle if c.used_at <= due]:
                await self._probe_one(conn)

    async def _probe_one(self, conn: Conn) -> None:
        if conn not in self._idle or self._room.locked():
            return
        async with self._room:
            self._idle.remove(conn)
            if await self._answers(conn):
                self._idle.insert(0, conn)

    def _none_in_time(self) -> FaultError:
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


def _connect_fault(server: ServerState, code: Code, what: str) -> FaultError:
    message = f"{what} connection to the server {server.name}"
    fault = Fault(
        code, message, Step.CONNECT, peer=server.name, retry_after_s=RETRY_AFTER_S
    )
    return FaultError(fault)


def _bound_silence(conn: Conn) -> None:
    """Have the kernel give up a connection whose other end acknowledges nothing."""
    sock = conn._transport.get_extra_info("socket")
    if sock is None:
        return
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
