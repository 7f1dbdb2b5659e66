"""Whether a write outlasts a failover: known of a majority, before it is said."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from .endpoints.connection import FAILURES, Conn, Pool
from .endpoints.group import Group
from .endpoints.run import read_status
from .errors import Code, FaultError
from .events import WRITE_CONFIRMED, emit
from .faults import no_server, unconfirmed, unproven
from .policy.quorum import ServerStatus

STATUS_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Held:
    """A connection to the primary, which must be released.

    Attributes:
        primary: What the primary said last.
        pool: The pool that the connection belongs to.
        conn: The connection.
    """

    primary: ServerStatus
    pool: Pool
    conn: Conn


class Confirmation:
    """Finds the primary of a group, and waits until a majority holds its writes.

    Args:
        group: The group's servers.
        clock: Tells the time in seconds.
    """

    def __init__(
        self, group: Group, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._group = group
        self._clock = clock

    async def acquire(self, deadline: float, since: float = -math.inf) -> Held:
        """Wait for the group's primary and take a connection to it.

        One that refuses connections is waited for until it was heard again, or another
        has taken its place; that costs no retry.

        Args:
            deadline: When to stop waiting, on this object's clock.
            since: The primary must have been asked after this, in seconds.

        Raises:
            FaultError: There was none in time, or it has no room.
        """
        while True:
            primary = await self._primary(deadline, since)
            pool = self._group.pools[primary.name]
            try:
                return Held(primary, pool, await pool.acquire(deadline))
            except FaultError as exc:
                if exc.fault.code is not Code.NO_SERVER:
                    raise
            since = self._clock()

    async def status(
        self, conn: Conn, primary: ServerStatus, deadline: float
    ) -> ServerStatus:
        """Learn what the primary holds after a write.

        Args:
            conn: The connection on which the write was run.
            primary: The primary before the write.
            deadline: When to stop waiting, on this object's clock.

        Raises:
            FaultError: It was not learnt in time.
        """
        now = self._clock()
        limit_s = min(STATUS_TIMEOUT_S, max(deadline - now, 0.0))
        try:
            return await read_status(conn, asked_at=now, timeout_s=limit_s)
        except FAILURES:
            conn.terminate()
        return await self._heard(primary, now, deadline)

    async def wait(
        self, primary: ServerStatus, status: ServerStatus, deadline: float
    ) -> None:
        """Wait until a majority holds what the primary held after a write.

        Args:
            primary: The primary before the write.
            status: What it said after the write.
            deadline: When to stop waiting, on this object's clock.

        Raises:
            FaultError: It is not certain that the write outlasts a failover.
        """
        if not status.is_primary or status.term != primary.term:
            raise unconfirmed("the term ended during the write", primary.name)
        view = self._group.view
        while not view.is_acknowledged(status.tail):
            if not view.cfg.lineage.contains(status.tail):
                raise unconfirmed("the primary was replaced", primary.name)
            if not await self._group.changed(deadline):
                raise unconfirmed("no majority confirmed it in time", primary.name)
        emit(WRITE_CONFIRMED, server=status.name, position=status.held)

    async def fresh(self, status: ServerStatus, since: float, deadline: float) -> None:
        """Wait until what the primary showed is known to be the primary's of then.

        Args:
            status: What it said after the reads.
            since: A moment after the reads, in seconds.
            deadline: When to stop waiting, on this object's clock.

        Raises:
            FaultError: It was not proven in time.
        """
        while True:
            as_of = self._group.as_of(status.position)
            if as_of is not None and as_of >= since:
                return
            if not await self._group.changed(deadline):
                raise unproven("the reads were not proven fresh in time", status.name)

    async def _primary(self, deadline: float, since: float) -> ServerStatus:
        while True:
            primary = self._group.primary
            if primary is not None and primary.asked_at > since:
                return primary
            if not await self._group.changed(deadline):
                raise no_server("the group has no primary now")

    async def _heard(
        self, primary: ServerStatus, since: float, deadline: float
    ) -> ServerStatus:
        while True:
            found = self._group.statuses.get(primary.name)
            if found is not None and found.asked_at >= since:
                return found
            if not await self._group.changed(deadline):
                raise unconfirmed("the primary was not heard after it", primary.name)
