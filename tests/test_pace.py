"""Guards against servers that are flooded or left idle after a start or recovery."""

import asyncio
import math
import time

import pytest

from mangoramp.control.deployment import Deployment, Group
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Limit
from mangoramp.control.settings import Features
from mangoramp.policy.cold_limit import Holders
from mangoramp.policy.pace import Pace, PaceChange, PaceStart
from mangoramp.policy.revision import Revision
from mangoramp.serving.command import OpenRefusedError
from mangoramp.serving.pool import NoConnectionError, Urgency
from mangoramp.serving.servers import Servers

from .fake_connection import Connection
from .pace_world import CASES, Additive, Unlimited, World

URGENCY = Urgency(priority=1, due_s=0.5, timeout_s=2.0)
NO_FEATURES = Features()
HOMES = ("h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8")


class Connector:
    def __init__(self):
        self.refusals = []

    async def open(self, server_id, group, address, customer):
        await asyncio.sleep(0.001)
        if self.refusals:
            raise self.refusals.pop()
        return Connection()


def build(features=NO_FEATURES, *, limit=6, slots=4, group=None, cold_s=0.0):
    """Build the servers of one of eight homes, and a pool of one server."""
    servers = Servers(Connector(), time.monotonic, name="h1", features=features)
    servers.connection_limit = lambda name: limit
    servers.holders = lambda: Holders(HOMES, len(HOMES))
    group = group or Group("g", 56)
    servers.resize(Deployment(1, groups={"g": group}), len(HOMES))
    add_server(servers, slots=slots, cold_s=cold_s)
    return servers, servers.pool(servers.group("g").servers["s"])


def add_server(servers, *, slots=4, started_ms=1, cold_s=0.0, is_primary=True):
    endpoint = Endpoint(
        "s", "g", ("h", 1), "a", slots, False, is_primary, started_ms, 1, cold_s
    )
    now = time.monotonic()
    servers.group("g").update_endpoint(endpoint, Revision(0, started_ms), now)


class Crowd:
    """Sends many statements through a pool and records how many are in flight."""

    def __init__(self, pool, service_s=0.004):
        self.pool, self.service_s = pool, service_s
        self.in_flight = self.most = self.answers = self.full_after = 0

    async def run(self, count):
        await asyncio.gather(*(self.send(f"c{n % 3}") for n in range(count)))
        return self

    async def send(self, customer):
        conn = await self.pool.acquire(customer, URGENCY)
        sent_at = time.monotonic()
        self.in_flight += 1
        self.most = max(self.most, self.in_flight)
        if not self.full_after and self.in_flight == self.pool.limit:
            self.full_after = self.answers
        await asyncio.sleep(self.service_s)
        self.in_flight -= 1
        self.answers += 1
        self.pool.record_answer(was_refused=False, sent_at=sent_at)
        self.pool.release(conn, customer)


class TestPace:
    def test_a_fast_server_gets_its_full_share_after_a_few_answers(self):
        pace, now, answers = Pace(PaceStart(0.5, 6, 0.01)), 0.0, 0
        while not pace.is_over:
            now += max(0.0, pace.wait_s(0, now))
            in_flight = max(1, int(pace.limit))
            for _ in range(in_flight):
                pace.record_answer(0.01, in_flight, now, now + 0.01)
                answers += 1
            now += 0.01
        assert answers <= 8
        assert now < 0.1

    def test_below_one_the_mean_in_flight_is_the_share(self):
        pace, now, busy_s = Pace(PaceStart(0.25, 6, 0.01)), 0.0, 0.0
        for _ in range(20):
            assert not pace.may_send(1, now)
            now += max(0.0, pace.wait_s(0, now))
            busy_s += 0.1
            pace.record_answer(0.05, 1, now, now + 0.05)
            pace.limit = 0.25
            now += 0.05
        assert busy_s / 2 / now == pytest.approx(0.25, rel=0.1)

    def test_one_overload_reduces_the_limit_once(self):
        pace = Pace(PaceStart(0.5, 8, 0.01))
        pace.limit = 6.0
        changes = [pace.record_failure(1.0, 1.02) for _ in range(6)]
        assert changes.count(PaceChange.REDUCED) == 1
        assert pace.limit == 3.0

    def test_slow_answers_reduce_the_limit(self):
        pace = Pace(PaceStart(0.5, 8, 0.01))
        pace.limit = 6.0
        assert pace.record_answer(0.08, 6, 1.0, 1.08) is PaceChange.REDUCED

    def test_a_server_that_stays_slow_is_not_held_back_for_ever(self):
        pace, now = Pace(PaceStart(0.5, 6, 0.01)), 0.0
        while not pace.is_over and now < 5.0:
            now += max(0.0, pace.wait_s(0, now))
            pace.record_answer(0.08, max(1, int(pace.limit)), now, now + 0.08)
            now += 0.08
        assert pace.is_over

    def test_waits_for_an_answer_when_the_limit_is_reached(self):
        pace = Pace(PaceStart(2, 6, 0.01))
        assert math.isinf(pace.wait_s(2, 0.0))


class TestAlgorithms:
    """Compares algorithms in virtual time; docs/design/pace.md has the figures."""

    @pytest.mark.parametrize("case", ["slow at first", "two at once"])
    def test_slow_servers_are_not_flooded(self, case):
        flooded = World(Unlimited, CASES[case], seed=1)
        paced = World(Pace, CASES[case], seed=1)
        assert paced.busy < 0.3 * flooded.busy

    @pytest.mark.parametrize("case", ["fast at once", "slow at first", "two at once"])
    def test_servers_are_not_left_idle(self, case):
        paced = World(Pace, CASES[case], seed=1)
        additive = World(Additive, CASES[case], seed=1)
        assert paced.full_s < additive.full_s
        assert paced.idle_rejected <= 0.02 * paced.served


class TestPool:
    PACED = Features(server_health=True)

    async def test_a_started_server_gets_a_statement_at_a_time_at_first(self):
        _, pool = build(self.PACED)
        assert (await Crowd(pool).run(2)).most == 1
        assert pool.server.capacity_state.limit in (Limit.PACE, Limit.NONE)

    async def test_a_fast_server_gets_the_full_share_after_a_few_answers(self):
        _, pool = build(self.PACED)
        crowd = await Crowd(pool).run(60)
        assert crowd.most == 6
        assert 0 < crowd.full_after <= 16
        assert pool.capacity.pace is None

    async def test_without_the_feature_nothing_is_limited(self):
        _, pool = build()
        assert (await Crowd(pool).run(12)).most == 6

    @pytest.mark.parametrize("event", ["recovered", "promoted", "restarted", "holder"])
    async def test_the_limit_starts_anew(self, event):
        servers, pool = build(self.PACED)
        pool.capacity.end_pace("test")
        server, now = pool.server, time.monotonic()
        if event == "recovered":
            for _ in range(2):
                server.record_failure(now, "reset")
            server.record_answer(now)
        elif event == "promoted":
            server.primary_since = Revision(0, 0)
            servers.group("g").record_promotion("s", Revision(0, 5))
        elif event == "restarted":
            add_server(servers, started_ms=2)
            pool = servers.pool(servers.group("g").servers["s"])
        else:
            pool.resize(0)
            pool.resize(6)
        assert (await Crowd(pool).run(2)).most == 1

    async def test_busy_answers_reduce_the_limit(self):
        _, pool = build(self.PACED)
        pool.capacity.pace.limit = 4.0
        for customer in ("a", "b", "c", "d"):
            await pool.acquire(customer, URGENCY)
        pool.record_answer(was_refused=True, sent_at=time.monotonic())
        assert pool.capacity.pace.limit == 2.0

    async def test_waiters_go_on_when_a_connection_attempt_fails(self):
        """Guards against waiters that nobody wakes while the limit is reached."""
        servers, pool = build(self.PACED)
        servers.connector.refusals.append(OpenRefusedError("no answer"))
        crowd = Crowd(pool)
        done = await asyncio.wait_for(
            asyncio.gather(
                *(crowd.send("c") for _ in range(6)), return_exceptions=True
            ),
            1.0,
        )
        assert [type(r) for r in done if r] == [NoConnectionError]
        assert crowd.answers == 5
