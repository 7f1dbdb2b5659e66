"""What a proxy knows from the platform: groups, table, keys and instances."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from .events import GROUP_CHANGED, TABLE_CHANGED, emit
from .platform.client import PlatformClient, Versioned
from .platform.objects import (
    GroupObject,
    InstanceObject,
    KeyObject,
    Row,
    SigningKey,
    TableShard,
)
from .platform.watch import Watch
from .policy.keys import KeyRecord
from .policy.session import SigningKeys

KIND_GROUP = "group"
KIND_TABLE = "table"
KIND_KEY = "key"
KIND_SIGNING_KEY = "signing-key"
KIND_INSTANCE = "instance"
SIGNING_KEY_SETTLES_S = 30.0


class Catalog:
    """Follows the platform's objects and keeps the last good version of each.

    Args:
        client: The platform.
    """

    def __init__(self, client: PlatformClient) -> None:
        self.groups: dict[str, GroupObject] = {}
        self.group_versions: dict[str, int] = {}
        self.keys: dict[str, KeyRecord] = {}
        self.instances: dict[str, InstanceObject] = {}
        self.on_change: Callable[[], None] = lambda: None
        self._shards: dict[str, Versioned[TableShard]] = {}
        self._rows: dict[tuple[str, str], Row] = {}
        self._signing: dict[str, SigningKey] = {}
        self._watches = (
            Watch(client, KIND_GROUP, GroupObject, self.take_group),
            Watch(client, KIND_TABLE, TableShard, self._take_shard),
            Watch(client, KIND_KEY, KeyObject, self._take_key),
            Watch(client, KIND_SIGNING_KEY, SigningKey, self._take_signing),
            Watch(client, KIND_INSTANCE, InstanceObject, self._take_instance),
        )

    @property
    def table_version(self) -> int:
        """The version of the table that is in force."""
        return max((shard.version for shard in self._shards.values()), default=0)

    @property
    def heard_at(self) -> float | None:
        """When the platform last answered every watch, None if it never has."""
        oldest = min(watch.heard_at for watch in self._watches)
        return oldest if oldest >= 0 else None

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

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        await asyncio.gather(*(watch.run() for watch in self._watches))

    async def ready(self) -> None:
        """Wait until everything was read once."""
        for watch in self._watches:
            await watch.ready()

    def take_group(self, found: Versioned[GroupObject]) -> None:
        """Take over a group object of the platform or of a peer, if it is newer."""
        if found.version <= self.group_versions.get(found.name, 0):
            return
        self.group_versions[found.name] = found.version
        if found.value is None:
            self.groups.pop(found.name, None)
        else:
            self.groups[found.name] = found.value
            group = found.value
            emit(
                GROUP_CHANGED,
                group=group.name,
                term=group.term,
                primary=group.primary,
                version=found.version,
            )
        self.on_change()

    def _take_shard(self, found: Versioned[TableShard]) -> None:
        known = self._shards.get(found.name)
        if known is not None and found.version <= known.version:
            return
        self._shards[found.name] = found
        shards = (s.value for s in self._shards.values() if s.value is not None)
        self._rows = {(r.customer, r.group): r for s in shards for r in s.rows}
        emit(TABLE_CHANGED, version=found.version, rows=len(self._rows))
        self.on_change()

    def _take_key(self, found: Versioned[KeyObject]) -> None:
        if found.value is None:
            self.keys.pop(found.name, None)
            return
        key = found.value
        salt, digest = bytes.fromhex(key.salt), bytes.fromhex(key.digest)
        self.keys[found.name] = KeyRecord(key.customer, salt, digest)

    def _take_signing(self, found: Versioned[SigningKey]) -> None:
        if found.value is None:
            self._signing.pop(found.name, None)
        else:
            self._signing[found.name] = found.value

    def _take_instance(self, found: Versioned[InstanceObject]) -> None:
        if found.value is None:
            self.instances.pop(found.name, None)
        else:
            self.instances[found.name] = found.value
        self.on_change()
