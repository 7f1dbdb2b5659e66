"""Runs writes: at the primary, acknowledged once a majority holds them."""

from __future__ import annotations

import time
from collections.abc import Callable

from .endpoints.group import Group
from .endpoints.run import read_status, run
from .events import REQUEST_ROUTED, WRITE_CONFIRMED, emit
from .faults import no_server, unconfirmed
from .policy.quorum import ServerStatus
from .proxies.messages import Rows, RunStatement
from .reader import answer

STATUS_TIMEOUT_S = 1.0


class Writer:
    """Runs the writes of one group.

    Args:
        group: The group's servers.
        clock: Tells the time in seconds.
    """

    def __init__(
        self, group: Group, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._group = group
        self._clock = clock

    async def write(self, req: RunStatement, deadline: float) -> Rows:
        """Run one write.

        Args:
            req: The request.
            deadline: When its time is over, on this writer's clock.

        Raises:
            FaultError: It was not run, or whether it was is not known.
        """
        primary = await self._wait_primary(deadline)
        emit(
            REQUEST_ROUTED,
            group=req.group,
            customer=req.customer,
            choice=f"{primary.name}: primary of term {primary.term}",
        )
        async with self._group.pools[primary.name].lease() as conn:
            rows = await run(conn, req.sql, req.params, server=primary.name)
            now = self._clock()
            status = await read_status(conn, asked_at=now, timeout_s=STATUS_TIMEOUT_S)
        await self._confirm(primary, status, deadline)
        return answer(rows, status, age_s=0.0)

    async def _wait_primary(self, deadline: float) -> ServerStatus:
        while True:
            primary = self._group.primary
            if primary is not None:
                return primary
            if not await self._group.changed(deadline):
                raise no_server("the group has no primary now")

    async def _confirm(
        self, primary: ServerStatus, status: ServerStatus, deadline: float
    ) -> None:
        if (status.term, status.log_term) != (primary.term, primary.term):
            raise unconfirmed("the term ended during the write", primary.name)
        while not self._group.acknowledged(status.tail):
            if not await self._group.changed(deadline):
                raise unconfirmed("no majority confirmed it in time", primary.name)
        emit(WRITE_CONFIRMED, server=status.name, position=status.held)
