"""The records of keyed writes, kept in the database group itself.

A record is written in the transaction of its write. It travels with the log, so that
whichever server leads later knows the write and its first answer.
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
from .run import RowSet, control

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
RACED = (asyncpg.UniqueViolationError, asyncpg.DuplicateTableError)


@dataclass(frozen=True, slots=True)
class Record:
    """What is recorded of a keyed write.

    Attributes:
        digest: Hash of what was asked.
        answer: The first answer.
    """

    digest: str
    answer: RowSet


async def claim(
    conn: Conn, key: OutcomeKey, *, now_s: float, timeout_s: float | None
) -> bool:
    """Begin a transaction and write the record into it, without an answer yet.

    Args:
        conn: The connection.
        key: The request's identity.
        now_s: Seconds since 1970.
        timeout_s: Seconds that each exchange may take.

    Returns:
        False if there is a record of the key already; the transaction is over then.
    """
    begin = f"BEGIN; {_insert(key, '', now_s)}"
    try:
        await control(conn, begin, timeout_s=timeout_s)
    except asyncpg.UniqueViolationError:
        await rollback(conn, timeout_s=timeout_s)
        return False
    except asyncpg.UndefinedTableError:
        await rollback(conn, timeout_s=timeout_s)
        await create(conn, timeout_s=timeout_s)
        return await claim(conn, key, now_s=now_s, timeout_s=timeout_s)
    return True


async def commit_claimed(
    conn: Conn, key: OutcomeKey, answer: RowSet, *, timeout_s: float | None
) -> bool:
    """Write the answer into the claimed record and commit.

    Returns:
        False if the server rolled back instead.
    """
    text = _pack(answer)
    update = f"UPDATE mangoramp_outcome SET answer = '{text}' WHERE key = '{key.key}'"
    return await control(conn, f"{update}; COMMIT", timeout_s=timeout_s) == "COMMIT"


async def commit_recorded(
    conn: Conn,
    keys: Sequence[OutcomeKey],
    *,
    now_s: float,
    timeout_s: float | None,
) -> bool:
    """Commit a transaction together with records of its commit.

    Args:
        conn: The connection.
        keys: The identities under which the commit is recorded.
        now_s: Seconds since 1970.
        timeout_s: Seconds that it may take.

    Returns:
        False if the server rolled back instead.
    """
    inserts = [_insert(key, _pack(COMMITTED), now_s) for key in keys]
    sql = "; ".join([*inserts, "COMMIT"])
    return await control(conn, sql, timeout_s=timeout_s) == "COMMIT"


async def rollback(conn: Conn, *, timeout_s: float | None) -> None:
    """End the transaction that is open."""
    await control(conn, "ROLLBACK", timeout_s=timeout_s)


async def create(conn: Conn, *, timeout_s: float | None) -> None:
    """Create the table of records unless it is there."""
    try:
        await control(conn, CREATE_SQL, timeout_s=timeout_s)
    except RACED:
        return


async def lookup(
    conn: Conn, key: OutcomeKey, *, timeout_s: float | None
) -> Record | None:
    """Read the record of a key, None if there is none."""
    try:
        row = await exchange(conn, conn.fetchrow(LOOKUP_SQL, key.key), timeout_s)
    except asyncpg.UndefinedTableError:
        return None
    return None if row is None else Record(row["digest"], _unpack(row["answer"]))


async def prune(
    conn: Conn, *, before_s: float, most: int, timeout_s: float | None
) -> int:
    """Delete some of the oldest records.

    Args:
        conn: The connection.
        before_s: Delete records made before this, in seconds since 1970.
        most: How many to delete.
        timeout_s: Seconds that it may take.

    Returns:
        How many were deleted.
    """
    old = (
        f"SELECT key FROM mangoramp_outcome WHERE created < {int(before_s)} "
        f"ORDER BY created LIMIT {most}"
    )
    sql = f"DELETE FROM mangoramp_outcome WHERE key IN ({old})"
    tag = await control(conn, sql, timeout_s=timeout_s)
    last = tag.rsplit(" ", 1)[-1]
    return int(last) if last.isdigit() else 0


def _insert(key: OutcomeKey, answer: str, now_s: float) -> str:
    values = f"'{key.key}', '{key.customer}', '{key.digest}', '{answer}', {int(now_s)}"
    return (
        "INSERT INTO mangoramp_outcome (key, customer, digest, answer, created) "
        f"VALUES ({values})"
    )


def _pack(answer: RowSet) -> str:
    return base64.b64encode(msgspec.msgpack.encode(answer)).decode()


def _unpack(text: str) -> RowSet:
    return msgspec.msgpack.decode(base64.b64decode(text), type=RowSet)
