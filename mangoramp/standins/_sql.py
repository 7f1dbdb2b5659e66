"""What the stand-in of a database server needs to know of a statement's text."""

from __future__ import annotations

import re
import sqlite3
from collections.abc import Callable
from typing import Any

from pg_mimic import ResultColumn
from pg_mimic.types import BYTEA, FLOAT8, INT8, TEXT

READ_WORDS = frozenset({"SELECT", "WITH", "VALUES", "EXPLAIN"})
CONTROL_WORDS = frozenset(
    {"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "SET", "RESET", "DISCARD"}
)
COMMENTS = re.compile(r"^(?:\s+|--[^\n]*\n|/\*.*?\*/)+", re.DOTALL)
AGGREGATE = re.compile(r"^(count|sum|max|min|length|total)\b", re.IGNORECASE)


def sql_word(sql: str) -> str:
    """The first word of a statement, in capitals."""
    found = re.match(r"[A-Za-z]+", COMMENTS.sub("", sql))
    return found[0].upper() if found else ""


def is_read(sql: str) -> bool:
    """Whether a statement changes nothing."""
    return sql_word(sql) in READ_WORDS and " RETURNING " not in sql.upper()


def param_count(sql: str) -> int:
    """How many ``$n`` parameters a statement has."""
    return max((int(n) for n in re.findall(r"\$(\d+)", sql)), default=0)


def column_of(name: str, types: dict[str, str]) -> ResultColumn:
    """Declare one column by what the schema says of its name."""
    kind = types.get(name.lower(), "")
    if "INT" in kind or AGGREGATE.match(name):
        return ResultColumn(name, INT8)
    if kind in ("REAL", "FLOAT", "DOUBLE PRECISION"):
        return ResultColumn(name, FLOAT8)
    if kind == "BLOB":
        return ResultColumn(name, BYTEA)
    return ResultColumn(name, TEXT)


def coerce(row: tuple[Any, ...], columns: list[ResultColumn]) -> tuple[Any, ...]:
    """Turn sqlite3's values into those of the declared columns."""
    casts: dict[int, Callable[[Any], Any]] = {INT8: int, FLOAT8: float, TEXT: str}
    return tuple(
        value if value is None or column.oid not in casts else casts[column.oid](value)
        for value, column in zip(row, columns, strict=False)
    )


def sqlstate_of(exc: sqlite3.Error) -> str:
    """The SQLSTATE nearest to one of sqlite3's errors."""
    text = str(exc)
    if "no such table" in text:
        return "42P01"
    if "no such column" in text:
        return "42703"
    if "readonly" in text:
        return "25006"
    return "42601"
