"""One open transaction on a connection of its own."""

from __future__ import annotations

import hashlib
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

import asyncpg
import msgspec

from .confirmation import Confirmation
from .endpoints import outcomes
from .endpoints.connection import SERVER_ERRORS, Conn, Pool
from .endpoints.run import execute_script, raising_faults, run
from .errors import Code, FaultError, Outcome
from .faults import (
    key_reused,
    no_server,
    rolled_back,
    transaction_busy,
    transaction_rolled_back,
)
from .policy.outcome import OutcomeKey, outcome_key, transaction_key
from .policy.position import Lineage, Position
from .policy.quorum import ServerStatus
from .policy.statement import Kind
from .proxies.messages import EndTransaction, Rows, RunInTransaction, TransactionEnded

RESET_TIMEOUT_S = 1.0
RESET_SQL = "DISCARD TEMP; RESET ALL"
IDLE_TIMEOUT_MARGIN_S = 1.0


class Transaction:
    """One transaction, from its BEGIN to its commit or rollback.

    Args:
        id_: The transaction's id.
        customer: The customer that opened it.
        pool: The pool of the connection.
        conn: The connection on which the transaction runs.
        primary: The status of the primary at which it runs.
        clock: Returns the current time, in seconds.
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
        self.is_committing = False
        self.rollback_reason = ""
        self._pool = pool
        self._conn = conn
        self._clock = clock
        self._is_busy = False
        self._has_failed = False
        self._has_written = False
        self._request_hash = hashlib.sha256()

    @property
    def is_busy(self) -> bool:
        """Whether a request of the transaction is running."""
        return self._is_busy

    @property
    def is_lost(self) -> bool:
        """Whether the connection is closed, which rolls the transaction back."""
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
        """Begin the transaction at the primary.

        Args:
            seen: The position that the session has seen.
            lineage: The positions at which the group's terms began.
            confirmation: Fetches the primary's status.
            idle_s: Idle timeout of the transaction, in seconds.
            deadline: When to stop waiting, on this object's clock.

        Raises:
            FaultError: The transaction was not begun.
        """
        conn, server = self._conn, self.primary.name
        limit_ms = int((idle_s + IDLE_TIMEOUT_MARGIN_S) * 1000)
        limit = f"SET LOCAL idle_in_transaction_session_timeout = {limit_ms}"
        with raising_faults(conn, server, lambda: Outcome.NOT_RUN):
            await execute_script(
                conn, f"BEGIN; {limit}", timeout_s=self._remaining_s(deadline)
            )
        status = await confirmation.fetch_status(conn, self.primary, deadline)
        if not status.is_primary or status.term != self.primary.term:
            raise no_server("the primary was replaced", server)
        if not lineage.covers(status.position, seen):
            raise no_server("the primary is behind the session", server)

    async def run(self, req: RunInTransaction, deadline: float) -> Rows:
        """Run one statement; its changes are not durable before the commit.

        Args:
            req: The request.
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: The statement failed, or another request is running.
        """
        async with self._exclusive():
            if self._has_failed:
                raise rolled_back(self.primary.name)
            self._has_written = self._has_written or req.kind is Kind.WRITE
            self._request_hash.update(msgspec.msgpack.encode((req.sql, req.params)))
            try:
                rows = await run(
                    self._conn,
                    req.sql,
                    req.params,
                    server=self.primary.name,
                    timeout_s=self._remaining_s(deadline),
                    in_transaction=True,
                )
            except FaultError as exc:
                self._has_failed = exc.fault.code is not Code.BAD_REQUEST
                if self.rollback_reason:
                    raise FaultError(
                        transaction_rolled_back(self.rollback_reason)
                    ) from None
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
        """Commit and wait for a majority.

        A transaction that wrote or that repeats a committed one waits until a majority
        holds the commit. One that only read waits until its data is proven current.

        Args:
            req: The request.
            confirmation: Waits for the majority.
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: It was rolled back, or it is unknown whether it was committed.
        """
        async with self._exclusive():
            if self._has_failed:
                await self._rollback(deadline)
                raise rolled_back(self.primary.name)
            repeated = await self._commit(self._keys(req), deadline)
            now = self._clock()
            status = await confirmation.fetch_status(self._conn, self.primary, deadline)
            if self._has_written or repeated:
                await confirmation.wait_for_majority(self.primary, status, deadline)
            else:
                await confirmation.wait_until_fresh(status, now, deadline)
        return TransactionEnded(
            committed=True,
            position=status.position,
            server=self.primary.name,
            repeated=repeated,
        )

    async def rollback(self, deadline: float) -> TransactionEnded:
        """Roll the transaction back.

        Args:
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: Another request is running.
        """
        async with self._exclusive():
            await self._rollback(deadline)
        return TransactionEnded(
            committed=False, position=self.primary.position, server=self.primary.name
        )

    async def release(self) -> None:
        """Return the connection to the pool.

        The connection is reset first; if its transaction is still open or the reset
        fails, it is closed instead of being reused.
        """
        conn = self._conn
        clean = False
        if not conn.is_closed() and not conn.is_in_transaction():
            try:
                await execute_script(conn, RESET_SQL, timeout_s=RESET_TIMEOUT_S)
                clean = True
            except SERVER_ERRORS:
                clean = False
        self._pool.release(conn, clean=clean)

    def abort(self, reason: str) -> None:
        """Roll the transaction back by closing the connection.

        Args:
            reason: The reason that later requests of the transaction receive.
        """
        self.rollback_reason = reason
        self._conn.terminate()

    @asynccontextmanager
    async def _exclusive(self) -> AsyncIterator[None]:
        if self._is_busy:
            raise transaction_busy()
        self._is_busy = True
        try:
            yield
        finally:
            self._is_busy = False

    def _keys(self, req: EndTransaction) -> list[OutcomeKey]:
        keys = [transaction_key(self.customer, self.id)]
        if req.idempotency_key:
            request = (req.group, "transaction", self._request_hash.hexdigest())
            keys.append(outcome_key(self.customer, req.idempotency_key, request))
        return keys

    async def _commit(self, keys: Sequence[OutcomeKey], deadline: float) -> bool:
        """Commit; return whether an earlier transaction committed the same request.

        In that case this transaction is rolled back and the earlier commit stands.
        """
        conn, server = self._conn, self.primary.name
        self.is_committing = True
        with raising_faults(conn, server, lambda: Outcome.UNKNOWN):
            try:
                is_committed = await outcomes.commit_with_records(
                    conn, keys, now_s=time.time(), timeout_s=self._remaining_s(deadline)
                )
            except asyncpg.UniqueViolationError:
                self.is_committing = False
                if await self._is_already_committed(keys[-1], deadline):
                    return True
                raise
        if not is_committed:
            raise rolled_back(server)
        return False

    async def _is_already_committed(self, key: OutcomeKey, deadline: float) -> bool:
        conn, server = self._conn, self.primary.name
        with raising_faults(conn, server, lambda: Outcome.NOT_RUN):
            await outcomes.rollback(conn, timeout_s=self._remaining_s(deadline))
            left_s = self._remaining_s(deadline)
            record = await outcomes.lookup(conn, key, timeout_s=left_s)
        if record is None or record.answer == outcomes.ROLLED_BACK:
            return False
        if record.digest != key.digest:
            raise key_reused(server)
        return True

    async def _rollback(self, deadline: float) -> None:
        try:
            await outcomes.rollback(self._conn, timeout_s=self._remaining_s(deadline))
        except SERVER_ERRORS:
            self._conn.terminate()

    def _remaining_s(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock())
