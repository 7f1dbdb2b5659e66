"""Guards against cold servers that get more requests than they can take."""

import asyncio
import random
import time

import pytest

from mangoramp.control.deployment import Group
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Limit, Server, SlowStart
from mangoramp.control.settings import Bounds
from mangoramp.policy.cold_limit import (
    WINDOW_S,
    ColdLimit,
    Holders,
    cold_limit,
    cold_part,
)
from mangoramp.serving.command import NotSentError, OpenTransaction, RollBack, RunFor
from mangoramp.serving.lease import LocalLease
from mangoramp.serving.pool import NoConnectionError, Urgency
from mangoramp.serving.workload import Workload, workload_of
from mangoramp.sessions.statement import Read

from .test_pace import HOMES, URGENCY, add_server, build

COLD = Group("g", 56, cold_start_s=3.0, cold_rate=20.0)
READ = RunFor("r1", Read("READ a"))


def most_in_a_second(times):
    """Return the greatest number of times in any sliding second."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class Fleet:
    """Homes that send as much as they may while homes change, split and restart."""

    NAMES = tuple(f"i{n}" for n in range(12))

    def __init__(
        self, seed, *, most=8, limit=35.0, limit_type=ColdLimit, is_split=False
    ):
        self.rng = random.Random(seed)
        self.most, self.limit, self.limit_type = most, limit, limit_type
        self.is_split = is_split
        self.homes = list(self.NAMES[:most])
        self.limits = {n: limit_type(self.part(n, 0.0), 0.0) for n in self.NAMES}
        self.sent = []

    def part(self, name, now):
        names, in_touch = self.homes, 1.0
        if self.is_split and 3.0 < now < 7.0:
            # Each side of a partition chooses homes from its own instances.
            half = len(self.NAMES) // 2
            is_first = name in self.NAMES[:half]
            names = self.NAMES[:half] if is_first else self.NAMES[half:]
            in_touch = 0.5
        return cold_part(
            self.limit, Holders(tuple(names), self.most, in_touch), name, "s"
        )

    def run(self):
        for step in range(0, 8_000, 4):
            now = step / 1000
            if step % 1300 == 400:
                self.change_home()
            if step % 1700 == 1200:
                name = self.rng.choice(self.homes)  # restarts
                self.limits[name] = self.limit_type(
                    self.part(name, now), now + WINDOW_S
                )
            for name, limit in self.limits.items():
                limit.set_part(self.part(name, now), now)
                if self.rng.random() < 0.5 and limit.has_room(1, now):
                    limit.reserve(1)
                    limit.record_sent(1, now)
                    self.sent.append(now)
        return most_in_a_second(self.sent)

    def change_home(self):
        out = self.rng.randrange(len(self.homes))
        spare = [n for n in self.NAMES if n not in self.homes]
        self.homes[out] = self.rng.choice(spare)


class Immediate(ColdLimit):
    """A limit whose part is usable at once, for comparison."""

    def __init__(self, part, usable_at):
        super().__init__(part, 0.0)

    def set_part(self, part, now):
        self.part = self._usable_part = part


class TestFleet:
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("limit", [35.0, 5.0])
    @pytest.mark.parametrize("is_split", [False, True])
    def test_stays_below_the_limit_in_any_second(self, seed, limit, is_split):
        assert 0 < Fleet(seed, limit=limit, is_split=is_split).run() <= limit

    def test_uses_most_of_the_limit(self):
        assert Fleet(1).run() >= 0.6 * 35

    def test_parts_that_are_usable_at_once_exceed_it(self):
        """Shows that changes of homes and restarts put the limit at risk."""
        assert max(Fleet(s, limit_type=Immediate).run() for s in range(4)) > 35


class TestParts:
    def test_follow_the_greatest_number_of_homes(self):
        few = Holders(HOMES[:3], most=12)
        assert cold_part(36.0, few, "h1", "s") == 3

    def test_without_homes_each_known_instance_counts(self):
        holders = Holders(HOMES[:3], 10, in_touch=0.3, are_chosen=False)
        assert cold_part(35.0, holders, "h1", "s") == 3

    def test_below_one_only_the_first_holders_send(self):
        parts = [cold_part(5.0, Holders(HOMES, 12), name, "s") for name in HOMES]
        assert sorted(parts) == [0, 0, 0, 1, 1, 1, 1, 1]

    def test_an_instance_that_is_no_home_sends_nothing(self):
        assert cold_part(100.0, Holders(HOMES, 12), "other", "s") == 0

    def test_without_bounds_the_rate_is_the_limit(self):
        assert cold_limit(20.0, 0.0, 0.0) == 20.0
        assert cold_limit(20.0, 1.5, 5.0) == 35.0


class TestCounting:
    def test_counts_from_the_time_of_sending(self):
        """Guards against reservations that expire before the request is sent."""
        limit = ColdLimit(1, 0.0)
        assert limit.has_room(1, 0.0)
        limit.reserve(1)
        assert not limit.has_room(1, 5.0)
        limit.record_sent(1, 5.0)
        assert not limit.has_room(1, 5.9)
        assert limit.has_room(1, 6.1)

    def test_a_larger_part_becomes_usable_after_a_second(self):
        limit = ColdLimit(1, 0.0)
        limit.has_room(1, 0.0)
        limit.set_part(3, 1.0)
        assert not limit.has_room(2, 1.9)
        assert limit.has_room(3, 2.0)

    def test_says_when_there_is_room(self):
        limit = ColdLimit(2, 0.0)
        assert limit.wait_s(1, 0.0) == 0
        limit.reserve(2)
        limit.record_sent(2, 0.5)
        assert limit.wait_s(1, 1.0) == pytest.approx(0.52)
        assert limit.wait_s(3, 1.0) == float("inf")

    def test_begins_statements_and_commits_are_requests(self):
        commands = (OpenTransaction(read_only=False), READ, RollBack())
        assert workload_of(commands) == Workload(2, opens_transaction=False)
        assert workload_of(commands[:1]) == Workload(1, opens_transaction=True)


class TestColdServer:
    def test_is_cold_until_its_entry_says_otherwise(self):
        def entry(sequence, cold_s):
            return Endpoint(
                "s", "g", ("h", 1), "a", 4, False, True, 1, sequence, cold_s
            )

        server = Server(entry(1, 5.0))
        server.apply_entry(entry(1, 5.0), 100.0)
        server.apply_entry(entry(1, 5.0), 102.0)  # a late copy
        assert server.cold_until == 105.0
        server.apply_entry(entry(2, 0.0), 103.0)
        assert server.cold_until < 103.0


async def send(pool, sent, work=None, urgency=URGENCY, label=""):
    work = work or Workload()
    conn = await pool.acquire("c", urgency, work)
    try:
        await pool.capacity.admit(conn, work.requests, timeout_s=1.0)
        sent.append((time.monotonic(), label))
        await asyncio.sleep(0.001)
    finally:
        pool.release(conn, "c")


def cold_pool(*, cold_s=3.0, rate_bounds=(1.5, 5.0)):
    servers, pool = build(group=COLD, cold_s=cold_s)
    servers.limits.holder_since -= 5.0
    servers.limits.bounds = Bounds(
        cold_overage=rate_bounds[0], cold_slack=rate_bounds[1]
    )
    return servers, pool


class TestPool:
    """The limit of 35 requests leaves 4 for each of eight homes."""

    async def test_no_second_has_more_than_the_part(self):
        _, pool = cold_pool()
        sent = []
        await asyncio.gather(
            *(send(pool, sent) for _ in range(11)), return_exceptions=True
        )
        assert len(sent) >= 8
        assert most_in_a_second([at for at, _ in sent]) == 4

    async def test_a_group_without_the_setting_is_not_limited(self):
        _, pool = build(cold_s=3.0)
        sent = []
        started = time.monotonic()
        await asyncio.gather(*(send(pool, sent) for _ in range(11)))
        assert time.monotonic() - started < 0.5

    async def test_what_comes_too_late_is_rejected_at_once(self):
        _, pool = cold_pool()
        sent = []
        await asyncio.gather(*(send(pool, sent) for _ in range(4)))
        started = time.monotonic()
        with pytest.raises(NoConnectionError) as refusal:
            await pool.acquire("c", Urgency(1, 0.1, 0.3))
        assert time.monotonic() - started < 0.1
        assert refusal.value.is_reachable
        assert 0.5 < refusal.value.wait_s <= 1.1
        assert pool.server.full_until > time.monotonic() + 0.5
        assert pool.server.capacity_state.limit is Limit.COLD

    async def test_the_most_urgent_waiter_is_first(self):
        _, pool = cold_pool()
        sent = []
        await asyncio.gather(*(send(pool, sent) for _ in range(4)))
        urgent, late = Urgency(0, 1.5, 2.0), Urgency(2, 1.5, 2.0)
        tasks = [
            asyncio.ensure_future(send(pool, sent, urgency=u, label=label))
            for u, label in ((late, "late"), (late, "late"), (urgent, "urgent"))
        ]
        await asyncio.gather(*tasks)
        assert sent[4][1] == "urgent"

    async def test_a_new_arrival_does_not_overtake_a_waiter(self):
        _, pool = cold_pool(rate_bounds=(0.4, 0.0))  # one request per second from here
        sent = []
        await send(pool, sent)
        urgent = asyncio.ensure_future(
            send(pool, sent, urgency=Urgency(0, 1.5, 2.0), label="urgent")
        )
        await asyncio.sleep(0.01)
        time.sleep(1.1)  # noqa: ASYNC251 - the arrival runs before the due timer
        with pytest.raises(NoConnectionError):
            await send(pool, sent, urgency=Urgency(2, 0.1, 0.3), label="late")
        await urgent
        assert [label for _, label in sent] == ["", "urgent"]

    async def test_statements_of_open_transactions_count(self):
        _, pool = cold_pool()
        conn = await pool.acquire("c", URGENCY, Workload(opens_transaction=True))
        lease = LocalLease(pool.server, conn, "c", pool)
        for _ in range(4):
            await lease.admit((READ,), timeout_s=0.5)
        with pytest.raises(NotSentError) as error:
            await lease.admit((READ,), timeout_s=0.5)
        assert error.value.wait_s > 0.5
        assert await lease.admit((RollBack(),), timeout_s=0.5) > 0.4

    async def test_a_restarted_instance_waits_for_a_second(self):
        _, pool = build(group=COLD, cold_s=3.0)
        with pytest.raises(NoConnectionError):
            await pool.acquire("c", Urgency(1, 0.1, 0.3))
        await send(pool, [])

    async def test_a_server_that_turns_warm_is_not_limited(self):
        _, pool = cold_pool(cold_s=0.2)
        sent = []
        started = time.monotonic()
        await asyncio.gather(*(send(pool, sent) for _ in range(9)))
        assert 0.15 < time.monotonic() - started < 0.6

    async def test_a_server_is_taken_for_cold_after_an_evacuation(self):
        servers, pool = build(group=COLD)
        assert not pool.capacity.refresh()
        pool.server.begin_slow_start(SlowStart.EVACUATION_ENDED)
        assert pool.capacity.refresh()
        assert pool.capacity.cold is not None

    async def test_a_new_start_is_used_without_delay(self):
        """Guards against a restarted server that is left idle for a second."""
        servers, _ = cold_pool()
        add_server(servers, started_ms=2, cold_s=3.0)
        started = time.monotonic()
        await send(servers.pool(servers.group("g").servers["s"]), [])
        assert time.monotonic() - started < 0.3
