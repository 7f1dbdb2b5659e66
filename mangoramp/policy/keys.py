"""API keys of customers, of which only salted hashes are stored."""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Step

KEY_PATTERN = re.compile(r"mr_([0-9a-f]{16})_([0-9a-f]{48})")
ID_BYTES = 8
SECRET_BYTES = 24


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The stored record of a key.

    Attributes:
        customer: The customer to whom the key belongs.
        salt: The salt of the hash.
        digest: The salted hash of the key.
    """

    customer: str
    salt: bytes
    digest: bytes


def make_key(random_bytes: bytes) -> tuple[str, str]:
    """Create a key.

    Args:
        random_bytes: At least 32 bytes from the operating system.

    Returns:
        The key's public id and the key itself.
    """
    key_id = random_bytes[:ID_BYTES].hex()
    secret = random_bytes[ID_BYTES : ID_BYTES + SECRET_BYTES].hex()
    return key_id, f"mr_{key_id}_{secret}"


def key_id(key: str) -> str:
    """Return the public id of a key, empty if the key is malformed."""
    found = KEY_PATTERN.fullmatch(key)
    return found[1] if found else ""


def key_digest(key: str, salt: bytes) -> bytes:
    """Hash a key; a key with 192 random bits needs no slow hash."""
    return hashlib.sha256(salt + key.encode()).digest()


def check_key(key: str, records: Mapping[str, KeyRecord]) -> Result[str, Fault]:
    """Find the customer to whom a key belongs.

    Args:
        key: The key sent by the caller.
        records: The records of the keys in force, by public id.

    Returns:
        The customer's name, or the fault if the key is refused.
    """
    if not key:
        return Failure(Fault(Code.KEY_MISSING, "a key is needed", Step.KEY))
    found = KEY_PATTERN.fullmatch(key)
    record = records.get(found[1]) if found else None
    if record is None or not _matches(key, record):
        return Failure(Fault(Code.KEY_UNKNOWN, "the key is not in force", Step.KEY))
    return Success(record.customer)


def _matches(key: str, record: KeyRecord) -> bool:
    return hmac.compare_digest(key_digest(key, record.salt), record.digest)
