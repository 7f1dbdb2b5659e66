"""The servers' entries as the platform's store holds them."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..control.endpoint import Endpoint
from .settings import parse_address

REGISTRY_KIND = "servers"


class _Entry(msgspec.Struct):
    service: str  # a database group
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    sequence: int
    cold_remaining_ms: float = 0
    born: int = 0  # the Unix millisecond of its start


def decode_endpoint(server_id: str, raw: bytes) -> Endpoint:
    """Translate a server's entry.

    Args:
        server_id: The entry's name.
        raw: Its ``spec`` as JSON.

    Raises:
        ValueError: It is no entry that names a server to use; the field is named.
    """
    entry = msgspec.json.decode(raw, type=_Entry)
    return Endpoint(
        id=server_id,
        group=entry.service,
        address=parse_address(entry.address),
        failure_domain=entry.zone,
        slots=max(1, entry.slots),
        is_draining=entry.state == "draining",
        is_primary=entry.db_role == "primary",
        started_ms=entry.born,
    )
