"""What callers get while a part of the instances cannot reach a primary."""

import asyncio
import contextlib
import random

import pytest
from returns.result import Success

from mangoramp.control.deployment import Customer, Deployment, Group, ReadRule, Route
from mangoramp.control.endpoint import Endpoint
from mangoramp.errors import FaultError
from mangoramp.policy.detours import DETOUR_S, Detours, choose_detour
from mangoramp.policy.homes import Candidate
from mangoramp.policy.revision import Revision
from mangoramp.serving.command import OpenRefusedError
from mangoramp.serving.executor import Executor
from mangoramp.serving.homes import Homes
from mangoramp.serving.operation import Operation, Ticket
from mangoramp.serving.reading import Reader
from mangoramp.serving.servers import Servers
from mangoramp.sessions.session import Session
from mangoramp.sessions.statement import Read

from .health_world import CONNECT_TIMEOUT_S, GROUP, Connection, Faults
from .health_world import Server as PlayedServer
from .virtual_time import run

NAMES = tuple("abcd")  # a and b are homes, c and d forward to them
CUT_S = (2.0, 7.0)
OBJECTIVE_S = 0.15
TIMEOUT_S = 0.8
CUSTOMERS = tuple(f"c{n}" for n in range(20))
ROUTE = Route("d", GROUP, ReadRule.PRIMARY, 0.0, TIMEOUT_S, OBJECTIVE_S, 1)


class Connector:
    """Connects one instance to the primary, which may be cut off from it."""

    def __init__(self, name, world):
        self.name = name
        self.world = world

    async def open(self, server_id, group, address, customer):
        if self.world.is_cut(self.name):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise OpenRefusedError("timeout")
        await asyncio.sleep(0.012)
        conn = Connection(self.world.primary)
        self.world.open.append((self.name, conn))
        return conn


class World:
    """Two homes and two other instances; home a loses the primary for five seconds."""

    def __init__(self, *, has_detours=True):
        self.has_detours = has_detours
        self.outcomes = []
        self.charged = []
        self.open = []
        self.answered_at = dict.fromkeys(NAMES, 0.0)

    def is_cut(self, name):
        return name == "a" and CUT_S[0] <= self.clock() < CUT_S[1]

    def charge(self, customer, request_id):
        self.charged.append(request_id)
        return 0.0

    def build(self, name):
        servers = Servers(Connector(name, self), self.clock, name=name)
        customers = {c: Customer(c, 50.0, 50.0) for c in CUSTOMERS}
        deployment = Deployment(1, {}, {GROUP: Group(GROUP, 16)}, customers, {}, 3.0)
        homes = Homes(
            name,
            servers,
            instances=lambda: {n: Candidate(100 if n in "ab" else 1) for n in NAMES},
            admit=self.charge,
            links=self,
            heard_at=lambda peer: self.clock(),
            primary_heard_s=lambda group, server_id: {
                n: self.clock() - at
                for n, at in self.answered_at.items()
                if self.has_detours and n != name
            },
        )
        servers.connection_limit = homes.connection_limit
        endpoint = Endpoint("p", GROUP, ("h", 1), "x", 4, False, True)
        servers.group(GROUP).update_endpoint(endpoint, Revision(0, 1))
        servers.resize(deployment, len(NAMES))
        executor = Executor(servers, homes=homes, admit=self.charge)
        return homes, Reader(executor, "x")

    async def call(self, home, message, *, timeout_s):
        await asyncio.sleep(0.001)
        return Success(await self.homes[home].batches.answer(message))

    def connection_id(self, home):
        return 1

    def reset(self, name):
        raise AssertionError(f"the link to {name} works")

    async def play(self):
        loop = asyncio.get_running_loop()
        self.clock = loop.time
        self.primary = PlayedServer("p", Faults(), random.Random(1), loop.time)
        built = {name: self.build(name) for name in NAMES}
        self.homes = {name: homes for name, (homes, _) in built.items()}
        reads = []
        while loop.time() < 9.0:
            name = NAMES[len(reads) % len(NAMES)]
            customer = CUSTOMERS[len(reads) % len(CUSTOMERS)]
            reader = built[name][1]
            reads.append(asyncio.ensure_future(self.read(reader, customer, len(reads))))
            await asyncio.sleep(0.011)
            for home, conn in self.open:
                if self.is_cut(home) and conn.is_open:
                    conn.close()
            for home in "ab":
                if not self.is_cut(home):
                    self.answered_at[home] = loop.time()
        await asyncio.gather(*reads)

    async def read(self, reader, customer, number):
        started = self.clock()
        request_id = f"r{number}"
        op = Operation(
            request_id, customer, ROUTE, started, started, Session("d", ""),
            Ticket(request_id),
        )  # fmt: skip
        answer = None
        with contextlib.suppress(FaultError):
            answer = await reader.run(op, Read("READ a"))
        is_served = answer is not None and bool(answer.signature)
        self.outcomes.append((started, is_served, self.clock() - started))


class TestHomeThatLosesThePrimary:
    """Guards against refusals of customers that another home can serve."""

    def in_time(self, world):
        run(world.play())
        found = [o for o in world.outcomes if CUT_S[0] + 1.0 < o[0] < CUT_S[1]]
        return sum(ok and s <= OBJECTIVE_S for _, ok, s in found) / len(found)

    def test_its_customers_are_served_by_the_other_home(self):
        assert self.in_time(World()) >= 0.99

    def test_they_are_not_without_detours(self):
        assert self.in_time(World(has_detours=False)) < 0.7

    def test_each_operation_is_charged_once(self):
        """Guards against limits that two homes charge without knowing of each other."""
        world = World()
        run(world.play())
        assert len(world.charged) == len(set(world.charged))
        assert len(world.charged) == len(world.outcomes)


class TestChoice:
    def test_only_a_home_that_has_reached_the_primary_lately(self):
        assert choose_detour("c", ["a", "b"], {"a": 2.0, "b": 0.2}, 5.0) == "b"
        assert choose_detour("c", ["a", "b"], {"a": 2.0}, 5.0) is None
        assert choose_detour("c", ["a"], {"b": 0.1}, 5.0) is None

    def test_an_answer_from_before_the_silence_proves_nothing(self):
        """Guards against callers of a primary that has failed who are not refused."""
        assert choose_detour("c", ["b"], {"b": 0.5}, 0.5) is None
        assert choose_detour("c", ["b"], {"b": 0.1}, 0.5) == "b"

    @pytest.mark.parametrize(("after_s", "home"), [(0.5, "b"), (1.5, None)])
    def test_a_detour_ends(self, after_s, home):
        assert 0.5 < DETOUR_S < 1.5
        detours = Detours()
        detours.record("c", "s", "b", 10.0)
        assert detours.find("c", "s", 10.0 + after_s) == home
        assert detours.find("d", "s", 10.0) is None
