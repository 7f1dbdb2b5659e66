"""Connection pool for one server, with a separate set of connections per customer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..control.group import Server
from ..events import CONNECTION_REFUSED, emit
from ..policy.primary_reserve import PrimaryReserve
from ..policy.wait_queue import MAX_CLASSES, Waiter, WaitQueue
from ..policy.window import ConcurrencyWindow
from .command import Connector, OpenRefusedError, Refusal, ServerConnection

SERVER_FULL_DELAY_S = 0.05  # other processes usually release connections sooner
MAX_SERVER_FULL_DELAY_S = 0.4  # servers drop crashed hosts' connections in seconds
MAX_IDLE_S = 20.0  # servers close connections that are idle for longer


class NoConnectionError(Exception):
    """No connection was available; nothing was sent.

    Attributes:
        is_reachable: Whether the server responded to the connection attempt.
        wait_s: Estimated seconds until a connection is available, 0 if unknown.
    """

    def __init__(self, reason: str, *, is_reachable: bool, wait_s: float = 0.0) -> None:
        super().__init__(reason)
        self.is_reachable = is_reachable
        self.wait_s = wait_s


@dataclass(frozen=True, slots=True)
class Urgency:
    """How urgently a request needs a connection.

    Attributes:
        priority: The priority class; 0 is the most urgent.
        due_s: Seconds until the request misses its latency objective.
        timeout_s: Maximum wait for a connection in seconds.
        is_deferrable: Whether the request is a read at the primary that a replica can
            serve.
    """

    priority: int
    due_s: float
    timeout_s: float
    is_deferrable: bool = False


@dataclass(slots=True)
class _IdleConnection:
    conn: ServerConnection
    customer: str
    since: float


class ServerPool:
    """Pools connections to one server; each connection serves a single customer.

    A server accepts few connections. At the limit, the least recently used idle
    connection is closed to open one for the customer of a waiting request.

    Args:
        server: The server.
        connector: Opens connections.
        clock: Returns the time in seconds.
        limit: Maximum number of open connections.

    Attributes:
        opened: Connections opened since the start.
        answers: Answers received since the start.
        handovers: Connections acquired since the start, by priority class.
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
        self.answers = 0
        self.handovers: dict[int, int] = {}
        self._connector = connector
        self._clock = clock
        self._idle: deque[_IdleConnection] = deque()
        self._count = 0
        self._window = ConcurrencyWindow()
        self._active = 0
        self._wait_queue = WaitQueue()
        self._reserve = PrimaryReserve()
        self._share: int | None = None
        self._urgent_class: int | None = None
        self._futs: dict[Waiter, asyncio.Future[None]] = {}
        self._open_blocked_until = float("-inf")
        self._full_delay_s = SERVER_FULL_DELAY_S
        self._opening = 0
        self._is_closed = False

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or being opened."""
        return self._count

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a connection."""
        return len(self._wait_queue)

    @property
    def in_flight(self) -> int:
        """Statements and openings of connections in flight at the server."""
        return self._active

    def waiting_by_class(self) -> dict[int, int]:
        """Return the number of requests that wait, by priority class."""
        found: dict[int, int] = {}
        for waiter in self._wait_queue:
            priority = min(waiter.priority, MAX_CLASSES - 1)
            found[priority] = found.get(priority, 0) + 1
        return found

    def set_share(
        self,
        limit: int | None,
        urgent: int | None = None,
        interval_s: float = 0.0,
    ) -> None:
        """Limit the statements in flight to this home's share of the server.

        Args:
            limit: The limit, None for none.
            urgent: The priority class of which one statement may always be in flight,
                None for none; this includes more urgent classes.
            interval_s: Average seconds between two statements that the share allows.
        """
        self._share = limit
        self._urgent_class = urgent
        self._wait_queue.min_interval_s = interval_s
        free = self.limit - self._count + len(self._idle)
        for woken in range(min(free, self.waiting)):
            self._wake_next(woken=woken)

    def has_idle(self, customer: str) -> bool:
        """Return whether a customer has an idle connection."""
        return any(i.customer == customer and i.conn.is_open for i in self._idle)

    async def acquire(self, customer: str, urgency: Urgency) -> ServerConnection:
        """Acquire a connection; return it with :meth:`release`.

        Args:
            customer: The customer whose statements the connection will run.
            urgency: How urgently the connection is needed.

        Raises:
            NoConnectionError: No connection became available in time.
        """
        now = self._clock()
        deadline = now + urgency.timeout_s
        waiter: Waiter | None = None
        while True:
            if self._is_closed:
                raise NoConnectionError("the server is gone", is_reachable=False)
            self._check_reserve(urgency, waiter)
            conn = await self._try_acquire(customer, urgency.priority)
            if conn is not None:
                self._record_handover(urgency)
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
            await self._wait(waiter, urgency)

    def waits_by_class(self) -> tuple[float, ...]:
        """Return the seconds until a new request is served, by priority class.

        The last entry also holds for less urgent classes; empty if nothing waits.
        """
        return self._wait_queue.waits_by_class(self._clock())

    def park(self) -> None:
        """Record that an acquired connection is idle inside a transaction."""
        self._active -= 1
        self._wake_next()

    def resume(self) -> None:
        """Record that a parked connection is about to run a statement."""
        self._active += 1

    def record_answer(self, *, was_refused: bool) -> None:
        """Adjust the concurrency window to a server's answer.

        Args:
            was_refused: Whether the server refused a statement for lack of capacity.
        """
        self.answers += 1
        if was_refused:
            self._window.record_refusal(self._active, self._clock())
        else:
            self._window.record_success(self._active)

    def release(self, conn: ServerConnection, customer: str) -> None:
        """Return a connection to the pool; a closed one makes room for another."""
        self._active -= 1
        if not conn.is_open:
            self._count -= 1
        elif self._is_closed or self._count > self.limit:
            conn.close()
            self._count -= 1
        else:
            self._idle.append(_IdleConnection(conn, customer, self._clock()))
        self._wake_next(customer)
        if self._window.has_room(self._active + 1):
            # The window has grown: a second waiter can be served.
            self._wake_next(woken=1)

    def resize(self, limit: int) -> None:
        """Set the maximum number of open connections."""
        grown, self.limit = limit - self.limit, limit
        for _ in range(grown):
            self._wake_next()

    def evict_idle(self) -> None:
        """Close idle connections that are broken, expired or above the limit."""
        now = self._clock()
        for idle in list(self._idle):
            is_old = now - idle.since >= MAX_IDLE_S
            if not idle.conn.is_open or is_old or self._count > self.limit:
                self._evict(idle)

    def close(self) -> None:
        """Close idle connections now and acquired ones on release."""
        self._is_closed = True
        for idle in list(self._idle):
            self._evict(idle)
        while len(self._wait_queue):
            self._wake_next()

    def _record_handover(self, urgency: Urgency) -> None:
        priority = min(urgency.priority, MAX_CLASSES - 1)
        self.handovers[priority] = self.handovers.get(priority, 0) + 1

    def _check_reserve(self, urgency: Urgency, waiter: Waiter | None) -> None:
        if not urgency.is_deferrable:
            return
        share = self.limit if self._share is None else self._share
        concurrency = max(1.0, min(self._window.size, self.limit, share))
        reserved = self._reserve.reserved(urgency.priority, concurrency, self._clock())
        if reserved and self._active >= concurrency - reserved:
            if waiter is not None:
                self._wake_next()  # it may have been given a connection
            raise NoConnectionError(
                "the primary is reserved for work that only it can run",
                is_reachable=True,
            )

    async def _try_acquire(
        self, customer: str, priority: int
    ) -> ServerConnection | None:
        if not self._has_room(self._active, priority):
            return None
        self._active += 1
        conn: ServerConnection | None = None
        try:
            conn = self._pop_idle(customer)
            if conn is None and self._may_open() and self._make_room():
                conn = await self._open(customer)
        except OpenRefusedError as exc:
            self._handle_open_refused(exc)
        finally:
            if conn is None:
                self._active -= 1
        return conn

    def _has_room(self, in_flight: int, priority: int) -> bool:
        is_in_share = self._is_in_share(in_flight, priority)
        return is_in_share and self._window.has_room(in_flight)

    def _is_in_share(self, in_flight: int, priority: int) -> bool:
        if self._share is None or in_flight < self._share:
            return True
        is_urgent = self._urgent_class is not None and priority <= self._urgent_class
        return is_urgent and in_flight < 1

    def _may_open(self) -> bool:
        if self._clock() < self._open_blocked_until:
            return False
        # While the server is full, a single attempt at a time probes for free capacity.
        return self._full_delay_s == SERVER_FULL_DELAY_S or not self._opening

    def _pop_idle(self, customer: str) -> ServerConnection | None:
        # Most recently used first, so that surplus connections expire.
        for idle in reversed(self._idle):
            if idle.customer == customer and idle.conn.is_open:
                self._idle.remove(idle)
                return idle.conn
        return None

    def _make_room(self) -> bool:
        if self._count < self.limit:
            return True
        if not self._idle:
            return False
        self._evict(self._idle[0])
        return True

    def _evict(self, idle: _IdleConnection) -> None:
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
            self._wake_next()
            raise
        finally:
            self._opening -= 1
        self._full_delay_s = SERVER_FULL_DELAY_S
        return conn

    def _handle_open_refused(self, exc: OpenRefusedError) -> None:
        emit(
            CONNECTION_REFUSED,
            server=self.server.id,
            reason=str(exc),
            connections=self._count,
            limit=self.limit,
        )
        self.record_answer(was_refused=exc.refusal is Refusal.BUSY)
        if exc.refusal in (Refusal.TOO_MANY_CONNECTIONS, Refusal.BUSY):
            self._open_blocked_until = self._clock() + self._full_delay_s
            self._full_delay_s = min(MAX_SERVER_FULL_DELAY_S, 2 * self._full_delay_s)
            return
        raise NoConnectionError(str(exc), is_reachable=exc.refusal is not None)

    async def _wait(self, waiter: Waiter, urgency: Urgency) -> None:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._wait_queue.requeue(waiter)
        self._futs[waiter] = fut
        self._reject_late_waiters()
        timeout_s = waiter.deadline - self._clock()
        delay_s = self._open_blocked_until - self._clock()
        if 0 < delay_s < timeout_s:
            timeout_s = delay_s
        if not urgency.is_deferrable:
            self._reserve.start_wait(urgency.priority)
        try:
            await asyncio.wait((fut,), timeout=timeout_s)
        finally:
            if not urgency.is_deferrable:
                self._reserve.end_wait(urgency.priority, self._clock())
            self._wait_queue.remove(waiter)
            self._futs.pop(waiter, None)
        if fut.done():
            fut.result()

    def _wake_next(self, customer: str = "", *, woken: int = 0) -> None:
        """Wake the next waiter to acquire a connection.

        Args:
            customer: The customer whose connection became idle, empty for none; a
                waiter of this customer is preferred.
            woken: Waiters that have just been woken besides.
        """
        self._reject_late_waiters()
        now = self._clock()
        waiter = self._wait_queue.next_waiter(now, customer)
        if waiter is None:
            return
        in_flight = self._active + woken
        if not self._is_closed and not self._is_in_share(in_flight, waiter.priority):
            return  # woken when the share grows or another statement ends
        self._wait_queue.remove(waiter)
        self._wait_queue.record_handover(now)
        self._futs.pop(waiter).set_result(None)

    def _reject_late_waiters(self) -> None:
        queue = self._wait_queue
        queue.statement_s = self.server.latency_s
        for waiter, wait_s in queue.find_unservable(self._clock()):
            reason = (
                f"{len(queue)} wait for a connection, "
                f"one is handed over every {queue.handover_interval_s * 1000:.1f} ms"
            )
            queue.remove(waiter)
            exc = NoConnectionError(reason, is_reachable=True, wait_s=wait_s)
            self._futs.pop(waiter).set_exception(exc)
