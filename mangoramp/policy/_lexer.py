"""Splits SQL into tokens by PostgreSQL's lexical rules.

Covers the rules that statement checks depend on: nested comments, ``$`` within names,
and the several forms of string literals. If this lexer split a statement differently
from the server, a forbidden statement could pass as a harmless one.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto


class TokenKind(Enum):
    """The lexical category of a token."""

    WORD = auto()
    QUOTED_NAME = auto()
    STRING = auto()
    ESCAPE_STRING = auto()
    SYMBOL = auto()


@dataclass(frozen=True, slots=True)
class Token:
    """A lexical token.

    Attributes:
        kind: The lexical category.
        text: The source text; for a quoted name, the name without its quotes.
    """

    kind: TokenKind
    text: str


class TokenizeError(Exception):
    """The SQL cannot be split into tokens."""


TOKEN_PATTERN = re.compile(
    r"""
    (?P<blank>[ \t\n\r\f\v]+|--[^\n\r]*)
    |(?P<comment>/\*)
    |(?P<unicode>[uU]&["'])
    |(?P<escaped>[eE]'(?:[^'\\]|''|\\.)*')
    |(?P<text>'(?:[^']|'')*')
    |(?P<name>"(?:[^"]|"")+")
    |(?P<word>[A-Za-z_\x80-\U0010ffff][\w$\x80-\U0010ffff]*)
    |(?P<dollar>\$(?P<tag>(?:[A-Za-z_\x80-\U0010ffff][\w\x80-\U0010ffff]*)?)\$
        .*?\$(?P=tag)\$)
    |(?P<parameter>\$[0-9]+)
    |(?P<sign>[^'"$])
    """,
    re.VERBOSE | re.DOTALL,
)
COMMENT_DELIMITER = re.compile(r"/\*|\*/")
KIND_BY_GROUP = {
    "escaped": TokenKind.ESCAPE_STRING,
    "text": TokenKind.STRING,
    "dollar": TokenKind.STRING,
    "word": TokenKind.WORD,
    "parameter": TokenKind.SYMBOL,
    "sign": TokenKind.SYMBOL,
}


def tokenize(sql: str) -> Iterator[Token]:
    """Split SQL into tokens, skipping whitespace and comments.

    Args:
        sql: The SQL text.

    Raises:
        TokenizeError: A string, quoted name or comment is not terminated, or a literal
            has a form that is not allowed.
    """
    position = 0
    while position < len(sql):
        match = TOKEN_PATTERN.match(sql, position)
        if match is None:
            raise TokenizeError(
                f"a text or name has no end at {sql[position : position + 20]!r}"
            )
        position = match.end()
        group = match.lastgroup or "dollar"
        if match["dollar"] is not None:
            group = "dollar"
        if group == "comment":
            position = _comment_end(sql, position)
        elif group == "unicode":
            raise TokenizeError("texts and names with U& are not allowed")
        elif group == "name":
            yield Token(TokenKind.QUOTED_NAME, match[0][1:-1].replace('""', '"'))
        elif group != "blank":
            yield Token(KIND_BY_GROUP[group], match[0])


def _comment_end(sql: str, position: int) -> int:
    depth = 1
    while depth:
        delimiter = COMMENT_DELIMITER.search(sql, position)
        if delimiter is None:
            raise TokenizeError("a comment has no end")
        depth += 1 if delimiter[0] == "/*" else -1
        position = delimiter.end()
    return position
