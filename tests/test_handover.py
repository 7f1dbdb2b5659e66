"""Connections of customers whose home changes, with real pools in virtual time."""

import asyncio
import random

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.policy.handover import HANDOVER_S, Handover
from mangoramp.policy.homes import connections_of_home, home_for
from mangoramp.serving.pool import NoConnectionError, ServerPool, Urgency

from .fake_connection import Connection
from .virtual_time import run

CUSTOMERS = [f"c{n}" for n in range(87)]
CONNECTIONS, SLOTS = 56, 4
HANDSHAKE_S, STATEMENT_S = 0.012, (0.003, 0.019)


class Backend:
    """A server with few slots; a handshake occupies one like a statement."""

    def __init__(self):
        self.slots = asyncio.Semaphore(SLOTS)
        self.opening = 0
        self.opened_at = []
        self.most_opening = 0

    async def open(self, server_id, group, address, customer):
        self.opening += 1
        self.most_opening = max(self.most_opening, self.opening)
        self.opened_at.append(asyncio.get_running_loop().time())
        async with self.slots:
            await asyncio.sleep(HANDSHAKE_S)
        self.opening -= 1
        return Connection()

    async def run(self, took_s):
        async with self.slots:
            await asyncio.sleep(took_s)


def make_pool(backend, handover, limit):
    endpoint = Endpoint("s1", "orders", ("host", 1), "a", SLOTS, False, True)
    clock = asyncio.get_running_loop().time
    return ServerPool(Server(endpoint), backend, clock, limit=limit, handover=handover)


class TestHandover:
    def test_a_customer_is_new_for_a_while(self):
        """Guards against a limit that never ends, or that old customers get."""
        handover = Handover()
        assert not handover.is_new("a", 0.0)
        handover.apply({"a": True, "b": False}, 0.0)
        handover.apply({"a": True, "b": True, "c": False}, 5.0)
        assert [handover.is_new(c, 5.1) for c in "abcd"] == [False, True, True, False]
        assert not handover.is_new("b", 5.0 + HANDOVER_S)
        assert [handover.has_left(c) for c in "abcd"] == [False, False, True, False]
        handover.apply({}, 6.0)
        assert not any(handover.is_new(c, 6.0) or handover.has_left(c) for c in "abc")


class TestLosingHome:
    @staticmethod
    async def hold(backend, handover, limit=6):
        pool = make_pool(backend, handover, limit)
        urgency = Urgency(1, 1.0, 1.0)
        for customer in "aaabbb":
            asyncio.ensure_future(TestLosingHome.use(pool, customer, urgency))
        await asyncio.sleep(1.0)
        return pool

    @staticmethod
    async def use(pool, customer, urgency):
        conn = await pool.acquire(customer, urgency)
        await asyncio.sleep(0.1)
        pool.release(conn, customer)

    def test_closes_the_connections_of_a_lost_customer_one_by_one(self):
        """Guards against idle connections that keep the new home from opening its own.

        They are not closed at once, since a suspected home is often used again.
        """

        async def play():
            handover = Handover()
            pool = await self.hold(Backend(), handover)
            handover.apply({"a": False, "b": True}, 1.0)
            counts = []
            for _ in range(5):
                pool.evict_idle()
                counts.append(pool.connection_count)
            return counts, pool.has_idle("a"), pool.has_idle("b")

        assert run(play()) == ([5, 4, 3, 3, 3], False, True)

    def test_closes_those_of_lost_customers_first(self):
        """Guards against the loss of connections that are still used."""

        async def play():
            handover = Handover()
            pool = await self.hold(Backend(), handover)
            handover.apply({"a": True, "b": False}, 1.0)
            pool.resize(3)
            pool.evict_idle()
            return pool.connection_count, pool.has_idle("a"), pool.has_idle("b")

        assert run(play()) == (3, True, False)


class Fleet:
    """Homes whose customers send statements to one server; one home fails.

    The statements sent to it before it is suspected are sent again, all at once.
    """

    FAILS_AT_S, SUSPECTED_AT_S, END_S = 4.5, 5.0, 8.0

    def __init__(self, *, is_on, seed, homes=6, per_s=150):
        self.rng = random.Random(seed)
        self.homes = {f"h{n}-{seed}": 1000 for n in range(homes)}
        self.is_on, self.per_s = is_on, per_s
        self.took = []

    def apply(self, homes, now):
        self.home_of = {c: home_for(c, homes) for c in CUSTOMERS}
        for name in homes:
            self.pools[name].resize(connections_of_home(name, homes, CONNECTIONS))
            if self.is_on:
                is_own = {c: home == name for c, home in self.home_of.items()}
                self.handovers[name].apply(is_own, now)

    async def play(self):
        self.backend = Backend()
        loop = asyncio.get_running_loop()
        self.handovers = {n: Handover() for n in self.homes}
        self.pools = {
            n: make_pool(self.backend, h, 0) for n, h in self.handovers.items()
        }
        self.apply(self.homes, -HANDOVER_S)
        lost = self.home_of[CUSTOMERS[0]]
        tasks, held, has_failed = [], [], False
        weights = [1 / (1 + n) ** 1.2 for n in range(len(CUSTOMERS))]
        while loop.time() < self.END_S:
            if not has_failed and loop.time() >= self.SUSPECTED_AT_S:
                has_failed = True
                self.backend.most_opening = 0
                left = {n: s for n, s in self.homes.items() if n != lost}
                self.pools[lost].close()
                self.apply(left, loop.time())
                tasks += [asyncio.ensure_future(self.send(c)) for c in held]
            customer = self.rng.choices(CUSTOMERS, weights)[0]
            is_silent = self.home_of[customer] == lost
            if is_silent and loop.time() >= self.FAILS_AT_S:
                held.append(customer)
            else:
                tasks.append(asyncio.ensure_future(self.send(customer)))
            await asyncio.sleep(self.rng.expovariate(self.per_s))
        await asyncio.gather(*tasks)
        return self

    async def send(self, customer):
        loop = asyncio.get_running_loop()
        started = loop.time()
        pool = self.pools[self.home_of[customer]]
        took_s = self.rng.uniform(*STATEMENT_S)
        try:
            conn = await pool.acquire(customer, Urgency(1, 0.1, 0.8))
        except NoConnectionError:
            self.took.append((started, float("inf")))
            return
        await self.backend.run(took_s)
        pool.release(conn, customer)
        self.took.append((started, loop.time() - started))


class TestNewHomes:
    @staticmethod
    def play(*, is_on):
        return [run(Fleet(is_on=is_on, seed=s).play()) for s in range(3)]

    def test_a_lost_home_causes_no_surge_of_connections(self):
        """Guards against handshakes that fill the slots after a change of homes.

        At most one connection is opened for each home at a time, beside those that the
        customers that did not move need.
        """
        for fleet in self.play(is_on=True):
            assert fleet.backend.most_opening <= len(fleet.homes)

    def test_fewer_statements_are_late(self):
        """Guards against a limit on handshakes that makes statements late."""
        on, off = (
            [s > 0.105 for f in self.play(is_on=is_on) for at, s in f.took if at >= 5]
            for is_on in (True, False)
        )
        assert sum(on) < sum(off)
