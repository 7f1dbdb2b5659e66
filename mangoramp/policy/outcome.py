"""How an idempotent request is told from others, and what its record holds."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

UNPRINTABLE = re.compile(r"[^A-Za-z0-9_.@-]")
MAX_CUSTOMER_CHARS = 64


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """The identity of one idempotent request; all its parts are safe in SQL.

    Attributes:
        customer: Whose request it is, for people; other characters are replaced.
        key: Hash of the customer and the caller's idempotency key.
        digest: Hash of what was asked.
    """

    customer: str
    key: str
    digest: str


def outcome_key(
    customer: str, idempotency_key: str, asked: Sequence[object]
) -> OutcomeKey:
    """Build the identity of a request.

    Args:
        customer: Whose request it is.
        idempotency_key: The caller's key.
        asked: All that the request asks; a retry must ask the same.
    """
    shown = UNPRINTABLE.sub("_", customer)[:MAX_CUSTOMER_CHARS]
    return OutcomeKey(shown, _hash((customer, idempotency_key)), _hash(asked))


def transaction_key(customer: str, transaction: str) -> OutcomeKey:
    """Build the identity of a transaction's commit.

    Args:
        customer: Whose transaction it is.
        transaction: Its id, which nobody else can guess.
    """
    return outcome_key(customer, f"transaction {transaction}", (transaction,))


def _hash(parts: Sequence[object]) -> str:
    return hashlib.sha256(msgspec.msgpack.encode(tuple(parts))).hexdigest()
