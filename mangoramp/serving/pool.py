"""Connection pool for one server, with a separate set of connections per customer."""

from __future__ import annotations

from collections.abc import Callable

from ..control.group import CapacityState, Limit, Server
from ..policy.handover import Handover
from ..policy.wait_queue import MAX_CLASSES, Waiter
from .capacity import Capacity
from .command import Connector, ServerConnection
from .connections import Connections
from .in_flight import InFlightLimits
from .openings import Opener
from .pins import Pins
from .urgency import NoConnectionError as NoConnectionError
from .urgency import Urgency as Urgency
from .waiting import WaitingRequests
from .wake_ups import WakeUps
from .workload import ONE_REQUEST, Workload

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
        self.answers = 0
        self.handovers: dict[int, int] = {}
        self.clock = clock
        self._connections = Connections(
            server, connector, clock, limit=limit, handover=handover or Handover()
        )
        self._limits = InFlightLimits(clock, capacity)
        self._waiting = WaitingRequests(clock, "a connection")
        self._wake_ups = WakeUps(
            server, clock, self._waiting, self._limits, self._connections
        )
        self._opener = Opener(
            server,
            clock,
            self._connections,
            self._limits,
            self._wake_ups,
            self._record_refused_opening,
        )
        self._pins = pins
        self._pinned: set[ServerConnection] = set()
        server.reporter = self

    @property
    def limit(self) -> int:
        """The maximum number of open connections."""
        return self._connections.limit

    @property
    def opened(self) -> int:
        """Connections opened since the start."""
        return self._connections.opened

    @property
    def capacity(self) -> Capacity | None:
        """The server's cold limit and pace, None for neither."""
        return self._limits.capacity

    @property
    def share(self) -> int | None:
        """This home's share of the statements in flight, None for no limit."""
        return self._limits.share

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or being opened."""
        return self._connections.count

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a connection."""
        pinned = len(self._pins) if self._pins is not None else 0
        return len(self._waiting) + pinned

    @property
    def capacity_state(self) -> CapacityState:
        """Which limit is binding and why."""
        return self._limits.state or self._connection_state()

    def predict_capacity(self) -> CapacityState:
        """Return what ``capacity_state`` would be, without changing limits."""
        return self._limits.predict() or self._connection_state()

    def _connection_state(self) -> CapacityState:
        if self._pins is not None and len(self._pins):
            reason = f"transactions hold {self._pins.count} of {self.limit} connections"
            return CapacityState(Limit.PINNED, reason)
        if self._connections.count >= self.limit and not self._connections.idle_count:
            return CapacityState(Limit.CONNECTIONS, f"all {self.limit} are in use")
        return CapacityState(Limit.NONE)

    @property
    def unreachable_s(self) -> float:
        """Seconds since the server accepts no connections, 0 while it does."""
        return self._opener.unreachable_s

    @property
    def leased(self) -> int:
        """The number of connections that run a statement or hold a transaction."""
        return self._connections.count - self._connections.idle_count

    def may_send(self, *, in_transaction: bool = False) -> bool:
        """Return whether the server's evacuation, if any, still allows a request."""
        return self.server.may_send(self.clock(), in_transaction=in_transaction)

    @property
    def in_flight(self) -> int:
        """Statements and openings of connections in flight at the server."""
        return self._limits.in_flight

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
        self._limits.set_share(limit, urgent, interval_s)
        self._wake_ups.wake_for_share()

    def has_idle(self, customer: str) -> bool:
        """Return whether a customer has an idle connection."""
        return self._connections.has_idle(customer)

    def has_capacity(self, customer: str) -> bool:
        """Return whether a customer's statement could be sent now, without waiting."""
        connections = self._connections
        has_room = not self.waiting and self._limits.has_room()
        may_open = connections.count < self.limit and connections.may_open(customer)
        is_free = self.server.busy < self.server.endpoint.slots
        has_connection = may_open or connections.has_idle(customer)
        return has_room and is_free and has_connection

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
        self._limits.in_flight -= 1
        self._wake_ups.wake_next()

    def resume(self) -> None:
        """Record that a parked connection is about to run a statement."""
        self._limits.in_flight += 1

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
        self._opener.record_answer()
        self._limits.record_answer(
            was_refused=was_refused, sent_at=sent_at, has_failed=has_failed
        )

    def _record_refused_opening(self, is_busy: bool) -> None:
        self.answers += 1
        self._limits.record_answer(was_refused=is_busy, sent_at=None, has_failed=False)

    def record_failure(self, sent_at: float | None, reason: str) -> None:
        """Adjust the pace to a failure of the server."""
        self._limits.record_failure(sent_at, reason)

    def release(self, conn: ServerConnection, customer: str) -> None:
        """Return a connection to the pool; a closed one makes room for another."""
        self._limits.leave(conn)
        if conn in self._pinned and self._pins is not None:
            self._pinned.remove(conn)
            self._pins.release()
        self._connections.put_back(conn, customer, is_closing=self._wake_ups.is_closed)
        self._wake_ups.wake_next(customer)
        if self._limits.has_window_room(self.in_flight + 1):
            # The window has grown: a second waiter can be served.
            self._wake_ups.wake_next(in_flight=self.in_flight + 1)

    def resize(self, limit: int) -> None:
        """Set the maximum number of open connections."""
        grown, self._connections.limit = limit - self.limit, limit
        if self.capacity is not None:
            self.capacity.resize(limit)
        if self._pins is not None:
            self._pins.resize(limit)
        for _ in range(grown):
            self._wake_ups.wake_next()

    def reject_waiters(self, reason: str) -> None:
        """Reject all requests that wait for a connection."""
        self._waiting.reject_all(reason)

    def evict_idle(self) -> None:
        """Close idle connections that are unusable, expired or above the limit.

        Of the customers that have another home now, one connection is closed.
        """
        self._connections.evict_idle()

    def close(self) -> None:
        """Close idle connections now and acquired ones on release."""
        self._wake_ups.is_closed = True
        self._wake_ups.cancel_timer()
        self._connections.close_idle()
        if self._pins is not None:
            self._pins.close()
        self._waiting.wake_all()

    async def _acquire(
        self, customer: str, urgency: Urgency, work: Workload, now: float
    ) -> ServerConnection:
        deadline = now + urgency.timeout_s
        waiter: Waiter | None = None
        while True:
            if self._wake_ups.is_closed:
                raise NoConnectionError("the server is gone", is_reachable=False)
            if not self.may_send():
                raise NoConnectionError(EVACUATED_REASON, is_reachable=True)
            if self.server.is_evacuated:
                deadline = min(deadline, now + EVACUATED_WAIT_S)
            self._opener.check_reachable(customer, urgency.priority)
            self._check_reserve(urgency, waiter)
            if waiter is not None or self._may_overtake():
                conn = await self._try_acquire(
                    customer, urgency.priority, work.requests, deadline
                )
                if conn is not None:
                    self._record_handover(urgency)
                    if len(self._waiting) and self._limits.is_limited():
                        # The limits may allow several at once.
                        self._wake_ups.wake_next()
                    return conn
            if self.clock() >= deadline:
                raise NoConnectionError("all connections are busy", is_reachable=True)
            self._check_cold(work.requests, deadline)
            if waiter is None:
                waiter = self._waiting.enqueue(customer, urgency, now)
            await self._wake_ups.wait(waiter, work.requests, urgency)

    def _record_handover(self, urgency: Urgency) -> None:
        priority = min(urgency.priority, MAX_CLASSES - 1)
        self.handovers[priority] = self.handovers.get(priority, 0) + 1

    def _check_reserve(self, urgency: Urgency, waiter: Waiter | None) -> None:
        if not urgency.is_deferrable:
            return
        if self._limits.is_reserved(urgency.priority, self.limit):
            if waiter is not None:
                self._wake_ups.wake_next()  # it may have been given a connection
            raise NoConnectionError(
                "the primary is reserved for work that only it can run",
                is_reachable=True,
            )

    def _may_overtake(self) -> bool:
        """Whether a request that has just arrived may go before those that wait.

        While the server's capacity is limited, nobody does, so that the most urgent
        request gets what becomes free.
        """
        return not len(self._waiting) or not self._limits.is_limited()

    async def _try_acquire(
        self, customer: str, priority: int, requests: int, deadline: float
    ) -> ServerConnection | None:
        in_flight = self._limits.enter(priority, requests)
        if in_flight is None:
            return None
        connections = self._connections
        conn = connections.take_idle(customer)
        if conn is None and connections.may_open(customer) and connections.make_room():
            conn = await self._opener.open(deadline, customer, in_flight)
        elif conn is None:
            in_flight.cancel()
        if conn is not None:
            in_flight.hold(conn)
        return conn

    def _check_cold(self, requests: int, deadline: float) -> None:
        self._limits.update_cold_interval()
        self._wake_ups.update_min_interval()
        self._limits.check_cold(requests, deadline)
