"""Checks a client's statement and forwards it to its group's home."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace
from prometheus_client import CollectorRegistry
from returns.result import Failure, Result, Success

from .catalog import Catalog
from .errors import Code, Fault, FaultError, Outcome, Step
from .events import REQUEST_REFUSED, emit
from .faults import session_ahead
from .homes import Homes
from .metrics import Metrics, make_metrics
from .objects import Row
from .policy.keys import check_key, key_id
from .policy.position import Position
from .policy.retry import RetryRule
from .policy.session import (
    MAX_GROUPS,
    Session,
    decode_session,
    encode_session,
    is_ahead_of_term,
)
from .policy.statement import Kind, classify
from .proxies.messages import Message, Param, Refused, Rows, RunStatement
from .retrier import Retrier

FORWARD_RETRY_RULE = RetryRule(
    retry_ratio=0.5, burst=100, max_attempts=8, first_wait_s=0.1, max_wait_s=1.0
)
MAX_TERM_WAIT_S = 1.0
TERM_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One statement as the client sent it.

    Attributes:
        group: The database group.
        key: The client's key; it never leaves this process.
        sql: The statement.
        params: The statement's parameters.
        token: The session token, empty for a new session.
        idempotency_key: The client's idempotency key, empty if it sent none.
        max_age_s: Maximum age of the data that a read accepts, in seconds; None uses
            the row's limit.
        timeout_s: The request's timeout, in seconds.
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
    """The result of a statement with the session's next token."""

    rows: Rows
    token: str


class Ingress:
    """Checks clients' requests and forwards them to the homes of their groups.

    Args:
        catalog: The objects received from the platform.
        homes: Sends requests to the groups' homes.
        failure_domain: The failure domain of this proxy.
        knows_keys: Returns whether the list of withdrawn keys is recent enough.
        metrics: The metrics that count requests.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self,
        catalog: Catalog,
        homes: Homes,
        failure_domain: str,
        *,
        knows_keys: Callable[[], bool] = lambda: True,
        metrics: Metrics | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics or make_metrics(CollectorRegistry())
        self._catalog = catalog
        self._homes = homes
        self._failure_domain = failure_domain
        self._knows_keys = knows_keys
        self._clock = clock
        self._retrier = Retrier(failure_domain, clock=clock, rule=FORWARD_RETRY_RULE)

    async def run(self, req: StatementRequest) -> Result[StatementAnswer, Fault]:
        """Run one statement for a client."""
        started_at = self._clock()
        answer = await self._check_and_send(req)
        if isinstance(answer, Failure):
            self.record_refusal(req.group, answer.failure(), key=req.key)
        else:
            self._metrics.request_seconds.labels(req.group).observe(
                self._clock() - started_at
            )
        return answer

    def authenticate(self, key: str, token: str) -> Result[Session, Fault]:
        """Check a client's key, and its session token against the key's customer.

        Args:
            key: The client's key.
            token: The session token, empty for a new session.
        """
        if not self._knows_keys():
            return Failure(_keys_too_old())
        customer = check_key(key, self._catalog.keys)
        if not isinstance(customer, Success):
            return Failure(customer.failure())
        keys = self._catalog.signing_keys
        if keys is None:
            return Failure(Fault(Code.INTERNAL, "no signing key yet", Step.SESSION))
        return decode_session(token, customer.unwrap(), keys)

    def find_row(self, customer: str, group: str) -> Result[Row, Fault]:
        """Find the table's row for a customer and a group."""
        if group not in self._catalog.groups:
            message = f"there is no database group {group!r}"
            return Failure(Fault(Code.GROUP_UNKNOWN, message, Step.ADMIT))
        row = self._catalog.row(customer, group)
        if row is None:
            message = f"the table has no row for this customer and {group}"
            return Failure(Fault(Code.FORBIDDEN, message, Step.ADMIT))
        return Success(row)

    def make_token(self, session: Session, group: str, position: Position) -> str:
        """Encode the token of a session that has also seen a position."""
        keys = self._catalog.signing_keys
        seen = session.with_position(group, position)
        return "" if keys is None else encode_session(seen, keys)

    def record_success(
        self, group: str, customer: str, *, replica: bool | None = None
    ) -> None:
        """Count a request that succeeded.

        Args:
            group: The request's database group.
            customer: The customer that sent the request.
            replica: Whether a replica served it; None if it was not a read.
        """
        self._metrics.record_done(group, customer, replica=replica)

    def record_refusal(self, group: str, fault: Fault, *, key: str = "") -> None:
        """Count and log a refusal without the text that the client sent.

        Args:
            group: The group that the client named.
            fault: The fault with which the request is refused.
            key: The client's key, empty if the customer should not be looked up.
        """
        is_known = group in self._catalog.groups
        customer = check_key(key, self._catalog.keys).value_or("")
        self._metrics.record_fault(group if is_known else "", customer, fault)
        is_secret = fault.code in (Code.STATEMENT_FAILED, Code.BAD_REQUEST)
        emit(
            REQUEST_REFUSED,
            group=group if is_known else "",
            code=fault.code,
            step=fault.step,
            peer=fault.peer,
            outcome=fault.outcome,
            sqlstate=fault.sqlstate,
            reason="" if is_secret or not is_known else fault.message,
        )

    async def _check_and_send(
        self, req: StatementRequest
    ) -> Result[StatementAnswer, Fault]:
        found = self.authenticate(req.key, req.token)
        if not isinstance(found, Success):
            return Failure(found.failure())
        session = found.unwrap()
        prepared = self._build_request(req, session)
        if not isinstance(prepared, Success):
            return Failure(prepared.failure())
        if not await self._wait_for_term(req.group, prepared.unwrap().seen):
            return Failure(session_ahead(req.group).fault)
        answer = await self._send(prepared.unwrap())
        if isinstance(answer, Refused):
            return Failure(answer.fault)
        if not isinstance(answer, Rows):
            message = "the home's answer is none"
            unknown = Outcome.UNKNOWN
            return Failure(Fault(Code.INTERNAL, message, Step.FORWARD, "", unknown))
        is_read = prepared.unwrap().kind is Kind.READ
        replica = answer.replica if is_read else None
        self.record_success(req.group, session.customer, replica=replica)
        token = self.make_token(session, req.group, answer.position)
        return Success(StatementAnswer(answer, token))

    async def _send(self, req: RunStatement) -> Message:
        """Send a request to its home, and retry it if forwarding failed."""
        deadline = self._clock() + req.timeout_s

        async def attempt(share: float) -> Message:
            left_s = max(0.0, deadline - self._clock())
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

    async def _wait_for_term(self, group: str, seen: Position) -> bool:
        """Wait up to `MAX_TERM_WAIT_S` for the term that a session has seen."""
        deadline = self._clock() + MAX_TERM_WAIT_S
        while is_ahead_of_term(seen, self._term(group)):
            if self._clock() >= deadline:
                return False
            await asyncio.sleep(TERM_POLL_INTERVAL_S)
        return True

    def _term(self, group: str) -> int:
        spec = self._catalog.groups.get(group)
        return 0 if spec is None else spec.term

    def _build_request(
        self, req: StatementRequest, session: Session
    ) -> Result[RunStatement, Fault]:
        found = self.find_row(session.customer, req.group)
        if not isinstance(found, Success):
            return Failure(found.failure())
        row = found.unwrap()
        if req.group not in session.seen and len(session.seen) >= MAX_GROUPS:
            message = f"a session spans {MAX_GROUPS} groups at most: start a new one"
            return Failure(Fault(Code.BAD_REQUEST, message, Step.SESSION))
        requested_age_s = row.read_age_s if req.max_age_s is None else req.max_age_s
        return classify(req.sql).map(
            lambda kind: RunStatement(
                customer=session.customer,
                group=req.group,
                kind=kind,
                sql=req.sql,
                params=req.params,
                seen=session.at(req.group),
                max_age_s=min(requested_age_s, row.read_age_s),
                timeout_s=req.timeout_s,
                idempotency_key=req.idempotency_key,
                failure_domain=self._failure_domain,
                key_id=key_id(req.key),
            )
        )


def _keys_too_old() -> Fault:
    message = "withdrawn keys were not heard of for too long"
    return Fault(Code.NO_SERVER, message, Step.KEY, retry_after_s=1.0)
