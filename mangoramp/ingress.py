"""A caller's request on its way: key, row, session, home, and the answer back."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .catalog import Catalog
from .errors import Code, Fault, Outcome, Step
from .events import REQUEST_REFUSED, emit
from .homes import Homes
from .policy.keys import check_key, key_id
from .policy.session import Session, decode_session, encode_session
from .policy.statement import classify
from .proxies.messages import Param, Refused, Rows, RunStatement


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
        key_max_age_s: Seconds for which keys are served without news of them.
    """

    def __init__(
        self,
        catalog: Catalog,
        homes: Homes,
        failure_domain: str,
        *,
        key_max_age_s: float = float("inf"),
    ) -> None:
        self._catalog = catalog
        self._homes = homes
        self._failure_domain = failure_domain
        self._key_max_age_s = key_max_age_s

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

    async def _checked(self, req: StatementRequest) -> Result[StatementAnswer, Fault]:
        if self._catalog.age_s > self._key_max_age_s:
            return Failure(_keys_too_old())
        customer = check_key(req.key, self._catalog.keys)
        if not isinstance(customer, Success):
            return Failure(customer.failure())
        keys = self._catalog.signing_keys
        if keys is None:
            return Failure(Fault(Code.INTERNAL, "no signing key yet", Step.SESSION))
        session = decode_session(req.token, customer.unwrap(), keys)
        if not isinstance(session, Success):
            return Failure(session.failure())
        prepared = self._prepare(req, session.unwrap())
        if not isinstance(prepared, Success):
            return Failure(prepared.failure())
        answer = await self._homes.send(prepared.unwrap())
        if isinstance(answer, Refused):
            return Failure(answer.fault)
        if not isinstance(answer, Rows):
            message = "the home's answer is none"
            unknown = Outcome.UNKNOWN
            return Failure(Fault(Code.INTERNAL, message, Step.FORWARD, "", unknown))
        seen = session.unwrap().merged(req.group, answer.position)
        return Success(StatementAnswer(answer, encode_session(seen, keys)))

    def _prepare(
        self, req: StatementRequest, session: Session
    ) -> Result[RunStatement, Fault]:
        if req.group not in self._catalog.groups:
            message = f"there is no database group {req.group!r}"
            return Failure(Fault(Code.GROUP_UNKNOWN, message, Step.ADMIT))
        row = self._catalog.row(session.customer, req.group)
        if row is None:
            message = f"the table has no row for this customer and {req.group}"
            return Failure(Fault(Code.FORBIDDEN, message, Step.ADMIT))
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
                key_id=key_id(req.key),
            )
        )


def _keys_too_old() -> Fault:
    message = "withdrawn keys were not heard of for too long"
    return Fault(Code.NO_SERVER, message, Step.KEY, retry_after_s=1.0)
