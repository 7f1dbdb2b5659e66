import asyncio
import random

import msgspec
import pytest

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.control.load_reports import (
    MAX_DATAGRAM_BYTES,
    LoadReport,
    LoadReports,
    ServerLoad,
)
from mangoramp.policy import slot_shares
from mangoramp.policy.slot_shares import (
    Demand,
    DemandMeter,
    ShareLimit,
    slot_share,
    urgent_class,
)
from mangoramp.serving.pool import ServerPool, Urgency
from mangoramp.serving.shares import REPORT_INTERVAL_S, load_demand

from .load_world import CLASSES, SLOTS, Endpoint4, FakeConnector, Holder, World
from .virtual_time import run as run_virtual


class TestComparison:
    """Guards against serving the most urgent class worst, since homes order only
    their own queues."""

    @pytest.mark.parametrize("homes", [6, 10])
    def test_shares_serve_by_urgency_where_rejections_do_not(self, homes):
        shares = World(homes, "shares", 1).run()
        rejections = World(homes, "rejections", 1).run()
        assert rejections.worth(0) < rejections.worth(2)
        assert shares.worth(0) > 0.9 > rejections.worth(0)
        assert shares.worth(0) > shares.worth(2)
        assert shares.total_worth > rejections.total_worth + 0.1

    def test_shares_leave_few_slots_idle_while_work_waits(self):
        world = World(6, "shares", 1).run()
        assert world.idle_s < 0.05 * SLOTS * world.duration_s

    def test_shares_come_near_a_dispatcher_with_messages_that_do_not_grow(self):
        shares = [World(6, "shares", 1, rate).run() for rate in (0.4, 0.75)]
        central = [World(6, "dispatcher", 1, rate).run() for rate in (0.4, 0.75)]
        assert shares[1].total_worth > 0.9 * central[1].total_worth
        # The runs may end in different intervals.
        assert abs(shares[1].messages - shares[0].messages) <= 2 * 6 * 5
        assert central[1].messages > 1.5 * central[0].messages

    def test_shares_serve_the_worst_customer_better(self):
        shares, rejections = (World(6, w, 1).run() for w in ("shares", "rejections"))
        assert shares.worst_customer(0) > 0.8 > rejections.worst_customer(0)

    def test_every_customer_is_served_in_a_quiet_time(self):
        """A home that needs little of a server must not be starved of it."""
        world = World(10, "shares", 2, rate=0.25).run()
        for priority in CLASSES:
            asked, answered, in_time = world.results[priority]
            assert answered > 0.97 * asked
            assert in_time > 0.95 * asked


def demand(**by_class):
    return Demand({int(name[1:]): amount for name, amount in by_class.items()})


class TestSlotShare:
    """Guards against shares that starve a home or that exceed the server."""

    def test_urgent_work_of_any_home_comes_first(self):
        own, other = demand(c2=20.0), demand(c0=4.0)
        assert slot_share(own, [other], SLOTS) == pytest.approx(4.0)
        assert slot_share(other, [own], SLOTS) == pytest.approx(4.0)

    def test_a_class_is_divided_by_demand(self):
        own, other = demand(c1=9.0), demand(c1=3.0)
        assert slot_share(own, [other], SLOTS) == pytest.approx(6.0)
        assert slot_share(other, [own], SLOTS) == pytest.approx(2.0)

    def test_shares_add_up_to_the_concurrency_under_load(self):
        rng = random.Random(3)
        for _ in range(50):
            demands = [
                Demand({p: rng.uniform(1.0, 9.0) for p in range(3)}) for _ in range(5)
            ]
            total = sum(
                slot_share(d, demands[:n] + demands[n + 1 :], 16)
                for n, d in enumerate(demands)
            )
            assert total == pytest.approx(slot_shares.concurrency(16))

    def test_the_most_urgent_class_of_all_homes_gets_the_floor(self):
        others = [demand(c0=30.0)] * 9
        assert urgent_class(demand(c1=0.1), others) == 0
        assert urgent_class(demand(c1=0.1), [demand(c2=1.0)]) == 1
        assert urgent_class(demand(), []) is None
        assert slot_share(demand(c1=0.1), others, SLOTS) == 0.0

    def test_what_nobody_needs_is_open_to_each(self):
        own = demand(c2=0.5)
        assert slot_share(own, [demand(c0=1.0)], SLOTS) == pytest.approx(7.0)
        assert slot_share(demand(), [], SLOTS) == slot_shares.concurrency(SLOTS)

    def test_a_silent_home_keeps_an_equal_part(self):
        own = demand(c0=50.0)
        assert slot_share(own, [], SLOTS, silent=1) == pytest.approx(4.0)

    def test_a_share_below_one_is_kept_on_average(self):
        limit = ShareLimit()
        limits = [limit.update(0.3) for _ in range(100)]
        assert set(limits) == {0, 1}
        assert sum(limits) == pytest.approx(30, abs=1)

    def test_changes_over_a_quarter_are_logged(self):
        limit = ShareLimit()
        logged = []
        for share in (4.0, 4.5, 4.9, 5.1, 4.0):
            limit.update(share)
            logged.append(limit.has_changed())
        assert logged == [True, False, False, True, False]


class TestDemandMeter:
    """Guards against a demand that is far from what the home sends."""

    def test_counts_the_statements_of_transactions(self):
        meter = DemandMeter({}, 0)
        for n in range(1, 40):
            meter.update({0: 10 * n, 2: 20 * n}, 90 * n, 0.2)
        assert meter.rates == pytest.approx({0: 150.0, 2: 300.0}, rel=0.01)

    def test_a_new_home_does_not_count_what_was_long_ago(self):
        meter = DemandMeter({0: 10_000}, 10_000)
        meter.update({0: 10_001}, 10_001, 0.2)
        assert meter.rates[0] <= 5.0


def load(server, waiting=0):
    return ServerLoad(server, 4, {0: waiting, 1: 3, 2: 7}, {0: 900, 1: 50, 2: 7}, 11000)


class Exchange:
    """The reports that one home receives, with a clock set by hand."""

    def __init__(self):
        self.now = 0.0
        self.reports = LoadReports(
            "a", lambda name: ("127.0.0.1", 1), lambda: self.now, random.Random(1)
        )
        self.datagrams = []
        self.reports._transport = self

    def sendto(self, data, address):
        self.datagrams.append(data)

    def receive(self, number, *loads, name="b", incarnation=1):
        self.reports.apply(LoadReport(name, incarnation, number, loads))

    def waiting(self):
        found, silent = self.reports.loads(["a", "b", "c"], 1)
        return [load.waiting.get(0, 0) for load in found], silent


class TestLoadReports:
    """Guards against shares computed from old, reordered or unreadable reports."""

    def test_a_report_fits_into_a_packet_and_arrives_whole(self):
        sender, receiver = Exchange(), Exchange()
        sender.reports._name = "b"
        sender.reports.send(["a", "b"], [load(2**32 - n) for n in range(1, 200)])
        assert len(sender.datagrams) > 1
        for data in sender.datagrams:
            assert len(data) <= MAX_DATAGRAM_BYTES
            receiver.reports.datagram_received(data, ("127.0.0.1", 1))
        for n in range(1, 200):
            found, _ = receiver.reports.loads(["b"], 2**32 - n)
            assert found[0].in_flight == 4

    def test_the_reports_of_a_usual_deployment_take_one_packet(self):
        sender = Exchange()
        sender.reports.send(["b"], [load(2**32 - n) for n in range(1, 22)])
        assert len(sender.datagrams) == 1

    def test_a_silent_home_counts_for_a_second_and_then_not_at_all(self):
        found = Exchange()
        found.receive(1, load(1, waiting=9))
        for now, expected in ((0.9, ([9], 0)), (1.5, ([], 1)), (2.1, ([], 0))):
            found.now = now
            assert found.waiting() == expected

    def test_a_late_report_does_not_replace_a_newer_one(self):
        found = Exchange()
        found.receive(2, load(1, waiting=2))
        found.receive(1, load(1, waiting=1))
        assert found.waiting() == ([2], 0)
        found.receive(1, load(1, waiting=5), incarnation=2)
        assert found.waiting() == ([5], 0)

    def test_a_server_that_is_left_out_has_no_load(self):
        found = Exchange()
        found.receive(1, load(1, waiting=9))
        found.receive(2, load(7))
        assert found.waiting() == ([0], 0)

    def test_a_malformed_report_is_ignored(self):
        found = Exchange()
        for data in (b"", b"\xc1", msgspec.msgpack.encode(["b", "x", 1, []])):
            found.reports.datagram_received(data, ("127.0.0.1", 1))
        assert found.waiting() == ([], 0)

    def test_values_out_of_range_do_no_harm(self):
        found = Exchange()
        bad = ServerLoad(1, -5, {-3: -9, 99: 10**12}, {0: -(10**9)}, -1)
        found.receive(1, bad)
        others, _ = found.reports.loads(["b"], 1)
        share = slot_share(
            demand(c1=1.0), [load_demand(other) for other in others], SLOTS
        )
        assert 0.0 <= share <= slot_shares.concurrency(SLOTS)


class TestPoolShare:
    """Guards against waiters that are not woken when a share changes."""

    def test_waits_at_no_share_and_goes_on_when_it_grows(self):
        async def run():
            clock = asyncio.get_running_loop().time
            endpoint = Endpoint("s", "g", ("h", 1), "a", SLOTS, False, True)
            connector = FakeConnector(Endpoint4(clock))
            found = ServerPool(Server(endpoint), connector, clock, limit=4)
            found.set_share(0, 0)
            urgency = Urgency(1, 0.5, 1.0)
            tasks = [
                asyncio.ensure_future(found.acquire(f"c{n}", urgency)) for n in range(3)
            ]
            await asyncio.sleep(0.2)
            held = [task.done() for task in tasks]
            found.set_share(2)
            await asyncio.sleep(0.1)
            two = sum(task.done() for task in tasks)
            found.set_share(None)
            await asyncio.sleep(0.1)
            return held, two, all(task.done() for task in tasks)

        assert run_virtual(run()) == ([False] * 3, 2, True)

    def test_only_the_most_urgent_class_may_use_the_floor(self):
        async def run():
            clock = asyncio.get_running_loop().time
            endpoint = Endpoint("s", "g", ("h", 1), "a", SLOTS, False, True)
            connector = FakeConnector(Endpoint4(clock))
            found = ServerPool(Server(endpoint), connector, clock, limit=4)
            found.set_share(0, urgent=0)
            tasks = [
                asyncio.ensure_future(found.acquire("c", Urgency(p, 0.5, 1.0)))
                for p in (1, 0, 0)
            ]
            await asyncio.sleep(0.2)
            return [task.done() for task in tasks]

        assert run_virtual(run()) == [False, True, False]

    def test_no_share_applies_to_an_instance_that_is_no_home(self):
        world = World(2, "shares", 1)

        async def run():
            world.clock = asyncio.get_running_loop().time
            world.server = Endpoint4(world.clock)
            world.holders = [Holder(n, world, 4) for n in world.homes]
            holder = world.holders[0]
            for _ in range(3):
                holder.shares.tick()
                await asyncio.sleep(REPORT_INTERVAL_S)
            with_share = holder.pool.share
            world.homes = []
            holder.shares.tick()
            return with_share, holder.pool.share

        with_share, without = run_virtual(run())
        assert with_share is not None
        assert without is None
