"""Limits on the statements that one instance has in flight at one server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..control.group import CapacityState, Limit
from ..policy.primary_reserve import PrimaryReserve
from ..policy.window import ConcurrencyWindow
from .capacity import Capacity, Reservation
from .command import ServerConnection


class InFlightLimits:
    """Concurrency window, share of the fleet, primary reserve, cold limit and pace.

    Args:
        clock: Returns the time in seconds.
        capacity: The server's cold limit and pace, None for neither.

    Attributes:
        in_flight: Statements and openings of connections in flight at the server.
        capacity: The server's cold limit and pace, None for neither.
        primary_reserve: The statements that wait because only the primary can run
            them.
        share: This home's share of the server's statements in flight, None for no
            limit.
    """

    def __init__(self, clock: Callable[[], float], capacity: Capacity | None) -> None:
        self.in_flight = 0
        self.capacity = capacity
        self.primary_reserve = PrimaryReserve()
        self.share: int | None = None
        self._clock = clock
        self._window = ConcurrencyWindow()
        self._urgent_class: int | None = None
        self._share_interval_s = 0.0
        self._cold_interval_s = 0.0

    @property
    def min_interval_s(self) -> float:
        """Average seconds between two statements that the limits allow, or 0."""
        return max(self._share_interval_s, self._cold_interval_s)

    @property
    def state(self) -> CapacityState | None:
        """Which limit is binding and why, None if none is."""
        capacity = self.capacity
        state = capacity.state(self.in_flight) if capacity is not None else None
        return state or self._window_state()

    def predict(self) -> CapacityState | None:
        """Return what ``state`` would be, without starting or ending limits."""
        capacity = self.capacity
        state = capacity.predict(self.in_flight) if capacity is not None else None
        return state or self._window_state()

    def _window_state(self) -> CapacityState | None:
        in_flight = self.in_flight
        if self.share is not None and in_flight >= self.share:
            return CapacityState(Limit.SHARE, f"{self.share} statements in flight")
        if not self._window.has_room(in_flight):
            return CapacityState(Limit.WINDOW, f"{in_flight} statements in flight")
        return None

    def set_share(
        self, limit: int | None, urgent: int | None, interval_s: float
    ) -> None:
        """Limit the statements in flight to this home's share of the server.

        Args:
            limit: The limit, None for none.
            urgent: The priority class of which one statement may always be in flight,
                None for none; this includes more urgent classes.
            interval_s: Average seconds between two statements that the share allows.
        """
        self.share = limit
        self._urgent_class = urgent
        self._share_interval_s = interval_s

    def is_limited(self) -> bool:
        """Return whether a cold limit or a pace applies now."""
        return self.capacity is not None and self.capacity.refresh()

    def is_in_share(self, in_flight: int, priority: int) -> bool:
        """Return whether the share allows one more statement.

        Args:
            in_flight: Statements that are in flight.
            priority: The statement's priority class.
        """
        if self.share is None or in_flight < self.share:
            return True
        is_urgent = self._urgent_class is not None and priority <= self._urgent_class
        return is_urgent and in_flight < 1

    def has_window_room(self, in_flight: int) -> bool:
        """Return whether the concurrency window allows one more statement."""
        return self._window.has_room(in_flight)

    def has_room(self) -> bool:
        """Return whether share and window allow one more statement of any class."""
        is_in_share = self.share is None or self.in_flight < self.share
        return is_in_share and self._window.has_room(self.in_flight)

    def is_reserved(self, priority: int, connections: int) -> bool:
        """Return whether the remaining room is kept for work of the primary alone.

        Args:
            priority: The priority class of a read that replicas can serve.
            connections: Maximum number of connections to the server.
        """
        share = connections if self.share is None else self.share
        concurrency = max(1.0, min(self._window.size, connections, share))
        reserved = self.primary_reserve.reserved(priority, concurrency, self._clock())
        return bool(reserved) and self.in_flight >= concurrency - reserved

    def enter(self, priority: int, requests: int) -> InFlight | None:
        """Count a batch as in flight if the limits allow it.

        Args:
            priority: The batch's priority class.
            requests: Requests of the batch that a cold limit counts.

        Returns:
            None if a limit does not allow the batch now.
        """
        in_flight = self.in_flight
        if not self.is_in_share(in_flight, priority):
            return None
        if not self._window.has_room(in_flight):
            return None
        reservation = None
        if self.is_limited():
            assert self.capacity is not None
            if not self.capacity.has_room(in_flight, requests):
                return None
            reservation = self.capacity.reserve(requests)
        self.in_flight += 1
        return InFlight(self, reservation)

    def leave(self, conn: ServerConnection) -> None:
        """Record that a connection's statements have ended."""
        self.in_flight -= 1
        if self.capacity is not None:
            self.capacity.release(conn)

    def update_cold_interval(self) -> None:
        """Adopt the interval of the cold limit, if there is one."""
        capacity = self.capacity
        if capacity is not None and capacity.cold is not None:
            part = capacity.cold.part
            self._cold_interval_s = 1 / part if part else 0.0

    def reset_cold_interval(self) -> None:
        """Record that no cold limit applies any more."""
        self._cold_interval_s = 0.0

    def check_cold(self, requests: int, deadline: float) -> None:
        """Reject a batch that the cold limit does not allow before its deadline.

        Raises:
            NoConnectionError: The batch was rejected.
        """
        if self.capacity is not None:
            self.capacity.check_cold(requests, deadline)

    def record_answer(
        self, *, was_refused: bool, sent_at: float | None, has_failed: bool
    ) -> None:
        """Adjust the concurrency window and the pace to a server's answer.

        Args:
            was_refused: Whether the server refused a statement for lack of capacity.
            sent_at: When the statement was sent, in seconds; None if the answer is not
                that of a statement.
            has_failed: Whether the server failed to run a statement.
        """
        if was_refused:
            self._window.record_refusal(self.in_flight, self._clock())
        else:
            self._window.record_success(self.in_flight)
        capacity = self.capacity
        if capacity is None or capacity.pace is None:
            return
        if was_refused or has_failed:
            self.record_failure(sent_at, "busy" if was_refused else "failed")
        elif sent_at is not None:
            capacity.record_answer(sent_at, self.in_flight)
            pace = capacity.pace
            if pace and not self._window.has_room(int(pace.limit) - 1):
                capacity.end_pace("the window is smaller")

    def record_failure(self, sent_at: float | None, reason: str) -> None:
        """Adjust the pace to a failure of the server."""
        if self.capacity is not None:
            now = self._clock()
            self.capacity.record_failure(now if sent_at is None else sent_at, reason)

    def record_unreached(self) -> None:
        """Record that an attempt to open a connection did not reach the server."""
        self.record_failure(None, "not reached")
        if self.capacity is not None:
            self.capacity.record_unreached()

    def record_opened(self) -> None:
        """Record that the server accepted a connection."""
        if self.capacity is not None:
            self.capacity.record_opened()


@dataclass(frozen=True, slots=True)
class InFlight:
    """A batch that is counted as in flight, before it has a connection.

    Attributes:
        limits: The limits that allowed the batch.
        reservation: Its requests in the cold limit, None if the server is not cold.
    """

    limits: InFlightLimits
    reservation: Reservation | None

    def cancel(self) -> None:
        """Stop counting the batch, which got no connection."""
        self.limits.in_flight -= 1
        if self.reservation is not None:
            self.reservation.cancel()

    def hold(self, conn: ServerConnection) -> None:
        """Keep the requests reserved until the first batch on a connection."""
        if self.reservation is not None and self.limits.capacity is not None:
            self.limits.capacity.hold(conn, self.reservation)
