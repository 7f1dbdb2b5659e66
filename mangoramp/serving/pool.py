"""The connections of this process to one server, keyed by customer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..control.group import Server
from ..events import CONNECTION_REFUSED, emit
from ..policy.wait_queue import Waiter, WaitQueue
from ..policy.window import ConcurrencyWindow
from .command import Connector, OpenRefusedError, Refusal, ServerConnection

FULL_PAUSE_S = 0.05  # another process gives a connection back within this time
MAX_FULL_PAUSE_S = 0.4  # connections of processes that lost power end within seconds
IDLE_KEEP_S = 20.0  # servers close a connection that is idle for longer themselves


class NoConnectionError(Exception):
    """No connection could be had; nothing was sent.

    Attributes:
        is_reachable: Whether the server itself answered.
        wait_s: Seconds until there might be one, 0 if that is not known.
    """

    def __init__(self, reason: str, *, is_reachable: bool, wait_s: float = 0.0) -> None:
        super().__init__(reason)
        self.is_reachable = is_reachable
        self.wait_s = wait_s


@dataclass(frozen=True, slots=True)
class Urgency:
    """How urgently a request needs a connection.

    Attributes:
        priority: Its class, 0 for the most urgent.
        due_s: Seconds until its answer is late for its objective.
        timeout_s: Seconds for which it waits.
    """

    priority: int
    due_s: float
    timeout_s: float


@dataclass(slots=True)
class _Idle:
    conn: ServerConnection
    customer: str
    since: float


class ServerPool:
    """Connections to one server, few and each for one customer.

    The one that a waiting request needs is opened in place of the one that has been
    idle longest, whose customer needs it least.

    Args:
        server: The server.
        connector: Opens connections.
        clock: Tells the time in seconds.
        limit: The most connections at a time.
    """

    def __init__(
        self,
        server: Server,
        connector: Connector,
        clock: Callable[[], float],
        *,
        limit: int,
    ) -> None:
        self.server = server
        self.limit = limit
        self.opened = 0
        self._connector = connector
        self._clock = clock
        self._idle: deque[_Idle] = deque()
        self._count = 0
        self._window = ConcurrencyWindow()
        self._active = 0
        self._wait_queue = WaitQueue()
        self._futs: dict[Waiter, asyncio.Future[None]] = {}
        self._full_until = float("-inf")
        self._full_pause = FULL_PAUSE_S
        self._opening = 0
        self._is_closed = False

    @property
    def count(self) -> int:
        """Connections that are open or being opened."""
        return self._count

    @property
    def waiting(self) -> int:
        """Requests that wait for a connection."""
        return len(self._wait_queue)

    def has_idle(self, customer: str) -> bool:
        """Whether a connection of a customer is free."""
        return any(i.customer == customer and i.conn.is_open for i in self._idle)

    async def acquire(self, customer: str, urgency: Urgency) -> ServerConnection:
        """Take a connection; give it back by :meth:`release`.

        Args:
            customer: Whose statements it will run.
            urgency: How urgently it is needed.

        Raises:
            NoConnectionError: There is none in time.
        """
        now = self._clock()
        deadline = now + urgency.timeout_s
        waiter: Waiter | None = None
        while True:
            if self._is_closed:
                raise NoConnectionError("the server is gone", is_reachable=False)
            conn = await self._try_to_take(customer)
            if conn is not None:
                return conn
            if self._clock() >= deadline:
                raise NoConnectionError("all connections are busy", is_reachable=True)
            if waiter is None:
                waiter = self._wait_queue.enqueue(
                    customer,
                    priority=urgency.priority,
                    due_at=now + urgency.due_s,
                    deadline=deadline,
                )
            await self._wait(waiter)

    def park(self) -> None:
        """Note that a taken connection runs nothing for now."""
        self._active -= 1
        self._wake()

    def resume(self) -> None:
        """Note that a parked connection runs a statement again."""
        self._active += 1

    def answered(self, *, was_refused: bool) -> None:
        """Note whether the server had room for what it was sent."""
        if was_refused:
            self._window.record_refusal(self._active, self._clock())
        else:
            self._window.record_success(self._active)

    def release(self, conn: ServerConnection, customer: str) -> None:
        """Give a connection back; a closed one makes room for another."""
        self._active -= 1
        if not conn.is_open:
            self._count -= 1
        elif self._is_closed or self._count > self.limit:
            conn.close()
            self._count -= 1
        else:
            self._idle.append(_Idle(conn, customer, self._clock()))
        self._wake(customer)
        if self._window.has_room(self._active + 1):
            # The window has grown meanwhile.
            self._wake()

    def resize(self, limit: int) -> None:
        """Take over the most connections at a time."""
        grown, self.limit = limit - self.limit, limit
        for _ in range(grown):
            self._wake()

    def trim(self) -> None:
        """Close the connections that broke, were idle for long, or are too many."""
        now = self._clock()
        for idle in list(self._idle):
            is_old = now - idle.since >= IDLE_KEEP_S
            if not idle.conn.is_open or is_old or self._count > self.limit:
                self._drop(idle)

    def close(self) -> None:
        """Close what is idle now, and the rest as it is given back."""
        self._is_closed = True
        for idle in list(self._idle):
            self._drop(idle)
        while len(self._wait_queue):
            self._wake()

    async def _try_to_take(self, customer: str) -> ServerConnection | None:
        if not self._window.has_room(self._active):
            return None
        self._active += 1
        conn: ServerConnection | None = None
        try:
            conn = self._take_idle(customer)
            if conn is None and self._may_open() and self._has_room():
                conn = await self._open(customer)
        except OpenRefusedError as exc:
            self._refused(exc)
        finally:
            if conn is None:
                self._active -= 1
        return conn

    def _may_open(self) -> bool:
        if self._clock() < self._full_until:
            return False
        # While the server is full, one attempt at a time finds out whether it still is.
        return self._full_pause == FULL_PAUSE_S or not self._opening

    def _take_idle(self, customer: str) -> ServerConnection | None:
        # The latest used first: the others grow old and make room.
        for idle in reversed(self._idle):
            if idle.customer == customer and idle.conn.is_open:
                self._idle.remove(idle)
                return idle.conn
        return None

    def _has_room(self) -> bool:
        if self._count < self.limit:
            return True
        if not self._idle:
            return False
        self._drop(self._idle[0])
        return True

    def _drop(self, idle: _Idle) -> None:
        self._idle.remove(idle)
        idle.conn.close()
        self._count -= 1

    async def _open(self, customer: str) -> ServerConnection:
        self._count += 1
        self._opening += 1
        self.opened += 1
        endpoint = self.server.endpoint
        try:
            conn = await self._connector.open(
                endpoint.id, endpoint.group, endpoint.address, customer
            )
        except BaseException:
            self._count -= 1
            self._wake()
            raise
        finally:
            self._opening -= 1
        self._full_pause = FULL_PAUSE_S
        return conn

    def _refused(self, exc: OpenRefusedError) -> None:
        emit(
            CONNECTION_REFUSED,
            server=self.server.id,
            reason=str(exc),
            connections=self._count,
            limit=self.limit,
        )
        self.answered(was_refused=exc.refusal is Refusal.BUSY)
        if exc.refusal in (Refusal.TOO_MANY_CONNECTIONS, Refusal.BUSY):
            self._full_until = self._clock() + self._full_pause
            self._full_pause = min(MAX_FULL_PAUSE_S, 2 * self._full_pause)
            return
        raise NoConnectionError(str(exc), is_reachable=exc.refusal is not None)

    async def _wait(self, waiter: Waiter) -> None:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._wait_queue.requeue(waiter)
        self._futs[waiter] = fut
        self._refuse_hopeless()
        timeout_s = waiter.deadline - self._clock()
        pause = self._full_until - self._clock()
        if 0 < pause < timeout_s:
            timeout_s = pause
        try:
            await asyncio.wait((fut,), timeout=timeout_s)
        finally:
            self._wait_queue.remove(waiter)
            self._futs.pop(waiter, None)
        if fut.done():
            fut.result()

    def _wake(self, customer: str = "") -> None:
        """Let the first in line have a connection, of this customer if it is its."""
        self._refuse_hopeless()
        now = self._clock()
        waiter = self._wait_queue.next_waiter(now, customer)
        if waiter is None:
            return
        self._wait_queue.remove(waiter)
        self._wait_queue.record_handover(now)
        self._futs.pop(waiter).set_result(None)

    def _refuse_hopeless(self) -> None:
        line = self._wait_queue
        line.statement_s = self.server.latency_s
        for waiter, wait_s in line.find_unservable(self._clock()):
            reason = (
                f"{len(line)} wait for a connection, "
                f"one is handed over every {line.handover_interval_s * 1000:.1f} ms"
            )
            line.remove(waiter)
            exc = NoConnectionError(reason, is_reachable=True, wait_s=wait_s)
            self._futs.pop(waiter).set_exception(exc)
