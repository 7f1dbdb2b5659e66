"""Runs transactions, each pinned to one connection from its first statement on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..control.group import Server
from ..errors import Code
from ..events import (
    COMMIT_OUTCOME_UNKNOWN,
    TRANSACTION_LOST,
    TRANSACTION_OPENED,
    TRANSACTION_RETRIED,
    emit,
)
from ..policy.position import Position
from ..policy.statement_backoff import FIRST_PAUSE_S
from ..sessions.reply import SessionState
from ..sessions.session import Commit, Session
from ..sessions.statement import Execute, Read, Write
from .command import (
    Answer,
    CommitFor,
    ConnectionLostError,
    NotSentError,
    OpenTransaction,
    Refusal,
    RollBack,
    RunFor,
)
from .executor import RETRYABLE_REFUSALS, Executor, writes
from .lease import Lease
from .operation import Operation, Ticket, aborted_error, outcome_unknown_error
from .reading import REPLICA_CONNECTION_WAIT_S, Reader
from .replica_choice import ReadNeed
from .workload import workload_of

ROLLBACK_TIMEOUT_S = 0.5  # on timeout the connection is closed, which also rolls back


@dataclass(slots=True, eq=False)
class Transaction:
    """An open transaction.

    Attributes:
        customer: The customer that owns the transaction.
        read_only: Whether the transaction is read-only, so that a replica may run it.
        begun_at: When the caller began the transaction, in seconds.
        used_at: When the transaction last began or ended a statement, in seconds.
        ticket: Whether the transaction has been charged to the customer's limits.
        lease: The pinned connection, None before the first statement.
        statements: The number of acknowledged statements.
        has_written: Whether a write has been received from the caller.
        is_busy: Whether a statement is running.
    """

    customer: str
    read_only: bool
    begun_at: float
    used_at: float
    ticket: Ticket
    lease: Lease | None = field(default=None, repr=False)
    statements: int = 0
    has_written: bool = False
    is_busy: bool = False


class TransactionRunner:
    """Runs the statements of transactions.

    Args:
        executor: Acquires connections and runs commands.
        reader: Chooses replicas.
    """

    def __init__(self, executor: Executor, reader: Reader) -> None:
        self._executor = executor
        self._reader = reader
        self._clock: Callable[[], float] = executor.clock
        self._rollbacks: set[asyncio.Task[None]] = set()

    async def run(
        self, op: Operation, tx: Transaction, statement: Read | Write | Execute
    ) -> Answer:
        """Run a statement inside a transaction.

        Raises:
            FaultError: The statement failed and the transaction has been rolled back.
        """
        tx.has_written |= writes(op.session, statement)
        command = RunFor(op.request_id, statement)
        while True:
            lease = tx.lease or await self._open(op, tx)
            answer = await self._run_on_lease(op, tx, lease, command)
            if answer is None:
                continue
            if answer.refusal is None:
                tx.statements += 1
                return answer
            self.roll_back(tx)
            raise aborted_error(answer.detail, peer=lease.server.id)

    async def commit(self, op: Operation, tx: Transaction) -> Answer:
        """Commit a transaction.

        Raises:
            FaultError: The transaction was not committed, or the outcome is unknown.
        """
        lease = tx.lease or await self._open(op, tx)
        asked_at = self._clock()
        try:
            (answer,) = await self._executor.run(
                lease,
                op.session,
                (CommitFor(op.request_id),),
                timeout_s=max(0.0, op.deadline - asked_at),
            )
        except NotSentError as exc:
            self.roll_back(tx)
            raise aborted_error(str(exc), peer=lease.server.id) from exc
        except ConnectionLostError as exc:
            self._release(tx, lease)
            if not tx.has_written:
                raise aborted_error(
                    "it only read, and its server was lost", peer=lease.server.id
                ) from exc
            emit(COMMIT_OUTCOME_UNKNOWN, id=op.request_id, server=lease.server.id)
            raise outcome_unknown_error(
                Code.CONNECTION_LOST, str(exc), peer=lease.server.id
            ) from exc
        if answer.refusal is not None or answer.state is not SessionState.IDLE:
            lease.discard()
        self._release(tx, lease)
        if answer.refusal is None and answer.signature:
            self._record_commit(op, tx, lease.server, answer.position, asked_at)
            return answer
        if answer.refusal in RETRYABLE_REFUSALS or not tx.has_written:
            raise aborted_error(answer.detail, peer=lease.server.id)
        raise outcome_unknown_error(
            Code.STATEMENT_FAILED, answer.detail, peer=lease.server.id
        )

    def roll_back(self, tx: Transaction) -> None:
        """Roll back a transaction in the background.

        The connection is reused only after the server has confirmed the rollback.
        """
        lease, tx.lease = tx.lease, None
        if lease is None:
            return
        task = asyncio.ensure_future(self._roll_back(lease))
        self._rollbacks.add(task)
        task.add_done_callback(self._rollbacks.discard)

    def _record_commit(
        self,
        op: Operation,
        tx: Transaction,
        server: Server,
        position: Position | None,
        asked_at: float,
    ) -> None:
        if not tx.has_written or position is None:
            return
        group = server.endpoint.group  # the route may have moved since the begin
        op.session.commits[group] = Commit(position, self._clock())
        self._executor.servers.group(group).record_position(asked_at, position)

    async def _roll_back(self, lease: Lease) -> None:
        if not self._executor.may_send(lease):
            lease.discard()
            lease.release()
            return
        try:
            (answer,) = await lease.run(
                None, (RollBack(),), timeout_s=ROLLBACK_TIMEOUT_S
            )
            if answer.state is not SessionState.IDLE:
                lease.discard()
        except ConnectionLostError as exc:
            emit(
                TRANSACTION_LOST,
                server=lease.server.id,
                handle=lease.pinned_as,
                reason=str(exc),
            )
        finally:
            lease.release()

    def _release(self, tx: Transaction, lease: Lease) -> None:
        tx.lease = None
        lease.release()

    async def _run_on_lease(
        self, op: Operation, tx: Transaction, lease: Lease, command: RunFor
    ) -> Answer | None:
        try:
            (answer,) = await self._executor.run(
                lease,
                op.session,
                (command,),
                timeout_s=max(0.0, op.deadline - self._clock()),
            )
        except NotSentError as exc:
            # Nothing was sent, so the transaction is still open on the connection.
            self.roll_back(tx)
            raise aborted_error(str(exc), peer=lease.server.id) from exc
        except ConnectionLostError as exc:
            self._release(tx, lease)
            emit(
                TRANSACTION_LOST,
                id=op.request_id,
                server=lease.server.id,
                handle=lease.pinned_as,
                reason=str(exc),
            )
            raise aborted_error(str(exc), peer=lease.server.id) from exc
        still_open = answer.state is SessionState.IN_TRANSACTION
        if answer.refusal is None:
            if still_open and answer.signature:
                return answer
            lease.discard()
            self._release(tx, lease)
            raise aborted_error(
                "its server does not hold it any more", peer=lease.server.id
            )
        if answer.refusal is Refusal.NOT_PRIMARY:
            lease.server.not_primary_at = self._clock()
        if answer.refusal in RETRYABLE_REFUSALS and self._may_retry(op, tx, still_open):
            if not still_open:
                self.roll_back(tx)
            reason = answer.refusal.value
            await self._executor.delay_retry(
                op, lease.server, reason, TRANSACTION_RETRIED
            )
            return None
        return answer

    def _may_retry(self, op: Operation, tx: Transaction, still_open: bool) -> bool:
        if op.deadline - self._clock() < 2 * FIRST_PAUSE_S:
            return False
        return still_open or tx.statements == 0

    async def _open(self, op: Operation, tx: Transaction) -> Lease:
        group = self._executor.servers.group(op.route.group)
        tried: set[str] = set()
        while True:
            self._executor.check_time(op, group)
            chosen = self._reader.choose(op, tried) if tx.read_only else None
            need: ReadNeed | None = None
            is_deferrable = False
            if chosen is not None:
                server, need = chosen
                tried.add(server.id)
                command = OpenTransaction(read_only=True, after=need.position)
                max_wait_s = REPLICA_CONNECTION_WAIT_S
            else:
                if tx.read_only:
                    is_deferrable = self._reader.is_deferrable(op, tried)
                if is_deferrable:
                    tried.clear()
                found = await self._executor.primary_for_read(
                    op, is_deferrable=is_deferrable
                )
                if found is None:
                    continue
                server = found
                command = OpenTransaction(read_only=False)
                max_wait_s = op.deadline - self._clock()
            lease = await self._executor.try_acquire(
                op,
                server,
                max_wait_s=max_wait_s,
                retry_event=TRANSACTION_RETRIED,
                work=workload_of((command,)),
                is_deferrable=is_deferrable,
            )
            if lease is not None and await self._begin(op, lease, command, need):
                tx.lease = lease
                return lease

    async def _begin(
        self,
        op: Operation,
        lease: Lease,
        command: OpenTransaction,
        need: ReadNeed | None,
    ) -> bool:
        server = lease.server
        asked_at = self._clock()
        left = max(0.0, op.deadline - asked_at)
        try:
            (answer,) = await self._executor.run(
                lease, op.session, (command,), timeout_s=left
            )
        except ConnectionLostError as exc:
            lease.release()
            wait_s = exc.wait_s if isinstance(exc, NotSentError) else 0.0
            await self._executor.delay_retry(
                op, server, str(exc), TRANSACTION_RETRIED, wait_s=wait_s
            )
            return False
        if answer.refusal is None and answer.state is SessionState.IN_TRANSACTION:
            emit(
                TRANSACTION_OPENED,
                id=op.request_id,
                server=server.id,
                customer=lease.customer,
                home=lease.home_name,
                handle=lease.pinned_as,
                read_only=command.read_only,
                after=str(command.after or "-"),
            )
            if not command.read_only:
                group = self._executor.servers.group(server.endpoint.group)
                group.record_position(asked_at, answer.position)
            elif need is not None:
                server.record_applied(need.age_s)
            return True
        if answer.state is not SessionState.IDLE:
            lease.discard()
        lease.release()
        if answer.refusal is Refusal.NOT_PRIMARY:
            server.not_primary_at = self._clock()
        elif answer.refusal is Refusal.BEHIND and need is not None:
            server.record_lag(need.age_s, self._clock())
            return False
        await self._executor.back_off(op)
        return False


def abort_transaction(session: Session, runner: TransactionRunner, reason: str) -> None:
    """Roll back a session's transaction; the next statement fails with the reason."""
    tx = session.transaction
    if tx is None:
        return
    runner.roll_back(tx)
    session.transaction = None
    session.state = SessionState.FAILED
    session.abort_reason = reason
