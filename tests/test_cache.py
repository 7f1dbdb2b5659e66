"""An applied change never reverts, for any order and source of changes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.policy.cache import Delta, Item, ObjectCache

NAMES = ("a", "b", "c")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.sampled_from(NAMES)),
        st.tuples(st.just("delete"), st.sampled_from(NAMES)),
        st.tuples(st.just("list"), st.booleans()),
        st.tuples(st.just("ask"), st.integers(0, 2), st.integers(0, 2)),
        st.tuples(st.just("deliver"), st.integers(0, 30), st.integers(0, 2)),
        st.tuples(st.just("restart"), st.integers(0, 2)),
    ),
    min_size=10,
    max_size=60,
)


class IgnoresVersions(ObjectCache):
    """A faulty cache that stores every item, whatever its version."""

    def _accept(self, kind, item):
        self._items[kind][item.name] = item
        return True


class IgnoresPrunedTombstones(ObjectCache):
    """A faulty cache that stores every unknown object, even a deleted one."""

    def _accept(self, kind, item):
        known = self._items[kind].get(item.name)
        if known is not None and item.version <= known.version:
            return False
        self._items[kind][item.name] = item
        return True


class Store:
    """The platform's objects of one kind, and all deltas ever sent."""

    def __init__(self, cache, *, max_tombstones=1):
        self.version, self.items = 0, {}
        self.make = cache
        self.caches = [cache(["k"]) for _ in range(3)]
        self.sent = []
        self.seen = [{} for _ in range(3)]
        self.reverted = False

    def run(self, steps):
        for step, *args in steps:
            getattr(self, step)(*args)
        return self

    def put(self, name):
        self.change(name, b"%d" % (self.version + 1))

    def delete(self, name):
        if name in self.items and self.items[name].value is not None:
            self.change(name, None)

    def change(self, name, value):
        self.version += 1
        self.items[name] = Item(name, self.version, value)

    def list(self, whole):
        since = 0 if whole else self.version // 2
        found = [i for i in self.items.values() if i.version > since]
        if since == 0:
            found = [i for i in found if i.value is not None]
        self.sent.append(Delta("k", since, self.version, tuple(found)))

    def ask(self, source, asker):
        versions = self.caches[asker].versions()
        self.sent += self.caches[source].deltas_for(versions)

    def deliver(self, index, to):
        if not self.sent:
            return
        delta = self.sent[index % len(self.sent)]
        self.caches[to].apply(delta)
        self.check(to)

    def restart(self, index):
        self.caches[index] = self.make(["k"])
        self.seen[index] = {}

    def check(self, index):
        seen = self.seen[index]
        cached = self.caches[index]._items["k"]
        for name in NAMES:
            item = cached.get(name)
            value = None if item is None else item.value
            # A value is the number of the version that created it.
            if value is not None and int(value) < seen.get(name, 0):
                self.reverted = True
            if value is None and name in seen and item is not None:
                seen[name] = max(seen[name], item.version)
            if value is not None:
                seen[name] = max(seen.get(name, 0), int(value))

    def settle(self):
        self.list(True)
        for cache in self.caches:
            cache.apply(self.sent[-1])
        expected = {n: i.value for n, i in self.items.items() if i.value is not None}
        return [self.live(cache) == expected for cache in self.caches]

    @staticmethod
    def live(cache):
        items = cache._items["k"].values()
        return {i.name: i.value for i in items if i.value is not None}


class TestCache:
    @given(STEPS)
    @settings(derandomize=True, deadline=None, max_examples=400)
    def test_never_reverts_and_ends_at_the_newest(self, steps):
        store = Store(ObjectCache).run(steps)
        assert not store.reverted
        assert all(store.settle())

    def test_reverts_without_rising_versions(self):
        steps = [("put", "a"), ("list", True), ("put", "a"), ("list", True)]
        steps += [("deliver", 1, 0), ("deliver", 0, 0)]
        assert Store(IgnoresVersions).run(steps).reverted
        assert not Store(ObjectCache).run(steps).reverted

    def test_keeps_a_deleted_object_deleted_after_its_tombstone_is_pruned(
        self, monkeypatch
    ):
        monkeypatch.setattr("mangoramp.policy.cache.MAX_TOMBSTONES", 0)
        steps = [("put", "a"), ("list", True), ("delete", "a"), ("list", True)]
        steps += [("deliver", 1, 0), ("deliver", 0, 0)]
        assert Store.live(Store(ObjectCache).run(steps).caches[0]) == {}
        assert Store.live(Store(IgnoresPrunedTombstones).run(steps).caches[0]) == {
            "a": b"1"
        }

    def test_sends_a_full_listing_to_a_peer_that_lacks_a_pruned_tombstone(
        self, monkeypatch
    ):
        monkeypatch.setattr("mangoramp.policy.cache.MAX_TOMBSTONES", 0)
        store = Store(ObjectCache).run([("put", "a"), ("put", "b"), ("list", True)])
        store.run([("deliver", 0, 0), ("deliver", 0, 1), ("delete", "a")])
        store.caches[0].apply(Delta("k", 2, 3, (Item("a", 3, None),)))
        for delta in store.caches[0].deltas_for(store.caches[1].versions()):
            store.caches[1].apply(delta)
        assert Store.live(store.caches[1]) == {"b": b"2"}
