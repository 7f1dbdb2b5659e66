"""Decodes data from outside the process; all that is wrong with it is a DecodeError."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from .events import ENTRY_UNREADABLE, emit

T = TypeVar("T")
MAX_INTEGER = 2**53 - 1  # larger ones are not the same in every JSON and message codec
TOO_DEEP = "it is nested too deeply"


def decode_json(raw: bytes | msgspec.Raw, type_: type[T]) -> T:
    """Decode JSON.

    Args:
        raw: The encoded data.
        type_: The type to decode to.

    Raises:
        msgspec.DecodeError: The data cannot be decoded to the type.
    """
    try:
        return msgspec.json.decode(raw, type=type_)
    except RecursionError:
        raise msgspec.DecodeError(TOO_DEEP) from None


def msgpack_decoder(type_: Any) -> Callable[[bytes], Any]:
    """Return a function that decodes MessagePack to a type.

    The function raises ``msgspec.DecodeError`` if the data cannot be decoded.
    """
    decoder = msgspec.msgpack.Decoder(type_)

    def decode(raw: bytes) -> Any:
        try:
            return decoder.decode(raw)
        except RecursionError:
            raise msgspec.DecodeError(TOO_DEEP) from None

    return decode


def log_unreadable(kind: str, name: str, version: int, exc: ValueError) -> None:
    """Log an object of the store that cannot be decoded.

    Args:
        kind: The object's kind.
        name: The object's name.
        version: The revision of its last change.
        exc: What is wrong with it.
    """
    emit(ENTRY_UNREADABLE, kind=kind, name=name, version=version, reason=str(exc))
