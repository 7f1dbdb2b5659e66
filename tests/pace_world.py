"""Homes that send to recovering servers, in virtual time, to compare algorithms."""

import heapq
import itertools
import math
import random
from dataclasses import dataclass

from mangoramp.policy.pace import Pace, PaceChange, PaceStart

SLOTS, QUEUE, HOMES, CONNECTIONS = 4, 24, 8, 6
SERVICE_S = (0.003, 0.019)
MEAN_S = sum(SERVICE_S) / 2
OBJECTIVE_S, TIMEOUT_S, PROBE_S = 0.105, 0.8, 0.25
SHARE = SLOTS / HOMES


class Unlimited(Pace):
    """Sends as much as the connections allow."""

    def __init__(self, start):
        super().__init__(PaceStart(start.full_share, start.full_share))

    def record_answer(self, *args):
        return PaceChange.NONE

    record_failure = record_answer


class Additive(Pace):
    """Adds one statement per round trip."""

    def _grown(self):
        return self.limit + (SHARE if self.limit < 1 else 1 / self.limit)


class Gradient(Pace):
    """Moves the limit by the ratio of usual to present latency, plus a short queue."""

    def record_answer(self, latency_s, in_flight, sent_at, now):
        self._pause(latency_s, now)
        self._is_slow(latency_s)
        gradient = max(0.5, min(1.0, SLOW / 2 * self._usual_s / self._latency_s))
        aim = gradient * self.limit + math.sqrt(self.limit)
        if 2 * in_flight >= self.limit or aim < self.limit:
            self.limit += 0.2 * (aim - self.limit)
        self.limit = max(self._floor, min(self.full_share, self.limit))
        return PaceChange.NONE


SLOW = 3.0  # latencies up to 1.5 times the usual one do not reduce the gradient


@dataclass
class Case:
    """What the servers do. Functions of seconds since the start."""

    servers: int = 1
    slowness: object = lambda t: 1.0
    failing: object = lambda t: 0.0
    is_up: object = lambda t: True
    load: float = 0.7  # of the capacity at full speed


CASES = {
    "fast at once": Case(),
    "fast, full load": Case(load=0.95),
    "slow at first": Case(slowness=lambda t: max(1.0, 8 - 7 * t / 3)),
    "says healthy, fails": Case(failing=lambda t: 0.4 if t < 3 else 0.0),
    "flaps": Case(is_up=lambda t: t % 1.4 < 0.7, load=0.3),
    "two at once": Case(servers=2, slowness=lambda t: max(1.0, 4 - 3 * t)),
}


class World:
    def __init__(self, algorithm, case, seed, duration_s=8.0):
        self.case, self.algorithm = case, algorithm
        self.rng = random.Random(seed)
        self.order, self.events = itertools.count(), []
        self.running = [0] * case.servers
        self.queues = [[] for _ in range(case.servers)]
        keys = list(itertools.product(range(HOMES), range(case.servers)))
        start = PaceStart(SHARE, CONNECTIONS, MEAN_S)
        self.paces = {key: algorithm(start) for key in keys}
        self.in_flight = dict.fromkeys(keys, 0)
        self.waiting = {key: [] for key in keys}
        self.failing = dict.fromkeys(keys, 0)
        self.retry_at = dict.fromkeys(keys, 0.0)
        self.full_at = {}
        self.late = self.idle_rejected = self.rejected = self.busy = self.served = 0
        rate = case.load * case.servers * SLOTS / MEAN_S / HOMES
        for home in range(HOMES):
            t = 0.0
            while (t := t + self.rng.expovariate(rate)) < duration_s:
                self.at(t, self.arrive, home)
        while self.events:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)

    def at(self, when, callback, *args):
        heapq.heappush(self.events, (when, next(self.order), callback, args))

    def arrive(self, home):
        servers = range(self.case.servers)
        server = min(servers, key=lambda s: len(self.waiting[home, s]))
        self.waiting[home, server].append(self.now)
        self.at(self.now + TIMEOUT_S, self.expire, (home, server), self.now)
        self.send((home, server))

    def expire(self, key, arrived):
        if arrived in self.waiting[key]:
            self.waiting[key].remove(arrived)
            self.rejected += 1
            is_free = self.running[key[1]] < SLOTS and self.case.is_up(self.now)
            self.idle_rejected += is_free

    def send(self, key):
        pace = self.paces[key]
        while self.waiting[key]:
            if self.now < self.retry_at[key]:
                return
            most = 1 if self.failing[key] > 1 else CONNECTIONS
            count = self.in_flight[key]
            if count >= most or not pace.may_send(count, self.now):
                if not count:
                    wait_s = pace.wait_s(count, self.now)
                    self.at(self.now + max(1e-4, wait_s), self.send, key)
                return
            self.in_flight[key] += 1
            arrived = self.waiting[key].pop(0)
            self.at(self.now + 0.0005, self.reach, key, arrived, self.now)

    def reach(self, key, arrived, sent_at):
        queue, case = self.queues[key[1]], self.case
        is_failing = self.rng.random() < case.failing(self.now)
        if not case.is_up(self.now) or is_failing or len(queue) >= QUEUE:
            self.busy += case.is_up(self.now) and not is_failing
            self.at(self.now + 0.0005, self.fail, key, arrived, sent_at)
            return
        queue.append((key, arrived, sent_at))
        self.start(key[1])

    def start(self, server):
        while self.queues[server] and self.running[server] < SLOTS:
            self.running[server] += 1
            service_s = self.rng.uniform(*SERVICE_S) * self.case.slowness(self.now)
            self.at(self.now + service_s, self.end, *self.queues[server].pop(0))

    def end(self, key, arrived, sent_at):
        self.running[key[1]] -= 1
        self.start(key[1])
        self.served += 1
        self.late += self.now - arrived > OBJECTIVE_S
        count, pace = self.in_flight[key], self.paces[key]
        pace.record_answer(self.now - sent_at, count, sent_at, self.now)
        if self.failing[key] > 1:
            start = PaceStart(SHARE, CONNECTIONS, MEAN_S)
            pace = self.paces[key] = self.algorithm(start)
        self.failing[key] = 0
        if pace.is_over and key not in self.full_at:
            self.full_at[key] = self.now
        self.in_flight[key] -= 1
        self.send(key)

    def fail(self, key, arrived, sent_at):
        self.paces[key].record_failure(sent_at, self.now)
        self.failing[key] += 1
        if self.failing[key] > 1:
            self.retry_at[key] = self.now + PROBE_S
            self.at(self.retry_at[key], self.send, key)
        self.in_flight[key] -= 1
        self.waiting[key].append(arrived)
        self.send(key)

    @property
    def full_s(self):
        """Seconds until half of the homes have their full share."""
        times = sorted(self.full_at.values())
        half = len(self.paces) // 2
        return times[half] if len(times) > half else math.inf
