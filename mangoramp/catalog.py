"""What a proxy knows of the platform's objects, from whichever source it came."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

import msgspec

from .events import GROUP_CHANGED, KEY_WITHDRAWN, TABLE_CHANGED, emit
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
SIGNING_KEY_SETTLES_S = 30.0

NEVER = float("-inf")


class Catalog:
    """Keeps the newest accepted version of each object.

    Args:
        clock: Tells the time in seconds.

    Attributes:
        on_change: Called after changes of anything but keys.
        on_key_withdrawn: Called with a withdrawn key's public id and its customer.
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
        self._fresh_at = NEVER
        self._shards: dict[str, TableShard] = {}
        self._table_version = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._signing: dict[str, SigningKey] = {}
        self._listed = asyncio.Event()
        self._changed = asyncio.Event()
        self._takers: dict[str, tuple[Any, Callable[[Item, Any], None]]] = {
            KIND_GROUP: (GroupObject, self._take_group),
            KIND_TABLE: (TableShard, self._take_shard),
            KIND_KEY: (KeyObject, self._take_key),
            KIND_SIGNING_KEY: (SigningKey, _taker(self._signing)),
            KIND_INSTANCE: (InstanceObject, _taker(self.instances)),
            KIND_DOMAIN: (DomainObject, _taker(self.domains)),
        }
        self.cache = ObjectCache(self._takers)

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of object that are kept."""
        return tuple(self._takers)

    @property
    def table_version(self) -> int:
        """The version of the table that is in force."""
        return self._table_version

    @property
    def age_s(self) -> float:
        """For how long no news of keys could be had, in seconds."""
        return self._clock() - self._fresh_at

    @property
    def heard_at(self) -> float | None:
        """When the platform was last heard, here or by a peer, None if never."""
        return self._fresh_at if self._fresh_at > NEVER else None

    @property
    def fresh_at(self) -> float:
        """The moment up to which changes of keys are known, in seconds."""
        return self._fresh_at

    @property
    def signing_keys(self) -> SigningKeys | None:
        """The keys that sign session tokens, None before there are any."""
        if not self._signing:
            return None
        # A new key signs only after every proxy has had the time to learn it.
        settled_s = time.time() - SIGNING_KEY_SETTLES_S
        settled = [i for i in self._signing if self._signing[i].created_s < settled_s]
        if settled:
            current = max(settled, key=lambda i: (self._signing[i].created_s, i))
        else:
            current = min(self._signing, key=lambda i: (self._signing[i].created_s, i))
        secrets = {i: bytes.fromhex(k.secret) for i, k in self._signing.items()}
        return SigningKeys(secrets, current)

    def row(self, customer: str, group: str) -> Row | None:
        """The table's row for a customer and a group."""
        return self._rows.get((customer, group))

    def rows(self) -> list[Row]:
        """All rows of the table."""
        return list(self._rows.values())

    def take(self, delta: Delta) -> None:
        """Take over changes from any source; older versions are passed over."""
        type_, taker = self._takers.get(delta.kind, (None, None))
        if taker is None:
            return
        accepted = self.cache.apply(delta)
        for item in sorted(accepted, key=lambda i: i.version):
            raw = item.value
            taker(item, None if raw is None else msgspec.json.decode(raw, type=type_))
        if self.cache.has_synced:
            self._listed.set()
        if not accepted:
            return
        self.wake()
        if delta.kind != KIND_KEY:
            self.on_change()

    def take_group(self, found: Versioned[GroupObject]) -> None:
        """Take over a group object of a peer, if it is newer."""
        raw = None if found.value is None else msgspec.json.encode(found.value)
        item = Item(found.name, found.version, raw)
        # It says nothing of other groups' changes, so it completes no version.
        self.take(Delta(KIND_GROUP, found.version, found.version, (item,)))

    def refresh(self, fresh_at: float) -> None:
        """Note that all changes of keys up to a moment are in force here.

        Args:
            fresh_at: The moment, in seconds on this catalog's clock.
        """
        self._fresh_at = max(self._fresh_at, fresh_at)

    def wake(self) -> None:
        """Let all who wait for a change look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def ready(self) -> None:
        """Wait until everything was read once."""
        await self._listed.wait()

    async def changed(self, timeout_s: float) -> None:
        """Wait for the next change, but no longer than a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def _take_group(self, item: Item, group: GroupObject | None) -> None:
        if group is None:
            self.groups.pop(item.name, None)
            self.group_versions.pop(item.name, None)
            return
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

    def _take_shard(self, item: Item, shard: TableShard | None) -> None:
        if shard is None:
            self._shards.pop(item.name, None)
        else:
            self._shards[item.name] = shard
        self._table_version = max(self._table_version, item.version)
        shards = self._shards.values()
        self._rows = {(r.customer, r.group): r for s in shards for r in s.rows}
        emit(TABLE_CHANGED, version=item.version, rows=len(self._rows))

    def _take_key(self, item: Item, key: KeyObject | None) -> None:
        if key is not None:
            salt, digest = bytes.fromhex(key.salt), bytes.fromhex(key.digest)
            self.keys[item.name] = KeyRecord(key.customer, salt, digest)
            return
        known = self.keys.pop(item.name, None)
        if known is not None:
            emit(KEY_WITHDRAWN, key_id=item.name, customer=known.customer)
            self.on_key_withdrawn(item.name, known.customer)


def _taker(into: dict[str, Any]) -> Callable[[Item, Any], None]:
    def take(item: Item, value: Any) -> None:
        if value is None:
            into.pop(item.name, None)
        else:
            into[item.name] = value

    return take
