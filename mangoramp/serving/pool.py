"""Connection pool for one server, with a separate set of connections per customer."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from ..control.group import CapacityState, Limit, Server
from ..events import CONNECTION_REFUSED, emit
from ..policy.handover import Handover
from ..policy.primary_reserve import PrimaryReserve
from ..policy.wait_queue import MAX_CLASSES, Waiter
from ..policy.window import ConcurrencyWindow
from .capacity import Capacity
from .command import Connector, OpenRefusedError, Refusal, ServerConnection
from .idle import IdleConnection, IdleConnections
from .pins import Pins
from .urgency import NoConnectionError as NoConnectionError
from .urgency import Urgency as Urgency
from .waiting import WaitingRequests
from .workload import ONE_REQUEST, Workload

SERVER_FULL_DELAY_S = 0.05  # other processes usually release connections sooner
MAX_SERVER_FULL_DELAY_S = 0.4  # servers drop crashed hosts' connections in seconds
MIN_WAKE_DELAY_S = 0.002  # a request that was woken has been handled by then
MAX_IDLE_S = 20.0  # servers close connections that are idle for longer
EVACUATED_WAIT_S = 0.1  # then the successor of an evacuated primary may lead
EVACUATED_REASON = "its failure domain is being evacuated"


class ServerPool:
    """Pools connections to one server; each connection serves a single customer.

    A server accepts few connections. At the limit, the least recently used idle
    connection is closed to open one for the customer of a waiting request.

    Args:
        server: The server.
        connector: Opens connections.
        clock: Returns the time in seconds.
        limit: Maximum number of open connections.
        capacity: The server's cold limit and pace, None for neither.
        pins: Bounds the connections that transactions hold, None for no bound.
        handover: The customers whose connections move to or from this process.

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
        capacity: Capacity | None = None,
        pins: Pins | None = None,
        handover: Handover | None = None,
    ) -> None:
        self.server = server
        self.limit = limit
        self.opened = 0
        self.answers = 0
        self.handovers: dict[int, int] = {}
        self._connector = connector
        self.clock = clock
        self._idle = IdleConnections()
        self._count = 0
        self._window = ConcurrencyWindow()
        self._active = 0
        self._waiting = WaitingRequests(clock, "a connection")
        self._timer: asyncio.TimerHandle | None = None
        self._reserve = PrimaryReserve()
        self._share: int | None = None
        self._urgent_class: int | None = None
        self._share_interval_s = 0.0
        self._cold_interval_s = 0.0
        self.capacity = capacity
        self._pins = pins
        self._pinned: set[ServerConnection] = set()
        server.reporter = self
        self._open_blocked_until = float("-inf")
        self._full_delay_s = SERVER_FULL_DELAY_S
        self._opening = 0
        self._handover = handover or Handover()
        self._opening_new = 0
        self._is_closed = False

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or being opened."""
        return self._count

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a connection."""
        pinned = len(self._pins) if self._pins is not None else 0
        return len(self._waiting) + pinned

    @property
    def capacity_state(self) -> CapacityState:
        """Which limit is binding and why."""
        state = self.capacity.state(self._active) if self.capacity is not None else None
        return state or self._connection_state()

    def predict_capacity(self) -> CapacityState:
        """Return what ``capacity_state`` would be, without changing limits."""
        capacity = self.capacity
        state = capacity.predict(self._active) if capacity is not None else None
        return state or self._connection_state()

    def _connection_state(self) -> CapacityState:
        if self._share is not None and self._active >= self._share:
            return CapacityState(Limit.SHARE, f"{self._share} statements in flight")
        if not self._window.has_room(self._active):
            return CapacityState(Limit.WINDOW, f"{self._active} statements in flight")
        if self._pins is not None and len(self._pins):
            reason = f"transactions hold {self._pins.count} of {self.limit} connections"
            return CapacityState(Limit.PINNED, reason)
        if self._count >= self.limit and not self._idle:
            return CapacityState(Limit.CONNECTIONS, f"all {self.limit} are in use")
        return CapacityState(Limit.NONE)

    @property
    def leased(self) -> int:
        """The number of connections that run a statement or hold a transaction."""
        return self._count - len(self._idle)

    def may_send(self, *, in_transaction: bool = False) -> bool:
        """Return whether the server's evacuation, if any, still allows a request."""
        return self.server.may_send(self.clock(), in_transaction=in_transaction)

    @property
    def in_flight(self) -> int:
        """Statements and openings of connections in flight at the server."""
        return self._active

    def waiting_by_class(self) -> dict[int, int]:
        """Return the number of requests that wait, by priority class."""
        found: dict[int, int] = {}
        for waiter in self._waiting.queue:
            priority = min(waiter.priority, MAX_CLASSES - 1)
            found[priority] = found.get(priority, 0) + 1
        return found

    def waits_by_class(self) -> tuple[float, ...]:
        """Return the seconds until a new request is served, by priority class.

        The last entry also holds for less urgent classes; empty if nothing waits.
        """
        return self._waiting.queue.waits_by_class(self.clock())

    def predict_wait(
        self, customer: str, urgency: Urgency, requests: int
    ) -> tuple[int, float]:
        """Return the place and wait of a new request in the queue, without adding it.

        Returns:
            The number of requests before it and the expected wait in seconds.
        """
        now = self.clock()
        ahead, wait_s = self._waiting.queue.predict(
            customer,
            priority=urgency.priority,
            due_at=now + urgency.due_s,
            deadline=now + urgency.timeout_s,
            now=now,
        )
        if self.capacity is not None:
            wait_s = max(wait_s, self.capacity.predict_cold_wait_s(requests))
        return ahead, wait_s

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
        self._share_interval_s = interval_s
        self._update_min_interval()
        free = self.limit - self._count + len(self._idle)
        for woken in range(min(free, len(self._waiting))):
            self._wake_next(in_flight=self._active + woken)

    def has_idle(self, customer: str) -> bool:
        """Return whether a customer has an idle connection."""
        return self._idle.has(customer)

    def has_capacity(self, customer: str) -> bool:
        """Return whether a customer's statement could be sent now, without waiting."""
        is_in_share = self._share is None or self._active < self._share
        has_room = not self.waiting and self._window.has_room(self._active)
        may_open = self._count < self.limit and self._may_open(customer)
        is_free = self.server.busy < self.server.endpoint.slots
        has_connection = may_open or self.has_idle(customer)
        return is_in_share and has_room and is_free and has_connection

    async def acquire(
        self, customer: str, urgency: Urgency, work: Workload = ONE_REQUEST
    ) -> ServerConnection:
        """Acquire a connection; return it with :meth:`release`.

        Args:
            customer: The customer whose statements the connection will run.
            urgency: How urgently the connection is needed.
            work: What the first batch asks of the server's capacity.

        Raises:
            NoConnectionError: No connection became available in time.
        """
        now = self.clock()
        pins = self._pins if work.opens_transaction else None
        if pins is None:
            return await self._acquire(customer, urgency, work, now)
        await pins.acquire(customer, urgency)
        try:
            conn = await self._acquire(customer, urgency, work, now)
        except BaseException:
            pins.release()
            raise
        self._pinned.add(conn)
        return conn

    def park(self) -> None:
        """Record that an acquired connection is idle inside a transaction."""
        self._active -= 1
        self._wake_next()

    def resume(self) -> None:
        """Record that a parked connection is about to run a statement."""
        self._active += 1

    def record_answer(
        self,
        *,
        was_refused: bool,
        sent_at: float | None = None,
        has_failed: bool = False,
    ) -> None:
        """Adjust the concurrency window and the pace to a server's answer.

        Args:
            was_refused: Whether the server refused a statement for lack of capacity.
            sent_at: When the statement was sent, in seconds; None if the answer is not
                that of a statement.
            has_failed: Whether the server failed to run a statement.
        """
        self.answers += 1
        if was_refused:
            self._window.record_refusal(self._active, self.clock())
        else:
            self._window.record_success(self._active)
        capacity = self.capacity
        if capacity is None or capacity.pace is None:
            return
        if was_refused or has_failed:
            self.record_failure(sent_at, "busy" if was_refused else "failed")
        elif sent_at is not None:
            capacity.record_answer(sent_at, self._active)
            pace = capacity.pace
            if pace and not self._window.has_room(int(pace.limit) - 1):
                capacity.end_pace("the window is smaller")

    def record_failure(self, sent_at: float | None, reason: str) -> None:
        """Adjust the pace to a failure of the server."""
        if self.capacity is not None:
            now = self.clock()
            self.capacity.record_failure(now if sent_at is None else sent_at, reason)

    def release(self, conn: ServerConnection, customer: str) -> None:
        """Return a connection to the pool; a closed one makes room for another."""
        self._active -= 1
        if self.capacity is not None:
            self.capacity.release(conn)
        if conn in self._pinned and self._pins is not None:
            self._pinned.remove(conn)
            self._pins.release()
        if not conn.is_open:
            self._count -= 1
        elif self._is_closed or self._count > self.limit:
            conn.close()
            self._count -= 1
        else:
            self._idle.add(conn, customer, self.clock())
        self._wake_next(customer)
        if self._window.has_room(self._active + 1):
            # The window has grown: a second waiter can be served.
            self._wake_next(in_flight=self._active + 1)

    def resize(self, limit: int) -> None:
        """Set the maximum number of open connections."""
        grown, self.limit = limit - self.limit, limit
        if self.capacity is not None:
            self.capacity.resize(limit)
        if self._pins is not None:
            self._pins.resize(limit)
        for _ in range(grown):
            self._wake_next()

    def reject_waiters(self, reason: str) -> None:
        """Reject all requests that wait for a connection."""
        self._waiting.reject_all(reason)

    def evict_idle(self) -> None:
        """Close idle connections that are unusable, expired or above the limit.

        Of the customers that have another home now, one connection is closed.
        """
        now = self.clock()
        for idle in self._in_order_of_eviction():
            is_old = now - idle.since >= MAX_IDLE_S or not self.may_send()
            if not idle.conn.is_open or is_old or self._count > self.limit:
                self._evict(idle)
        for idle in self._in_order_of_eviction()[:1]:
            if self._handover.has_left(idle.customer):
                self._evict(idle)

    def close(self) -> None:
        """Close idle connections now and acquired ones on release."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        for idle in self._idle:
            self._evict(idle)
        if self._pins is not None:
            self._pins.close()
        self._waiting.wake_all()

    async def _acquire(
        self, customer: str, urgency: Urgency, work: Workload, now: float
    ) -> ServerConnection:
        deadline = now + urgency.timeout_s
        waiter: Waiter | None = None
        while True:
            if self._is_closed:
                raise NoConnectionError("the server is gone", is_reachable=False)
            if not self.may_send():
                raise NoConnectionError(EVACUATED_REASON, is_reachable=True)
            if self.server.is_evacuated:
                deadline = min(deadline, now + EVACUATED_WAIT_S)
            self._check_reserve(urgency, waiter)
            if waiter is not None or self._may_overtake():
                conn = await self._try_acquire(
                    customer, urgency.priority, work.requests
                )
                if conn is not None:
                    self._record_handover(urgency)
                    if len(self._waiting) and self._is_limited():
                        self._wake_next()  # the limits may allow several at once
                    return conn
            if self.clock() >= deadline:
                raise NoConnectionError("all connections are busy", is_reachable=True)
            self._check_cold(work.requests, deadline)
            if waiter is None:
                waiter = self._waiting.enqueue(customer, urgency, now)
            await self._wait(waiter, work.requests, urgency)

    def _record_handover(self, urgency: Urgency) -> None:
        priority = min(urgency.priority, MAX_CLASSES - 1)
        self.handovers[priority] = self.handovers.get(priority, 0) + 1

    def _check_reserve(self, urgency: Urgency, waiter: Waiter | None) -> None:
        if not urgency.is_deferrable:
            return
        share = self.limit if self._share is None else self._share
        concurrency = max(1.0, min(self._window.size, self.limit, share))
        reserved = self._reserve.reserved(urgency.priority, concurrency, self.clock())
        if reserved and self._active >= concurrency - reserved:
            if waiter is not None:
                self._wake_next()  # it may have been given a connection
            raise NoConnectionError(
                "the primary is reserved for work that only it can run",
                is_reachable=True,
            )

    def _may_overtake(self) -> bool:
        """Whether a request that has just arrived may go before those that wait.

        While the server's capacity is limited, nobody does, so that the most urgent
        request gets what becomes free.
        """
        return not len(self._waiting) or not self._is_limited()

    def _is_limited(self) -> bool:
        return self.capacity is not None and self.capacity.refresh()

    async def _try_acquire(
        self, customer: str, priority: int, requests: int
    ) -> ServerConnection | None:
        if not self._has_room(self._active, priority):
            return None
        capacity = self.capacity if self._is_limited() else None
        reservation = None
        if capacity is not None:
            if not capacity.has_room(self._active, requests):
                return None
            reservation = capacity.reserve(requests)
        self._active += 1
        conn: ServerConnection | None = None
        try:
            conn = self._idle.pop(customer)
            if conn is None and self._may_open(customer) and self._make_room():
                conn = await self._open(customer)
        except OpenRefusedError as exc:
            self._handle_open_refused(exc)
        finally:
            if conn is None:
                self._active -= 1
                if reservation is not None:
                    reservation.cancel()
        if conn is not None and capacity is not None and reservation is not None:
            capacity.hold(conn, reservation)
        return conn

    def _has_room(self, in_flight: int, priority: int) -> bool:
        is_in_share = self._is_in_share(in_flight, priority)
        return is_in_share and self._window.has_room(in_flight)

    def _is_in_share(self, in_flight: int, priority: int) -> bool:
        if self._share is None or in_flight < self._share:
            return True
        is_urgent = self._urgent_class is not None and priority <= self._urgent_class
        return is_urgent and in_flight < 1

    def _update_min_interval(self) -> None:
        self._waiting.queue.min_interval_s = max(
            self._share_interval_s, self._cold_interval_s
        )

    def _check_cold(self, requests: int, deadline: float) -> None:
        capacity = self.capacity
        if capacity is not None and capacity.cold is not None:
            part = capacity.cold.part
            self._cold_interval_s = 1 / part if part else 0.0
            self._update_min_interval()
            capacity.check_cold(requests, deadline)

    def _may_open(self, customer: str) -> bool:
        if self.server.is_evacuated:
            return False
        now = self.clock()
        if now < self._open_blocked_until:
            return False
        if self._opening_new and self._handover.is_new(customer, now):
            return False
        # While the server is full, a single attempt at a time probes for free capacity.
        return self._full_delay_s == SERVER_FULL_DELAY_S or not self._opening

    def _make_room(self) -> bool:
        if self._count < self.limit:
            return True
        if not len(self._idle):
            return False
        self._evict(self._in_order_of_eviction()[0])
        return True

    def _in_order_of_eviction(self) -> list[IdleConnection]:
        """Return the idle connections: of customers that have left, then by age."""
        has_left = self._handover.has_left
        return sorted(self._idle, key=lambda idle: not has_left(idle.customer))

    def _evict(self, idle: IdleConnection) -> None:
        self._idle.remove(idle)
        idle.conn.close()
        self._count -= 1

    async def _open(self, customer: str) -> ServerConnection:
        self._count += 1
        self._opening += 1
        is_new = self._handover.is_new(customer, self.clock())
        self._opening_new += is_new
        self.opened += 1
        endpoint = self.server.endpoint
        try:
            conn = await self._connector.open(
                endpoint.id, endpoint.group, endpoint.address, customer
            )
        except BaseException:
            self._count -= 1
            self._wake_next()
            if self._is_limited():
                # Once this attempt is no longer in flight.
                asyncio.get_running_loop().call_soon(self._wake_next)
            raise
        finally:
            self._opening -= 1
            self._opening_new -= is_new
        if is_new:
            # Statements of other new customers wait until they may open one.
            self._wake_next()
        self._full_delay_s = SERVER_FULL_DELAY_S
        if self.capacity is not None:
            self.capacity.record_opened()
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
        if exc.refusal is None:
            self.record_failure(None, "not reached")
            if self.capacity is not None:
                self.capacity.record_unreached()
        if exc.refusal in (Refusal.TOO_MANY_CONNECTIONS, Refusal.BUSY):
            self._open_blocked_until = self.clock() + self._full_delay_s
            self._full_delay_s = min(MAX_SERVER_FULL_DELAY_S, 2 * self._full_delay_s)
            return
        raise NoConnectionError(str(exc), is_reachable=exc.refusal is not None)

    async def _wait(self, waiter: Waiter, requests: int, urgency: Urgency) -> None:
        timeout_s = waiter.deadline - self.clock()
        delay_s = self._open_blocked_until - self.clock()
        if 0 < delay_s < timeout_s:
            timeout_s = delay_s
        self._waiting.queue.statement_s = self.server.latency_s
        # Armed first: the request itself may be all that waits.
        self._arm_timer(requests)
        if urgency.is_deferrable:
            await self._waiting.wait(waiter, timeout_s=timeout_s)
            return
        self._reserve.start_wait(urgency.priority)
        try:
            await self._waiting.wait(waiter, timeout_s=timeout_s)
        finally:
            self._reserve.end_wait(urgency.priority, self.clock())

    def _wake_next(self, customer: str = "", in_flight: int | None = None) -> None:
        """Wake the next waiter to acquire a connection, if the limits allow a request.

        Args:
            customer: The customer whose connection became idle, empty for none; a
                waiter of this customer is preferred.
            in_flight: Statements in flight if they are not those of now.
        """
        if not len(self._waiting):
            return
        in_flight = self._active if in_flight is None else in_flight
        if not self._is_closed and not self._may_wake(customer, in_flight):
            return  # woken when the share grows or another statement ends
        if self._is_limited():
            assert self.capacity is not None
            if not self.capacity.has_room(in_flight, 1):
                self._arm_timer(1)
                return
        self._waiting.queue.statement_s = self.server.latency_s
        self._waiting.wake_next(customer)

    def _may_wake(self, customer: str, in_flight: int) -> bool:
        waiter = self._waiting.queue.next_waiter(self.clock(), customer)
        return waiter is not None and self._is_in_share(in_flight, waiter.priority)

    def _arm_timer(self, requests: int) -> None:
        """Have the next waiter woken when the limits allow a batch."""
        if self._timer is not None or not self._is_limited():
            return
        assert self.capacity is not None
        delay_s = self.capacity.wait_s(self._active, requests)
        if math.isinf(delay_s):
            return  # the next answer wakes a waiter
        delay_s = max(MIN_WAKE_DELAY_S, delay_s)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._is_limited():
            self._wake_next()
            return
        self._cold_interval_s = 0.0
        self._update_min_interval()
        for _ in range(self.limit):
            self._wake_next()
