"""One open transaction and the connection that nothing else uses."""

from __future__ import annotations

import hashlib
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

import asyncpg
import msgspec

from .confirmation import Confirmation
from .endpoints import outcomes
from .endpoints.connection import FAILURES, Conn, Pool
from .endpoints.run import control, run, told
from .errors import Code, FaultError, Outcome
from .faults import (
    key_reused,
    no_server,
    rolled_back,
    transaction_busy,
    transaction_over,
)
from .policy.outcome import OutcomeKey, outcome_key, transaction_key
from .policy.position import Lineage, Position
from .policy.quorum import ServerStatus
from .policy.statement import Kind
from .proxies.messages import EndTransaction, Rows, RunInTransaction, TransactionEnded

RESET_TIMEOUT_S = 1.0
RESET_SQL = "DISCARD TEMP; RESET ALL"
OPEN_MARGIN_S = 1.0


class Transaction:
    """One transaction, from its BEGIN to its end.

    Args:
        id_: Its id.
        customer: Whose it is.
        pool: Where its connection belongs.
        conn: Its connection.
        primary: The primary that was chosen for it.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        id_: str,
        customer: str,
        pool: Pool,
        conn: Conn,
        primary: ServerStatus,
        clock: Callable[[], float],
    ) -> None:
        self.id = id_
        self.customer = customer
        self.primary = primary
        self.committing = False
        self.over = ""
        self._pool = pool
        self._conn = conn
        self._clock = clock
        self._busy = False
        self._failed = False
        self._wrote = False
        self._asked = hashlib.sha256()

    @property
    def busy(self) -> bool:
        """Whether a request of it runs."""
        return self._busy

    @property
    def is_lost(self) -> bool:
        """Whether its connection is closed, which rolls it back."""
        return bool(self._conn.is_closed())

    async def begin(
        self,
        seen: Position,
        lineage: Lineage,
        confirmation: Confirmation,
        *,
        idle_s: float,
        deadline: float,
    ) -> None:
        """Begin at the primary.

        Args:
            seen: The position that the session has seen.
            lineage: Where the group's terms began.
            confirmation: Tells what the primary holds.
            idle_s: Seconds for which it may be idle.
            deadline: When to stop waiting, on this transaction's clock.

        Raises:
            FaultError: It was not begun.
        """
        conn, server = self._conn, self.primary.name
        limit_ms = int((idle_s + OPEN_MARGIN_S) * 1000)
        limit = f"SET LOCAL idle_in_transaction_session_timeout = {limit_ms}"
        with told(conn, server, lambda: Outcome.NOT_RUN):
            await control(conn, f"BEGIN; {limit}", timeout_s=self._left_s(deadline))
        status = await confirmation.status(conn, self.primary, deadline)
        if not status.is_primary or status.term != self.primary.term:
            raise no_server("the primary was replaced", server)
        if not lineage.covers(status.position, seen):
            raise no_server("the primary is behind the session", server)

    async def run(self, req: RunInTransaction, deadline: float) -> Rows:
        """Run one statement; nothing of it lasts before the commit.

        Args:
            req: The request.
            deadline: When its time is over, on this transaction's clock.

        Raises:
            FaultError: The statement failed, or another request runs.
        """
        async with self._alone():
            if self._failed:
                raise rolled_back(self.primary.name)
            self._wrote = self._wrote or req.kind is Kind.WRITE
            self._asked.update(msgspec.msgpack.encode((req.sql, req.params)))
            try:
                rows = await run(
                    self._conn,
                    req.sql,
                    req.params,
                    server=self.primary.name,
                    timeout_s=self._left_s(deadline),
                    in_transaction=True,
                )
            except FaultError as exc:
                self._failed = exc.fault.code is not Code.BAD_REQUEST
                if self.over:
                    raise FaultError(transaction_over(self.over)) from None
                raise
        return Rows(
            columns=rows.columns,
            rows=rows.rows,
            count=rows.count,
            position=self.primary.position,
            server=self.primary.name,
        )

    async def commit(
        self, req: EndTransaction, confirmation: Confirmation, deadline: float
    ) -> TransactionEnded:
        """Commit, and wait until a majority holds it.

        Args:
            req: The request.
            confirmation: Tells when a majority holds it.
            deadline: When its time is over, on this transaction's clock.

        Raises:
            FaultError: It was rolled back, or whether it was committed is not known.
        """
        async with self._alone():
            if self._failed:
                await self._rollback(deadline)
                raise rolled_back(self.primary.name)
            repeated = await self._commit(self._keys(req), deadline)
            now = self._clock()
            status = await confirmation.status(self._conn, self.primary, deadline)
            if self._wrote or repeated:
                await confirmation.wait(self.primary, status, deadline)
            else:
                await confirmation.fresh(status, now, deadline)
        return TransactionEnded(
            committed=True,
            position=status.position,
            server=self.primary.name,
            repeated=repeated,
        )

    async def rollback(self, deadline: float) -> TransactionEnded:
        """Roll back.

        Args:
            deadline: When its time is over, on this transaction's clock.

        Raises:
            FaultError: Another request runs.
        """
        async with self._alone():
            await self._rollback(deadline)
        return TransactionEnded(
            committed=False, position=self.primary.position, server=self.primary.name
        )

    async def leave(self) -> None:
        """Give the connection back, reset if its transaction is over, else closed."""
        conn = self._conn
        clean = False
        if not conn.is_closed() and not conn.is_in_transaction():
            try:
                await control(conn, RESET_SQL, timeout_s=RESET_TIMEOUT_S)
                clean = True
            except FAILURES:
                clean = False
        self._pool.release(conn, clean=clean)

    def cut(self, why: str) -> None:
        """Have it rolled back by closing the connection.

        Args:
            why: What to say of it.
        """
        self.over = why
        self._conn.terminate()

    @asynccontextmanager
    async def _alone(self) -> AsyncIterator[None]:
        if self._busy:
            raise transaction_busy()
        self._busy = True
        try:
            yield
        finally:
            self._busy = False

    def _keys(self, req: EndTransaction) -> list[OutcomeKey]:
        keys = [transaction_key(self.customer, self.id)]
        if req.idempotency_key:
            asked = (req.group, "transaction", self._asked.hexdigest())
            keys.append(outcome_key(self.customer, req.idempotency_key, asked))
        return keys

    async def _commit(self, keys: Sequence[OutcomeKey], deadline: float) -> bool:
        """Commit; whether it repeats another transaction, which stays as it is."""
        conn, server = self._conn, self.primary.name
        self.committing = True
        with told(conn, server, lambda: Outcome.UNKNOWN):
            try:
                done = await outcomes.commit_recorded(
                    conn, keys, now_s=time.time(), timeout_s=self._left_s(deadline)
                )
            except asyncpg.UniqueViolationError:
                self.committing = False
                if await self._is_repeated(keys[-1], deadline):
                    return True
                raise
        if not done:
            raise rolled_back(server)
        return False

    async def _is_repeated(self, key: OutcomeKey, deadline: float) -> bool:
        conn, server = self._conn, self.primary.name
        with told(conn, server, lambda: Outcome.NOT_RUN):
            await outcomes.rollback(conn, timeout_s=self._left_s(deadline))
            left_s = self._left_s(deadline)
            found = await outcomes.lookup(conn, key, timeout_s=left_s)
        if found is None or found.answer == outcomes.ROLLED_BACK:
            return False
        if found.digest != key.digest:
            raise key_reused(server)
        return True

    async def _rollback(self, deadline: float) -> None:
        try:
            await outcomes.rollback(self._conn, timeout_s=self._left_s(deadline))
        except FAILURES:
            self._conn.terminate()

    def _left_s(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock())
