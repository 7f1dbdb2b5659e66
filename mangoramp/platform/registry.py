"""Decodes the entries of the server registry, as stored on the platform."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..control.endpoint import Endpoint, find_problem
from ..decoding import decode_json
from .settings import parse_address

REGISTRY_KIND = "servers"


class _Entry(msgspec.Struct):
    service: str  # name of a database group
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    sequence: int
    cold_remaining_ms: float = 0
    born: int = 0  # Unix time of the server's start, in milliseconds


def decode_endpoint(server_id: str, raw: bytes) -> Endpoint:
    """Decode a server's registry entry.

    Args:
        server_id: The name of the stored object, which is the server's id.
        raw: The ``spec`` of the stored object, as JSON.

    Raises:
        ValueError: A field is missing, invalid or out of range; the message names the
            field or quotes the address.
    """
    entry = decode_json(raw, _Entry)
    endpoint = Endpoint(
        id=server_id,
        group=entry.service,
        address=parse_address(entry.address),
        failure_domain=entry.zone,
        slots=entry.slots or 1,
        is_draining=entry.state == "draining",
        is_primary=entry.db_role == "primary",
        started_ms=entry.born,
        sequence=entry.sequence,
        cold_left_s=entry.cold_remaining_ms / 1000,
    )
    problem = find_problem(endpoint)
    if problem:
        raise ValueError(problem)
    return endpoint
