"""Checks clients' transactions and forwards them to the proxies that run them."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from .errors import Code, Fault, Outcome, Step
from .faults import transaction_rolled_back
from .homes import Homes
from .ingress import Ingress
from .policy.session import Session
from .policy.statement import classify
from .proxies.messages import (
    BeginTransaction,
    EndTransaction,
    Message,
    Param,
    Refused,
    Rows,
    RunInTransaction,
    SettleTransaction,
    TransactionBegun,
    TransactionEnded,
)
from .transaction_router import TransactionRouter

COMMIT_TIMEOUT_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class TransactionCaller:
    """The client, group and timeout of a request.

    Attributes:
        group: The database group.
        key: The client's key; it never leaves this process.
        token: The session token, empty for a new session.
        timeout_s: The request's timeout, in seconds.
    """

    group: str
    key: str
    token: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class EndAnswer:
    """The result of a commit or rollback with the session's next token."""

    ended: TransactionEnded
    token: str


class TransactionIngress:
    """Checks clients' transactions and forwards their requests.

    Args:
        ingress: Checks keys, sessions and rows.
        homes: Sends requests to the groups' homes.
        router: Sends requests to the proxies at which transactions are open.
    """

    def __init__(
        self, ingress: Ingress, homes: Homes, router: TransactionRouter
    ) -> None:
        self._ingress = ingress
        self._homes = homes
        self._transaction_router = router

    async def begin(self, caller: TransactionCaller) -> Result[TransactionBegun, Fault]:
        """Open a transaction."""
        session = self._authenticate(caller)
        if not isinstance(session, Success):
            return self._refuse(caller, session.failure())
        req = BeginTransaction(
            customer=session.unwrap().customer,
            group=caller.group,
            seen=session.unwrap().at(caller.group),
            timeout_s=caller.timeout_s,
        )
        answer = await self._homes.send(req)
        if isinstance(answer, TransactionBegun):
            self._ingress.record_success(caller.group, req.customer)
            return Success(answer)
        return self._refuse(caller, _fault(answer))

    async def run(
        self,
        caller: TransactionCaller,
        transaction: str,
        sql: str,
        params: tuple[Param, ...],
    ) -> Result[Rows, Fault]:
        """Run one statement in a transaction.

        Args:
            caller: The client's request.
            transaction: The transaction's id.
            sql: The statement.
            params: The statement's parameters.
        """
        session = self._authenticate(caller)
        if not isinstance(session, Success):
            return self._refuse(caller, session.failure())
        kind = classify(sql)
        if not isinstance(kind, Success):
            return self._refuse(caller, kind.failure())
        req = RunInTransaction(
            customer=session.unwrap().customer,
            group=caller.group,
            transaction=transaction,
            kind=kind.unwrap(),
            sql=sql,
            params=params,
            timeout_s=caller.timeout_s,
        )
        answer = await self._transaction_router.send(req)
        if isinstance(answer, Rows):
            self._ingress.record_success(caller.group, req.customer)
            return Success(answer)
        return self._refuse(caller, _fault(answer))

    async def end(
        self,
        caller: TransactionCaller,
        transaction: str,
        *,
        commit: bool,
        idempotency_key: str,
    ) -> Result[EndAnswer, Fault]:
        """Commit or roll back a transaction.

        Args:
            caller: The client's request.
            transaction: The transaction's id.
            commit: Whether to commit it.
            idempotency_key: The client's idempotency key, empty if it sent none.
        """
        session = self._authenticate(caller)
        if not isinstance(session, Success):
            return self._refuse(caller, session.failure())
        deadline = time.monotonic() + caller.timeout_s
        req = EndTransaction(
            customer=session.unwrap().customer,
            group=caller.group,
            transaction=transaction,
            commit=commit,
            timeout_s=caller.timeout_s * (COMMIT_TIMEOUT_SHARE if commit else 1.0),
            idempotency_key=idempotency_key,
        )
        answer = await self._transaction_router.send(req)
        if commit and _is_in_doubt(answer):
            answer = await self._settle_commit(req, _fault(answer), deadline)
        if not isinstance(answer, TransactionEnded):
            return self._refuse(caller, _fault(answer))
        self._ingress.record_success(caller.group, req.customer)
        token = self._ingress.make_token(
            session.unwrap(), caller.group, answer.position
        )
        return Success(EndAnswer(answer, token))

    async def _settle_commit(
        self, req: EndTransaction, fault: Fault, deadline: float
    ) -> Message:
        """Find out from the group's outcome records whether a commit succeeded."""
        settle = SettleTransaction(
            customer=req.customer,
            group=req.group,
            transaction=req.transaction,
            timeout_s=max(0.0, deadline - time.monotonic()),
        )
        answer = await self._homes.send(settle)
        if not isinstance(answer, TransactionEnded):
            return Refused(fault=replace(fault, outcome=Outcome.UNKNOWN))
        if answer.committed:
            return answer
        return Refused(fault=transaction_rolled_back("the proxy that held it was lost"))

    def _authenticate(self, caller: TransactionCaller) -> Result[Session, Fault]:
        found = self._ingress.authenticate(caller.key, caller.token)
        if not isinstance(found, Success):
            return found
        row = self._ingress.find_row(found.unwrap().customer, caller.group)
        return found if isinstance(row, Success) else Failure(row.failure())

    def _refuse(self, caller: TransactionCaller, fault: Fault) -> Failure[Fault]:
        self._ingress.record_refusal(caller.group, fault, key=caller.key)
        return Failure(fault)


def _fault(answer: Message) -> Fault:
    if isinstance(answer, Refused):
        return answer.fault
    message = "the home's answer is none"
    return Fault(Code.INTERNAL, message, Step.FORWARD, outcome=Outcome.UNKNOWN)


def _is_in_doubt(answer: Message) -> bool:
    """Return whether this or an earlier request may have committed."""
    if not isinstance(answer, Refused):
        return False
    fault = answer.fault
    return fault.outcome is Outcome.UNKNOWN or fault.step is Step.FORWARD
