"""Runs the homes of one server under a load of many customers, in virtual time."""

import asyncio
import itertools
import random
from collections import defaultdict, deque
from dataclasses import dataclass

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.control.load_reports import LoadReport, LoadReports
from mangoramp.policy import slot_shares
from mangoramp.policy.homes import connections_per_holder, home_for
from mangoramp.policy.statement_backoff import StatementBackoff
from mangoramp.serving.command import ConnectionContext, OpenRefusedError, Refusal
from mangoramp.serving.pool import NoConnectionError, ServerPool, Urgency
from mangoramp.serving.shares import SlotShares

from .virtual_time import run as run_virtual

SLOTS = 4
MAX_QUEUE = 24
MAX_CONNECTIONS = 56
CUSTOMERS = 87
ZIPF = 1.2
SERVICE_S = (0.003, 0.019)
HANDSHAKE_S = 0.012
CAPACITY = SLOTS / 0.011
NETWORK_S = 0.001  # to a server in another failure domain
FORWARD_S = 0.001  # one more message to a dispatcher and back


@dataclass(frozen=True)
class Class:
    objective_s: float
    timeout_s: float
    worth: float
    part: float


CLASSES = {
    0: Class(0.105, 0.8, 3.5, 0.4),
    1: Class(0.3, 1.0, 1.5, 0.3),
    2: Class(0.605, 1.2, 0.47, 0.3),
}


class Endpoint4:
    """A server with four slots and a queue in order of arrival."""

    def __init__(self, clock):
        self.clock = clock
        self.busy = 0
        self.queue = deque()

    async def run(self, service_s):
        """Run a statement; return whether the server took it."""
        await asyncio.sleep(NETWORK_S)
        was_run = await self.run_here(service_s)
        await asyncio.sleep(NETWORK_S)
        return was_run

    async def run_here(self, service_s):
        """Run a statement that has arrived."""
        if self.busy >= SLOTS:
            if len(self.queue) >= MAX_QUEUE:
                return False
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
        else:
            self.busy += 1
        await asyncio.sleep(service_s)
        if self.queue:
            self.queue.popleft().set_result(None)
        else:
            self.busy -= 1
        return True


class FakeConnection:
    is_open = True

    def __init__(self):
        self.context = ConnectionContext()

    def close(self):
        self.is_open = False


class FakeConnector:
    def __init__(self, server):
        self.server = server

    async def open(self, server_id, group, address, customer):
        if not await self.server.run(HANDSHAKE_S):
            raise OpenRefusedError("busy", Refusal.BUSY)
        return FakeConnection()


class Holder:
    """A home with its pool for the one server."""

    def __init__(self, name, world, limit):
        endpoint = Endpoint("s", "g", ("h", 1), "a", SLOTS, False, True)
        self.name = name
        self.clock = world.clock
        connector = FakeConnector(world.server)
        self.pool = ServerPool(Server(endpoint), connector, world.clock, limit=limit)
        self.reports = LoadReports(name, lambda n: None, world.clock, random.Random(1))
        self.reports.send = lambda homes, loads: world.exchange(self, loads)
        self.shares = SlotShares(self, self.reports, lambda: world.homes)

    def pools(self):
        return [self.pool]


class World:
    """One server and its homes under a load, in virtual time.

    Args:
        homes: The number of homes.
        way: ``shares``, ``rejections`` or ``dispatcher``.
        seed: Seed of arrivals and statement times.
        rate: The usual load as a part of the server's capacity.
        duration_s: Seconds of load, with a burst of the least urgent class, a customer
            at seven times its load and a burst of the middle class.
    """

    def __init__(self, homes, way, seed, rate=0.75, duration_s=8.0):
        self.rng = random.Random(seed)
        self.way = way
        self.rate = rate
        self.duration_s = duration_s
        self.homes = [f"h{n}" for n in range(homes)]
        self.results = defaultdict(lambda: [0, 0, 0])  # asked, answered, in time
        self.by_customer = defaultdict(lambda: [0, 0, 0])
        self.messages = 0
        self.idle_s = 0.0
        self.number = itertools.count(1)

    def run(self):
        run_virtual(self._run())
        return self

    async def _run(self):
        self.clock = asyncio.get_running_loop().time
        self.server = Endpoint4(self.clock)
        count = 1 if self.way == "dispatcher" else len(self.homes)
        limit = connections_per_holder(MAX_CONNECTIONS, count)
        self.holders = [Holder(n, self, limit) for n in self.homes[:count]]
        if self.way == "dispatcher":
            self.holders[0].pool.set_share(int(slot_shares.concurrency(SLOTS)))
        helpers = [asyncio.ensure_future(self.watch_idle())]
        if self.way == "shares":
            helpers += [asyncio.ensure_future(h.shares.run()) for h in self.holders]
        tasks = [asyncio.ensure_future(self.arrivals(c)) for c in range(CUSTOMERS)]
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.0)
        for helper in helpers:
            helper.cancel()

    def exchange(self, sender, loads):
        number = next(self.number)
        report = LoadReport(sender.name, 1, number, tuple(loads))
        for holder in self.holders:
            if holder is not sender:
                self.messages += 1
                holder.reports.apply(report)

    async def watch_idle(self):
        while True:
            waiting = sum(h.pool.waiting for h in self.holders)
            self.idle_s += 0.002 * min(waiting, SLOTS - self.server.busy)
            await asyncio.sleep(0.002)

    def rate_of(self, rank, priority, now):
        """Return a customer's statements per second in a class."""
        total = sum((n + 1) ** -ZIPF for n in range(CUSTOMERS))
        rate = self.rate * CAPACITY * (rank + 1) ** -ZIPF / total
        rate *= CLASSES[priority].part
        phase = now / self.duration_s
        if (
            priority == 2
            and 0.2 <= phase < 0.4
            or priority == 1
            and 0.7 <= phase < 0.85
        ):
            rate *= 2.6
        if rank == 3 and 0.45 <= phase < 0.65:
            rate *= 7
        return rate

    async def arrivals(self, rank):
        loop = asyncio.get_running_loop()
        tasks = []
        while loop.time() < self.duration_s:
            now = loop.time()
            rates = [self.rate_of(rank, p, now) for p in CLASSES]
            delay_s = self.rng.expovariate(sum(rates))
            await asyncio.sleep(min(0.2, delay_s))
            if delay_s < 0.2:
                (priority,) = self.rng.choices(list(CLASSES), rates)
                work = self.statement(f"c{rank}", priority)
                tasks.append(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)

    async def statement(self, customer, priority):
        clock, kind = self.clock, CLASSES[priority]
        holders = {h.name: h for h in self.holders}
        home = home_for(customer, dict.fromkeys(holders, 1))
        pool = holders[home].pool
        started, pauses = clock(), StatementBackoff()
        service_s = self.rng.uniform(*SERVICE_S)
        found = (self.results[priority], self.by_customer[customer, priority])
        for counts in found:
            counts[0] += 1
        if self.way == "dispatcher":
            self.messages += 2
            await asyncio.sleep(FORWARD_S)
        while (left := started + kind.timeout_s - clock() - 0.011) > 0:
            due_s = started + kind.objective_s - clock()
            try:
                conn = await pool.acquire(customer, Urgency(priority, due_s, left))
            except NoConnectionError as exc:
                if exc.wait_s > left:
                    return
                await asyncio.sleep(pauses.next_pause_s())
                continue
            asked_at = clock()
            was_run = await self.server.run(service_s)
            pool.record_answer(was_refused=not was_run)
            pool.server.record_answer(clock(), clock() - asked_at)
            pool.release(conn, customer)
            if was_run:
                took_s = clock() - started
                for counts in found:
                    counts[1] += took_s <= kind.timeout_s
                    counts[2] += took_s <= kind.objective_s
                return
            await asyncio.sleep(pauses.next_pause_s())

    def worth(self, priority):
        """Return the part of a class's worth; late answers count half."""
        asked, answered, in_time = self.results[priority]
        return (answered + in_time) / 2 / asked

    def worst_customer(self, priority, min_asked=30):
        """Return the least part in time that a customer of some size received."""
        return min(
            in_time / asked
            for (_, p), (asked, _, in_time) in self.by_customer.items()
            if p == priority and asked >= min_asked
        )

    @property
    def total_worth(self):
        weights = {p: CLASSES[p].worth * self.results[p][0] for p in CLASSES}
        return sum(self.worth(p) * w for p, w in weights.items()) / sum(
            weights.values()
        )
