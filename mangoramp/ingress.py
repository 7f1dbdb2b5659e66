"""A caller's request on its way: key, row, session, home, and the answer back."""

from __future__ import annotations

import time
from dataclasses import dataclass

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from .catalog import Catalog
from .errors import Code, Fault, FaultError, Outcome, Step
from .events import REQUEST_REFUSED, emit
from .homes import Homes
from .platform.objects import Row
from .policy.keys import check_key
from .policy.position import Position
from .policy.retry import RetryRule
from .policy.session import Session, decode_session, encode_session
from .policy.statement import Kind, classify
from .proxies.messages import Message, Param, Refused, Rows, RunStatement
from .retrier import Retrier

FORWARD_RULE = RetryRule(first_share=1.0)


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One statement as a caller sent it.

    Attributes:
        group: The database group.
        key: The caller's key; it goes no further than this process.
        sql: The statement.
        params: Its parameters.
        token: The session token, empty for a new session.
        idempotency_key: The caller's, empty if there is none.
        max_age_s: Age of data that a read accepts; None takes the row's.
        timeout_s: Seconds that the request may take.
    """

    group: str
    key: str
    sql: str
    params: tuple[Param, ...] = ()
    token: str = ""
    idempotency_key: str = ""
    max_age_s: float | None = None
    timeout_s: float = 10.0


@dataclass(frozen=True, slots=True)
class StatementAnswer:
    """The answer to a statement, with the session's next token."""

    rows: Rows
    token: str


class Ingress:
    """Takes callers' requests.

    Args:
        catalog: What is known from the platform.
        homes: The way to the groups' homes.
        failure_domain: Where this proxy runs.
    """

    def __init__(self, catalog: Catalog, homes: Homes, failure_domain: str) -> None:
        self._catalog = catalog
        self._homes = homes
        self._failure_domain = failure_domain
        self._retrier = Retrier(failure_domain, rule=FORWARD_RULE)

    async def run(self, req: StatementRequest) -> Result[StatementAnswer, Fault]:
        """Run one statement for a caller."""
        answer = await self._checked(req)
        if isinstance(answer, Failure):
            fault = answer.failure()
            emit(
                REQUEST_REFUSED,
                group=req.group,
                code=fault.code,
                step=fault.step,
                peer=fault.peer,
                outcome=fault.outcome,
                reason=fault.message,
            )
        return answer

    def session(self, key: str, token: str) -> Result[Session, Fault]:
        """Check a caller's key and session token.

        Args:
            key: The key; it goes no further than this process.
            token: The token, empty for a new session.
        """
        customer = check_key(key, self._catalog.keys)
        if not isinstance(customer, Success):
            return Failure(customer.failure())
        keys = self._catalog.signing_keys
        if keys is None:
            return Failure(Fault(Code.INTERNAL, "no signing key yet", Step.SESSION))
        return decode_session(token, customer.unwrap(), keys)

    def row(self, customer: str, group: str) -> Result[Row, Fault]:
        """Find the table's row for a customer and a group."""
        if group not in self._catalog.groups:
            message = f"there is no database group {group!r}"
            return Failure(Fault(Code.GROUP_UNKNOWN, message, Step.ADMIT))
        row = self._catalog.row(customer, group)
        if row is None:
            message = f"the table has no row for this customer and {group}"
            return Failure(Fault(Code.FORBIDDEN, message, Step.ADMIT))
        return Success(row)

    def token(self, session: Session, group: str, position: Position) -> str:
        """The token of a session that has also seen a position."""
        keys = self._catalog.signing_keys
        seen = session.merged(group, position)
        return "" if keys is None else encode_session(seen, keys)

    async def _checked(self, req: StatementRequest) -> Result[StatementAnswer, Fault]:
        found = self.session(req.key, req.token)
        if not isinstance(found, Success):
            return Failure(found.failure())
        session = found.unwrap()
        prepared = self._prepare(req, session)
        if not isinstance(prepared, Success):
            return Failure(prepared.failure())
        answer = await self._send(prepared.unwrap())
        if isinstance(answer, Refused):
            return Failure(answer.fault)
        if not isinstance(answer, Rows):
            message = "the home's answer is none"
            unknown = Outcome.UNKNOWN
            return Failure(Fault(Code.INTERNAL, message, Step.FORWARD, "", unknown))
        token = self.token(session, req.group, answer.position)
        return Success(StatementAnswer(answer, token))

    async def _send(self, req: RunStatement) -> Message:
        """Send a request to its home; again where the way to it was at fault."""
        deadline = time.monotonic() + req.timeout_s

        async def attempt(limit: float) -> Message:
            left_s = max(0.0, limit - time.monotonic())
            answer = await self._homes.send(replace(req, timeout_s=left_s))
            if isinstance(answer, Refused) and answer.fault.step is Step.FORWARD:
                raise FaultError(answer.fault)
            return answer

        repeatable = req.kind is Kind.READ or bool(req.idempotency_key)
        try:
            return await self._retrier.run(
                req, deadline, attempt, repeatable=repeatable
            )
        except FaultError as exc:
            return Refused(fault=exc.fault)

    def _prepare(
        self, req: StatementRequest, session: Session
    ) -> Result[RunStatement, Fault]:
        found = self.row(session.customer, req.group)
        if not isinstance(found, Success):
            return Failure(found.failure())
        row = found.unwrap()
        asked = row.read_age_s if req.max_age_s is None else req.max_age_s
        return classify(req.sql).map(
            lambda kind: RunStatement(
                customer=session.customer,
                group=req.group,
                kind=kind,
                sql=req.sql,
                params=req.params,
                seen=session.at(req.group),
                max_age_s=min(asked, row.read_age_s),
                timeout_s=req.timeout_s,
                idempotency_key=req.idempotency_key,
                failure_domain=self._failure_domain,
            )
        )
