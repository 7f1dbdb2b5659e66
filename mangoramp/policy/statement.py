"""Classification of SQL statements into reads and writes."""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import StrEnum
from functools import lru_cache

from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Step
from . import _lexer
from ._lexer import Token, TokenizeError, tokenize

MAX_SQL_CHARS = 100_000
MAX_CACHED_SQL_CHARS = 2_000
MAX_CACHED_STATEMENTS = 2_048
MAX_SHOWN_CHARS = 40


class Kind(StrEnum):
    """Whether a statement reads or writes data."""

    READ = "read"
    WRITE = "write"


READ_KEYWORDS = frozenset({"SELECT", "VALUES", "WITH"})
DML_KEYWORDS = frozenset({"INSERT", "UPDATE", "DELETE"})
DDL_KEYWORDS = frozenset({"CREATE", "ALTER", "DROP"})
DDL_OBJECT_KEYWORDS = frozenset(
    {"TABLE", "UNIQUE", "INDEX", "VIEW", "MATERIALIZED", "SEQUENCE", "TYPE", "SCHEMA"}
    | {"UNLOGGED", "OR", "RECURSIVE"}
)
# A statement that begins like a read may write or lock if it contains one of these.
WRITE_KEYWORDS = DML_KEYWORDS | {"MERGE", "INTO", "SHARE", "NEXTVAL", "SETVAL"}
# These names give access to state that outlives the statement on its connection.
RESERVED_NAME = re.compile(
    r"mangoramp_.*|standin_.*|pg_.*|dblink.*|lo_.*|set_config|lastval|currval"
    r"|.*_to_xml.*",
    re.IGNORECASE | re.DOTALL,
)
TEMPORARY_KEYWORDS = frozenset({"TEMP", "TEMPORARY"})
KEYWORDS_BEFORE_TEMPORARY = frozenset({"CREATE", "REPLACE", "LOCAL", "GLOBAL", "INTO"})


def classify(sql: str) -> Result[Kind, Fault]:
    """Classify a statement; one that could affect a shared connection is refused.

    Args:
        sql: One SQL statement.
    """
    if len(sql) > MAX_SQL_CHARS:
        return _refused(f"it is longer than {MAX_SQL_CHARS} characters")
    classify_sql = _classify_cached if len(sql) <= MAX_CACHED_SQL_CHARS else _classify
    result = classify_sql(sql)
    return Success(result) if isinstance(result, Kind) else _refused(result)


def _classify(sql: str) -> Kind | str:
    if "\0" in sql:
        return "it holds a NUL character"
    try:
        tokens = _without_final_semicolons(list(tokenize(sql)))
    except TokenizeError as exc:
        return str(exc)
    return _refusal_reason(tokens) or _kind(tokens)


_classify_cached = lru_cache(MAX_CACHED_STATEMENTS)(_classify)


def _without_final_semicolons(tokens: list[Token]) -> list[Token]:
    while tokens and tokens[-1].text == ";":
        tokens.pop()
    return tokens


def _refusal_reason(tokens: Sequence[Token]) -> str:
    words = [_word(token) for token in tokens]
    first = next((w for w, t in zip(words, tokens, strict=True) if t.text != "("), "")
    if first not in READ_KEYWORDS | DML_KEYWORDS | DDL_KEYWORDS:
        return f"it begins with {first or 'no word'!r}"
    if first in DDL_KEYWORDS and (
        len(words) < 2 or words[1] not in DDL_OBJECT_KEYWORDS
    ):
        if len(words) > 1 and words[1] in TEMPORARY_KEYWORDS:
            return "temporary tables are not allowed"
        return f"{first} is allowed for {', '.join(sorted(DDL_OBJECT_KEYWORDS))} only"
    for index, token in enumerate(tokens):
        reason = _token_refusal_reason(token, tokens[index - 1] if index else None)
        if reason:
            return reason
    return ""


def _token_refusal_reason(token: Token, previous: Token | None) -> str:
    if token.text == ";" and token.kind is _lexer.TokenKind.SYMBOL:
        return "it holds more than one statement"
    is_identifier = token.kind in (_lexer.TokenKind.WORD, _lexer.TokenKind.QUOTED_NAME)
    if is_identifier and RESERVED_NAME.fullmatch(token.text):
        return f"{token.text[:MAX_SHOWN_CHARS]!r} is reserved"
    if previous is None:
        return ""
    if (
        _word(token) in TEMPORARY_KEYWORDS
        and _word(previous) in KEYWORDS_BEFORE_TEMPORARY
    ):
        return "temporary tables are not allowed"
    if (
        previous.kind is _lexer.TokenKind.ESCAPE_STRING
        and token.kind is _lexer.TokenKind.STRING
    ):
        return "a text that goes on after E'...' is not allowed"
    return ""


def _kind(tokens: Sequence[Token]) -> Kind:
    words = {_word(token) for token in tokens}
    names = {t.text.upper() for t in tokens if t.kind is _lexer.TokenKind.QUOTED_NAME}
    if words & (WRITE_KEYWORDS | DDL_KEYWORDS) or names & {"NEXTVAL", "SETVAL"}:
        return Kind.WRITE
    return Kind.READ


def _word(token: Token) -> str:
    return token.text.upper() if token.kind is _lexer.TokenKind.WORD else ""


def _refused(why: str) -> Result[Kind, Fault]:
    message = f"the statement is refused: {why}"
    return Failure(Fault(Code.BAD_REQUEST, message, Step.PARSE))
