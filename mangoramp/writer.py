"""Runs writes at the primary and acknowledges them once a majority holds them."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import replace

import msgspec

from .confirmation import Confirmation
from .endpoints import outcomes
from .endpoints.connection import Conn
from .endpoints.group import Group
from .endpoints.run import RowSet, raising_faults, run
from .errors import FaultError, Outcome
from .events import OUTCOME_REPLAYED, REQUEST_ROUTED, emit
from .faults import key_reused, rolled_back
from .policy.outcome import OutcomeKey, outcome_key
from .policy.quorum import ServerStatus
from .policy.retry import RetryRule
from .proxies.messages import Rows, RunStatement
from .pruner import Pruner
from .reader import build_rows
from .retrier import Retrier


class Writer:
    """Runs the writes of one group.

    Args:
        group: The group's servers.
        clock: Returns the current time, in seconds.
        rule: The limits of retries.
    """

    def __init__(
        self,
        group: Group,
        *,
        clock: Callable[[], float] = time.monotonic,
        rule: RetryRule | None = None,
    ) -> None:
        self._group = group
        self._clock = clock
        self._confirmation = Confirmation(group, clock=clock)
        self._pruner = Pruner(group)
        self._retrier = Retrier(group.spec.name, clock=clock, rule=rule)

    async def write(self, req: RunStatement, deadline: float) -> Rows:
        """Run one write; without an idempotency key it is sent at most once.

        Args:
            req: The request.
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: The write was not run, or it is unknown whether it was.
        """
        since = -math.inf

        async def attempt(share: float) -> Rows:
            nonlocal since
            try:
                return await self._attempt(req, deadline, share, since)
            except FaultError:
                since = self._clock()
                raise

        has_key = bool(req.idempotency_key)
        return await self._retrier.run(req, deadline, attempt, repeatable=has_key)

    def close(self) -> None:
        """Stop the background pruning."""
        self._pruner.close()

    async def _attempt(
        self, req: RunStatement, deadline: float, share: float, since: float
    ) -> Rows:
        acquired = await self._confirmation.acquire_primary(deadline, since)
        primary = acquired.primary
        emit(
            REQUEST_ROUTED,
            group=req.group,
            customer=req.customer,
            choice=f"{primary.name}: primary of term {primary.term}",
        )
        with acquired.pool.releasing(acquired.conn) as conn:
            now = self._clock()
            attempt_deadline = now + (deadline - now) * share
            rows, repeated = await self._run(conn, req, primary, attempt_deadline)
            status = await self._confirmation.fetch_status(conn, primary, deadline)
        await self._confirmation.wait_for_majority(primary, status, deadline)
        reply = build_rows(rows, status, age_s=0.0)
        return msgspec.structs.replace(reply, repeated=repeated)

    async def _run(
        self, conn: Conn, req: RunStatement, primary: ServerStatus, deadline: float
    ) -> tuple[RowSet, bool]:
        if req.idempotency_key:
            request = (req.group, req.sql, req.params)
            key = outcome_key(req.customer, req.idempotency_key, request)
            return await self._run_keyed(conn, req, key, primary.name, deadline)
        left_s = deadline - self._clock()
        rows = await run(
            conn, req.sql, req.params, server=primary.name, timeout_s=left_s
        )
        return rows, False

    async def _run_keyed(
        self,
        conn: Conn,
        req: RunStatement,
        key: OutcomeKey,
        server: str,
        deadline: float,
    ) -> tuple[RowSet, bool]:
        left_s = deadline - self._clock()
        with raising_faults(conn, server, lambda: Outcome.NOT_RUN):
            now_s = time.time()
            if not await outcomes.claim(conn, key, now_s=now_s, timeout_s=left_s):
                left_s = deadline - self._clock()
                record = await outcomes.lookup(conn, key, timeout_s=left_s)
                return _replay(record, key, req, server), True
        rows = await self._run_claimed(conn, req, server, deadline)
        left_s = deadline - self._clock()
        with raising_faults(conn, server, lambda: Outcome.UNKNOWN):
            is_committed = await outcomes.commit_claimed(
                conn, key, rows, timeout_s=left_s
            )
        if not is_committed:
            raise rolled_back(server)
        self._pruner.record_write()
        return rows, False

    async def _run_claimed(
        self, conn: Conn, req: RunStatement, server: str, deadline: float
    ) -> RowSet:
        try:
            return await run(
                conn,
                req.sql,
                req.params,
                server=server,
                timeout_s=deadline - self._clock(),
                in_transaction=True,
            )
        except FaultError as exc:
            fault = exc.fault
        if conn.is_closed():
            raise FaultError(fault)
        with raising_faults(conn, server, lambda: fault.outcome):
            left_s = deadline - self._clock()
            await outcomes.rollback(conn, timeout_s=left_s)
        raise FaultError(replace(fault, outcome=Outcome.NOT_RUN))


def _replay(
    record: outcomes.OutcomeRecord | None,
    key: OutcomeKey,
    req: RunStatement,
    server: str,
) -> RowSet:
    if record is None:
        raise rolled_back(server)
    if record.digest != key.digest:
        raise key_reused(server)
    emit(OUTCOME_REPLAYED, group=req.group, customer=req.customer, server=server)
    return record.answer
