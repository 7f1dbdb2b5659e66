"""Objects by version: what was accepted is never replaced by something older."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

MAX_TOMBSTONES = 4096
UNLISTED = -1


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One version of an object.

    Attributes:
        name: The object's name within its kind.
        version: The platform's version of it.
        value: Its JSON, None if it was deleted.
    """

    name: str
    version: int
    value: bytes | None


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """What changed in one kind.

    Attributes:
        kind: The kind of object.
        since: All changes after this version are here; 0 for a listing of all.
        version: All changes up to this version are here.
        items: The objects that changed, deleted ones too unless ``since`` is 0.
    """

    kind: str
    since: int
    version: int
    items: tuple[Item, ...] = ()


class Cache:
    """The newest known version of each object of some kinds.

    Args:
        kinds: The kinds that are kept.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self._complete = dict.fromkeys(kinds, UNLISTED)
        self._floors = dict.fromkeys(self._complete, 0)
        self._last = dict.fromkeys(self._complete, 0)
        self._items: dict[str, dict[str, Item]] = {k: {} for k in self._complete}

    @property
    def newest(self) -> int:
        """The highest version of any object that is in force."""
        return max(self._last.values(), default=0)

    def versions(self) -> dict[str, int]:
        """The version up to which each kind is complete, for those once listed."""
        return {k: v for k, v in self._complete.items() if v != UNLISTED}

    @property
    def is_listed(self) -> bool:
        """Whether every kind was listed once."""
        return UNLISTED not in self._complete.values()

    def take(self, delta: Delta) -> tuple[Item, ...]:
        """Take over changes from any source, in any order and number.

        Args:
            delta: The changes.

        Returns:
            The items that were accepted; older ones are passed over.
        """
        if delta.kind not in self._complete:
            return ()
        items = delta.items
        if delta.since == 0:
            items += self._missing(delta)
        accepted = tuple(item for item in items if self._accept(delta.kind, item))
        if delta.since == 0 or delta.since <= self._complete[delta.kind]:
            self._complete[delta.kind] = max(self._complete[delta.kind], delta.version)
        self._prune(delta.kind)
        return accepted

    def since(self, kind: str, version: int) -> Delta:
        """What changed in a kind after a version."""
        items = self._items[kind].values()
        if version < self._floors[kind] or version <= 0:
            found = [item for item in items if item.value is not None]
            return Delta(kind, 0, self._complete[kind], tuple(found))
        found = [item for item in items if item.version > version]
        return Delta(kind, version, self._complete[kind], tuple(found))

    def news(self, versions: Mapping[str, int]) -> tuple[Delta, ...]:
        """The kinds of which more is known here than a peer has in force."""
        return tuple(
            self.since(kind, versions.get(kind, UNLISTED))
            for kind, complete in self._complete.items()
            if complete > versions.get(kind, UNLISTED)
        )

    def has_news(self, versions: Mapping[str, int]) -> bool:
        """Whether an object changed here that a peer has not in force."""
        return any(
            kind not in versions or last > versions[kind]
            for kind, last in self._last.items()
            if self._complete[kind] != UNLISTED
        )

    def is_behind(self, versions: Mapping[str, int]) -> bool:
        """Whether a peer knows more of any kind."""
        known = self._complete
        return any(v > known.get(kind, v) for kind, v in versions.items())

    def _accept(self, kind: str, item: Item) -> bool:
        known = self._items[kind].get(item.name)
        # What is unknown and not newer than the whole kind was deleted since.
        oldest = self._complete[kind] if known is None else known.version
        if item.version <= oldest:
            return False
        self._items[kind][item.name] = item
        self._last[kind] = max(self._last[kind], item.version)
        return True

    def _missing(self, delta: Delta) -> tuple[Item, ...]:
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
        complete = self._complete[kind]
        old = sorted((i for i in deleted if i.version <= complete), key=_version)
        for item in old[: max(0, len(deleted) - MAX_TOMBSTONES)]:
            del items[item.name]
            self._floors[kind] = max(self._floors[kind], item.version)


def _version(item: Item) -> int:
    return item.version
