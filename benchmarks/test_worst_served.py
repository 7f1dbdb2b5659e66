"""Measures the worst-served customer while another one exceeds its share tenfold.

Virtual time, fixed seeds. Three homes share the slots of one group's servers. Every
customer offers load for its fair share of the slots; the first one offers ten times as
much and is not rate limited, so that only the queue protects the others.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from mangoramp.policy.fairness import FairQueue

HOMES = 3
SECONDS = 40.0
LOUD_FACTOR = 10.0
LOAD_FACTOR = 0.7
MIN_SHARE = 0.95
SERVICE_S = 0.01


@dataclass(frozen=True)
class Workload:
    servers: int
    slots: int
    weights: tuple[float, ...]


WORKLOADS = {
    "drawing register": Workload(3, 2, (3, 3, 1, 1, 1, 1, 1, 1)),
    "village shops": Workload(3, 3, (4, 2, 1, 1, 1, 1, 1, 1)),
}


class FifoQueue:
    """The baseline: one FIFO queue for all customers."""

    def __init__(self, **bounds):
        self._items = deque()

    def __len__(self):
        return len(self._items)

    def push(self, customer, item, *, weight, cost_s):
        if len(self._items) >= 512:
            return False
        self._items.append(item)
        return True

    def pop(self):
        return self._items.popleft() if self._items else None


@dataclass
class Result:
    offered: dict[int, int] = field(default_factory=dict)
    done: dict[int, int] = field(default_factory=dict)
    waits: dict[int, list[float]] = field(default_factory=dict)
    busy_s: float = 0.0

    def worst_share(self):
        quiet = [c for c in self.offered if c != 0]
        return min(self.done.get(c, 0) / self.offered[c] for c in quiet)

    def worst_p99(self):
        quiet = [sorted(w) for c, w in self.waits.items() if c != 0]
        return max(w[int(len(w) * 0.99)] for w in quiet)


class Servers:
    """Simulates homes in front of servers with FIFO queues in virtual time."""

    def __init__(self, workload, queue_class, *, per_server, loud_factor, homes):
        self.workload = workload
        self.queues = [
            queue_class(max_per_customer=128, max_total=512) for _ in range(HOMES)
        ]
        self.max_running = [per_server * workload.servers] * HOMES
        self.running = [0] * HOMES
        self.at_server = [deque() for _ in range(workload.servers)]
        self.free_slots = [workload.slots] * workload.servers
        self.loud_factor = loud_factor
        self.homes = homes
        self.result = Result()
        self.now = 0.0
        self._order = itertools.count()
        self._events = []
        self._rng = random.Random(7)

    def run(self):
        for customer, weight in enumerate(self.workload.weights):
            rate = self._rate(weight) * (self.loud_factor if customer == 0 else 1.0)
            rng = random.Random(customer)
            now = 0.0
            while now < SECONDS:
                now += rng.expovariate(rate)
                self._schedule(now, self._arrive, customer, rng.randrange(self.homes))
        while self._events and self._events[0][0] < SECONDS:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        return self.result

    def _rate(self, weight):
        capacity = self.workload.servers * self.workload.slots / SERVICE_S
        return LOAD_FACTOR * capacity * weight / sum(self.workload.weights)

    def _schedule(self, time, callback, *args):
        heapq.heappush(self._events, (time, next(self._order), callback, args))

    def _arrive(self, customer, home):
        if self.now < SECONDS - 2:
            self.result.offered[customer] = self.result.offered.get(customer, 0) + 1
        item = (customer, home, self.now)
        weight = self.workload.weights[customer]
        name = str(customer)
        self.queues[home].push(name, item, weight=weight, cost_s=SERVICE_S)
        self._start(home)

    def _start(self, home):
        while self.running[home] < self.max_running[home] and len(self.queues[home]):
            item = self.queues[home].pop()
            self.running[home] += 1
            load = [
                len(q) - f for q, f in zip(self.at_server, self.free_slots, strict=True)
            ]
            server = load.index(min(load))
            self.at_server[server].append(item)
            self._serve(server)

    def _serve(self, server):
        while self.free_slots[server] and self.at_server[server]:
            item = self.at_server[server].popleft()
            self.free_slots[server] -= 1
            took_s = self._rng.expovariate(1 / SERVICE_S)
            self._schedule(self.now + took_s, self._finish, server, item, took_s)

    def _finish(self, server, item, took_s):
        customer, home, arrived_at = item
        self.free_slots[server] += 1
        self.running[home] -= 1
        self.result.busy_s += took_s
        self.result.waits.setdefault(customer, []).append(self.now - arrived_at)
        if arrived_at < SECONDS - 2:
            self.result.done[customer] = self.result.done.get(customer, 0) + 1
        self._serve(server)
        self._start(home)


def measure(
    workload,
    queue_class=FairQueue,
    *,
    per_server=None,
    loud_factor=LOUD_FACTOR,
    homes=HOMES,
):
    per_server = per_server or workload.slots
    servers = Servers(
        workload,
        queue_class,
        per_server=per_server,
        loud_factor=loud_factor,
        homes=homes,
    )
    return servers.run()


@pytest.mark.parametrize("name", WORKLOADS)
def test_worst_served(benchmark, name):
    workload = WORKLOADS[name]
    fair = benchmark.pedantic(measure, args=(workload,), rounds=1)
    calm = measure(workload, loud_factor=1.0)
    fifo = measure(workload, FifoQueue)
    capacity_s = SECONDS * workload.servers * workload.slots
    print(
        f"\n{name}: the worst-served customer gets {fair.worst_share():.3f} of its due "
        f"(first come, first served: {fifo.worst_share():.3f}); "
        f"p99 {fair.worst_p99() / calm.worst_p99():.2f} of calm "
        f"({fifo.worst_p99() / calm.worst_p99():.2f}); "
        f"slots busy {fair.busy_s / capacity_s:.3f}"
    )
    assert fair.worst_share() >= MIN_SHARE
    assert fifo.worst_share() < MIN_SHARE
    assert fair.worst_p99() < fifo.worst_p99()


@pytest.mark.parametrize("name", WORKLOADS)
def test_concurrency_of_a_home(name):
    workload = WORKLOADS[name]
    capacity_s = SECONDS * workload.servers * workload.slots
    for homes in (HOMES, 1):
        for per_server in (1, workload.slots, 2 * workload.slots, 24):
            result = measure(workload, per_server=per_server, homes=homes)
            print(
                f"\n{name}, load at {homes} homes, {per_server} a server and home: "
                f"share {result.worst_share():.3f}, "
                f"p99 {result.worst_p99() * 1000:.0f} ms, "
                f"busy {result.busy_s / capacity_s:.3f}",
                end="",
            )
    for homes in (HOMES, 1):
        assert measure(workload, homes=homes).busy_s >= 0.97 * capacity_s
