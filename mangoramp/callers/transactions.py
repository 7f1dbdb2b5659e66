"""The HTTP routes of callers' transactions."""

from __future__ import annotations

import msgspec
from returns.result import Success

from ..errors import Outcome
from ..transaction_ingress import TransactionCaller, TransactionIngress
from .app import Route, StatementBody
from .base import DEFAULT_TIMEOUT_S, MAX_TIMEOUT_S, MIN_TIMEOUT_S, BaseHandler

BASE = r"/v1/groups/([^/]+)/transactions"


class BegunBody(msgspec.Struct):
    """The body of the answer to a transaction's beginning."""

    outcome: Outcome
    transaction: str
    server: str
    idle_s: float
    limit_s: float


class RowsBody(msgspec.Struct):
    """The body of the answer to a statement of a transaction."""

    outcome: Outcome
    columns: tuple[str, ...]
    rows: msgspec.Raw
    count: int
    server: str


class EndedBody(msgspec.Struct):
    """The body of the answer to a commit or rollback."""

    outcome: Outcome
    committed: bool
    repeated: bool
    server: str


class TransactionHandler(BaseHandler):
    """What the routes of transactions share."""

    def initialize(self, ingress: TransactionIngress) -> None:
        """Remember where requests go."""
        self.ingress = ingress

    def caller(self, group: str) -> TransactionCaller | None:
        """Who asks; None if a header was refused."""
        timeout = self.seconds(
            "Mangoramp-Timeout", least=MIN_TIMEOUT_S, most=MAX_TIMEOUT_S
        )
        if not isinstance(timeout, Success):
            self.refuse(timeout.failure())
            return None
        given = timeout.unwrap()
        timeout_s = DEFAULT_TIMEOUT_S if given is None else given
        return TransactionCaller(group, self.key, self.token, timeout_s)


class BeginHandler(TransactionHandler):
    """``POST /v1/groups/{group}/transactions``."""

    async def post(self, group: str) -> None:
        """Open a transaction."""
        caller = self.caller(group)
        if caller is None:
            return
        answer = await self.ingress.begin(caller)
        if not isinstance(answer, Success):
            self.refuse(answer.failure())
            return
        begun = answer.unwrap()
        body = BegunBody(
            Outcome.DONE, begun.transaction, begun.server, begun.idle_s, begun.limit_s
        )
        self.answer(201, body)


class StatementInHandler(TransactionHandler):
    """``POST /v1/groups/{group}/transactions/{id}/statements``."""

    async def post(self, group: str, transaction: str) -> None:
        """Run one statement."""
        caller = self.caller(group)
        if caller is None:
            return
        found = self.decode_body(StatementBody)
        if not isinstance(found, Success):
            self.refuse(found.failure())
            return
        body = found.unwrap()
        answer = await self.ingress.run(caller, transaction, body.sql, body.params)
        if not isinstance(answer, Success):
            self.refuse(answer.failure())
            return
        rows = answer.unwrap()
        raw = msgspec.Raw(rows.rows)
        self.answer(
            200, RowsBody(Outcome.DONE, rows.columns, raw, rows.count, rows.server)
        )


class EndHandler(TransactionHandler):
    """``POST /v1/groups/{group}/transactions/{id}/commit`` or ``/rollback``."""

    async def post(self, group: str, transaction: str, how: str) -> None:
        """Commit or roll back."""
        caller = self.caller(group)
        if caller is None:
            return
        key = self.idempotency_key()
        if not isinstance(key, Success):
            self.refuse(key.failure())
            return
        answer = await self.ingress.end(
            caller, transaction, commit=how == "commit", idempotency_key=key.unwrap()
        )
        if not isinstance(answer, Success):
            self.refuse(answer.failure())
            return
        ended = answer.unwrap().ended
        if ended.committed:
            self.show_token(answer.unwrap().token)
        body = EndedBody(Outcome.DONE, ended.committed, ended.repeated, ended.server)
        self.answer(200, body)


def transaction_routes(ingress: TransactionIngress) -> list[Route]:
    """The routes of transactions.

    Args:
        ingress: Where requests go.
    """
    args = {"ingress": ingress}
    return [
        (BASE, BeginHandler, args),
        (BASE + r"/([^/]+)/statements", StatementInHandler, args),
        (BASE + r"/([^/]+)/(commit|rollback)", EndHandler, args),
    ]
