import asyncio
import contextlib
import random
import time
from statistics import mean

import pytest

from mangoramp.control.deployment import ReadRule, Route
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.control.load_reports import server_checksum
from mangoramp.control.settings import Features
from mangoramp.errors import Code, FaultError, Outcome
from mangoramp.policy.admission import (
    INITIAL_OUTAGE_S,
    PROBE_INTERVAL,
    Backlog,
    OutageEstimate,
    retry_after_s,
)
from mangoramp.policy.primary_reserve import PrimaryReserve
from mangoramp.policy.revision import Revision
from mangoramp.policy.slot_shares import concurrency
from mangoramp.policy.wait_queue import WaitQueue
from mangoramp.serving.admission import MIN_SILENCE_S, AdmissionControl
from mangoramp.serving.batches import BatchNotSent, BatchRun, LoadHint, RunBatch
from mangoramp.serving.executor import Executor
from mangoramp.serving.operation import Operation, Ticket
from mangoramp.serving.pool import NoConnectionError, ServerPool, Urgency
from mangoramp.serving.reading import Reader
from mangoramp.serving.servers import Servers
from mangoramp.sessions.session import Session

from .test_pool import Connector, pool
from .virtual_time import run as run_virtual
from .wire_world import GROUP, World, configuration

TIMEOUTS_S = {0: 0.8, 1: 1.0, 2: 1.2}
WRITES = 200


class NeverDown(OutageEstimate):
    """An estimate that never rejects."""

    def remaining_s(self, now):
        return 0.0


def outage_results(estimate, durations, rng):
    """Return by class: served statements, those held in vain, those rejected."""
    found = {p: [0, 0, 0] for p in TIMEOUTS_S}
    for duration_s in durations:
        estimate.record_down(0.0)
        for _ in range(300):
            priority = rng.choice(list(TIMEOUTS_S))
            arrived_at = rng.uniform(0.0, duration_s)
            timeout_s = TIMEOUTS_S[priority]
            if estimate.remaining_s(arrived_at) > timeout_s:
                found[priority][2] += 1
            elif arrived_at + timeout_s > duration_s:
                found[priority][0] += 1
            else:
                found[priority][1] += 1
        estimate.record_up(duration_s)
    return found


class TestOutageEstimate:
    """Guards against statements that are held through an outage until they time out."""

    def outages(self, count=40):
        rng = random.Random(5)
        return [rng.gauss(2.6, 0.3) for _ in range(count)], rng

    def test_rejects_most_of_what_would_be_held_in_vain(self):
        durations, rng = self.outages()
        for _, in_vain, rejected in outage_results(
            OutageEstimate(), durations, rng
        ).values():
            assert in_vain < 0.5 * (in_vain + rejected)

    def test_holds_all_in_vain_without_the_estimate(self):
        durations, rng = self.outages()
        for _, in_vain, rejected in outage_results(
            NeverDown(), durations, rng
        ).values():
            assert in_vain
            assert not rejected

    def test_every_class_gets_nearly_all_that_waiting_would_get_it(self):
        durations, _ = self.outages()
        on, off = (
            outage_results(estimate, durations, random.Random(7))
            for estimate in (OutageEstimate(), NeverDown())
        )
        for priority in TIMEOUTS_S:
            assert on[priority][0] > 0.9 * off[priority][0]

    def test_learns_that_replacements_take_longer(self):
        estimate = OutageEstimate()
        for _ in range(4):
            estimate.record_down(0.0)
            estimate.record_up(6.0)
        estimate.record_down(100.0)
        assert estimate.remaining_s(100.5) > 2.0
        assert estimate.remaining_s(103.0) == pytest.approx(3.0)

    def test_short_interruptions_do_not_hide_the_usual_end(self):
        estimate = OutageEstimate()
        for _ in range(30):
            estimate.record_down(0.0)
            estimate.record_up(0.1)
        estimate.record_down(0.0)
        assert estimate.remaining_s(0.05) < 0.1
        assert estimate.remaining_s(0.5) == pytest.approx(INITIAL_OUTAGE_S - 0.5)

    def test_an_overdue_outage_rejects_more_and_more(self):
        estimate = OutageEstimate()
        estimate.record_down(0.0)
        assert estimate.remaining_s(INITIAL_OUTAGE_S + 0.3) == pytest.approx(0.3)
        assert estimate.remaining_s(INITIAL_OUTAGE_S + 5) == pytest.approx(5.0)


class TestBacklog:
    """Guards against rejections on information that is out of date."""

    def test_a_report_loses_its_effect_as_the_backlog_can_have_been_served(self):
        backlog = Backlog()
        backlog.record((0.2, 1.5), 10.0)
        assert backlog.wait_s(0, 10.1) == pytest.approx(0.1)
        assert backlog.wait_s(2, 10.5) == pytest.approx(1.0)
        assert backlog.wait_s(2, 12.0) == 0.0

    def test_a_report_without_waits_ends_the_backlog(self):
        backlog = Backlog()
        backlog.record((2.0,), 1.0)
        backlog.record((), 1.1)
        assert backlog.wait_s(0, 1.1) == 0.0

    def test_waits_grow_with_the_class_and_leave_out_late_requests(self):
        queue = WaitQueue()
        queue.handover_interval_s = 0.1
        for priority, due_at in ((0, 5.0), (2, 5.0), (2, 5.0), (2, -1.0)):
            queue.enqueue("c", priority=priority, due_at=due_at, deadline=9.0)
        assert queue.waits_by_class(0.0) == pytest.approx((0.1, 0.1, 0.3))

    def test_retry_times_spread_over_the_backlog(self):
        rng = random.Random(1)
        times = [retry_after_s(2.0, rng) for _ in range(200)]
        assert min(times) >= 2.0
        assert max(times) - min(times) > 1.5

    def test_callers_are_not_sent_away_for_long_by_an_endless_outage(self):
        assert retry_after_s(600.0, random.Random(1)) <= 10.0


class TestPrimaryReserve:
    """Guards against reads that take a primary from the writes that wait for it."""

    def test_holds_while_urgent_work_waits_and_a_second_longer(self):
        reserve = PrimaryReserve()
        assert reserve.reserved(1, 4, 0.0) == 0
        reserve.start_wait(0)
        assert reserve.reserved(1, 4, 50.0) == 1
        reserve.end_wait(0, 50.0)
        assert reserve.reserved(1, 4, 50.9) == 1
        assert reserve.reserved(1, 4, 51.1) == 0

    def test_less_urgent_work_does_not_hold_off_urgent_reads(self):
        reserve = PrimaryReserve()
        reserve.start_wait(2)
        assert reserve.reserved(0, 8, 0.0) == 0
        assert reserve.reserved(2, 8, 0.0) == 2

    def test_writes_are_served_through_a_crowd_of_reads(self):
        """Writes of class 0 wait behind reads that a replica can serve."""
        on, off = (
            run_virtual(self.crowd(is_deferrable=value)) for value in (True, False)
        )
        assert len(on["writer"]) == WRITES
        assert len(off["writer"]) < 0.5 * WRITES
        assert mean(on["writer"]) < 0.1 * mean(off["writer"])
        assert on["reader"], "the rest of the primary stays open to reads"

    async def crowd(self, *, is_deferrable):
        """Return the waits of the served reads and writes by customer."""
        clock = asyncio.get_running_loop().time
        endpoint = Endpoint("s1", "g", ("host", 1), "a", 4, False, True)
        found = ServerPool(Server(endpoint), Connector(), clock, limit=4)
        waits = {"reader": [], "writer": []}

        async def use(customer, urgency, held_s):
            started = clock()
            try:
                conn = await found.acquire(customer, urgency)
            except NoConnectionError:
                return
            waits[customer].append(clock() - started)
            await asyncio.sleep(held_s)
            found.release(conn, customer)

        tasks = []
        read = Urgency(1, 0.2, 0.5, is_deferrable=is_deferrable)
        for _ in range(WRITES):
            tasks += [asyncio.create_task(use("reader", read, 0.04)) for _ in range(3)]
            write = Urgency(0, 0.1, 0.8)
            tasks.append(asyncio.create_task(use("writer", write, 0.005)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        return waits

    async def test_a_waiting_read_gives_way_and_passes_its_connection_on(self):
        found = pool(1)
        first = await found.acquire("a", Urgency(1, 0.2, 1.0))
        read = asyncio.ensure_future(
            found.acquire("b", Urgency(1, 0.2, 1.0, is_deferrable=True))
        )
        await asyncio.sleep(0.005)
        write = asyncio.ensure_future(found.acquire("c", Urgency(1, 0.5, 1.0)))
        await asyncio.sleep(0.005)
        found.release(first, "a")
        with pytest.raises(NoConnectionError):
            await asyncio.wait_for(read, 0.2)
        assert await asyncio.wait_for(write, 0.2)


class Site:
    """A group with a primary and a replica, an executor and a clock set by hand."""

    def __init__(self, *, is_enabled=True, priority=0):
        self.now = 100.0
        self.servers = Servers(None, lambda: self.now)
        self.group = self.servers.group("g")
        for name, is_primary in (("p", True), ("r", False)):
            endpoint = Endpoint(name, "g", ("h", 1), "a", 4, False, is_primary)
            self.group.update_endpoint(endpoint, Revision(0, 1))
        self.primary = self.group.servers["p"]
        self.replica = self.group.servers["r"]
        self.admission = AdmissionControl(
            self.servers, is_enabled=is_enabled, rng=random.Random(1)
        )
        self.executor = Executor(self.servers, admission=self.admission)
        self.priority = priority

    def op(self, rule=ReadRule.PRIMARY):
        timeout_s = TIMEOUTS_S[self.priority]
        route = Route("d", "g", rule, 1.0, timeout_s, 0.1, self.priority)
        session = Session("d", "")
        return Operation("q1", "c", route, self.now, self.now, session, Ticket("q1"))

    def lose_primary(self):
        for _ in range(2):
            self.primary.record_failure(self.now, "silent")
        self.primary.retry_at = float("inf")
        self.now += MIN_SILENCE_S

    async def ask(self, op=None):
        """Return the fault of a statement for the primary, None if it is held."""
        work = self.executor.primary(op or self.op())
        try:
            async with asyncio.timeout(0.02):
                return await work
        except TimeoutError:
            return None
        except FaultError as exc:
            return exc.fault


class TestOutage:
    """Guards against statements held until their deadline while a primary is lost."""

    async def test_is_rejected_at_once_as_not_run_with_a_time_to_return(self):
        site = Site()
        site.lose_primary()
        fault = await site.ask()
        assert fault.code is Code.NO_SERVER
        assert fault.outcome is Outcome.NOT_RUN
        assert fault.retry_after_s >= INITIAL_OUTAGE_S - MIN_SILENCE_S

    async def test_is_held_with_the_decision_off(self):
        site = Site(is_enabled=False)
        site.lose_primary()
        assert await site.ask() is None

    @pytest.mark.parametrize("priority", TIMEOUTS_S)
    async def test_waits_if_the_outage_usually_ends_in_time(self, priority):
        site = Site(priority=priority)
        site.lose_primary()
        assert await site.ask() is not None
        site.now += INITIAL_OUTAGE_S - MIN_SILENCE_S - TIMEOUTS_S[priority] + 0.05
        assert await site.ask() is None

    async def test_a_primary_that_resets_its_connections_is_waited_for(self):
        site = Site()
        for _ in range(9):
            site.primary.record_failure(site.now, "reset")
        assert await site.ask() is None

    async def test_a_primary_that_hands_over_is_waited_for(self):
        """A planned replacement takes a fraction of a second."""
        site = Site()
        site.primary.not_primary_at = site.now
        assert await site.ask() is None

    async def test_the_silence_that_a_home_noticed_earlier_counts(self):
        site = Site()
        message = RunBatch("p", "g", "c", None, {}, (), 1.0, 1.0, 0.1)
        answer = BatchNotSent("down", load=LoadHint(silent_s=2.0))
        site.admission.record_hint("h", message, answer, site.now)
        site.lose_primary()
        assert await site.ask() is None

    async def test_a_read_that_a_replica_can_serve_is_not_rejected(self):
        """The replicas may only have been busy, and the primary is not needed."""
        site = Site()
        site.group.record_position(site.now - 2.0, None)
        site.lose_primary()
        reader = Reader(site.executor, "a")
        reader.choose = lambda op, excluded: None if excluded else (site.replica, None)
        op = site.op(ReadRule.BOUNDED_AGE)
        assert reader.is_deferrable(op, {"r"})
        assert await site.executor.primary_for_read(op, is_deferrable=True) is None
        with pytest.raises(FaultError):
            await site.executor.primary_for_read(op, is_deferrable=False)

    def test_reads_are_not_deferred_with_the_decision_off(self):
        site = Site(is_enabled=False)
        reader = Reader(site.executor, "a")
        reader.choose = lambda op, excluded: None if excluded else (site.replica, None)
        assert not reader.is_deferrable(site.op(ReadRule.BOUNDED_AGE), {"r"})


class TestDoor:
    """Guards against forwarding to a home what the home certainly rejects."""

    def check(self, site, server=None, count=PROBE_INTERVAL):
        faults = []
        for _ in range(count):
            try:
                site.admission.check_backlog(site.op(), server or site.primary, "h")
            except FaultError as exc:
                faults.append(exc.fault)
        return faults

    def report(self, site, waits):
        message = RunBatch("p", "g", "c", None, {}, (), 1.0, 1.0, 0.1)
        answer = BatchRun((), load=LoadHint(waits=waits))
        site.admission.record_hint("h", message, answer, site.now)

    def test_rejects_all_but_one_in_eight(self):
        site = Site()
        self.report(site, {"p": (2.0,)})
        faults = self.check(site)
        assert len(faults) == PROBE_INTERVAL - 1
        assert {f.outcome for f in faults} == {Outcome.NOT_RUN}
        assert all(f.retry_after_s >= 2.0 for f in faults)

    def test_serves_the_urgent_class_while_the_others_are_rejected(self):
        for priority, expected in ((0, 0), (2, PROBE_INTERVAL - 1)):
            site = Site(priority=priority)
            self.report(site, {"p": (0.1, 0.1, 3.0)})
            assert len(self.check(site)) == expected

    def test_admits_a_read_that_another_server_can_run(self):
        site = Site()
        self.report(site, {"r": (2.0,)})
        assert not self.check(site, site.replica)

    def test_admits_again_once_the_backlog_can_have_been_served(self):
        site = Site()
        self.report(site, {"p": (2.0,)})
        site.now += 1.5
        assert not self.check(site)

    def test_rejects_nothing_with_the_decision_off(self):
        site = Site(is_enabled=False)
        self.report(site, {"p": (9.0,)})
        assert not self.check(site)
        assert site.admission.hint("g") is None


class TestFleet:
    """Two homes in one process, with real sockets on the loopback interface."""

    TIMEOUT_S = 1.5
    CUSTOMERS = 30  # too many for each instance to hold connections for all

    @contextlib.asynccontextmanager
    async def world(self, *, is_enabled=True):
        async with World(instances=0) as world:
            tenants = [
                {
                    "name": f"t{n}",
                    "api_keys": [f"k{n}"],
                    "rate_per_s": 1e4,
                    "burst": 1e4,
                }
                for n in range(self.CUSTOMERS)
            ]
            services = [{"name": GROUP, "max_connections": 12}]
            changes = {"tenants": tenants, "services": services}
            world.put("config", "main", configuration(2, **changes))
            features = Features(load_control=is_enabled)
            for number in range(2):
                await world.start_instance(f"i{number}", features=features)
            await world.wait_until(
                lambda: (
                    all(len(i.homes.names) == 2 for i in world.instances)
                    and all(
                        i.is_ready and not i.homes.is_direct for i in world.instances
                    )
                )
            )
            yield world

    async def write(self, world, number, instance=0):
        caller = await world.caller(key=f"k{number}", instance=instance)
        (line, *_) = await caller.ask(f"WRITE a {number}")
        caller.close()
        return line

    async def test_homes_tell_each_other_their_load(self):
        async with self.world() as world:

            def is_known():
                return all(
                    any(load.rates for load in found)
                    for i in world.instances
                    for found, _ in [
                        i._load_reports.loads(i.homes.names, server_checksum("s1"))
                    ]
                )

            async with asyncio.timeout(20.0):
                while not is_known():
                    for number in range(self.CUSTOMERS):
                        line = await self.write(world, number)
                        assert line.startswith("DONE")
            for instance in world.instances:
                share = dict(instance.slot_shares.shares())["s1"]
                assert 0 < share <= concurrency(slots=2)
                gauge = ("mangoramp_slot_share", {"server": "s1"})
                assert instance.registry.get_sample_value(*gauge) > 0

    async def test_an_instance_without_load_control_reports_nothing(self):
        async with self.world(is_enabled=False) as world:
            for number in range(self.CUSTOMERS):
                assert (await self.write(world, number)).startswith("DONE")
            await asyncio.sleep(0.5)
            for instance in world.instances:
                assert instance._load_reports._transport is None
                assert not dict(instance.slot_shares.shares())

    async def lose_primary(self, world, writes):
        """Return the replies to writes after the primary is lost, and their times."""
        world.is_promotion_enabled = False
        for number in range(self.CUSTOMERS):
            await self.write(world, number)
        runs = len(world.group.runs)
        world.group.servers["s1"].crash()
        lines, took_s = [], []
        for number in range(writes):
            started = time.monotonic()
            lines.append(await self.write(world, number, number % 2))
            took_s.append(time.monotonic() - started)
        assert len(world.group.runs) == runs
        return lines, took_s

    async def test_callers_learn_at_once_that_the_primary_is_lost(self):
        async with self.world() as world:
            lines, took_s = await self.lose_primary(world, writes=12)
            # The first ones are held until two attempts have failed.
            assert all("the primary is expected back" in line for line in lines[-8:])
            assert all(line.startswith("ERR BUSY ") for line in lines[-8:])
            assert sum(took_s[-8:]) < self.TIMEOUT_S
            rejected = [
                i.registry.get_sample_value(
                    "mangoramp_admission_rejections_total",
                    {"reason": "outage", "priority": "1"},
                )
                for i in world.instances
            ]
            assert sum(count or 0 for count in rejected) >= 8

    async def test_callers_are_held_without_load_control(self):
        async with self.world(is_enabled=False) as world:
            _, took_s = await self.lose_primary(world, writes=2)
            assert took_s[-1] > 0.9 * self.TIMEOUT_S
