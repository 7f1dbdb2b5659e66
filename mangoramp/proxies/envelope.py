"""The base of all messages between instances, and their encoding.

It is separate from the HTTP interface's messages, whose imports take as long as a tenth
of an instance's start.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec


class Envelope(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The base of all messages.

    Attributes:
        id: Id of the request; an answer has the id of its request.
    """

    id: int = 0


@dataclass(frozen=True, slots=True)
class Codec:
    """The encoding of a link's messages.

    Attributes:
        encode: Encodes a message.
        decode: Decodes a message; raises ``msgspec.DecodeError``.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
