"""Opens a pool's connections without holding requests back.

An attempt to connect to a server that is cut off gets no answer for half a second. In a
large fleet most of the requests for such a server come from instances that do not know
it yet, so that each of them would be late for another server.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

from ..control.group import Server
from ..events import TASK_FAILED, emit, place_of
from .command import OpenRefusedError, Refusal, ServerConnection
from .connections import Connections
from .in_flight import InFlight, InFlightLimits
from .urgency import NoConnectionError
from .wake_ups import WakeUps

SLOW_OPENING_AVOIDED_S = 0.25  # then an attempt that gets no answer has almost failed
SLOW_OPENING_REASON = "the server takes too long to accept a connection"
UNREACHABLE_FAILURES = 2  # in a row; a single one is often only a lost packet
UNREACHABLE_REASON = "the server accepted no connection lately"
REOPEN_INTERVAL_S = 0.1  # a recovery is noticed within this time


class Opener:
    """Opens connections to one server.

    Args:
        server: The server.
        clock: Returns the time in seconds.
        connections: The connections to the server.
        limits: The limits on the statements in flight.
        wake_ups: Wakes the requests that wait.
        record_refused: Records that the server refused a connection, given whether it
            was busy.
    """

    def __init__(
        self,
        server: Server,
        clock: Callable[[], float],
        connections: Connections,
        limits: InFlightLimits,
        wake_ups: WakeUps,
        record_refused: Callable[[bool], None],
    ) -> None:
        self._server = server
        self._clock = clock
        self._connections = connections
        self._limits = limits
        self._wake_ups = wake_ups
        self._record_refused = record_refused
        self._reopened_at = float("-inf")
        # Of this pool; the server may answer other instances meanwhile.
        self._failures = 0
        self._failing_since: float | None = None

    @property
    def unreachable_s(self) -> float:
        """Seconds since the server accepts no connections, 0 while it does."""
        since = self._failing_since
        return 0.0 if since is None else self._clock() - since

    def record_answer(self) -> None:
        """Record that the server answered this pool."""
        self._failures = 0
        self._failing_since = None

    def check_reachable(self, customer: str, priority: int) -> None:
        """Refuse a request at once while the server accepts no connections.

        A connection is opened meanwhile, so that a recovery is noticed.

        Args:
            customer: The customer whose request needs a connection.
            priority: The request's priority class.

        Raises:
            NoConnectionError: The request was refused.
        """
        if self._failures < UNREACHABLE_FAILURES:
            return
        if self._connections.has_idle(customer):
            return
        now = self._clock()
        if now - self._reopened_at >= REOPEN_INTERVAL_S:
            self._reopened_at = now
            self._reopen(customer, priority)
        raise NoConnectionError(
            UNREACHABLE_REASON, is_reachable=False, is_observed=False
        )

    async def open(
        self, deadline: float, customer: str, in_flight: InFlight
    ) -> ServerConnection | None:
        """Open a connection; one that is not open in time is kept for later requests.

        Args:
            deadline: Until when the request may wait, in seconds.
            customer: The customer whose statements the connection will run.
            in_flight: The request's batch.

        Returns:
            None if the server is full.

        Raises:
            NoConnectionError: There is no connection before the deadline.
        """
        is_new = self._connections.is_new(customer)
        opening = self._connections.start_opening(customer)
        keep = functools.partial(self._keep_opened, customer, is_new, in_flight)
        try:
            await asyncio.wait((opening,), timeout=max(0.0, deadline - self._clock()))
        except asyncio.CancelledError:
            # It may just have been opened.
            opening.cancel()
            opening.add_done_callback(keep)
            raise
        if not opening.done():
            self._server.full_until = self._clock() + SLOW_OPENING_AVOIDED_S
            opening.add_done_callback(keep)
            raise NoConnectionError(SLOW_OPENING_REASON, is_reachable=True)
        try:
            conn = opening.result()
        except OpenRefusedError as exc:
            self._record_not_opened(in_flight)
            self._handle_refused(exc)
            return None
        except BaseException:
            self._record_not_opened(in_flight)
            raise
        self._record_opened(is_new)
        return conn

    def _reopen(self, customer: str, priority: int) -> None:
        """Open a connection that no request waits for."""
        connections = self._connections
        if not connections.may_open(customer):
            return
        in_flight = self._limits.enter(priority, requests=0)
        if in_flight is None:
            return
        if not connections.make_room():
            in_flight.cancel()
            return
        is_new = connections.is_new(customer)
        opening = connections.start_opening(customer)
        opening.add_done_callback(
            functools.partial(self._keep_opened, customer, is_new, in_flight)
        )

    def _keep_opened(
        self,
        customer: str,
        is_new: bool,
        in_flight: InFlight,
        opening: asyncio.Task[ServerConnection],
    ) -> None:
        """Keep a connection that no request waits for any more, or record a failure."""
        exc = None if opening.cancelled() else opening.exception()
        if opening.cancelled() or exc is not None:
            self._record_not_opened(in_flight)
        else:
            in_flight.cancel()
            self._server.record_accepted(self._clock())
            self._record_opened(is_new)
            self._connections.put_back(
                opening.result(), customer, is_closing=self._wake_ups.is_closed
            )
            self._wake_ups.wake_next(customer)
        if isinstance(exc, OpenRefusedError):
            try:
                self._handle_refused(exc)
            except NoConnectionError as refused:
                if not refused.is_reachable:
                    self._server.record_failure(self._clock(), str(refused))
        elif exc is not None:
            emit(
                TASK_FAILED,
                task="open connection",
                reason=repr(exc),
                place=place_of(exc),
            )

    def _record_opened(self, is_new: bool) -> None:
        self.record_answer()
        if is_new:
            # Statements of other new customers wait until they may open one.
            self._wake_ups.wake_next()
        self._limits.record_opened()

    def _record_not_opened(self, in_flight: InFlight) -> None:
        self._wake_ups.wake_next()
        if self._limits.is_limited():
            # Once this attempt is no longer in flight.
            asyncio.get_running_loop().call_soon(self._wake_ups.wake_next)
        in_flight.cancel()

    def _handle_refused(self, exc: OpenRefusedError) -> None:
        is_full = self._connections.record_refusal(exc)
        self._record_refused(exc.refusal is Refusal.BUSY)
        if exc.refusal is None:
            self._failures += 1
            if self._failing_since is None:
                self._failing_since = self._clock()
            self._limits.record_unreached()
        if not is_full:
            raise NoConnectionError(str(exc), is_reachable=exc.refusal is not None)
