"""Gives, withdraws and lists customers' keys."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..catalog import KIND_KEY, KIND_SIGNING_KEY
from ..errors import Code, Fault, Step
from ..platform.client import PlatformClient
from ..platform.objects import KeyObject, SigningKey
from ..policy.keys import key_digest, make_key

SALT_BYTES = 16
FIRST_SIGNING_KEY = "first"
RANDOM_BYTES = 32


@dataclass(frozen=True, slots=True)
class GivenKey:
    """A new key; it is shown once and kept nowhere.

    Attributes:
        key_id: Its public id, by which it is withdrawn.
        key: The key itself.
    """

    key_id: str
    key: str


async def give_key(client: PlatformClient, customer: str) -> Result[GivenKey, Fault]:
    """Give a customer a new key.

    Args:
        client: The platform.
        customer: Whose key it is to be.
    """
    key_id, key = make_key(os.urandom(RANDOM_BYTES))
    salt = os.urandom(SALT_BYTES)
    record = KeyObject(customer, salt.hex(), key_digest(key, salt).hex())
    made = await client.put(KIND_KEY, key_id, record, version=0)
    return made.map(lambda changed: GivenKey(key_id, key))


async def withdraw_key(client: PlatformClient, key_id: str) -> Result[bool, Fault]:
    """Withdraw a key.

    Args:
        client: The platform.
        key_id: The key's public id.

    Returns:
        Whether there was such a key.
    """
    found = await client.get(KIND_KEY, key_id, KeyObject)
    if not isinstance(found, Success):
        return Failure(found.failure())
    if found.unwrap().value is None:
        return Success(False)
    version = found.unwrap().version
    changed = await client.put(KIND_KEY, key_id, None, version=version)
    if changed == Success(False):
        message = "the key was changed at the same time"
        return Failure(Fault(Code.INTERNAL, message, Step.PLATFORM))
    return changed


async def make_first_signing_key(client: PlatformClient) -> Result[bool, Fault]:
    """Make the first key that signs session tokens, if nobody else has made it.

    Returns:
        Whether it was made here.
    """
    key = SigningKey(os.urandom(RANDOM_BYTES).hex(), time.time())
    return await client.put(KIND_SIGNING_KEY, FIRST_SIGNING_KEY, key, version=0)


async def make_signing_key(client: PlatformClient) -> Result[bool, Fault]:
    """Make a new key that signs session tokens; older ones go on verifying."""
    key_id = os.urandom(4).hex()
    key = SigningKey(os.urandom(RANDOM_BYTES).hex(), time.time())
    return await client.put(KIND_SIGNING_KEY, key_id, key, version=0)
