"""Opens callers' sessions and dispatches their statements."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch

from returns.result import Failure, Result, Success

from ..control.deployment import Deployment, Route
from ..errors import Code, Fault, FaultError, Step
from ..events import SESSION_REFUSED, STATEMENT_DONE, STATEMENT_REFUSED, emit
from ..sessions.reply import Reply, SessionState
from ..sessions.session import Session
from ..sessions.statement import (
    Assign,
    Begin,
    Commit,
    Execute,
    Forget,
    Malformed,
    Prepare,
    Read,
    Request,
    Rollback,
    Unread,
    Write,
)
from .command import Answer
from .executor import writes
from .memory import Memory
from .operation import (
    DEFAULT_RETRY_AFTER_S,
    Operation,
    Ticket,
    aborted_error,
    over_rate_error,
    refused_error,
)
from .reading import Reader
from .session_state import StateMemory
from .statement_metrics import StatementMetrics
from .transactions import Transaction, TransactionRunner, abort_transaction
from .writing import Writer

OPEN_TIMEOUT_S = 1.8  # callers time out after 2 s
MIN_STATEMENT_S = 0.2  # a healthy server normally answers within this time
SMALL_ANSWER_BYTES = 16 * 1024  # sent without asking for memory
ANSWER_COPIES = 2  # the rows and their encoding for the caller
STOPPING_REASON = "this instance is stopping"
ANONYMOUS_CUSTOMER = "-"  # the customer of callers without a key


Admit = Callable[[str, Ticket], float]


class Gateway:
    """Opens sessions and holds what they share.

    Args:
        deployment: Returns the current configuration, None before the first one.
        deployed: Set once the first configuration has been received.
        reader: Runs reads outside transactions.
        writer: Runs writes outside transactions.
        transactions: Runs transactions.
        admit: Charges an operation to its customer's limits if this instance keeps
            them; returns the seconds to wait if the operation exceeds them, else 0.
        clock: Returns the time in seconds.
        metrics: Records completed statements.
        memory: The memory for large answers.
        state_memory: The memory for the variables and prepared statements of sessions.
        unconfirmed_s: Returns the seconds since the configuration was known to be the
            newest.

    Attributes:
        ends_transactions: Whether open transactions may only be ended any more.
    """

    def __init__(
        self,
        *,
        deployment: Callable[[], Deployment | None],
        deployed: asyncio.Event,
        reader: Reader,
        writer: Writer,
        transactions: TransactionRunner,
        admit: Admit,
        clock: Callable[[], float],
        metrics: StatementMetrics,
        memory: Memory,
        state_memory: Memory,
        unconfirmed_s: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        self._deployment = deployment
        self._deployed = deployed
        self.reader = reader
        self.writer = writer
        self.transactions = transactions
        self.admit = admit
        self.clock = clock
        self.metrics = metrics
        self.memory = memory
        self.state_memory = state_memory
        self.unconfirmed_s = unconfirmed_s
        self.sessions: set[CallerSession] = set()
        self.ends_transactions = False
        self._answers_until = float("inf")

    async def open(self, database: str, key: str) -> Result[CallerSession, Fault]:
        """Open a session.

        Args:
            database: The name of the database that the caller requests.
            key: The caller's key, empty for none.
        """
        if self.ends_transactions:
            return Failure(_stopping_fault())
        if not self._deployed.is_set():
            try:
                async with asyncio.timeout(OPEN_TIMEOUT_S):
                    await self._deployed.wait()
            except TimeoutError:
                return Failure(_not_ready_fault())
        session = Session(database, key)
        resolved = self.resolve(session)
        if not isinstance(resolved, Success):
            fault = resolved.failure()
            emit(
                SESSION_REFUSED,
                database=database,
                code=fault.code,
                version=self.version,
                unconfirmed_s=round(self.unconfirmed_s(), 3),
            )
            return Failure(fault)
        opened = CallerSession(self, session)
        self.sessions.add(opened)
        return Success(opened)

    def resolve(self, session: Session) -> Result[tuple[Route, str], Fault]:
        """Find a session's route and customer in the current configuration."""
        known = self._deployment()
        if known is None:
            return Failure(_not_ready_fault())
        route = known.routes.get(session.database)
        if route is None:
            return Failure(_unknown_database_fault())
        customer = known.customer_by_key.get(session.key)
        if customer is None and not route.open_to_all:
            message = "the key is not in force"
            return Failure(Fault(Code.KEY_UNKNOWN, message, Step.KEY))
        return Success((route, customer or ANONYMOUS_CUSTOMER))

    def resolve_customer(self, database: str, customer: str) -> Result[Route, Fault]:
        """Find the route that a customer's sessions for a database have.

        Args:
            database: The name of the database.
            customer: The customer's name, ``ANONYMOUS_CUSTOMER`` for callers without a
                key.
        """
        known = self._deployment()
        if known is None:
            return Failure(_not_ready_fault())
        route = known.routes.get(database)
        if route is None:
            return Failure(_unknown_database_fault())
        is_anonymous = customer == ANONYMOUS_CUSTOMER and route.open_to_all
        if customer not in known.customers and not is_anonymous:
            message = "no customer has this name"
            return Failure(Fault(Code.KEY_UNKNOWN, message, Step.KEY))
        return Success(route)

    @property
    def version(self) -> int:
        """The version of the current configuration, 0 before the first one."""
        known = self._deployment()
        return known.version if known is not None else 0

    def abort_idle_transactions(self) -> None:
        """Abort transactions that exceed the idle timeout or whose key was revoked."""
        known = self._deployment()
        if known is None:
            return
        used_before = self.clock() - known.transaction_idle_s
        for opened in list(self.sessions):
            opened.abort_idle_transactions(used_before)

    def limit_answers(self, until: float) -> None:
        """Answer all statements from now on until a time, in seconds, at the latest."""
        self._answers_until = until

    def limited(self, route: Route) -> Route:
        """Return a route whose timeout ends while statements are still answered.

        Raises:
            FaultError: A statement would probably be cut while its server runs it.
        """
        left = self._answers_until - self.clock()
        if left >= route.timeout_s:
            return route
        if left < MIN_STATEMENT_S:
            raise FaultError(_stopping_fault())
        return replace(route, timeout_s=left)

    def end_transactions(self) -> None:
        """Abort all transactions that run no statement, and open none any more.

        A transaction that runs a statement may only be ended after it.
        """
        self.ends_transactions = True
        for opened in list(self.sessions):
            opened.abort_idle_transactions(float("inf"))

    @property
    def has_transactions(self) -> bool:
        """Whether a transaction is open."""
        return any(s.session.transaction is not None for s in self.sessions)


class CallerSession:
    """Handles the statements of one caller's session.

    Args:
        gateway: The gateway that opened the session.
        session: The state of the session.
    """

    def __init__(self, gateway: Gateway, session: Session) -> None:
        self.session = session
        self._gateway = gateway
        self._clock = gateway.clock
        self._state_memory = StateMemory(gateway.state_memory, session)

    async def handle(self, req: Request) -> Reply:
        """Run one statement and return the reply."""
        started = self._clock()
        try:
            reply = await self._dispatch(req)
        except FaultError as exc:
            reply = self._fault_reply(exc.fault)
        took_s = self._clock() - started
        self._log(req, reply, took_s)
        return reply

    def on_disconnect(self) -> None:
        """Roll back the open transaction after the caller has disconnected."""
        self.session.is_disconnected = True
        self._gateway.sessions.discard(self)
        self._state_memory.release()
        tx = self.session.transaction
        if tx is not None and not tx.is_busy:
            abort_transaction(
                self.session, self._gateway.transactions, "the caller left"
            )

    def abort_idle_transactions(self, used_before: float) -> None:
        """Abort the transaction if it is idle or the session's key was revoked.

        Args:
            used_before: The transaction is idle if it was last used before this time,
                in seconds.
        """
        tx = self.session.transaction
        if tx is None or tx.is_busy:
            return
        if tx.used_at < used_before:
            abort_transaction(self.session, self._gateway.transactions, "it was idle")
        elif not isinstance(self._gateway.resolve(self.session), Success):
            abort_transaction(
                self.session, self._gateway.transactions, "its key is gone"
            )

    async def _dispatch(self, req: Request) -> Reply:
        session, statement = self.session, req.statement
        failed = session.state is SessionState.FAILED
        match statement:
            case Rollback():
                return self._roll_back()
            case Commit() if failed:
                session.state = SessionState.IDLE
                raise aborted_error(session.abort_reason or "a statement of it failed")
            case Commit():
                return await self._commit(req.id)
            case _ if failed:
                return self._reject_after_failure()
            case _ if self._gateway.ends_transactions and session.transaction:
                raise aborted_error(STOPPING_REASON)
            case Begin() if self._gateway.ends_transactions:
                raise FaultError(_stopping_fault())
            case Begin(read_only):
                return self._begin(req.id, read_only)
            case Read() | Write() | Execute():
                return await self._run(req.id, statement)
        reserved = self._state_memory.reserve(statement)
        if not isinstance(reserved, Success):
            raise FaultError(reserved.failure())
        _change_session(statement, session)
        return Reply(session.state)

    def _reject_after_failure(self) -> Reply:
        reason, self.session.abort_reason = self.session.abort_reason, ""
        if reason:
            raise aborted_error(reason)
        message = "the transaction has failed; roll it back"
        raise FaultError(Fault(Code.BAD_REQUEST, message, Step.TRANSACTION))

    def _admit(self, customer: str, ticket: Ticket) -> None:
        """Reject an operation that exceeds the limits kept by this instance."""
        wait_s = self._gateway.admit(customer, ticket)
        if wait_s > 0:
            raise over_rate_error(wait_s)

    def _resolve_or_raise(self) -> tuple[Route, str]:
        resolved = self._gateway.resolve(self.session)
        if not isinstance(resolved, Success):
            raise FaultError(resolved.failure())
        found: tuple[Route, str] = resolved.unwrap()
        return found

    def _begin(self, request_id: str, read_only: bool) -> Reply:
        session = self.session
        if session.transaction is not None:
            message = "a transaction is open"
            raise FaultError(Fault(Code.BAD_REQUEST, message, Step.TRANSACTION))
        _, customer = self._resolve_or_raise()
        now = self._clock()
        tx = Transaction(customer, read_only, now, now, Ticket(request_id))
        self._admit(customer, tx.ticket)
        session.transaction = tx
        session.state = SessionState.IN_TRANSACTION
        return Reply(session.state)

    def _roll_back(self) -> Reply:
        session = self.session
        if session.state is SessionState.IDLE:
            message = "no transaction is open"
            raise FaultError(Fault(Code.BAD_REQUEST, message, Step.TRANSACTION))
        if session.transaction is not None:
            self._gateway.transactions.roll_back(session.transaction)
        session.transaction = None
        session.abort_reason = ""
        session.state = SessionState.IDLE
        return Reply(session.state)

    async def _run(self, request_id: str, statement: Read | Write | Execute) -> Reply:
        session = self.session
        if isinstance(statement, Execute) and statement.name not in session.shapes:
            raise _unknown_statement_error(statement.name)
        if session.transaction is not None:
            return await self._run_in(session.transaction, request_id, statement)
        now = self._clock()
        route, customer = self._resolve_or_raise()
        ticket = Ticket(request_id)
        route = self._gateway.limited(route)
        op = Operation(request_id, customer, route, now, now, session, ticket)
        self._admit(customer, op.ticket)
        if not writes(session, statement):
            assert not isinstance(statement, Write)
            answer = await self._gateway.reader.run(op, statement)
            return self._read_reply(answer, customer)
        assert not isinstance(statement, Read)
        answer = await self._gateway.writer.run(op, statement)
        return Reply(session.state, answer.rows, answer.signature)

    def _read_reply(self, answer: Answer, customer: str) -> Reply:
        """Build the reply to a read, if there is memory for it.

        Raises:
            FaultError: Large rows could not be held until the caller has received them.
        """
        size = sum(map(len, answer.rows))
        claim = None
        if size > SMALL_ANSWER_BYTES:
            claimed = self._gateway.memory.try_claim(customer, ANSWER_COPIES * size)
            if not isinstance(claimed, Success):
                raise FaultError(claimed.failure())
            claim = claimed.unwrap()
        state = self.session.state
        return Reply(state, answer.rows, answer.signature, claim=claim)

    async def _run_in(
        self, tx: Transaction, request_id: str, statement: Read | Write | Execute
    ) -> Reply:
        session = self.session
        op = self._operation(tx, request_id)
        if tx.read_only and writes(session, statement):
            self._gateway.transactions.roll_back(tx)
            raise refused_error(
                Code.READ_ONLY,
                "the transaction only reads",
                Step.TRANSACTION,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        tx.is_busy = True
        try:
            answer = await self._gateway.transactions.run(op, tx, statement)
        finally:
            tx.is_busy = False
            tx.used_at = self._clock()
            self._roll_back_if_disconnected(tx)
        if not writes(session, statement):
            return self._read_reply(answer, tx.customer)
        return Reply(session.state, answer.rows, answer.signature)

    async def _commit(self, request_id: str) -> Reply:
        session = self.session
        tx = session.transaction
        if tx is None:
            message = "no transaction is open"
            raise FaultError(Fault(Code.BAD_REQUEST, message, Step.TRANSACTION))
        tx.is_busy = True
        try:
            op = self._operation(tx, request_id)
            answer = await self._gateway.transactions.commit(op, tx)
        finally:
            tx.is_busy = False
            self._roll_back_if_disconnected(tx)
            session.transaction = None
            session.state = SessionState.IDLE
        return Reply(session.state, answer.rows, answer.signature)

    def _operation(self, tx: Transaction, request_id: str) -> Operation:
        resolved = self._gateway.resolve(self.session)
        if not isinstance(resolved, Success):
            self._gateway.transactions.roll_back(tx)
            raise FaultError(resolved.failure())
        route, customer = resolved.unwrap()
        if customer != tx.customer:
            self._gateway.transactions.roll_back(tx)
            raise aborted_error("its key is another customer's now")
        now = self._clock()
        tx.used_at = now
        try:
            route = self._gateway.limited(route)
        except FaultError as exc:
            self._gateway.transactions.roll_back(tx)
            raise aborted_error(STOPPING_REASON) from exc
        return Operation(
            request_id, customer, route, now, tx.begun_at, self.session, tx.ticket
        )

    def _roll_back_if_disconnected(self, tx: Transaction) -> None:
        if self.session.is_disconnected:
            self._gateway.transactions.roll_back(tx)

    def _fault_reply(self, fault: Fault) -> Reply:
        session = self.session
        if session.transaction is not None:
            self._gateway.transactions.roll_back(session.transaction)
            session.transaction = None
            session.state = SessionState.FAILED
        return Reply(session.state, fault=fault)

    def _log(self, req: Request, reply: Reply, took_s: float) -> None:
        kind = type(req.statement).__name__.lower()
        self._gateway.metrics.record(kind, reply.fault, took_s)
        if reply.fault is None:
            if reply.signature:
                emit(
                    STATEMENT_DONE,
                    id=req.id,
                    kind=kind,
                    database=self.session.database,
                    version=self._gateway.version,
                    took_s=round(took_s, 4),
                )
            return
        fault = reply.fault
        emit(
            STATEMENT_REFUSED,
            id=req.id,
            kind=kind,
            database=self.session.database,
            version=self._gateway.version,
            code=fault.code,
            outcome=fault.outcome,
            step=fault.step,
            peer=fault.peer,
            reason=fault.message,
            retry_after_s=fault.retry_after_s,
            took_s=round(took_s, 4),
        )


@singledispatch
def _change_session(statement: object, session: Session) -> None:
    raise TypeError(statement)


@_change_session.register
def _(statement: Assign, session: Session) -> None:
    session.values[statement.name] = statement.value


@_change_session.register
def _(statement: Prepare, session: Session) -> None:
    session.shapes[statement.name] = statement.shape


@_change_session.register
def _(statement: Forget, session: Session) -> None:
    if session.shapes.pop(statement.name, None) is None:
        raise _unknown_statement_error(statement.name)


@_change_session.register
def _(statement: Malformed, session: Session) -> None:
    raise FaultError(Fault(Code.BAD_REQUEST, statement.reason, Step.PARSE))


@_change_session.register
def _(statement: Unread, session: Session) -> None:
    raise FaultError(statement.fault)


def _unknown_database_fault() -> Fault:
    return Fault(Code.GROUP_UNKNOWN, "no route has this database", Step.ROUTE)


def _not_ready_fault() -> Fault:
    return Fault(
        Code.NO_SERVER,
        "no configuration is known yet",
        Step.ROUTE,
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def _stopping_fault() -> Fault:
    return Fault(
        Code.NO_SERVER,
        STOPPING_REASON,
        Step.ROUTE,
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def _unknown_statement_error(name: str) -> FaultError:
    message = f"no prepared statement is called {name}"
    return FaultError(Fault(Code.STATEMENT_UNKNOWN, message, Step.PARSE))
