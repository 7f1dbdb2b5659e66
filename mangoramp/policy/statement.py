"""What kind of work a statement is."""

from __future__ import annotations

import re
from enum import StrEnum

from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Step

BLANK = re.compile(r"(?:\s+|--[^\n]*(?:\n|$)|/\*.*?\*/)+", re.DOTALL)
WORD = re.compile(r"[A-Za-z]+")
RESERVED = re.compile(r"\b(mangoramp_\w+|standin_\w+|pg_\w+|set_config)\b", re.I)
CHANGES = re.compile(r"\b(insert|update|delete|merge|into|for\s+update)\b", re.I)
MAX_SQL_CHARS = 100_000


class Kind(StrEnum):
    """What a statement does to the data."""

    READ = "read"
    WRITE = "write"


READS = frozenset({"SELECT", "VALUES", "WITH"})
WRITES = frozenset({"INSERT", "UPDATE", "DELETE", "CREATE", "ALTER", "DROP"})


def classify(sql: str) -> Result[Kind, Fault]:
    """Tell reads from writes; what could disturb a shared connection is refused.

    Args:
        sql: One SQL statement.
    """
    if len(sql) > MAX_SQL_CHARS:
        return _refused(f"it is longer than {MAX_SQL_CHARS} characters")
    if "\0" in sql:
        return _refused("it holds a NUL character")
    found = WORD.match(BLANK.sub(" ", sql).lstrip())
    word = found[0].upper() if found else ""
    if word not in READS | WRITES:
        return _refused(f"it begins with {word or 'no word'!r}")
    reserved = RESERVED.search(sql)
    if reserved:
        return _refused(f"{reserved[0]!r} is reserved")
    if word in READS and not CHANGES.search(sql):
        return Success(Kind.READ)
    return Success(Kind.WRITE)


def _refused(why: str) -> Result[Kind, Fault]:
    message = f"the statement is refused: {why}"
    return Failure(Fault(Code.BAD_REQUEST, message, Step.PARSE))
