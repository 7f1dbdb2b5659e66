"""Identity of idempotent requests, under which their outcomes are recorded."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_.@-]")
MAX_CUSTOMER_CHARS = 64


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """The identity of one idempotent request; all its parts are safe in SQL.

    Attributes:
        customer: The customer's name for human readers; unsafe characters are replaced.
        key: The hash of the customer and the caller's idempotency key.
        digest: The hash of the request's content.
    """

    customer: str
    key: str
    digest: str


def outcome_key(
    customer: str, idempotency_key: str, asked: Sequence[object]
) -> OutcomeKey:
    """Build the identity of a request.

    Args:
        customer: The customer who sent the request.
        idempotency_key: The caller's idempotency key.
        asked: The content of the request, which must be the same in a retry.
    """
    safe_customer = UNSAFE_CHARACTER.sub("_", customer)[:MAX_CUSTOMER_CHARS]
    return OutcomeKey(safe_customer, _hash((customer, idempotency_key)), _hash(asked))


def transaction_key(customer: str, transaction: str) -> OutcomeKey:
    """Build the identity of a transaction's commit.

    Args:
        customer: The customer to whom the transaction belongs.
        transaction: The transaction's id, which other callers cannot guess.
    """
    return outcome_key(customer, f"transaction {transaction}", (transaction,))


def _hash(parts: Sequence[object]) -> str:
    return hashlib.sha256(msgspec.msgpack.encode(tuple(parts))).hexdigest()
