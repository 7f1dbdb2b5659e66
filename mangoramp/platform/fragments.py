"""Splits JSON into the members of an object or the elements of an array.

The parts are found without decoding them and without recursion, so that one that cannot
be decoded, for example because it is nested too deeply, does not spoil the others.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

_SPACE = re.compile(rb"[ \t\r\n]*")
# Possessive, and up to the end if a string does not end: each byte is read once.
_CHARACTERS = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+'
_STRING = re.compile(_CHARACTERS + b'"', re.DOTALL)
_SCALAR = re.compile(rb"[^\s,\[\]{}\"]+")
_STRING_OR_BRACKETS = re.compile(
    _CHARACTERS + rb'(?:"|\\?\Z)|[\[{]++|[\]}]++', re.DOTALL
)
_OPENING = b"[{"


def split_members(raw: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object, each still encoded.

    Raises:
        ValueError: It is no object, or ends too early.
    """
    found = {}
    for start, end in _parts(raw, b"{", b"}"):
        key = _match(_STRING, raw, start)
        colon = _skip_space(raw, key.end())
        value = _skip_space(raw, colon + 1)
        if raw[colon : colon + 1] != b":" or value >= end:
            raise ValueError(f"no value follows the key at byte {start}")
        name = key.group()[1:-1].decode("utf-8", errors="replace")
        found[name] = raw[value:end]
    return found


def split_elements(raw: bytes) -> list[bytes]:
    """Return the elements of a JSON array, each still encoded.

    Raises:
        ValueError: It is no array, or ends too early.
    """
    return [raw[start:end] for start, end in _parts(raw, b"[", b"]")]


def _parts(raw: bytes, opening: bytes, closing: bytes) -> Iterator[tuple[int, int]]:
    """Yield the start and end of each member or element."""
    at = _skip_space(raw, 0)
    if raw[at : at + 1] != opening:
        raise ValueError(f"{opening.decode()} is missing at byte {at}")
    at = _skip_space(raw, at + 1)
    while raw[at : at + 1] != closing:
        start = at
        if opening == b"{":
            at = _skip_space(raw, _match(_STRING, raw, at).end())
            at = _skip_space(raw, at + 1)
        at = _end_of_value(raw, at)
        yield start, at
        at = _skip_space(raw, at)
        if raw[at : at + 1] == b",":
            at = _skip_space(raw, at + 1)
        elif raw[at : at + 1] != closing:
            raise ValueError(f"a comma or {closing.decode()} is missing at byte {at}")


def _end_of_value(raw: bytes, start: int) -> int:
    first = raw[start : start + 1]
    if first == b'"':
        return _match(_STRING, raw, start).end()
    if not first or first not in _OPENING:
        return _match(_SCALAR, raw, start).end()
    depth = 0
    for token in _STRING_OR_BRACKETS.finditer(raw, start):
        run = token.group()
        if run[:1] == b'"':
            continue
        if run[:1] in _OPENING:
            depth += len(run)
        elif len(run) >= depth:
            return token.start() + depth
        else:
            depth -= len(run)
    raise ValueError(f"the value at byte {start} does not end")


def _skip_space(raw: bytes, at: int) -> int:
    return _match(_SPACE, raw, at).end()


def _match(pattern: re.Pattern[bytes], raw: bytes, at: int) -> re.Match[bytes]:
    found = pattern.match(raw, at)
    if found is None:
        raise ValueError(f"unexpected data at byte {at}")
    return found
