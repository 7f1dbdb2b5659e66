"""A customer's limit while several homes admit its operations, in virtual time."""

import random

import pytest

from mangoramp.control.deployment import Customer, Deployment
from mangoramp.control.limits import CustomerLimits
from mangoramp.control.peers import Peers
from mangoramp.control.reports import Report
from mangoramp.policy import hubs
from mangoramp.policy.hubs import Listed
from mangoramp.policy.quota import RateTolerance
from mangoramp.policy.quota_parts import VIEWS_DIFFER_S, EvenParts

from .test_limit_takeover import Home

RATE = BURST = 90.0
TOLERANCE = RateTolerance(window_s=5.0, overage=0.1, slack=20)
STEP_S = 0.01
REPORT_STEPS = 10
REGULAR_REPORTS = 3  # every third report is due without a change
SUSPECT_S = 0.3  # after which callers of a home that does not answer use another one
NAMES = tuple("abcdefghi")
SEEDS = 12


def most_in_window(times):
    first, most = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - TOLERANCE.window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


class Fleet:
    """Instances that forward a customer's operations to its home on their side."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        customer = Customer("c", RATE, BURST)
        self.deployment = Deployment(version=1, customers={"c": customer})
        self.homes = {name: Home(self, name) for name in NAMES}
        for home in self.homes.values():
            home.limits.live_home_of = lambda c, h=home: self.live_home_of(h)
        self.sides = [set(NAMES)]
        self.cut_at = 0.0
        self.order = self.rng.sample(NAMES, len(NAMES))
        self.admitted, self.refused = [], []
        self.steps = 0

    def cut(self, *sizes):
        names = self.rng.sample(NAMES, len(NAMES))
        self.sides, self.cut_at = [], self.now
        for size in sizes:
            self.sides.append({names.pop() for _ in range(size)})

    def heal(self):
        self.sides = [set(NAMES)]

    def home_of(self, side):
        """Return the home that a side uses, None while it waits for one it lost."""
        if self.order[0] not in side and self.now - self.cut_at < SUSPECT_S:
            return None
        return next(name for name in self.order if name in side)

    def live_home_of(self, home):
        live = home.peers.live_instances
        return next(name for name in self.order if name in live)

    def run(self, per_s, for_s):
        """Send the customer's operations, evenly from all instances."""
        for _ in range(round(for_s / STEP_S)):
            self.steps += 1
            self.now = round(self.steps * STEP_S, 6)
            if self.steps % REPORT_STEPS == 0:
                self.exchange()
            for side in self.sides:
                expected = per_s * STEP_S * len(side) / len(NAMES)
                count = int(expected + self.rng.random())
                home = self.home_of(side)
                for _ in range(count if home is not None else 0):
                    wait_s = self.homes[home].limits.admit("c", self.now, "q")
                    (self.refused if wait_s else self.admitted).append(self.now)

    def exchange(self):
        is_due = self.steps // REPORT_STEPS % REGULAR_REPORTS == 0
        for side in self.sides:
            for name in sorted(side):
                others = [self.homes[n] for n in sorted(side - {name})]
                self.homes[name].send(others, is_due=is_due)

    @property
    def most_in_window(self):
        return most_in_window(self.admitted)


class TestCut:
    """A fleet is cut into parts, each of which has a home for the customer."""

    LIMIT = RATE * TOLERANCE.window_s + BURST
    MOST = LIMIT + TOLERANCE.operations(RATE, BURST)

    @pytest.mark.parametrize("sizes", [(5, 4), (6, 3), (7, 2), (4, 3, 2), (3, 3, 3)])
    @pytest.mark.parametrize("usual_per_s", [50, 300])
    def test_the_limit_holds_over_all_parts(self, sizes, usual_per_s):
        """Guards against homes that each take most of the limit for their own."""
        most = {}
        for seed in range(SEEDS):
            fleet = Fleet(seed)
            fleet.run(usual_per_s, 6.0)
            fleet.cut(*sizes)
            fleet.run(usual_per_s, fleet.rng.uniform(0.5, 3.0))
            fleet.run(300, 7.0)
            fleet.heal()
            fleet.run(300, 5.0)
            most[seed] = fleet.most_in_window
        assert max(most.values()) <= self.MOST, most

    @pytest.mark.parametrize("sizes", [(5, 4), (6, 3), (7, 2)])
    def test_a_customer_below_its_limit_is_served_on_each_side(self, sizes):
        """Guards against a part that passes to those who do not need it."""
        refused = admitted = 0
        for seed in range(SEEDS):
            fleet = Fleet(seed)
            fleet.run(0.75 * RATE, 6.0)
            fleet.cut(*sizes)
            fleet.run(0.75 * RATE, 7.0)
            fleet.heal()
            fleet.run(0.75 * RATE, 5.0)
            refused += len(fleet.refused)
            admitted += len(fleet.admitted)
        assert refused <= 0.005 * (admitted + refused)

    def test_the_part_of_ended_instances_passes_to_the_others(self):
        """Guards against a limit that is lower while ended instances are listed."""
        fleet = Fleet(1)
        fleet.run(0.75 * RATE, 6.0)
        fleet.cut(6)
        fleet.run(0.0, 10.0)
        fleet.run(0.9 * RATE * len(NAMES) / 6, 10.0)  # all callers use those that live
        assert not fleet.refused


class TestEvenParts:
    def test_of_all_sides_add_up_to_one_at_most(self):
        names = [f"i{n}" for n in range(9)]
        rng = random.Random(1)
        for _ in range(SEEDS):
            sides = self.split(rng, names)
            instances = [EvenParts(0.0) for _ in sides]
            for instance in instances:
                assert instance.observe(names, names, 1.0) == 1.0
            noticed_at = [2.0 + rng.uniform(0, VIEWS_DIFFER_S) for _ in sides]
            for step in range(200):
                now = 4.0 + step / 10
                parts = [
                    instance.observe(side if now >= at else names, names, now)
                    for instance, side, at in zip(
                        instances, sides, noticed_at, strict=True
                    )
                ]
                assert sum(parts) <= 1.0 + 1e-9

    def split(self, rng, names):
        names = rng.sample(names, len(names))
        at = sorted(rng.sample(range(1, len(names)), rng.choice((1, 1, 2))))
        bounds = [0, *at, len(names)]
        return [names[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]

    def test_an_instance_that_starts_apart_takes_no_part_that_has_passed(self):
        names = ["a", "b", "c"]
        started = EvenParts(100.0)
        assert started.observe(["a"], names, 100.0) == pytest.approx(1 / 3)
        assert started.observe(["a"], names, 104.0) < 0.2


class Member:
    """An instance of a fleet with hubs; only hubs hear the reports of all homes."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.domain = f"d{number % 3}"
        self.name = f"{self.domain}-{number}"
        self.address = ("127.0.0.1", 7000 + number)
        self.peers = Peers(
            self.name,
            self.report,
            lambda: self.limits.spent_near_limit(),
            lambda: fleet.now,
            random.Random(number),
            self.domain,
        )
        self.peers._transport = self
        self.limits = CustomerLimits(self.name, self.peers, is_first_start=True)
        self.limits.apply_deployment(fleet.deployment, 0.0)
        self.limits.live_home_of = lambda customer: fleet.home
        self.peers.stood_in_for = self.limits.stood_in_for
        self.peers.on_spent = self.record_spent

    @property
    def listed(self):
        return Listed(self.domain, hubs.Member(self.name, 0, *self.address))

    def report(self, incarnation, number):
        return Report(self.name, incarnation, number, failure_domain=self.domain)

    def record_spent(self, peer, customer, count, is_recent):
        self.limits.record_peer_spent(
            peer, customer, count, self.fleet.now, is_recent=is_recent
        )

    def sendto(self, data, address):
        self.fleet.members[address].peers.datagram_received(data, self.address)


class HubFleet:
    SIZE = 18
    WARMUP_S = 6.0

    def __init__(self):
        self.now, self.steps, self.home = 0.0, 0, ""
        customer = Customer("c", RATE, BURST)
        self.deployment = Deployment(version=1, customers={"c": customer})
        members = [Member(self, number) for number in range(self.SIZE)]
        self.members = {m.address: m for m in members}
        for member in members:
            member.peers.update_addresses({m.name: m.listed for m in members})
        self.admitted, self.refused = [], []
        self.run({}, self.WARMUP_S)
        self.hubs = [m for m in members if m.peers.is_hub]
        self.followers = [m for m in members if not m.peers.is_hub]

    def run(self, load, for_s):
        """Send the customer's operations, at a rate for each instance."""
        for _ in range(round(for_s / STEP_S)):
            self.steps += 1
            self.now = round(self.steps * STEP_S, 6)
            for number, member in enumerate(self.members.values()):
                ticks, offset = divmod(self.steps + number, REPORT_STEPS)
                is_idle = member not in self.hubs_now and not self.stands_in(member)
                if offset == 0 and (not is_idle or ticks % REGULAR_REPORTS == 0):
                    member.peers.send()
            for member, per_s in load.items():
                sent = int(self.now * per_s) - int((self.now - STEP_S) * per_s)
                for _ in range(sent):
                    wait_s = member.limits.admit("c", self.now, "q")
                    (self.refused if wait_s else self.admitted).append(self.now)

    @property
    def hubs_now(self):
        return [m for m in self.members.values() if m.peers.is_hub]

    def stands_in(self, member):
        return bool(member.limits.stood_in_for())

    @property
    def most_in_window(self):
        return most_in_window(self.admitted)


class TestStandIn:
    """Some callers got no answer from a live home and use another instance."""

    @pytest.fixture
    def fleet(self):
        found = HubFleet()
        found.home = found.hubs[0].name
        return found

    def test_the_limit_holds_while_callers_use_both(self, fleet):
        """Guards against an instance that hears no other home and has a full bucket."""
        home, stand_in = fleet.hubs[0], fleet.followers[0]
        fleet.run({home: 150, stand_in: 150}, 8.0)
        assert fleet.most_in_window <= TestCut.MOST

    def test_a_customer_whose_home_fails_is_served(self, fleet):
        """Guards against refusals until the home counts as silent."""
        home, stand_in = fleet.hubs[0], fleet.followers[0]
        fleet.run({home: 0.75 * RATE}, 5.0)
        fleet.run({stand_in: 0.75 * RATE}, hubs.REMOTE_TIMEOUT_S)
        assert not fleet.refused

    def test_a_stand_in_that_hears_the_home_does_not_fall_behind(self):
        """Guards against a copy that is charged with all, but refilled by a part."""
        fleet = Fleet(1)
        home, stand_in = (fleet.homes[name] for name in fleet.order[:2])
        for step in range(1500):
            fleet.steps += 1
            fleet.now = round(fleet.steps * STEP_S, 6)
            if step % REPORT_STEPS == 0:
                fleet.exchange()
            home.limits.admit("c", fleet.now, "q")  # 100 a second, 90 are admitted
            if step % 2 == 0:
                stand_in.limits.admit("c", fleet.now, "q")
        fleet.run(0.0, 0.5)
        assert stand_in.limits.admit("c", fleet.now, "q") == 0

    def test_a_home_is_told_only_while_it_is_stood_in_for(self, fleet):
        stand_in = fleet.followers[0]
        fleet.run({stand_in: 60}, 1.0)
        assert stand_in.limits.stood_in_for() == {fleet.home}
        fleet.run({}, 2.0)
        assert not stand_in.limits.stood_in_for()
