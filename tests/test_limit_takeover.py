"""A customer's limit when its home changes, played in virtual time."""

import random

import msgspec
import pytest

from mangoramp.control.deployment import Customer, Deployment
from mangoramp.control.limits import CustomerLimits
from mangoramp.control.peers import Peers
from mangoramp.control.reports import Report
from mangoramp.policy.quota import RateTolerance, restart_fill

RATE = BURST = 90.0
WINDOW_S = 5.0
OVERAGE, SLACK = 0.1, 20  # the platform's tolerance for any window
REPORT_INTERVAL_S = 0.1
REGULAR_REPORTS = 3  # every third report is due without a change


class Home:
    """An instance that may be the customer's home; its reports are datagrams."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.number = fleet, name, 0
        self.peers = Peers(
            name, self.report, dict, lambda: fleet.now, random.Random(name), "domain"
        )
        self.limits = CustomerLimits(name, self.peers, is_first_start=True)
        self.limits.apply_deployment(fleet.deployment, fleet.now)
        self.peers.on_spent = self.record_spent
        self.sent = {}

    def record_spent(self, peer, customer, count, is_recent):
        self.limits.record_peer_spent(
            peer, customer, count, self.fleet.now, is_recent=is_recent
        )

    def report(self, incarnation, number):
        return Report(self.name, incarnation, number)

    def send(self, others, *, is_due):
        """Report as in a fleet with homes: counts only of customers near a limit."""
        urgent = self.limits.spent_near_limit()
        if not is_due and urgent == self.sent:
            return
        self.number += 1
        self.sent = urgent
        report = Report(self.name, 7, self.number, spent={} if is_due else urgent)
        for other in others:
            other.peers.datagram_received(
                msgspec.msgpack.encode(report), ("127.0.0.1", 7560 + ord(self.name))
            )


class Fleet:
    def __init__(self):
        self.now = 0.0
        customer = Customer("c", RATE, BURST)
        self.deployment = Deployment(version=1, customers={"c": customer})
        self.homes = {name: Home(self, name) for name in "ab"}
        self.live = set(self.homes)
        self.admitted, self.refused = [], []

    def serve(self, home, per_s, for_s):
        """Send the customer's operations to a home at a constant rate."""
        steps = round(for_s * 1000)
        sent = 0
        for step in range(1, steps + 1):
            self.now = round(self.now + 0.001, 6)
            if round(self.now * 1000) % 100 == 0:
                self.exchange()
            if sent < int(step * per_s / 1000):
                sent += 1
                wait_s = self.homes[home].limits.admit("c", self.now, "q")
                (self.refused if wait_s else self.admitted).append(self.now)

    def exchange(self):
        is_due = round(self.now / REPORT_INTERVAL_S) % REGULAR_REPORTS == 0
        for name in self.live:
            others = [self.homes[n] for n in self.live - {name}]
            self.homes[name].send(others, is_due=is_due)

    def most_in_window(self):
        return max(
            sum(start <= at < start + WINDOW_S for at in self.admitted)
            for start in self.admitted[::20]
        )


class TestTakeover:
    """The customer's home fails shortly after the customer came near its limit."""

    @pytest.fixture
    def fleet(self):
        found = Fleet()
        found.serve("a", per_s=60, for_s=30.0)
        found.serve("a", per_s=150, for_s=1.0)
        assert not found.refused
        found.live.discard("a")
        return found

    def test_the_new_home_serves_a_customer_within_its_limit(self, fleet):
        """Guards against a new home that charges operations of long ago at once."""
        fleet.serve("b", per_s=60, for_s=4.0)
        assert not fleet.refused

    def test_the_limit_holds_over_both_homes(self, fleet):
        """Guards against a new home that starts with a full burst."""
        fleet.serve("b", per_s=300, for_s=4.0)
        limit = RATE * WINDOW_S + BURST
        assert fleet.refused
        assert fleet.most_in_window() <= limit * (1 + OVERAGE) + SLACK


class TestReturn:
    def test_a_home_that_was_cut_off_serves_its_customer_at_once(self):
        """Guards against charging all that was admitted while it was cut off."""
        fleet = Fleet()
        fleet.serve("a", per_s=60, for_s=2.0)
        fleet.live.discard("b")
        fleet.serve("a", per_s=80, for_s=8.0)
        fleet.live.add("b")
        fleet.serve("a", per_s=150, for_s=1.0)
        fleet.serve("b", per_s=60, for_s=2.0)
        assert not fleet.refused


class TestRestartOfAll:
    """All instances restart at once; nobody knows what the customer used before."""

    DOWN_S = 0.5

    def restart(self, fleet):
        fleet.now += self.DOWN_S
        tolerance = RateTolerance(WINDOW_S, OVERAGE, SLACK)
        for home in fleet.homes.values():
            home.limits = CustomerLimits(
                home.name, home.peers, is_first_start=False, tolerance=tolerance
            )
            home.limits.apply_deployment(fleet.deployment, fleet.now)

    def test_callers_that_return_at_once_are_served(self):
        """Guards against refusing callers that are far below their limit."""
        fleet = Fleet()
        fleet.serve("a", per_s=50, for_s=5.0)
        self.restart(fleet)
        # Those of the outage return together, within a tenth of a second.
        fleet.serve("a", per_s=50 * (1 + self.DOWN_S * 10), for_s=0.1)
        fleet.serve("a", per_s=50, for_s=2.0)
        assert not fleet.refused

    def test_the_limit_holds_over_two_restarts(self):
        """Guards against a burst that each restart grants anew."""
        fleet = Fleet()
        fleet.serve("a", per_s=300, for_s=3.0)
        for _ in range(2):
            self.restart(fleet)
            fleet.serve("a", per_s=300, for_s=1.0)
        fleet.serve("a", per_s=300, for_s=3.0)
        limit = RATE * WINDOW_S + BURST
        assert fleet.most_in_window() <= limit * (1 + OVERAGE) + SLACK

    @pytest.mark.parametrize(("rate", "burst"), [(19, 19), (90, 90), (400, 40), (5, 0)])
    def test_the_burst_granted_is_covered_by_the_tolerance(self, rate, burst):
        tolerance = RateTolerance(WINDOW_S, OVERAGE, SLACK)
        granted = burst * restart_fill(rate, burst, tolerance)
        covered = tolerance.operations(rate, burst) / 2
        assert granted <= min(burst, covered) + 1e-9
