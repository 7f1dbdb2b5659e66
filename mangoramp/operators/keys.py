"""Gives, withdraws and lists customers' keys, and changes the signing key."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..catalog import KIND_KEY, KIND_SIGNING_KEY
from ..errors import Fault
from ..objects import KeyObject, SigningKey
from ..platform.client import PlatformClient
from ..policy.keys import key_digest, make_key
from .change import change, conflict

SALT_BYTES = 16
FIRST_SIGNING_KEY = "first"
RANDOM_BYTES = 32
SIGNING_KEYS_KEPT = 3


@dataclass(frozen=True, slots=True)
class GivenKey:
    """A new key; it is shown once and kept nowhere.

    Attributes:
        key_id: Its public id, by which it is withdrawn.
        key: The key itself.
    """

    key_id: str
    key: str


@dataclass(frozen=True, slots=True)
class ListedKey:
    """A key in force, as far as the platform knows it.

    Attributes:
        key_id: Its public id.
        customer: Whose key it is.
        created_s: When it was given, in seconds since 1970; 0 if not known.
    """

    key_id: str
    customer: str
    created_s: float


async def give_key(client: PlatformClient, customer: str) -> Result[GivenKey, Fault]:
    """Give a customer a new key.

    Args:
        client: The platform.
        customer: Whose key it is to be.
    """
    key_id, key = make_key(os.urandom(RANDOM_BYTES))
    salt = os.urandom(SALT_BYTES)
    digest = key_digest(key, salt).hex()
    record = KeyObject(customer, salt.hex(), digest, time.time())
    made = await change(client, KIND_KEY, key_id, record, type_=KeyObject, version=0)
    if made == Success(False):
        return Failure(conflict("there is a key with this id already"))
    return made.map(lambda changed: GivenKey(key_id, key))


async def withdraw_key(client: PlatformClient, key_id: str) -> Result[bool, Fault]:
    """Withdraw a key.

    Args:
        client: The platform.
        key_id: The key's public id.

    Returns:
        Whether there was such a key.
    """
    return await _delete(client, KIND_KEY, key_id, KeyObject)


async def list_keys(
    client: PlatformClient, customer: str = ""
) -> Result[tuple[ListedKey, ...], Fault]:
    """List the keys in force.

    Args:
        client: The platform.
        customer: Whose keys to list, all if empty.
    """
    found = await client.fetch_changes(KIND_KEY, KeyObject)
    if not isinstance(found, Success):
        return Failure(found.failure())
    keys = [
        ListedKey(key.name, key.value.customer, key.value.created_s)
        for key in found.unwrap().objects
        if key.value is not None and customer in ("", key.value.customer)
    ]
    return Success(tuple(sorted(keys, key=lambda key: (key.customer, key.created_s))))


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
    return await change(
        client, KIND_SIGNING_KEY, key_id, key, type_=SigningKey, version=0
    )


async def rotate_signing_key(
    client: PlatformClient, *, keep: int = SIGNING_KEYS_KEPT
) -> Result[tuple[str, ...], Fault]:
    """Make a new signing key and withdraw the oldest ones.

    Args:
        client: The platform.
        keep: How many keys go on verifying, the new one among them.

    Returns:
        The ids of the keys that were withdrawn.
    """
    made = await make_signing_key(client)
    if not isinstance(made, Success):
        return Failure(made.failure())
    found = await client.fetch_changes(KIND_SIGNING_KEY, SigningKey)
    if not isinstance(found, Success):
        return Failure(found.failure())
    ages = [(k.value.created_s, k.name) for k in found.unwrap().objects if k.value]
    old = [name for _, name in sorted(ages)[: -max(keep, 1)]]
    for name in old:
        gone = await _delete(client, KIND_SIGNING_KEY, name, SigningKey)
        if not isinstance(gone, Success):
            return Failure(gone.failure())
    return Success(tuple(old))


async def _delete(
    client: PlatformClient, kind: str, name: str, type_: type[KeyObject | SigningKey]
) -> Result[bool, Fault]:
    found = await client.get(kind, name, type_)
    if not isinstance(found, Success):
        return Failure(found.failure())
    if found.unwrap().value is None:
        return Success(False)
    version = found.unwrap().version
    gone = await change(client, kind, name, None, type_=type_, version=version)
    if gone == Success(False):
        return Failure(conflict(f"the {kind} {name} was changed at the same time"))
    return gone
