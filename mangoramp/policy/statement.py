"""What kind of work a statement is."""

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
MAX_CACHED_CHARS = 2_000
CACHED_STATEMENTS = 2_048
MAX_SHOWN_CHARS = 40


class Kind(StrEnum):
    """What a statement does to the data."""

    READ = "read"
    WRITE = "write"


READS = frozenset({"SELECT", "VALUES", "WITH"})
CHANGES = frozenset({"INSERT", "UPDATE", "DELETE"})
DEFINITIONS = frozenset({"CREATE", "ALTER", "DROP"})
DEFINED = frozenset(
    {"TABLE", "UNIQUE", "INDEX", "VIEW", "MATERIALIZED", "SEQUENCE", "TYPE", "SCHEMA"}
    | {"UNLOGGED", "OR", "RECURSIVE"}
)
# With one of these a statement that begins as a read may write or lock.
WRITING = CHANGES | {"MERGE", "INTO", "SHARE", "NEXTVAL", "SETVAL"}
# These reach what outlives the statement on its connection.
RESERVED = re.compile(
    r"mangoramp_.*|standin_.*|pg_.*|dblink.*|lo_.*|set_config|lastval|currval"
    r"|.*_to_xml.*",
    re.IGNORECASE | re.DOTALL,
)
TEMPORARY = frozenset({"TEMP", "TEMPORARY"})
BEFORE_TEMPORARY = frozenset({"CREATE", "REPLACE", "LOCAL", "GLOBAL", "INTO"})


def classify(sql: str) -> Result[Kind, Fault]:
    """Tell reads from writes; what could disturb a shared connection is refused.

    Args:
        sql: One SQL statement.
    """
    if len(sql) > MAX_SQL_CHARS:
        return _refused(f"it is longer than {MAX_SQL_CHARS} characters")
    known = _cached if len(sql) <= MAX_CACHED_CHARS else _classify
    found = known(sql)
    return Success(found) if isinstance(found, Kind) else _refused(found)


def _classify(sql: str) -> Kind | str:
    if "\0" in sql:
        return "it holds a NUL character"
    try:
        tokens = _statement(list(tokenize(sql)))
    except TokenizeError as exc:
        return str(exc)
    return _refusal(tokens) or _kind(tokens)


_cached = lru_cache(CACHED_STATEMENTS)(_classify)


def _statement(tokens: list[Token]) -> list[Token]:
    while tokens and tokens[-1].text == ";":
        tokens.pop()
    return tokens


def _refusal(tokens: Sequence[Token]) -> str:
    words = [_word(token) for token in tokens]
    first = next((w for w, t in zip(words, tokens, strict=True) if t.text != "("), "")
    if first not in READS | CHANGES | DEFINITIONS:
        return f"it begins with {first or 'no word'!r}"
    if first in DEFINITIONS and (len(words) < 2 or words[1] not in DEFINED):
        if len(words) > 1 and words[1] in TEMPORARY:
            return "temporary tables are not allowed"
        return f"{first} is allowed for {', '.join(sorted(DEFINED))} only"
    for number, token in enumerate(tokens):
        refusal = _token_refusal(token, tokens[number - 1] if number else None)
        if refusal:
            return refusal
    return ""


def _token_refusal(token: Token, before: Token | None) -> str:
    if token.text == ";" and token.kind is _lexer.TokenKind.SYMBOL:
        return "it holds more than one statement"
    named = token.kind in (_lexer.TokenKind.WORD, _lexer.TokenKind.QUOTED_NAME)
    if named and RESERVED.fullmatch(token.text):
        return f"{token.text[:MAX_SHOWN_CHARS]!r} is reserved"
    if before is None:
        return ""
    if _word(token) in TEMPORARY and _word(before) in BEFORE_TEMPORARY:
        return "temporary tables are not allowed"
    if (
        before.kind is _lexer.TokenKind.ESCAPE_STRING
        and token.kind is _lexer.TokenKind.STRING
    ):
        return "a text that goes on after E'...' is not allowed"
    return ""


def _kind(tokens: Sequence[Token]) -> Kind:
    words = {_word(token) for token in tokens}
    names = {t.text.upper() for t in tokens if t.kind is _lexer.TokenKind.QUOTED_NAME}
    if words & (WRITING | DEFINITIONS) or names & {"NEXTVAL", "SETVAL"}:
        return Kind.WRITE
    return Kind.READ


def _word(token: Token) -> str:
    return token.text.upper() if token.kind is _lexer.TokenKind.WORD else ""


def _refused(why: str) -> Result[Kind, Fault]:
    message = f"the statement is refused: {why}"
    return Failure(Fault(Code.BAD_REQUEST, message, Step.PARSE))
