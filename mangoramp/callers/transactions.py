"""The HTTP routes for transactions."""

from __future__ import annotations

import msgspec
from returns.result import Success

from ..errors import Outcome
from ..transaction_ingress import TransactionCaller, TransactionIngress
from .app import Route, StatementBody
from .base import DEFAULT_TIMEOUT_S, MAX_TIMEOUT_S, MIN_TIMEOUT_S, BaseHandler

TRANSACTIONS_PATH = r"/v1/groups/([^/]+)/transactions"


class TransactionBeginResponse(msgspec.Struct):
    """The body of the response to the begin of a transaction."""

    outcome: Outcome
    transaction: str
    server: str
    idle_s: float
    limit_s: float


class RowsResponse(msgspec.Struct):
    """The body of the response to a statement in a transaction."""

    outcome: Outcome
    columns: tuple[str, ...]
    rows: msgspec.Raw
    count: int
    server: str


class TransactionEndResponse(msgspec.Struct):
    """The body of the response to a commit or rollback."""

    outcome: Outcome
    committed: bool
    repeated: bool
    server: str


class TransactionHandler(BaseHandler):
    """Base class of the handlers for transactions."""

    def initialize(self, ingress: TransactionIngress) -> None:
        """Set the ingress that runs the requests."""
        self.ingress = ingress

    def read_caller(self, group: str) -> TransactionCaller | None:
        """Read the caller from the headers; None if a header was refused."""
        timeout = self.read_seconds(
            "Mangoramp-Timeout", minimum=MIN_TIMEOUT_S, maximum=MAX_TIMEOUT_S
        )
        if not isinstance(timeout, Success):
            self.send_fault(timeout.failure())
            return None
        header_s = timeout.unwrap()
        timeout_s = DEFAULT_TIMEOUT_S if header_s is None else header_s
        return TransactionCaller(group, self.api_key, self.session_token, timeout_s)


class BeginHandler(TransactionHandler):
    """``POST /v1/groups/{group}/transactions``."""

    async def post(self, group: str) -> None:
        """Open a transaction."""
        caller = self.read_caller(group)
        if caller is None:
            return
        answer = await self.ingress.begin(caller)
        if not isinstance(answer, Success):
            self.send_fault(answer.failure())
            return
        begun = answer.unwrap()
        body = TransactionBeginResponse(
            Outcome.DONE, begun.transaction, begun.server, begun.idle_s, begun.limit_s
        )
        self.send_json(201, body)


class TransactionStatementHandler(TransactionHandler):
    """``POST /v1/groups/{group}/transactions/{id}/statements``."""

    async def post(self, group: str, transaction: str) -> None:
        """Run one statement in the transaction."""
        caller = self.read_caller(group)
        if caller is None:
            return
        decoded = self.decode_body(StatementBody)
        if not isinstance(decoded, Success):
            self.send_fault(decoded.failure())
            return
        body = decoded.unwrap()
        answer = await self.ingress.run(caller, transaction, body.sql, body.params)
        if not isinstance(answer, Success):
            self.send_fault(answer.failure())
            return
        rows = answer.unwrap()
        raw = msgspec.Raw(rows.rows)
        self.send_json(
            200, RowsResponse(Outcome.DONE, rows.columns, raw, rows.count, rows.server)
        )


class EndHandler(TransactionHandler):
    """``POST /v1/groups/{group}/transactions/{id}/commit`` or ``/rollback``."""

    async def post(self, group: str, transaction: str, action: str) -> None:
        """Commit or roll back the transaction."""
        caller = self.read_caller(group)
        if caller is None:
            return
        key = self.read_idempotency_key()
        if not isinstance(key, Success):
            self.send_fault(key.failure())
            return
        answer = await self.ingress.end(
            caller, transaction, commit=action == "commit", idempotency_key=key.unwrap()
        )
        if not isinstance(answer, Success):
            self.send_fault(answer.failure())
            return
        ended = answer.unwrap().ended
        if ended.committed:
            self.set_session_token(answer.unwrap().token)
        body = TransactionEndResponse(
            Outcome.DONE, ended.committed, ended.repeated, ended.server
        )
        self.send_json(200, body)


def transaction_routes(ingress: TransactionIngress) -> list[Route]:
    """Build the routes for transactions.

    Args:
        ingress: Runs the requests.
    """
    args = {"ingress": ingress}
    return [
        (TRANSACTIONS_PATH, BeginHandler, args),
        (TRANSACTIONS_PATH + r"/([^/]+)/statements", TransactionStatementHandler, args),
        (TRANSACTIONS_PATH + r"/([^/]+)/(commit|rollback)", EndHandler, args),
    ]
