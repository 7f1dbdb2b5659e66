"""Gives, withdraws and lists customers' keys, and rotates the signing key."""

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
from .change import change_object, conflict_fault

SALT_BYTES = 16
FIRST_SIGNING_KEY_ID = "first"
KEY_BYTES = 32
DEFAULT_SIGNING_KEY_COUNT = 3


@dataclass(frozen=True, slots=True)
class NewKey:
    """A new key, which is shown once and never stored.

    Attributes:
        key_id: Public id, used to withdraw the key.
        key: The secret key.
    """

    key_id: str
    key: str


@dataclass(frozen=True, slots=True)
class ListedKey:
    """A key in force, as stored on the platform.

    Attributes:
        key_id: Public id of the key.
        customer: The customer that owns the key.
        created_s: When it was created, in seconds since 1970; 0 if unknown.
    """

    key_id: str
    customer: str
    created_s: float


async def give_key(client: PlatformClient, customer: str) -> Result[NewKey, Fault]:
    """Give a customer a new key.

    Args:
        client: Client of the platform.
        customer: The customer that will own the key.
    """
    key_id, key = make_key(os.urandom(KEY_BYTES))
    salt = os.urandom(SALT_BYTES)
    digest = key_digest(key, salt).hex()
    record = KeyObject(customer, salt.hex(), digest, time.time())
    created = await change_object(
        client, KIND_KEY, key_id, record, type_=KeyObject, version=0
    )
    if created == Success(False):
        return Failure(conflict_fault("there is a key with this id already"))
    return created.map(lambda changed: NewKey(key_id, key))


async def withdraw_key(client: PlatformClient, key_id: str) -> Result[bool, Fault]:
    """Withdraw a key.

    Args:
        client: Client of the platform.
        key_id: The key's public id.

    Returns:
        Whether the key was in force.
    """
    return await _delete(client, KIND_KEY, key_id, KeyObject)


async def list_keys(
    client: PlatformClient, customer: str = ""
) -> Result[tuple[ListedKey, ...], Fault]:
    """List the keys in force.

    Args:
        client: Client of the platform.
        customer: The customer whose keys to list; empty for all.
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
    """Create the first key that signs session tokens, unless there is one.

    Returns:
        Whether this call created it.
    """
    key = SigningKey(os.urandom(KEY_BYTES).hex(), time.time())
    return await client.put(KIND_SIGNING_KEY, FIRST_SIGNING_KEY_ID, key, version=0)


async def make_signing_key(client: PlatformClient) -> Result[bool, Fault]:
    """Create a new key that signs session tokens; older keys still verify them."""
    key_id = os.urandom(4).hex()
    key = SigningKey(os.urandom(KEY_BYTES).hex(), time.time())
    return await change_object(
        client, KIND_SIGNING_KEY, key_id, key, type_=SigningKey, version=0
    )


async def rotate_signing_key(
    client: PlatformClient, *, keep: int = DEFAULT_SIGNING_KEY_COUNT
) -> Result[tuple[str, ...], Fault]:
    """Create a new signing key and withdraw the oldest ones.

    Args:
        client: Client of the platform.
        keep: Number of keys that verify tokens from now on, including the new one.

    Returns:
        The ids of the withdrawn keys.
    """
    created = await make_signing_key(client)
    if not isinstance(created, Success):
        return Failure(created.failure())
    found = await client.fetch_changes(KIND_SIGNING_KEY, SigningKey)
    if not isinstance(found, Success):
        return Failure(found.failure())
    keys_by_age = [
        (k.value.created_s, k.name) for k in found.unwrap().objects if k.value
    ]
    withdrawn = [name for _, name in sorted(keys_by_age)[: -max(keep, 1)]]
    for name in withdrawn:
        deleted = await _delete(client, KIND_SIGNING_KEY, name, SigningKey)
        if not isinstance(deleted, Success):
            return Failure(deleted.failure())
    return Success(tuple(withdrawn))


async def _delete(
    client: PlatformClient, kind: str, name: str, type_: type[KeyObject | SigningKey]
) -> Result[bool, Fault]:
    found = await client.get(kind, name, type_)
    if not isinstance(found, Success):
        return Failure(found.failure())
    if found.unwrap().value is None:
        return Success(False)
    version = found.unwrap().version
    deleted = await change_object(
        client, kind, name, None, type_=type_, version=version
    )
    if deleted == Success(False):
        return Failure(
            conflict_fault(f"the {kind} {name} was changed at the same time")
        )
    return deleted
