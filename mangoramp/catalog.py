"""The platform's objects as known to this proxy, from the platform or from peers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

import msgspec

from .decoding import decode_json, log_unreadable
from .events import (
    GROUP_CHANGED,
    KEY_WITHDRAWN,
    TABLE_CHANGED,
    emit,
)
from .objects import (
    DomainObject,
    GroupObject,
    InstanceObject,
    KeyObject,
    Row,
    SigningKey,
    TableShard,
)
from .platform.client import Versioned
from .policy.cache import Delta, Item, ObjectCache
from .policy.keys import KeyRecord
from .policy.session import SigningKeys

KIND_GROUP = "group"
KIND_TABLE = "table"
KIND_KEY = "key"
KIND_SIGNING_KEY = "signing-key"
KIND_INSTANCE = "instance"
KIND_DOMAIN = "domain"
SIGNING_KEY_PROPAGATION_S = 30.0

NEVER = float("-inf")


class Catalog:
    """Holds the newest accepted version of each object.

    Args:
        clock: Returns the current time in seconds.

    Attributes:
        on_change: Called after a change of any kind of object but customers' keys.
        on_key_withdrawn: Called with the public id and the customer of a withdrawn key.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.groups: dict[str, GroupObject] = {}
        self.group_versions: dict[str, int] = {}
        self.keys: dict[str, KeyRecord] = {}
        self.instances: dict[str, InstanceObject] = {}
        self.domains: dict[str, DomainObject] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.on_key_withdrawn: Callable[[str, str], None] = lambda key_id, customer: (
            None
        )
        self._clock = clock
        self._keys_fresh_at = NEVER
        self._shards: dict[str, TableShard] = {}
        self._table_version = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._signing: dict[str, SigningKey] = {}
        self._synced = asyncio.Event()
        self._changed = asyncio.Event()
        self._handlers: dict[str, tuple[Any, Callable[[Item, Any], None]]] = {
            KIND_GROUP: (GroupObject, self._apply_group),
            KIND_TABLE: (TableShard, self._apply_shard),
            KIND_KEY: (KeyObject, self._apply_key),
            KIND_SIGNING_KEY: (SigningKey, self._apply_signing_key),
            KIND_INSTANCE: (InstanceObject, _mapping_handler(self.instances)),
            KIND_DOMAIN: (DomainObject, _mapping_handler(self.domains)),
        }
        self.cache = ObjectCache(self._handlers)

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of objects in the catalog."""
        return tuple(self._handlers)

    @property
    def table_version(self) -> int:
        """The version of the operators' table that is in force."""
        return self._table_version

    @property
    def keys_age_s(self) -> float:
        """Seconds since the time up to which all changes of keys are known."""
        return self._clock() - self._keys_fresh_at

    @property
    def platform_heard_at(self) -> float | None:
        """When the platform last answered, here or at a peer; None if never."""
        return self._keys_fresh_at if self._keys_fresh_at > NEVER else None

    @property
    def keys_fresh_at(self) -> float:
        """The time up to which all changes of keys are known, in seconds."""
        return self._keys_fresh_at

    @property
    def signing_keys(self) -> SigningKeys | None:
        """The keys that sign session tokens, None if there are none yet."""
        if not self._signing:
            return None
        # A new key signs only after every proxy has had time to receive it.
        propagated_before_s = time.time() - SIGNING_KEY_PROPAGATION_S
        propagated = [
            i for i in self._signing if self._signing[i].created_s < propagated_before_s
        ]
        if propagated:
            current = max(propagated, key=lambda i: (self._signing[i].created_s, i))
        else:
            current = min(self._signing, key=lambda i: (self._signing[i].created_s, i))
        secrets = {i: bytes.fromhex(k.secret) for i, k in self._signing.items()}
        return SigningKeys(secrets, current)

    def row(self, customer: str, group: str) -> Row | None:
        """Return the table's row for a customer and a group, None if there is none."""
        return self._rows.get((customer, group))

    def rows(self) -> list[Row]:
        """Return all rows of the table."""
        return list(self._rows.values())

    def apply(self, delta: Delta) -> None:
        """Apply changes from any source, ignoring versions that are not newer."""
        type_, handler = self._handlers.get(delta.kind, (None, None))
        if handler is None:
            return
        accepted = self.cache.apply(delta)
        for item in sorted(accepted, key=lambda i: i.version):
            self._apply_item(delta.kind, item, type_, handler)
        if self.cache.has_synced:
            self._synced.set()
        if not accepted:
            return
        self.notify_change()
        if delta.kind != KIND_KEY:
            self.on_change()

    def _apply_item(
        self,
        kind: str,
        item: Item,
        type_: Any,
        handler: Callable[[Item, Any], None],
    ) -> None:
        """Apply one object; what is known of it stays if it cannot be decoded."""
        raw = item.value
        try:
            handler(item, None if raw is None else decode_json(raw, type_))
        except ValueError as exc:
            log_unreadable(kind, item.name, item.version, exc)

    def apply_group(self, found: Versioned[GroupObject]) -> None:
        """Apply a group object received from a peer, if it is newer."""
        raw = None if found.value is None else msgspec.json.encode(found.value)
        item = Item(found.name, found.version, raw)
        # One object says nothing about changes of other groups. With `since` equal to
        # its version, the cache doesn't mark the kind as complete up to that version.
        self.apply(Delta(KIND_GROUP, found.version, found.version, (item,)))

    def record_key_freshness(self, keys_fresh_at: float) -> None:
        """Record that all changes of keys up to a time have been applied.

        Args:
            keys_fresh_at: The time, in seconds on this catalog's clock.
        """
        self._keys_fresh_at = max(self._keys_fresh_at, keys_fresh_at)

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until_synced(self) -> None:
        """Wait until every kind of object has been listed once."""
        await self._synced.wait()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change, at most for a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def _apply_group(self, item: Item, group: GroupObject | None) -> None:
        if group is None:
            self.groups.pop(item.name, None)
            self.group_versions.pop(item.name, None)
            return
        if not group.starts:
            raise ValueError("it has no start of a term")
        self.groups[item.name] = group
        self.group_versions[item.name] = item.version
        emit(
            GROUP_CHANGED,
            group=group.name,
            term=group.term,
            primary=group.primary,
            leaving=[server.name for server in group.servers if server.leaving],
            version=item.version,
        )

    def _apply_shard(self, item: Item, shard: TableShard | None) -> None:
        if shard is None:
            self._shards.pop(item.name, None)
        else:
            self._shards[item.name] = shard
        self._table_version = max(self._table_version, item.version)
        shards = self._shards.values()
        self._rows = {(r.customer, r.group): r for s in shards for r in s.rows}
        emit(TABLE_CHANGED, version=item.version, rows=len(self._rows))

    def _apply_signing_key(self, item: Item, key: SigningKey | None) -> None:
        if key is None:
            self._signing.pop(item.name, None)
            return
        bytes.fromhex(key.secret)  # raises an error here and not at each signature
        self._signing[item.name] = key

    def _apply_key(self, item: Item, key: KeyObject | None) -> None:
        if key is not None:
            salt, digest = bytes.fromhex(key.salt), bytes.fromhex(key.digest)
            self.keys[item.name] = KeyRecord(key.customer, salt, digest)
            return
        known = self.keys.pop(item.name, None)
        if known is not None:
            emit(KEY_WITHDRAWN, key_id=item.name, customer=known.customer)
            self.on_key_withdrawn(item.name, known.customer)


def _mapping_handler(mapping: dict[str, Any]) -> Callable[[Item, Any], None]:
    def apply(item: Item, value: Any) -> None:
        if value is None:
            mapping.pop(item.name, None)
        else:
            mapping[item.name] = value

    return apply
