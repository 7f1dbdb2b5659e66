"""A cache of versioned objects in which a newer version never reverts to an older one.

Changes arrive from several sources, in any order and more than once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

MAX_TOMBSTONES = 4096
NOT_LISTED = -1


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One version of an object.

    Attributes:
        name: The object's name within its kind.
        version: The platform's version of the object.
        value: The object as JSON, None if it was deleted.
    """

    name: str
    version: int
    value: bytes | None


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """The changes to objects of one kind within a range of versions.

    Attributes:
        kind: The kind of object.
        since: The version after which all changes are included; 0 for a full listing.
        version: The version up to which all changes are included.
        items: The changed objects; includes deleted ones unless ``since`` is 0.
    """

    kind: str
    since: int
    version: int
    items: tuple[Item, ...] = ()


class ObjectCache:
    """The newest known version of each object.

    Args:
        kinds: The kinds of object to keep.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self._complete_versions = dict.fromkeys(kinds, NOT_LISTED)
        self._pruned_versions = dict.fromkeys(self._complete_versions, 0)
        self._last_versions = dict.fromkeys(self._complete_versions, 0)
        self._items: dict[str, dict[str, Item]] = {
            k: {} for k in self._complete_versions
        }

    @property
    def newest_version(self) -> int:
        """The highest version of any object in the cache."""
        return max(self._last_versions.values(), default=0)

    def versions(self) -> dict[str, int]:
        """Return the version up to which each kind is complete, if it was listed."""
        return {k: v for k, v in self._complete_versions.items() if v != NOT_LISTED}

    @property
    def has_synced(self) -> bool:
        """Whether a full listing of every kind has been applied."""
        return NOT_LISTED not in self._complete_versions.values()

    def apply(self, delta: Delta) -> tuple[Item, ...]:
        """Apply changes from any source; changes may be reordered or repeated.

        Args:
            delta: The changes.

        Returns:
            The items that were newer than the cached ones; the others are ignored.
        """
        if delta.kind not in self._complete_versions:
            return ()
        items = delta.items
        if delta.since == 0:
            items += self._deletions(delta)
        accepted = tuple(item for item in items if self._accept(delta.kind, item))
        if delta.since == 0 or delta.since <= self._complete_versions[delta.kind]:
            self._complete_versions[delta.kind] = max(
                self._complete_versions[delta.kind], delta.version
            )
        self._prune(delta.kind)
        return accepted

    def changes_since(self, kind: str, version: int) -> Delta:
        """Return the changes to a kind after a version.

        Returns a full listing if tombstones from after that version were pruned.
        """
        items = self._items[kind].values()
        if version < self._pruned_versions[kind] or version <= 0:
            found = [item for item in items if item.value is not None]
            return Delta(kind, 0, self._complete_versions[kind], tuple(found))
        found = [item for item in items if item.version > version]
        return Delta(kind, version, self._complete_versions[kind], tuple(found))

    def deltas_for(self, versions: Mapping[str, int]) -> tuple[Delta, ...]:
        """Return the changes that a peer lacks, one delta for each kind.

        Args:
            versions: The version up to which the peer is complete, by kind.
        """
        return tuple(
            self.changes_since(kind, versions.get(kind, NOT_LISTED))
            for kind, complete in self._complete_versions.items()
            if complete > versions.get(kind, NOT_LISTED)
        )

    def has_changes_for(self, versions: Mapping[str, int]) -> bool:
        """Return whether any object here is newer than what a peer has.

        Args:
            versions: The version up to which the peer is complete, by kind.
        """
        return any(
            kind not in versions or last > versions[kind]
            for kind, last in self._last_versions.items()
            if self._complete_versions[kind] != NOT_LISTED
        )

    def is_behind(self, versions: Mapping[str, int]) -> bool:
        """Return whether a peer has newer changes of any kind.

        Args:
            versions: The version up to which the peer is complete, by kind.
        """
        known = self._complete_versions
        return any(v > known.get(kind, v) for kind, v in versions.items())

    def _accept(self, kind: str, item: Item) -> bool:
        known = self._items[kind].get(item.name)
        # An unknown object at or below the kind's complete version was deleted since,
        # even if its tombstone is pruned.
        oldest = self._complete_versions[kind] if known is None else known.version
        if item.version <= oldest:
            return False
        self._items[kind][item.name] = item
        self._last_versions[kind] = max(self._last_versions[kind], item.version)
        return True

    def _deletions(self, delta: Delta) -> tuple[Item, ...]:
        listed = {item.name for item in delta.items}
        return tuple(
            Item(known.name, delta.version, None)
            for known in self._items[delta.kind].values()
            if known.value is not None
            and known.name not in listed
            and known.version < delta.version
        )

    def _prune(self, kind: str) -> None:
        items = self._items[kind]
        deleted = [item for item in items.values() if item.value is None]
        complete = self._complete_versions[kind]
        old = sorted((i for i in deleted if i.version <= complete), key=_version)
        for item in old[: max(0, len(deleted) - MAX_TOMBSTONES)]:
            del items[item.name]
            self._pruned_versions[kind] = max(self._pruned_versions[kind], item.version)


def _version(item: Item) -> int:
    return item.version
