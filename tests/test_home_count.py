"""Comparison of numbers of homes at one server, in virtual time."""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from mangoramp.policy.homes import (
    connections_of_home,
    connections_per_holder,
    home_for,
)

CUSTOMERS = 87
CONNECTIONS, SLOTS = 56, 4
HANDSHAKE_S = 0.012
STATEMENT_S = (0.003, 0.019)
OBJECTIVE_S = 0.105


@dataclass
class Pool:
    """A home's connections to the server; idle ones by customer, oldest first."""

    limit: int
    count: int = 0
    idle: OrderedDict = field(default_factory=OrderedDict)
    waiting: deque = field(default_factory=deque)


@dataclass
class Result:
    statements: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    waits: list = field(default_factory=list)
    handshakes: int = 0
    busy_s: float = 0.0

    @property
    def handshake_part(self):
        """The part of the server's busy time that went into handshakes."""
        return self.handshakes * HANDSHAKE_S / self.busy_s

    @property
    def worst_share(self):
        """The share in time of the worst served customer of those with 50 or more."""
        return min(self.in_time[c] / n for c, n in self.statements.items() if n >= 50)

    def wait(self, quantile):
        return sorted(self.waits)[int(quantile * len(self.waits))]


class Loop:
    """Plays the statements of skewed customers at one server through their homes."""

    def __init__(self, homes, *, per_s, seconds=60.0, seed=1, exponent=1.2):
        self.rng = random.Random(seed)
        self.result = Result()
        self.home_of = {f"c{n}": home_for(f"c{n}", homes) for n in range(CUSTOMERS)}
        self.pools = {
            h: Pool(connections_of_home(h, homes, CONNECTIONS)) for h in homes
        }
        self.numbers = itertools.count()
        self.events, self.queue, self.running = [], deque(), 0
        weights = [1 / (1 + n) ** exponent for n in range(CUSTOMERS)]
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(per_s)
            customer = self.rng.choices(list(self.home_of), weights)[0]
            self.at(now, self.arrive, customer, now)

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.numbers), action, args))

    def play(self):
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self.result

    def arrive(self, customer, since):
        pool = self.pools[self.home_of[customer]]
        pool.waiting.append((customer, since))
        self.serve(pool)

    def serve(self, pool):
        """Start what can start; a waiter with an idle connection goes first."""
        while pool.waiting:
            ready = (w for w in pool.waiting if pool.idle.get(w[0]))
            waiter = next(ready, None)
            if waiter is None:
                if pool.count >= pool.limit and not any(pool.idle.values()):
                    return
                waiter = pool.waiting[0]
                if pool.count >= pool.limit:
                    oldest = next(c for c, n in pool.idle.items() if n)
                    pool.idle[oldest] -= 1
                else:
                    pool.count += 1
                self.result.handshakes += 1
                self.run(HANDSHAKE_S, self.execute, pool, *waiter)
            else:
                pool.idle[waiter[0]] -= 1
                self.execute(pool, *waiter)
            pool.waiting.remove(waiter)

    def execute(self, pool, customer, since):
        took_s = self.rng.uniform(*STATEMENT_S)
        self.run(took_s, self.finish, pool, customer, since, took_s)

    def finish(self, pool, customer, since, took_s):
        result = self.result
        result.statements[customer] += 1
        result.in_time[customer] += self.now - since <= OBJECTIVE_S
        result.waits.append(self.now - since - took_s)
        pool.idle[customer] = pool.idle.get(customer, 0) + 1
        pool.idle.move_to_end(customer)
        self.serve(pool)

    def run(self, took_s, *action):
        """Occupy a slot of the server, then do what follows."""
        self.queue.append((took_s, action))
        self.start()

    def start(self):
        while self.queue and self.running < SLOTS:
            took_s, action = self.queue.popleft()
            self.running += 1
            self.result.busy_s += took_s
            self.at(self.now + took_s, self.end, action)

    def end(self, action):
        self.running -= 1
        action[0](*action[1:])
        self.start()


class TestPartsByStrength:
    def test_connections_by_strength_save_handshakes(self):
        """Guards against strong homes that have no more connections than weak ones.

        Three strong and three weak homes at 0.6 of the capacity; with equal parts the
        strong ones, which have most customers, open a connection for more statements.
        """
        homes = {"s0": 1075, "s1": 1075, "s2": 1075, "w0": 180, "w1": 180, "w2": 180}
        per_s = 0.6 * SLOTS / (sum(STATEMENT_S) / 2)
        handshakes, late = Counter(), Counter()
        for seed, is_equal in itertools.product(range(3), (False, True)):
            loop = Loop(homes, per_s=per_s, seconds=20.0, seed=seed)
            for pool in loop.pools.values():
                if is_equal:
                    pool.limit = connections_per_holder(CONNECTIONS, len(homes))
            result = loop.play()
            handshakes[is_equal] += result.handshakes
            late[is_equal] += len(result.waits) - result.in_time.total()
        assert handshakes[False] < handshakes[True]
        assert late[False] < late[True]
