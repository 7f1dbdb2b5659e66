"""The open transactions of one home, and how those in doubt are settled."""

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
from .endpoints.run import told
from .errors import Fault, FaultError, Outcome
from .events import TRANSACTION_BEGUN, TRANSACTION_ENDED, emit
from .faults import (
    transaction_busy,
    transaction_over,
    transaction_unknown,
    transactions_full,
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

ENDED_KEPT = 1000
ID_BYTES = 16
TABLE_TIMEOUT_S = 1.0

Ended = TransactionEnded | Fault


class Transactions:
    """The open transactions of one group's home.

    Args:
        group: The group's servers.
        instance: This proxy's name, which the ids carry.
        cfg: The limits of a transaction.
        room: The most transactions that may be open.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        group: Group,
        instance: str,
        cfg: TransactionSettings,
        *,
        room: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._group = group
        self._instance = instance
        self._cfg = cfg
        self._room = room
        self._clock = clock
        self._confirmation = Confirmation(group, clock=clock)
        self._open: dict[str, Transaction] = {}
        self._opening: list[str] = []
        self._timers: dict[str, list[asyncio.TimerHandle]] = {}
        self._ended: OrderedDict[str, tuple[str, Ended]] = OrderedDict()
        self._leaving: set[asyncio.Task[None]] = set()
        self._has_table = False

    def __len__(self) -> int:
        return len(self._open)

    async def begin(self, req: BeginTransaction, deadline: float) -> TransactionBegun:
        """Open a transaction.

        Args:
            req: The request.
            deadline: When its time is over, on this object's clock.

        Raises:
            FaultError: None was opened.
        """
        self._check_room(req.customer)
        self._opening.append(req.customer)
        try:
            tx = await self._begin(req, deadline)
        finally:
            self._opening.remove(req.customer)
        self._open[tx.id] = tx
        self._time(tx)
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
            deadline: When its time is over, on this object's clock.

        Raises:
            FaultError: The statement was not run, or failed.
        """
        tx = self._find(req.transaction, req.customer)
        if tx is None:
            raise self._missing(req, Outcome.NOT_RUN)
        try:
            return await tx.run(req, deadline)
        finally:
            if tx.is_lost:
                self._end(tx, transaction_over("its connection was lost"))
            self._touch(tx)

    async def end(self, req: EndTransaction, deadline: float) -> TransactionEnded:
        """Commit or roll back an open transaction.

        Args:
            req: The request.
            deadline: When its time is over, on this object's clock.

        Raises:
            FaultError: It did not end so, or whether it did is not known.
        """
        tx = self._find(req.transaction, req.customer)
        if tx is None:
            return self._ended_before(req)
        if tx.busy:
            raise transaction_busy()
        try:
            if req.commit:
                done = await tx.commit(req, self._confirmation, deadline)
            else:
                done = await tx.rollback(deadline)
        except FaultError as exc:
            self._end(tx, exc.fault)
            raise
        except BaseException:
            self._end(tx, transaction_unknown(Outcome.UNKNOWN).fault)
            raise
        self._end(tx, done)
        return done

    async def settle(self, req: SettleTransaction, deadline: float) -> TransactionEnded:
        """Find out whether a transaction was committed, or prevent it for good.

        Its commit carries a record under its id. Where there is none, one is written
        that says it was rolled back, and the commit can no longer succeed.

        Args:
            req: The request.
            deadline: When its time is over, on this object's clock.

        Raises:
            FaultError: It could not be settled in time.
        """
        key = transaction_key(req.customer, req.transaction)
        held = await self._confirmation.acquire(deadline)
        primary, name = held.primary, held.primary.name
        with held.pool.lend(held.conn) as conn:
            with told(conn, name, lambda: Outcome.UNKNOWN):
                left_s = deadline - self._clock()
                now_s = time.time()
                found = None
                if await outcomes.claim(conn, key, now_s=now_s, timeout_s=left_s):
                    rolled = outcomes.ROLLED_BACK
                    await outcomes.commit_claimed(conn, key, rolled, timeout_s=left_s)
                else:
                    found = await outcomes.lookup(conn, key, timeout_s=left_s)
            status = await self._confirmation.status(conn, primary, deadline)
        await self._confirmation.wait(primary, status, deadline)
        committed = found is not None and found.answer != outcomes.ROLLED_BACK
        return TransactionEnded(
            committed=committed, position=status.position, server=name, repeated=True
        )

    def end_customer(self, customer: str) -> int:
        """End a customer's transactions, but for those whose commit was sent.

        Returns:
            How many were ended.
        """
        mine = [tx for tx in self._open.values() if tx.customer == customer]
        return self._cut(mine, "the customer's right was withdrawn")

    def end_all(self) -> int:
        """End all transactions, but for those whose commit was sent.

        Returns:
            How many were ended.
        """
        return self._cut(list(self._open.values()), "the proxy is shutting down")

    async def _begin(self, req: BeginTransaction, deadline: float) -> Transaction:
        held = await self._confirmation.acquire(deadline)
        primary, pool, conn = held.primary, held.pool, held.conn
        id_ = f"{secrets.token_hex(ID_BYTES)}.{self._instance}"
        tx = Transaction(id_, req.customer, pool, conn, primary, self._clock)
        try:
            await self._make_table(conn, primary.name)
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

    async def _make_table(self, conn: Conn, server: str) -> None:
        if self._has_table:
            return
        with told(conn, server, lambda: Outcome.NOT_RUN):
            await outcomes.create(conn, timeout_s=TABLE_TIMEOUT_S)
        self._has_table = True

    def _check_room(self, customer: str) -> None:
        """Leave room for others: no customer holds more than half of it."""
        held = [tx.customer for tx in self._open.values()] + self._opening
        if len(held) >= self._room:
            raise transactions_full()
        if held.count(customer) >= max(1, self._room // 2):
            raise transactions_full()

    def _find(self, id_: str, customer: str) -> Transaction | None:
        tx = self._open.get(id_)
        return tx if tx is not None and tx.customer == customer else None

    def _missing(self, req: Pinned, outcome: Outcome) -> FaultError:
        customer, ended = self._ended.get(req.transaction, ("", None))
        if customer == req.customer and isinstance(ended, Fault):
            return FaultError(replace(ended, outcome=outcome))
        return transaction_unknown(outcome)

    def _ended_before(self, req: EndTransaction) -> TransactionEnded:
        customer, ended = self._ended.get(req.transaction, ("", None))
        if customer != req.customer or ended is None:
            raise transaction_unknown(Outcome.UNKNOWN)
        if isinstance(ended, Fault):
            raise FaultError(ended)
        return msgspec.structs.replace(ended, repeated=True)

    def _time(self, tx: Transaction) -> None:
        loop = asyncio.get_running_loop()
        over = loop.call_later(self._cfg.limit_s, self._expire, tx, "its time was over")
        idle = loop.call_later(self._cfg.idle_s, self._expire, tx, "it was idle")
        self._timers[tx.id] = [over, idle]

    def _touch(self, tx: Transaction) -> None:
        timers = self._timers.get(tx.id)
        if timers is None:
            return
        timers.pop().cancel()
        loop = asyncio.get_running_loop()
        timers.append(
            loop.call_later(self._cfg.idle_s, self._expire, tx, "it was idle")
        )

    def _expire(self, tx: Transaction, why: str) -> None:
        if why == "it was idle" and tx.busy:
            self._touch(tx)
            return
        self._cut([tx], why)

    def _cut(self, transactions: list[Transaction], why: str) -> int:
        cut = [tx for tx in transactions if not tx.committing]
        for tx in cut:
            tx.cut(why)
            self._end(tx, transaction_over(why))
        return len(cut)

    def _end(self, tx: Transaction, ended: Ended) -> None:
        if self._open.pop(tx.id, None) is None:
            return
        for timer in self._timers.pop(tx.id):
            timer.cancel()
        self._ended[tx.id] = (tx.customer, ended)
        if len(self._ended) > ENDED_KEPT:
            self._ended.popitem(last=False)
        emit(
            TRANSACTION_ENDED,
            group=self._group.spec.name,
            customer=tx.customer,
            server=tx.primary.name,
            result=ended.message if isinstance(ended, Fault) else "done",
            open=len(self._open),
        )
        task = asyncio.ensure_future(tx.leave())
        self._leaving.add(task)
        task.add_done_callback(self._leaving.discard)
