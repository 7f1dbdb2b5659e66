"""Classifies SQL text and converts types for the stand-in database server."""

from __future__ import annotations

import re
import sqlite3
from collections.abc import Callable
from typing import Any

from pg_mimic import ResultColumn
from pg_mimic.types import BYTEA, FLOAT8, INT8, TEXT

READ_KEYWORDS = frozenset({"SELECT", "WITH", "VALUES", "EXPLAIN"})
CONTROL_KEYWORDS = frozenset(
    {"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "SET", "RESET", "DISCARD"}
)
LEADING_COMMENTS = re.compile(r"^(?:\s+|--[^\n]*\n|/\*.*?\*/)+", re.DOTALL)
AGGREGATE_CALL = re.compile(r"^(count|sum|max|min|length|total)\b", re.IGNORECASE)


def first_keyword(sql: str) -> str:
    """Return the first keyword of a statement in upper case."""
    found = re.match(r"[A-Za-z]+", LEADING_COMMENTS.sub("", sql))
    return found[0].upper() if found else ""


def is_read(sql: str) -> bool:
    """Return whether a statement is read-only."""
    return first_keyword(sql) in READ_KEYWORDS and " RETURNING " not in sql.upper()


def param_count(sql: str) -> int:
    """Return the number of ``$n`` parameters of a statement."""
    return max((int(n) for n in re.findall(r"\$(\d+)", sql)), default=0)


def result_column(name: str, types: dict[str, str]) -> ResultColumn:
    """Describe a result column by the type that the schema declares for its name."""
    type_name = types.get(name.lower(), "")
    if "INT" in type_name or AGGREGATE_CALL.match(name):
        return ResultColumn(name, INT8)
    if type_name in ("REAL", "FLOAT", "DOUBLE PRECISION"):
        return ResultColumn(name, FLOAT8)
    if type_name == "BLOB":
        return ResultColumn(name, BYTEA)
    return ResultColumn(name, TEXT)


def coerce_row(row: tuple[Any, ...], columns: list[ResultColumn]) -> tuple[Any, ...]:
    """Convert a row of sqlite3 values to the types of the declared columns."""
    casts: dict[int, Callable[[Any], Any]] = {INT8: int, FLOAT8: float, TEXT: str}
    return tuple(
        value if value is None or column.oid not in casts else casts[column.oid](value)
        for value, column in zip(row, columns, strict=False)
    )


def sqlstate_for(exc: sqlite3.Error) -> str:
    """Return the SQLSTATE that best matches a sqlite3 error."""
    text = str(exc)
    if "no such table" in text:
        return "42P01"
    if "no such column" in text:
        return "42703"
    if "readonly" in text:
        return "25006"
    return "42601"
