"""Runs the real path of reads against played servers, in virtual time."""

import asyncio
import collections
import contextlib
import random
from dataclasses import dataclass

from prometheus_client import CollectorRegistry

from mangoramp.control.deployment import ReadRule, Route
from mangoramp.control.endpoint import Endpoint
from mangoramp.errors import FaultError
from mangoramp.policy.position import Position
from mangoramp.policy.revision import Revision
from mangoramp.serving import reading
from mangoramp.serving.command import (
    Answer,
    AnswerTimeoutError,
    ConnectionContext,
    ConnectionLostError,
    OpenRefusedError,
    Refusal,
    RunFor,
)
from mangoramp.serving.executor import Executor
from mangoramp.serving.operation import Operation, Ticket
from mangoramp.serving.reading import Reader
from mangoramp.serving.server_health import ServerHealth
from mangoramp.serving.servers import Servers
from mangoramp.sessions.reply import SessionState
from mangoramp.sessions.session import Session
from mangoramp.sessions.statement import Read

GROUP = "g"
SLOTS = 4
STATEMENT_S = (0.003, 0.019)
OPEN_S = 0.012
CONNECT_TIMEOUT_S = 0.5
OBJECTIVE_S = 0.105
TIMEOUT_S = 0.8
WARM_UP_S = 3.0  # connections are opened and latencies known
LEVELS = (1.0, 0.5, 0.25, 0.125, 1 / 32)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while all tasks wait."""

    def __init__(self):
        super().__init__()
        self._now = 100.0
        select = self._selector.select

        def pass_time(timeout):
            if timeout:
                self._now += timeout
            return select(0)

        self._selector.select = pass_time

    def time(self):
        return self._now


@dataclass
class Faults:
    """What is wrong with a server, between two times."""

    fail_share: float = 0.0
    slow_factor: float = 1.0
    drop_share: float = 0.0
    flap_period_s: float = 0.0
    is_cut: bool = False
    receives_nothing: bool = False
    start_s: float = 0.0
    end_s: float = float("inf")


class Server:
    """A server that runs statements in its slots, with faults."""

    def __init__(self, server_id, faults, rng, clock):
        self.id = server_id
        self.faults = faults
        self.rng = rng
        self.clock = clock
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs = collections.Counter()
        self.run_times = []
        self.connections = set()

    @property
    def is_faulty(self):
        return self.faults.start_s <= self.clock() - 100.0 < self.faults.end_s

    @property
    def is_down(self):
        period_s = self.faults.flap_period_s
        flaps = period_s and self.clock() % period_s < period_s / 2
        return bool(self.is_faulty and (flaps or self.faults.is_cut))

    @property
    def position(self):
        """What it has of a log that grows by 1,000 entries per second."""
        shown_at = self.clock()
        if self.is_faulty and self.faults.receives_nothing:
            shown_at = 100.0 + self.faults.start_s
        return Position(1, int(1000 * shown_at))

    def is_hit(self, share):
        return self.is_faulty and self.rng.random() < share

    async def run(self, request_id):
        """Run a read; return whether it succeeded."""
        async with self.slots:
            self.runs[request_id] += 1
            self.run_times.append(self.clock() - 100.0)
            factor = self.faults.slow_factor if self.is_faulty else 1.0
            await asyncio.sleep(factor * self.rng.uniform(*STATEMENT_S))
        if self.is_hit(self.faults.drop_share):
            await asyncio.sleep(60.0)
        return not self.is_hit(self.faults.fail_share)


class Connection:
    def __init__(self, server):
        self.context = ConnectionContext()
        self.server = server
        self.is_open = True
        self.is_running = False

    async def run(self, batch, *, timeout_s):
        assert not self.is_running, "an answer of this connection is outstanding"
        self.is_running = True
        try:
            async with asyncio.timeout(timeout_s):
                work = asyncio.ensure_future(self._answer_all(batch))
                try:
                    return await work
                finally:
                    work.cancel()
        except TimeoutError:
            self.close()
            raise AnswerTimeoutError("late") from None
        except ConnectionLostError:
            self.close()
            raise
        finally:
            self.is_running = False

    async def _answer_all(self, batch):
        return tuple([await self._answer(command) for command in batch])

    async def _answer(self, command):
        position = self.server.position
        after = getattr(command, "after", None)
        if after is not None and after > position:
            return Answer(SessionState.IDLE, position, refusal=Refusal.BEHIND)
        if not isinstance(command, RunFor):
            return Answer(SessionState.IDLE, position)
        is_good = await self.server.run(command.request_id)
        position = self.server.position
        if self.server.is_down:
            raise ConnectionLostError("reset")
        if is_good:
            return Answer(SessionState.IDLE, position, ("1",), "sig")
        return Answer(SessionState.IDLE, position, refusal=Refusal.FAILED, detail="x")

    def close(self):
        self.is_open = False


class Connector:
    def __init__(self, servers):
        self.servers = servers

    async def open(self, server_id, group, address, customer):
        server = self.servers[server_id]
        if server.is_down:
            raise OpenRefusedError("refused")
        async with server.slots:
            await asyncio.sleep(OPEN_S)
        return Connection(server)


@dataclass
class Result:
    """What the callers got.

    Attributes:
        served: The share of reads that were answered.
        latencies: Seconds to each answer, in order.
        runs: Statements run by each server.
        reads: Reads that were sent.
        weights: The lowest weight that each server had.
        last_weights: The weights at the end.
    """

    served: float
    latencies: list
    runs: dict
    reads: int
    weights: dict
    last_weights: dict

    def quantile(self, share):
        return self.latencies[int(share * (len(self.latencies) - 1))]

    @property
    def extra(self):
        """Statements run beyond one per read, as a share."""
        return sum(self.runs.values()) / self.reads - 1


class HealthWorld:
    """A group of a primary and replicas, and an instance that reads from it.

    Args:
        faults: What is wrong with which server.
        parts: Which parts are on: ``ejection``, ``hedging``, ``retries``.
        replicas: The number of replicas; ``s0`` is the primary.
        reads_per_s: Reads per second of all customers.
        seed: Seed of arrivals, latencies and faults.
        rule: The read rule of the route.
        may_hedge: Whether the customers' limits allow hedged reads.
        instances: The number of instances, which know nothing of each other.
    """

    def __init__(
        self,
        faults=None,
        parts=("ejection", "hedging", "retries"),
        *,
        replicas=3,
        reads_per_s=200.0,
        seconds=20.0,
        customers=12,
        seed=1,
        rule=ReadRule.BOUNDED_AGE,
        may_hedge=lambda customer: True,
        instances=1,
    ):
        self.faults = faults or {}
        self.parts = parts
        self.names = [f"s{i}" for i in range(replicas + 1)]
        self.reads_per_s = reads_per_s
        self.seconds = seconds
        self.customers = customers
        self.rng = random.Random(seed)
        self.route = Route("d", GROUP, rule, 1.5, TIMEOUT_S, OBJECTIVE_S, 1)
        self.may_hedge = may_hedge
        self.outcomes = []
        self.instances = instances

    def run(self):
        loop = VirtualLoop()
        try:
            return loop.run_until_complete(self._run(loop.time))
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()

    def _build(self, clock):
        self.clock = clock
        self.played = {
            name: Server(name, self.faults.get(name, Faults()), self.rng, clock)
            for name in self.names
        }
        self.fleet = [self._build_instance(clock) for _ in range(self.instances)]
        self.servers, self.health, self.reader = self.fleet[0]

    def _build_instance(self, clock):
        servers = Servers(Connector(self.played), clock)
        servers.compares_answers = "ejection" in self.parts
        servers.connection_limit = lambda group: 12
        for number, name in enumerate(self.names):
            endpoint = Endpoint(name, GROUP, ("h", 1), "a", SLOTS, False, number == 0)
            servers.group(GROUP).update_endpoint(endpoint, Revision(0, 1))
        health = None
        if self.parts:
            health = ServerHealth(clock, self.may_hedge, CollectorRegistry())
            if "hedging" not in self.parts:
                health.try_acquire_hedge = lambda group: False
            if "retries" not in self.parts:
                health.try_acquire_retry = lambda group: False
        return servers, health, Reader(Executor(servers), "a", health)

    async def _run(self, clock):
        self._build(clock)
        groups = [servers.group(GROUP) for servers, _, _ in self.fleet]
        samples = asyncio.ensure_future(self._sample(groups))
        reads = []
        started = clock()
        lowest = dict.fromkeys(self.names, 1.0)
        while clock() - started < self.seconds:
            await asyncio.sleep(self.rng.expovariate(self.reads_per_s))
            reads.append(asyncio.ensure_future(self._read(len(reads), started)))
            for name in self.names:
                lowest[name] = min(lowest[name], self.weight(name))
        await asyncio.gather(*reads)
        await asyncio.sleep(1.0)
        samples.cancel()
        return self._result(len(reads), lowest)

    def weight(self, name):
        outliers = self.servers.group(GROUP).outliers
        return outliers.weight(name) if outliers is not None else 1.0

    async def _sample(self, groups):
        """Tell the instances what the primary has, as the homes' answers do."""
        primary = self.played["s0"]
        while True:
            now = self.clock()
            for group in groups if not primary.is_down else ():
                group.record_position(now, primary.position)
            await asyncio.sleep(0.2)

    async def _read(self, number, started):
        now = self.clock()
        request_id = f"r{number}"
        customer = f"c{self.rng.randrange(self.customers)}"
        op = Operation(
            request_id, customer, self.route, now, now, Session("d", ""),
            Ticket(request_id),
        )  # fmt: skip
        is_served = False
        with contextlib.suppress(FaultError):
            reader = (
                self.rng.choice(self.fleet)[2] if self.instances > 1 else self.reader
            )
            answer = await reader.run(op, Read("READ a"))
            is_served = bool(answer.signature)
        self.outcomes.append((now - started, is_served, self.clock() - now))

    def _result(self, reads, lowest):
        counted = [o for o in self.outcomes if o[0] >= WARM_UP_S]
        return Result(
            served=sum(o[1] for o in counted) / len(counted),
            latencies=sorted(o[2] for o in counted if o[1]),
            runs={n: sum(s.runs.values()) for n, s in self.played.items()},
            reads=reads,
            weights=lowest,
            last_weights={n: self.weight(n) for n in self.names},
        )


def quiet_events(monkeypatch):
    """Drop the lines of each read; thousands of them slow the run down."""
    monkeypatch.setattr(reading, "emit", lambda event, **fields: None)
