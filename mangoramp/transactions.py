"""Keeps the open transactions of one home and settles those in doubt."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

import msgspec

from .confirmation import Confirmation
from .endpoints import outcomes
from .endpoints.connection import Conn
from .endpoints.group import Group
from .endpoints.run import raising_faults
from .errors import Fault, FaultError, Outcome
from .events import TRANSACTION_BEGUN, TRANSACTION_ENDED, emit
from .faults import (
    too_many_transactions,
    transaction_busy,
    transaction_rolled_back,
    transaction_unknown,
)
from .policy.outcome import transaction_key
from .proxies.messages import (
    BeginTransaction,
    EndTransaction,
    Pinned,
    Rows,
    RunInTransaction,
    SettleTransaction,
    TransactionBegun,
    TransactionEnded,
)
from .settings import TransactionSettings
from .transaction import Transaction

MAX_ENDED_TRANSACTIONS = 1000
TRANSACTION_ID_BYTES = 16
CREATE_TABLE_TIMEOUT_S = 1.0

EndResult = TransactionEnded | Fault


class Transactions:
    """The open transactions of one group's home.

    Args:
        group: The group's servers.
        instance: This proxy's name, a part of transaction ids.
        cfg: The settings of transactions.
        max_open: Maximum number of open transactions.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self,
        group: Group,
        instance: str,
        cfg: TransactionSettings,
        *,
        max_open: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._group = group
        self._instance = instance
        self._cfg = cfg
        self._max_open = max_open
        self._clock = clock
        self._confirmation = Confirmation(group, clock=clock)
        self._open: dict[str, Transaction] = {}
        self._opening_customers: list[str] = []
        self._timers: dict[str, list[asyncio.TimerHandle]] = {}
        self._ended: OrderedDict[str, tuple[str, EndResult]] = OrderedDict()
        self._release_tasks: set[asyncio.Task[None]] = set()
        self._has_outcome_table = False

    def __len__(self) -> int:
        return len(self._open)

    async def begin(self, req: BeginTransaction, deadline: float) -> TransactionBegun:
        """Open a transaction.

        Args:
            req: The request.
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: No transaction was opened.
        """
        self._check_capacity(req.customer)
        self._opening_customers.append(req.customer)
        try:
            tx = await self._begin(req, deadline)
        finally:
            self._opening_customers.remove(req.customer)
        self._open[tx.id] = tx
        self._start_timers(tx)
        emit(
            TRANSACTION_BEGUN,
            group=req.group,
            customer=req.customer,
            choice=f"{tx.primary.name}: primary of term {tx.primary.term}",
            open=len(self._open),
        )
        return TransactionBegun(
            transaction=tx.id,
            server=tx.primary.name,
            idle_s=self._cfg.idle_s,
            limit_s=self._cfg.limit_s,
        )

    async def run(self, req: RunInTransaction, deadline: float) -> Rows:
        """Run one statement in an open transaction.

        Args:
            req: The request.
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: The statement was not run, or failed.
        """
        tx = self._find(req.transaction, req.customer)
        if tx is None:
            raise self._not_open_error(req, Outcome.NOT_RUN)
        try:
            return await tx.run(req, deadline)
        finally:
            if tx.is_lost:
                self._record_end(tx, transaction_rolled_back("its connection was lost"))
            self._restart_idle_timer(tx)

    async def end(self, req: EndTransaction, deadline: float) -> TransactionEnded:
        """Commit or roll back an open transaction.

        Args:
            req: The request.
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: The transaction did not end as requested, or its outcome is
                unknown.
        """
        tx = self._find(req.transaction, req.customer)
        if tx is None:
            return self._replay_end(req)
        if tx.is_busy:
            raise transaction_busy()
        try:
            if req.commit:
                ended = await tx.commit(req, self._confirmation, deadline)
            else:
                ended = await tx.rollback(deadline)
        except FaultError as exc:
            self._record_end(tx, exc.fault)
            raise
        except BaseException:
            self._record_end(tx, transaction_unknown(Outcome.UNKNOWN).fault)
            raise
        self._record_end(tx, ended)
        return ended

    async def settle(self, req: SettleTransaction, deadline: float) -> TransactionEnded:
        """Find out whether a transaction was committed; if not, make sure it never is.

        A commit writes an outcome record under the transaction's id. If there is none,
        a record of a rollback is written, which makes a later commit fail.

        Args:
            req: The request.
            deadline: When the request times out, on this object's clock.

        Raises:
            FaultError: The transaction could not be settled in time.
        """
        key = transaction_key(req.customer, req.transaction)
        acquired = await self._confirmation.acquire_primary(deadline)
        primary, name = acquired.primary, acquired.primary.name
        with acquired.pool.releasing(acquired.conn) as conn:
            with raising_faults(conn, name, lambda: Outcome.UNKNOWN):
                left_s = deadline - self._clock()
                now_s = time.time()
                record = None
                if await outcomes.claim(conn, key, now_s=now_s, timeout_s=left_s):
                    rolled_back = outcomes.ROLLED_BACK
                    await outcomes.commit_claimed(
                        conn, key, rolled_back, timeout_s=left_s
                    )
                else:
                    record = await outcomes.lookup(conn, key, timeout_s=left_s)
            status = await self._confirmation.fetch_status(conn, primary, deadline)
        await self._confirmation.wait_for_majority(primary, status, deadline)
        committed = record is not None and record.answer != outcomes.ROLLED_BACK
        return TransactionEnded(
            committed=committed, position=status.position, server=name, repeated=True
        )

    def abort_customer_transactions(self, customer: str) -> int:
        """Roll back a customer's transactions, except those whose commit was sent.

        Returns:
            The number of transactions that were rolled back.
        """
        matching = [tx for tx in self._open.values() if tx.customer == customer]
        return self._abort(matching, "the customer's right was withdrawn")

    def abort_all(self) -> int:
        """Roll back all transactions, except those whose commit was sent.

        Returns:
            The number of transactions that were rolled back.
        """
        return self._abort(list(self._open.values()), "the proxy is shutting down")

    async def _begin(self, req: BeginTransaction, deadline: float) -> Transaction:
        acquired = await self._confirmation.acquire_primary(deadline)
        primary, pool, conn = acquired.primary, acquired.pool, acquired.conn
        id_ = f"{secrets.token_hex(TRANSACTION_ID_BYTES)}.{self._instance}"
        tx = Transaction(id_, req.customer, pool, conn, primary, self._clock)
        try:
            await self._ensure_outcome_table(conn, primary.name)
            await tx.begin(
                req.seen,
                self._group.lineage,
                self._confirmation,
                idle_s=self._cfg.idle_s,
                deadline=deadline,
            )
        except BaseException:
            pool.release(conn, clean=False)
            raise
        return tx

    async def _ensure_outcome_table(self, conn: Conn, server: str) -> None:
        if self._has_outcome_table:
            return
        with raising_faults(conn, server, lambda: Outcome.NOT_RUN):
            await outcomes.create_table(conn, timeout_s=CREATE_TABLE_TIMEOUT_S)
        self._has_outcome_table = True

    def _check_capacity(self, customer: str) -> None:
        """Raise if no more transactions may be opened.

        One customer may use at most half of the limit, so that others can open some.
        """
        owners = [tx.customer for tx in self._open.values()] + self._opening_customers
        if len(owners) >= self._max_open:
            raise too_many_transactions()
        if owners.count(customer) >= max(1, self._max_open // 2):
            raise too_many_transactions()

    def _find(self, id_: str, customer: str) -> Transaction | None:
        tx = self._open.get(id_)
        return tx if tx is not None and tx.customer == customer else None

    def _not_open_error(self, req: Pinned, outcome: Outcome) -> FaultError:
        customer, ended = self._ended.get(req.transaction, ("", None))
        if customer == req.customer and isinstance(ended, Fault):
            return FaultError(replace(ended, outcome=outcome))
        return transaction_unknown(outcome)

    def _replay_end(self, req: EndTransaction) -> TransactionEnded:
        customer, ended = self._ended.get(req.transaction, ("", None))
        if customer != req.customer or ended is None:
            raise transaction_unknown(Outcome.UNKNOWN)
        if isinstance(ended, Fault):
            raise FaultError(ended)
        return msgspec.structs.replace(ended, repeated=True)

    def _start_timers(self, tx: Transaction) -> None:
        loop = asyncio.get_running_loop()
        limit_timer = loop.call_later(
            self._cfg.limit_s, self._abort, [tx], "its time was over"
        )
        idle_timer = loop.call_later(self._cfg.idle_s, self._expire_idle, tx)
        self._timers[tx.id] = [limit_timer, idle_timer]

    def _restart_idle_timer(self, tx: Transaction) -> None:
        timers = self._timers.get(tx.id)
        if timers is None:
            return
        timers.pop().cancel()
        loop = asyncio.get_running_loop()
        timers.append(loop.call_later(self._cfg.idle_s, self._expire_idle, tx))

    def _expire_idle(self, tx: Transaction) -> None:
        if tx.is_busy:
            self._restart_idle_timer(tx)
            return
        self._abort([tx], "it was idle")

    def _abort(self, transactions: list[Transaction], reason: str) -> int:
        aborted = [tx for tx in transactions if not tx.is_committing]
        for tx in aborted:
            tx.abort(reason)
            self._record_end(tx, transaction_rolled_back(reason))
        return len(aborted)

    def _record_end(self, tx: Transaction, ended: EndResult) -> None:
        if self._open.pop(tx.id, None) is None:
            return
        for timer in self._timers.pop(tx.id):
            timer.cancel()
        self._ended[tx.id] = (tx.customer, ended)
        if len(self._ended) > MAX_ENDED_TRANSACTIONS:
            self._ended.popitem(last=False)
        emit(
            TRANSACTION_ENDED,
            group=self._group.spec.name,
            customer=tx.customer,
            server=tx.primary.name,
            result=ended.message if isinstance(ended, Fault) else "done",
            open=len(self._open),
        )
        task = asyncio.ensure_future(tx.release())
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)
