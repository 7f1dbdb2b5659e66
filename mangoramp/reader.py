"""Runs reads at a server that is fresh enough, and verifies the result's freshness."""

from __future__ import annotations

import time
from collections.abc import Callable

from .endpoints.connection import Conn, Pool
from .endpoints.group import Group
from .endpoints.run import RowSet, raising_faults, read_status, run
from .errors import Code, FaultError, Outcome
from .events import REQUEST_ROUTED, emit
from .faults import no_server, session_ahead, unproven
from .policy.quorum import ServerStatus
from .policy.routing import Chosen, NoneFit, ReadNeed, choose_read_server
from .policy.session import is_ahead_of_log
from .proxies.messages import Rows, RunStatement
from .retrier import Retrier

STATUS_TIMEOUT_S = 1.0
PROOF_TIMEOUT_S = 1.0


class Reader:
    """Runs the reads of one group.

    Args:
        group: The group's servers.
        clock: Returns the current time, in seconds.
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
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: No server was fresh enough in time, or the chosen one refused
                the read.
        """
        tried: set[str] = set()
        return await self._retrier.run(
            req,
            deadline,
            lambda share: self._attempt(req, tried, deadline, share),
            repeatable=True,
        )

    async def _attempt(
        self, req: RunStatement, tried: set[str], deadline: float, share: float
    ) -> Rows:
        need = ReadNeed(req.seen, self._clock() - req.max_age_s, req.failure_domain)
        pool, conn = await self._acquire(need, req, tried, deadline)
        now = self._clock()
        attempt_deadline = now + (deadline - now) * share
        with pool.releasing(conn):
            rows, status = await self._read_at(
                conn, pool.server.name, req, attempt_deadline
            )
        age_s = await self._prove(need, status, deadline)
        return build_rows(rows, status, age_s=age_s)

    async def _acquire(
        self, need: ReadNeed, req: RunStatement, tried: set[str], deadline: float
    ) -> tuple[Pool, Conn]:
        """Acquire a connection; skipping a server that refuses one costs no retry."""
        while True:
            name = (await self._choose(need, req, tried, deadline)).server
            pool = self._group.pools[name]
            try:
                conn = await pool.acquire(deadline)
            except FaultError as exc:
                if exc.fault.code is not Code.NO_SERVER or name in tried:
                    raise
                tried.add(name)
                continue
            tried.add(name)
            return pool, conn

    async def _choose(
        self, need: ReadNeed, req: RunStatement, tried: set[str], deadline: float
    ) -> Chosen:
        group = self._group
        started_at = self._clock()
        previous: Chosen | NoneFit | None = None
        while True:
            if is_ahead_of_log(need.seen, group.primary, since=started_at):
                raise session_ahead(req.group)
            candidates = group.candidates()
            untried = [c for c in candidates if c.name not in tried]
            choice = choose_read_server(need, untried, group.lineage)
            if not isinstance(choice, Chosen):
                choice = choose_read_server(need, candidates, group.lineage)
            if choice != previous:
                _log_choice(req, choice)
            previous = choice
            if isinstance(choice, Chosen):
                return choice
            if not await group.wait_for_change(deadline):
                raise no_server("; ".join(choice.reasons) or "no server answers")

    async def _read_at(
        self, conn: Conn, name: str, req: RunStatement, deadline: float
    ) -> tuple[RowSet, ServerStatus]:
        left_s = deadline - self._clock()
        rows = await run(conn, req.sql, req.params, server=name, timeout_s=left_s)
        now = self._clock()
        status_timeout_s = min(STATUS_TIMEOUT_S, deadline - now)
        with raising_faults(conn, name, lambda: Outcome.UNKNOWN):
            status = await read_status(conn, asked_at=now, timeout_s=status_timeout_s)
        return rows, status

    async def _prove(
        self, need: ReadNeed, status: ServerStatus, deadline: float
    ) -> float:
        view = self._group.view
        proof_deadline = min(deadline, self._clock() + PROOF_TIMEOUT_S)
        while reason := view.unproven_reason(need, status.position):
            is_behind = not view.cfg.lineage.covers(status.position, need.seen)
            if is_behind or not await self._group.wait_for_change(proof_deadline):
                raise unproven(reason, status.name)
        as_of = view.as_of(status.position)
        return max(0.0, self._clock() - (as_of or 0.0))


def _log_choice(req: RunStatement, choice: Chosen | NoneFit) -> None:
    emit(REQUEST_ROUTED, group=req.group, customer=req.customer, choice=str(choice))


def build_rows(rows: RowSet, status: ServerStatus, *, age_s: float) -> Rows:
    """Build the result from a server's rows and its status after the read."""
    return Rows(
        columns=rows.columns,
        rows=rows.rows,
        count=rows.count,
        position=status.position,
        server=status.name,
        replica=not status.is_primary,
        age_s=age_s,
    )
