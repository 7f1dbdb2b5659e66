"""Runs reads: at a server that shows enough, with the answer checked again."""

from __future__ import annotations

import time
from collections.abc import Callable

from .endpoints.connection import Conn, Pool
from .endpoints.group import Group
from .endpoints.run import RowSet, read_status, run, told
from .errors import Code, FaultError, Outcome
from .events import REQUEST_ROUTED, emit
from .faults import no_server, session_ahead, unproven
from .policy.quorum import ServerStatus
from .policy.routing import Chosen, NoneFit, ReadNeed, choose_read_server
from .policy.session import is_ahead_of_log
from .proxies.messages import Rows, RunStatement
from .retrier import Retrier

STATUS_TIMEOUT_S = 1.0
PROOF_S = 1.0


class Reader:
    """Runs the reads of one group.

    Args:
        group: The group's servers.
        clock: Tells the time in seconds.
    """

    def __init__(
        self, group: Group, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._group = group
        self._clock = clock
        self._retrier = Retrier(group.spec.name, clock=clock)

    async def read(self, req: RunStatement, deadline: float) -> Rows:
        """Run one read.

        Args:
            req: The request.
            deadline: When its time is over, on this reader's clock.

        Raises:
            FaultError: No server showed enough in time, or it refused the read.
        """
        failed: set[str] = set()
        return await self._retrier.run(
            req,
            deadline,
            lambda share: self._attempt(req, failed, deadline, share),
            repeatable=True,
        )

    async def _attempt(
        self, req: RunStatement, failed: set[str], deadline: float, share: float
    ) -> Rows:
        need = ReadNeed(req.seen, self._clock() - req.max_age_s, req.failure_domain)
        pool, conn = await self._acquire(need, req, failed, deadline)
        now = self._clock()
        limit = now + (deadline - now) * share
        with pool.lend(conn):
            rows, status = await self._read_at(conn, pool.server.name, req, limit)
        age_s = await self._prove(need, status, deadline)
        return answer(rows, status, age_s=age_s)

    async def _acquire(
        self, need: ReadNeed, req: RunStatement, failed: set[str], deadline: float
    ) -> tuple[Pool, Conn]:
        """Take a connection; a server that refuses one costs no retry."""
        while True:
            name = (await self._choose(need, req, failed, deadline)).server
            pool = self._group.pools[name]
            try:
                conn = await pool.acquire(deadline)
            except FaultError as exc:
                if exc.fault.code is not Code.NO_SERVER or name in failed:
                    raise
                failed.add(name)
                continue
            failed.add(name)
            return pool, conn

    async def _choose(
        self, need: ReadNeed, req: RunStatement, failed: set[str], deadline: float
    ) -> Chosen:
        group = self._group
        started = self._clock()
        last: Chosen | NoneFit | None = None
        while True:
            if is_ahead_of_log(need.seen, group.primary, since=started):
                raise session_ahead(req.group)
            candidates = group.candidates()
            fresh = [c for c in candidates if c.name not in failed]
            choice = choose_read_server(need, fresh, group.lineage)
            if not isinstance(choice, Chosen):
                choice = choose_read_server(need, candidates, group.lineage)
            if choice != last:
                _log(req, choice)
            last = choice
            if isinstance(choice, Chosen):
                return choice
            if not await group.changed(deadline):
                raise no_server("; ".join(choice.reasons) or "no server answers")

    async def _read_at(
        self, conn: Conn, name: str, req: RunStatement, deadline: float
    ) -> tuple[RowSet, ServerStatus]:
        left_s = deadline - self._clock()
        rows = await run(conn, req.sql, req.params, server=name, timeout_s=left_s)
        now = self._clock()
        limit_s = min(STATUS_TIMEOUT_S, deadline - now)
        with told(conn, name, lambda: Outcome.UNKNOWN):
            status = await read_status(conn, asked_at=now, timeout_s=limit_s)
        return rows, status

    async def _prove(
        self, need: ReadNeed, status: ServerStatus, deadline: float
    ) -> float:
        view = self._group.view
        give_up = min(deadline, self._clock() + PROOF_S)
        while why := view.unproven(need, status.position):
            behind = not view.cfg.lineage.covers(status.position, need.seen)
            if behind or not await self._group.changed(give_up):
                raise unproven(why, status.name)
        as_of = view.as_of(status.position)
        return max(0.0, self._clock() - (as_of or 0.0))


def _log(req: RunStatement, choice: Chosen | NoneFit) -> None:
    emit(REQUEST_ROUTED, group=req.group, customer=req.customer, choice=str(choice))


def answer(rows: RowSet, status: ServerStatus, *, age_s: float) -> Rows:
    """Build the answer from a server's rows and its status after them."""
    return Rows(
        columns=rows.columns,
        rows=rows.rows,
        count=rows.count,
        position=status.position,
        server=status.name,
        replica=not status.is_primary,
        age_s=age_s,
    )
