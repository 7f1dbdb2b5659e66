"""Confirms that a majority holds a write, so that it survives a failover."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from .endpoints.connection import SERVER_ERRORS, Conn, Pool
from .endpoints.group import Group
from .endpoints.run import read_status
from .errors import Code, FaultError
from .events import WRITE_CONFIRMED, emit
from .faults import no_server, unconfirmed, unproven
from .policy.quorum import ServerStatus

STATUS_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class PrimaryConnection:
    """A connection to the primary, which must be released.

    Attributes:
        primary: The primary's last status.
        pool: The pool that the connection belongs to.
        conn: The connection.
    """

    primary: ServerStatus
    pool: Pool
    conn: Conn


class Confirmation:
    """Finds a group's primary and waits until a majority holds its writes.

    Args:
        group: The group's servers.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self, group: Group, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._group = group
        self._clock = clock

    async def acquire_primary(
        self, deadline: float, since: float = -math.inf
    ) -> PrimaryConnection:
        """Wait for the group's primary and acquire a connection to it.

        If the primary refuses connections, wait until it reports a new status or
        another server replaces it. Waiting uses up no retry.

        Args:
            deadline: When to stop waiting, on this object's clock.
            since: The primary's status must have been requested after this time, in
                seconds.

        Raises:
            FaultError: No primary was found in time, or it has no free connection.
        """
        while True:
            primary = await self._wait_for_primary(deadline, since)
            pool = self._group.pools[primary.name]
            try:
                return PrimaryConnection(primary, pool, await pool.acquire(deadline))
            except FaultError as exc:
                if exc.fault.code is not Code.NO_SERVER:
                    raise
            since = self._clock()

    async def fetch_status(
        self, conn: Conn, primary: ServerStatus, deadline: float
    ) -> ServerStatus:
        """Fetch the primary's status after a write, from the primary or the group view.

        Args:
            conn: The connection on which the write was run.
            primary: The primary before the write.
            deadline: When to stop waiting, on this object's clock.

        Raises:
            FaultError: No status arrived in time.
        """
        now = self._clock()
        status_timeout_s = min(STATUS_TIMEOUT_S, max(deadline - now, 0.0))
        try:
            return await read_status(conn, asked_at=now, timeout_s=status_timeout_s)
        except SERVER_ERRORS:
            conn.terminate()
        return await self._wait_for_status(primary, now, deadline)

    async def wait_for_majority(
        self, primary: ServerStatus, status: ServerStatus, deadline: float
    ) -> None:
        """Wait until a majority holds what the primary held after a write.

        Args:
            primary: The primary before the write.
            status: The primary's status after the write.
            deadline: When to stop waiting, on this object's clock.

        Raises:
            FaultError: The write may not survive a failover.
        """
        if not status.is_primary or status.term != primary.term:
            raise unconfirmed("the term ended during the write", primary.name)
        view = self._group.view
        while not view.is_acknowledged(status.tail):
            if not view.cfg.lineage.contains(status.tail):
                raise unconfirmed("the primary was replaced", primary.name)
            if not await self._group.wait_for_change(deadline):
                raise unconfirmed("no majority confirmed it in time", primary.name)
        emit(WRITE_CONFIRMED, server=status.name, position=status.held)

    async def wait_until_fresh(
        self, status: ServerStatus, since: float, deadline: float
    ) -> None:
        """Wait until the data that was read is proven current as of a time.

        Args:
            status: The server's status after the reads.
            since: The time as of which the data must be current, in seconds. It lies
                after the reads.
            deadline: When to stop waiting, on this object's clock.

        Raises:
            FaultError: The data was not proven current in time.
        """
        while True:
            as_of = self._group.as_of(status.position)
            if as_of is not None and as_of >= since:
                return
            if not await self._group.wait_for_change(deadline):
                raise unproven("the reads were not proven fresh in time", status.name)

    async def _wait_for_primary(self, deadline: float, since: float) -> ServerStatus:
        while True:
            primary = self._group.primary
            if primary is not None and primary.asked_at > since:
                return primary
            if not await self._group.wait_for_change(deadline):
                raise no_server("the group has no primary now")

    async def _wait_for_status(
        self, primary: ServerStatus, since: float, deadline: float
    ) -> ServerStatus:
        while True:
            status = self._group.statuses.get(primary.name)
            if status is not None and status.asked_at >= since:
                return status
            if not await self._group.wait_for_change(deadline):
                raise unconfirmed("the primary was not heard after it", primary.name)
