"""Outcome records of writes with idempotency keys, stored in the database group.

A record is written in the same transaction as its write and is replicated with it, so
that any later primary knows the write and its first answer.
"""

from __future__ import annotations

import base64
from collections.abc import Sequence
from dataclasses import dataclass

import asyncpg
import msgspec

from ..policy.outcome import OutcomeKey
from .connection import Conn
from .exchange import exchange
from .run import RowSet, execute_script

CREATE_SQL = (
    "CREATE TABLE IF NOT EXISTS mangoramp_outcome ("
    "key TEXT PRIMARY KEY, customer TEXT NOT NULL, digest TEXT NOT NULL, "
    "answer TEXT NOT NULL, created BIGINT NOT NULL); "
    "CREATE INDEX IF NOT EXISTS mangoramp_outcome_created "
    "ON mangoramp_outcome (created)"
)
LOOKUP_SQL = "SELECT digest, answer FROM mangoramp_outcome WHERE key = $1"
COMMITTED = RowSet((), b"[]", 0)
ROLLED_BACK = RowSet(("rolled back",), b"[]", 0)
CREATE_RACE_ERRORS = (asyncpg.UniqueViolationError, asyncpg.DuplicateTableError)


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """The outcome record of a write with an idempotency key.

    Attributes:
        digest: Hash of the request.
        answer: The first answer.
    """

    digest: str
    answer: RowSet


async def claim(
    conn: Conn, key: OutcomeKey, *, now_s: float, timeout_s: float | None
) -> bool:
    """Begin a transaction and insert the record with an empty answer.

    Args:
        conn: The connection.
        key: The identity of the request.
        now_s: Current Unix time, in seconds.
        timeout_s: Time limit for each exchange, in seconds.

    Returns:
        False if a record of the key exists; the transaction is then rolled back.
    """
    begin = f"BEGIN; {_insert_sql(key, '', now_s)}"
    try:
        await execute_script(conn, begin, timeout_s=timeout_s)
    except asyncpg.UniqueViolationError:
        await rollback(conn, timeout_s=timeout_s)
        return False
    except asyncpg.UndefinedTableError:
        await rollback(conn, timeout_s=timeout_s)
        await create_table(conn, timeout_s=timeout_s)
        return await claim(conn, key, now_s=now_s, timeout_s=timeout_s)
    return True


async def commit_claimed(
    conn: Conn, key: OutcomeKey, answer: RowSet, *, timeout_s: float | None
) -> bool:
    """Write the answer into the claimed record and commit.

    Returns:
        False if the server rolled back the transaction.
    """
    text = _encode_answer(answer)
    update = f"UPDATE mangoramp_outcome SET answer = '{text}' WHERE key = '{key.key}'"
    return (
        await execute_script(conn, f"{update}; COMMIT", timeout_s=timeout_s) == "COMMIT"
    )


async def commit_with_records(
    conn: Conn,
    keys: Sequence[OutcomeKey],
    *,
    now_s: float,
    timeout_s: float | None,
) -> bool:
    """Commit a transaction and insert records of the commit.

    Args:
        conn: The connection.
        keys: The identities under which the commit is recorded.
        now_s: Current Unix time, in seconds.
        timeout_s: Time limit in seconds.

    Returns:
        False if the server rolled back the transaction.
    """
    inserts = [_insert_sql(key, _encode_answer(COMMITTED), now_s) for key in keys]
    sql = "; ".join([*inserts, "COMMIT"])
    return await execute_script(conn, sql, timeout_s=timeout_s) == "COMMIT"


async def rollback(conn: Conn, *, timeout_s: float | None) -> None:
    """Roll back the open transaction."""
    await execute_script(conn, "ROLLBACK", timeout_s=timeout_s)


async def create_table(conn: Conn, *, timeout_s: float | None) -> None:
    """Create the table of outcome records if it does not exist."""
    try:
        await execute_script(conn, CREATE_SQL, timeout_s=timeout_s)
    except CREATE_RACE_ERRORS:
        return


async def lookup(
    conn: Conn, key: OutcomeKey, *, timeout_s: float | None
) -> OutcomeRecord | None:
    """Read the record of a key; None if there is none."""
    try:
        row = await exchange(conn, conn.fetchrow(LOOKUP_SQL, key.key), timeout_s)
    except asyncpg.UndefinedTableError:
        return None
    return (
        None
        if row is None
        else OutcomeRecord(row["digest"], _decode_answer(row["answer"]))
    )


async def prune(
    conn: Conn, *, before_s: float, limit: int, timeout_s: float | None
) -> int:
    """Delete expired records, oldest first.

    Args:
        conn: The connection.
        before_s: Unix time before which records are deleted, in seconds.
        limit: Maximum number of records to delete.
        timeout_s: Time limit in seconds.

    Returns:
        The number of deleted records.
    """
    oldest_sql = (
        f"SELECT key FROM mangoramp_outcome WHERE created < {int(before_s)} "
        f"ORDER BY created LIMIT {limit}"
    )
    sql = f"DELETE FROM mangoramp_outcome WHERE key IN ({oldest_sql})"
    tag = await execute_script(conn, sql, timeout_s=timeout_s)
    count = tag.rsplit(" ", 1)[-1]
    return int(count) if count.isdigit() else 0


def _insert_sql(key: OutcomeKey, answer: str, now_s: float) -> str:
    values = f"'{key.key}', '{key.customer}', '{key.digest}', '{answer}', {int(now_s)}"
    return (
        "INSERT INTO mangoramp_outcome (key, customer, digest, answer, created) "
        f"VALUES ({values})"
    )


def _encode_answer(answer: RowSet) -> str:
    return base64.b64encode(msgspec.msgpack.encode(answer)).decode()


def _decode_answer(text: str) -> RowSet:
    return msgspec.msgpack.decode(base64.b64decode(text), type=RowSet)
