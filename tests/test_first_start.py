"""How many calls to the store a large deployment needs at its first start."""

import asyncio
import random
from collections import Counter

from returns.result import Success

from mangoramp.control.instance_list import INSTANCE_KIND, InstanceList
from mangoramp.control.peers import Peers
from mangoramp.control.settings import Bounds, InstanceSettings
from mangoramp.platform.client import Changes, Versioned
from mangoramp.platform.feed import Feed

from .virtual_time import run

INSTANCES = 69
PEERS_FIRST_S = 5.0


class Store:
    """Counts the calls; lists the instances once they have registered."""

    def __init__(self):
        self.calls = Counter()
        self.registered = {}

    async def fetch_changes(self, kind, type_, *, since, wait_s, era):
        self.calls[kind] += 1
        await asyncio.sleep(wait_s)
        return Success(Changes(7, ()))

    async def list_objects(self, kind, type_, *, allow_stale=False):
        self.calls[kind] += 1
        listed = tuple(
            Versioned(name, 1, None)
            for name in ([] if allow_stale else self.registered)
        )
        return Success(Changes(7, listed, is_complete=True))

    async def put(self, kind, name, value, *, version):
        self.registered[name] = value
        return Success(True)


class Receiver:
    has_doubtful_entries = False

    def __init__(self):
        self.has_deployment = asyncio.Event()
        self.has_registry = asyncio.Event()


class TestFollower:
    """Guards against 69 instances that each read all that the store holds."""

    def test_relies_on_its_peers_alone_for_a_while(self):
        async def play():
            store, loop = Store(), asyncio.get_running_loop()
            feed = Feed(
                store,
                Receiver(),
                Bounds(),
                is_watcher=lambda: False,
                is_preferred_watcher=lambda: False,
                rng=random.Random(1),
                clock=loop.time,
                peers_first_s=PEERS_FIRST_S,
            )
            await asyncio.sleep(2.0)  # until it runs, it does not know the peers
            task = asyncio.ensure_future(feed.run())
            await asyncio.sleep(PEERS_FIRST_S - 0.1)
            before = sum(store.calls.values())
            await asyncio.sleep(5.0)
            task.cancel()
            return before, store.calls

        before, calls = run(play())
        assert before == 0
        # Without any answer from a peer, it reads the store after all.
        assert all(calls.values())
        assert len(calls) == 2


class TestInstanceList:
    """Guards against watching before the instances that start together are known."""

    def test_settles_once_a_current_list_was_read(self):
        async def play():
            store, loop = Store(), asyncio.get_running_loop()
            cfg = InstanceSettings(
                name="a",
                failure_domain="x",
                callers=("h", 1),
                health=("h", 2),
                peers=("h", 3),
                store_url="",
            )
            peers = Peers("a", None, dict, loop.time, random.Random(1), "x")
            instances = InstanceList(cfg, store, peers, random.Random(1))
            task = asyncio.ensure_future(instances.run())
            await instances.has_refreshed.wait()
            calls_then = store.calls[INSTANCE_KIND]
            was_settled = instances.has_settled.is_set()
            await instances.has_settled.wait()
            task.cancel()
            return calls_then, was_settled, store.calls[INSTANCE_KIND]

        assert run(play()) == (1, False, 2)
