"""Splits SQL into tokens as PostgreSQL does, as far as safety needs it.

Comments nest, ``$`` may be part of a name, and texts have several forms; a scanner that
differs from the server's in any of these could be shown a harmless statement where the
server sees another one.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto


class Kind(Enum):
    """What a token is."""

    WORD = auto()
    NAME = auto()
    TEXT = auto()
    ESCAPED_TEXT = auto()
    SIGN = auto()


@dataclass(frozen=True, slots=True)
class Token:
    """One token.

    Attributes:
        kind: What it is.
        text: Its characters; a quoted name's without the quotes.
    """

    kind: Kind
    text: str


class ScanError(Exception):
    """The SQL can't be split into tokens."""


TOKEN = re.compile(
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
EDGE = re.compile(r"/\*|\*/")
KINDS = {
    "escaped": Kind.ESCAPED_TEXT,
    "text": Kind.TEXT,
    "dollar": Kind.TEXT,
    "word": Kind.WORD,
    "parameter": Kind.SIGN,
    "sign": Kind.SIGN,
}


def scan(sql: str) -> Iterator[Token]:
    """Split SQL into tokens, without blanks and comments.

    Args:
        sql: The SQL.

    Raises:
        ScanError: A text, name or comment has no end, or has a form that is refused.
    """
    at = 0
    while at < len(sql):
        found = TOKEN.match(sql, at)
        if found is None:
            raise ScanError(f"a text or name has no end at {sql[at : at + 20]!r}")
        at = found.end()
        form = found.lastgroup or "dollar"
        if found["dollar"] is not None:
            form = "dollar"
        if form == "comment":
            at = _comment_end(sql, at)
        elif form == "unicode":
            raise ScanError("texts and names with U& are not allowed")
        elif form == "name":
            yield Token(Kind.NAME, found[0][1:-1].replace('""', '"'))
        elif form != "blank":
            yield Token(KINDS[form], found[0])


def _comment_end(sql: str, at: int) -> int:
    depth = 1
    while depth:
        edge = EDGE.search(sql, at)
        if edge is None:
            raise ScanError("a comment has no end")
        depth += 1 if edge[0] == "/*" else -1
        at = edge.end()
    return at
