"""Limits on what one instance sends to a server that is cold, new or recovering."""

from __future__ import annotations

import asyncio
import copy
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..control.group import CapacityState, Limit, Server, SlowStart
from ..events import (
    COLD_LIMIT_ENDED,
    COLD_LIMIT_STARTED,
    PACE_ENDED,
    PACE_REDUCED,
    PACE_STARTED,
    emit,
)
from ..policy.cold_limit import WINDOW_S, ColdLimit
from ..policy.pace import Pace, PaceChange, PaceStart
from ..policy.revision import NO_REVISION
from .command import NotSentError, ServerConnection
from .urgency import NoConnectionError

RESTART_NOTICE_S = 1.0  # a restarted server's registry entry arrives within this time


class CapacitySource(Protocol):
    """What the limits depend on besides the server."""

    @property
    def is_paced(self) -> bool:
        """Whether servers get their load gradually after a start or recovery."""

    @property
    def holder_since(self) -> float:
        """Since when this instance may hold connections, in seconds."""

    def slot_share(self, server: Server) -> float:
        """Return this instance's part of a server's slots."""

    def usual_latency_s(self, server: Server) -> float | None:
        """Return the usual latency of a server, None if unknown."""

    def cold_start_s(self, server: Server) -> float:
        """Return the seconds that a server stays cold after its start."""

    def cold_part(self, server: Server) -> int | None:
        """Return the requests per second that this instance may send to a cold server.

        Returns:
            None if cold servers of the group are not limited.
        """

    def known_cold_part(self, server: Server) -> int | None:
        """Return ``cold_part`` by the holders as last known, without updating them."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Requests that are reserved in a cold limit."""

    cold: ColdLimit
    requests: int

    def cancel(self) -> None:
        """Return requests that are not sent."""
        self.cold.cancel(self.requests)


class Capacity:
    """The cold limit and the pace of one server.

    Args:
        server: The server.
        clock: Returns the time in seconds.
        source: What the limits depend on.
        limit: Maximum number of connections of the pool.

    Attributes:
        pace: The limit on statements in flight, None if it has ended.
        cold: The limit on requests per second, None if the server is not cold.
    """

    def __init__(
        self,
        server: Server,
        clock: Callable[[], float],
        source: CapacitySource,
        *,
        limit: int,
    ) -> None:
        self.pace: Pace | None = None
        self.cold: ColdLimit | None = None
        self._server = server
        self._clock = clock
        self._source = source
        self._limit = limit
        self._slow_starts = server.slow_starts
        self._held: dict[ServerConnection, Reservation] = {}
        self._is_new = True
        self._is_restart_suspected = False
        self._cold_until = -math.inf
        self._start_pace(SlowStart.STARTED)

    def refresh(self) -> bool:
        """Start or end limits as the server's state requires.

        Returns:
            Whether any limit applies.
        """
        server = self._server
        if server.slow_starts != self._slow_starts:
            self._slow_starts = server.slow_starts
            if server.slow_start is SlowStart.EVACUATION_ENDED:
                self._cold_until = self._clock() + self._source.cold_start_s(server)
            self._start_pace(server.slow_start)
        if (
            self.cold is not None
            or server.cold_until > 0
            or self._cold_until > 0
            or self._is_restart_suspected
        ):
            self._refresh_cold()
        self._is_new = False
        return self.pace is not None or self.cold is not None

    def has_room(self, in_flight: int, requests: int) -> bool:
        """Return whether the limits allow a batch; call :meth:`refresh` before.

        Args:
            in_flight: Statements and connections being opened that are not answered.
            requests: The requests of the batch.
        """
        now = self._clock()
        if self.cold is not None and not self.cold.has_room(requests, now):
            return False
        return self.pace is None or self.pace.may_send(in_flight, now)

    def wait_s(self, in_flight: int, requests: int) -> float:
        """Return the seconds until a batch may be sent if nothing is answered.

        Args:
            in_flight: Statements and connections being opened that are not answered.
            requests: The requests of the batch.

        Returns:
            Infinity if an answer must arrive first.
        """
        cold_s = self.cold_wait_s(requests)
        if self.pace is None:
            return cold_s
        return max(cold_s, self.pace.wait_s(in_flight, self._clock()))

    def cold_wait_s(self, requests: int) -> float:
        """Return the seconds for which the cold limit delays a batch at least."""
        if self.cold is None:
            return 0.0
        now = self._clock()
        return min(self.cold.wait_s(requests, now), max(0.0, self._cold_end() - now))

    def predict_cold_wait_s(self, requests: int) -> float:
        """Return ``cold_wait_s`` after the next refresh, without any change."""
        now = self._clock()
        cold = copy.deepcopy(self._cold_predicted(now))
        if cold is None:
            return 0.0
        return min(cold.wait_s(requests, now), max(0.0, self._cold_end() - now))

    def check_cold(self, requests: int, deadline: float) -> None:
        """Reject a batch that the cold limit does not allow before its deadline.

        Raises:
            NoConnectionError: The batch was rejected.
        """
        server, now = self._server, self._clock()
        wait_s = self.cold_wait_s(requests)
        if self.cold is None or now + wait_s <= deadline:
            return
        if self.cold.part == 0:
            wait_s = min(wait_s, WINDOW_S)  # the holders may change at any time
        server.full_until = now + wait_s
        raise NoConnectionError(
            f"the server is cold and gets {self.cold.part} requests/s from here",
            is_reachable=True,
            # Another replica may run a read at once.
            wait_s=wait_s if server.primary_since != NO_REVISION else 0.0,
        )

    def reserve(self, requests: int) -> Reservation | None:
        """Reserve requests of the cold limit; None if the server is not cold."""
        if self.cold is None:
            return None
        self.cold.reserve(requests)
        return Reservation(self.cold, requests)

    def hold(self, conn: ServerConnection, reservation: Reservation) -> None:
        """Keep a reservation for the first batch on a connection."""
        self._held[conn] = reservation

    def release(self, conn: ServerConnection) -> None:
        """Cancel the reservation of a connection on which nothing was sent."""
        held = self._held.pop(conn, None) if self._held else None
        if held is not None:
            held.cancel()

    async def admit(
        self, conn: ServerConnection, requests: int, *, timeout_s: float
    ) -> None:
        """Wait until a batch may be sent, and count it as sent.

        Raises:
            NotSentError: The cold limit does not allow the batch in time.
        """
        deadline = self._clock() + timeout_s
        held = self._held.get(conn)
        missing = requests - (held.requests if held is not None else 0)
        while self.refresh() and self.cold is not None and missing > 0:
            now = self._clock()
            if self.cold.has_room(missing, now):
                break
            wait_s = self.cold_wait_s(missing)
            if now + wait_s > deadline:
                self.release(conn)
                raise NotSentError("the server is cold", wait_s=wait_s)
            await asyncio.sleep(wait_s)
        self.release(conn)
        if self.cold is not None:
            self.cold.reserve(requests)
            self.cold.record_sent(requests, self._clock())

    def record_answer(self, sent_at: float, in_flight: int) -> None:
        """Adjust the pace to a good answer."""
        pace, now = self.pace, self._clock()
        if pace is not None:
            change = pace.record_answer(now - sent_at, in_flight, sent_at, now)
            self._apply(pace, change, "slow answers")

    def record_failure(self, sent_at: float, reason: str) -> None:
        """Adjust the pace to a rejection as busy or a failure."""
        pace = self.pace
        if pace is not None:
            self._apply(pace, pace.record_failure(sent_at, self._clock()), reason)

    def record_unreached(self) -> None:
        """Record that a connection attempt did not reach the server.

        After a second failure in a row it may have restarted; its registry entry may
        arrive only after its first answers.
        """
        if self._server.failures and self._source.cold_part(self._server) is not None:
            self._is_restart_suspected = True

    def record_opened(self) -> None:
        """Record that the server accepted a connection."""
        if self._is_restart_suspected:
            self._is_restart_suspected = False
            notice_until = self._clock() + RESTART_NOTICE_S
            self._cold_until = max(self._cold_until, notice_until)

    def end_pace(self, reason: str) -> None:
        """End the pace, if there is one."""
        if self.pace is not None:
            self.pace = None
            emit(PACE_ENDED, server=self._server.id, reason=reason)

    def resize(self, limit: int) -> None:
        """Set the maximum number of connections of the pool."""
        # One connection at most may be lent by an instance that is no home.
        is_new_holder = self._limit <= 1 < limit
        self._limit = limit
        if is_new_holder:
            self._start_pace(SlowStart.NEW_HOLDER)
        elif self.pace is not None:
            self.pace.full_share = float(limit)
            self._end_full_pace()

    def state(self, in_flight: int) -> CapacityState | None:
        """Return which of these limits is binding, None if none is."""
        self.refresh()
        return self.predict(in_flight)

    def predict(self, in_flight: int) -> CapacityState | None:
        """Return what :meth:`state` would return, without starting or ending limits."""
        now = self._clock()
        cold = self._cold_predicted(now)
        if cold is not None and not cold.would_have_room(1, now):
            left_s = self._cold_end() - now
            return CapacityState(
                Limit.COLD, f"{cold.part} requests/s for {left_s:.1f} s more"
            )
        pace = self.pace
        if self._server.slow_starts != self._slow_starts:
            pace = self._new_pace()
        if pace is not None and not pace.may_send(in_flight, now):
            return CapacityState(
                Limit.PACE,
                f"{pace.limit:.2f} of {pace.full_share:.0f} in flight, "
                f"since it has {self._server.slow_start}",
            )
        return None

    def _cold_predicted(self, now: float) -> ColdLimit | None:
        """Return the cold limit after the next refresh, None if there is none."""
        if now >= self._cold_end():
            return None
        part = self._source.known_cold_part(self._server)
        if part is None or self.cold is not None:
            return self.cold if part is not None else None
        return self._new_cold(part, now)

    def _new_pace(self) -> Pace | None:
        source, server = self._source, self._server
        share = source.slot_share(server)
        if not source.is_paced or share >= self._limit:
            return None
        usual_s = source.usual_latency_s(server)
        return Pace(PaceStart(share, float(self._limit), usual_s))

    def _start_pace(self, reason: SlowStart) -> None:
        server = self._server
        self.pace = self._new_pace()
        if self.pace is None:
            return
        usual_s = self._source.usual_latency_s(server)
        emit(
            PACE_STARTED,
            server=server.id,
            reason=reason,
            share=round(self._source.slot_share(server), 2),
            full_share=self._limit,
            usual_s=round(usual_s, 4) if usual_s is not None else None,
        )

    def _apply(self, pace: Pace, change: PaceChange, reason: str) -> None:
        if change is PaceChange.REDUCED:
            limit = round(pace.limit, 2)
            emit(PACE_REDUCED, server=self._server.id, limit=limit, reason=reason)
        elif change is PaceChange.GROWN:
            self._end_full_pace()

    def _end_full_pace(self) -> None:
        if self.pace is not None and self.pace.is_over:
            self.end_pace("full share reached")

    def _cold_end(self) -> float:
        end = max(self._server.cold_until, self._cold_until)
        if self._is_restart_suspected:
            end = max(end, self._clock() + RESTART_NOTICE_S)
        return end

    def _refresh_cold(self) -> None:
        now = self._clock()
        is_cold = now < self._cold_end()
        part = self._source.cold_part(self._server) if is_cold else None
        if part is None:
            if self.cold is not None:
                self.cold = None
                emit(COLD_LIMIT_ENDED, server=self._server.id)
        elif self.cold is not None:
            self.cold.set_part(part, now)
        else:
            self._start_cold(part, now)

    def _new_cold(self, part: int, now: float) -> ColdLimit:
        # The server counts what another holder, or this one before the server was known
        # to be cold, sent within the last second.
        usable_at = self._source.holder_since + WINDOW_S if self._is_new else now + 1.0
        return ColdLimit(part, usable_at)

    def _start_cold(self, part: int, now: float) -> None:
        self.cold = self._new_cold(part, now)
        emit(
            COLD_LIMIT_STARTED,
            server=self._server.id,
            part=part,
            remaining_s=round(self._cold_end() - now, 3),
        )
