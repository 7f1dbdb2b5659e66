"""Connections to one database server, within a budget."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import asyncpg

from ..errors import Code, Fault, FaultError, Step
from ..events import CONNECTION_CLOSED, emit
from ..platform.objects import ServerState

USER = "mangoramp"
DATABASE = "mangoramp"
CONNECT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5


async def connect(server: ServerState, *, role: str) -> asyncpg.Connection:
    """Open a connection to a database server.

    Args:
        server: The server.
        role: What the connection is for, shown as its application name.

    Raises:
        FaultError: The server could not be reached.
    """
    try:
        return await asyncpg.connect(
            host=server.host,
            port=server.port,
            user=USER,
            database=DATABASE,
            ssl=False,
            timeout=CONNECT_TIMEOUT_S,
            server_settings={"application_name": f"mangoramp {role}"},
        )
    except (OSError, TimeoutError, asyncpg.PostgresError, asyncpg.InterfaceError):
        message = f"no connection to the server {server.name}"
        raise FaultError(
            Fault(
                Code.NO_SERVER,
                message,
                Step.CONNECT,
                peer=server.name,
                retry_after_s=RETRY_AFTER_S,
            )
        ) from None


class Pool:
    """The connections of one home to one server.

    Args:
        server: The server.
        size: The most connections that may be open.
    """

    def __init__(self, server: ServerState, *, size: int) -> None:
        self.server = server
        self.size = size
        self.busy = 0
        self._idle: deque[asyncpg.Connection] = deque()
        self._closed = False
        self._room = asyncio.Semaphore(size)

    @asynccontextmanager
    async def lease(self) -> AsyncIterator[asyncpg.Connection]:
        """Lend a connection; one whose use failed is closed, never lent again."""
        self.busy += 1
        try:
            async with self._room:
                conn = await self._take()
                clean = False
                try:
                    yield conn
                    clean = True
                finally:
                    self._give_back(conn, clean=clean)
        finally:
            self.busy -= 1

    def close(self) -> None:
        """Close the idle connections, and each other one once it is given back."""
        self._closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().terminate()

    async def _take(self) -> asyncpg.Connection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_closed():
                return conn
        return await connect(self.server, role="work")

    def _give_back(self, conn: asyncpg.Connection, *, clean: bool) -> None:
        clean = clean and not conn.is_closed() and not conn.is_in_transaction()
        if clean and not self._closed:
            self._idle.append(conn)
            return
        conn.terminate()
        if clean:
            return
        emit(CONNECTION_CLOSED, server=self.server.name, reason="not clean")
