"""Compares rules for acknowledging writes under the same faults in virtual time."""

import statistics

import pytest

from mangoramp.policy import failover as fo
from tests.failover_world import Home, Net, World, outlasts

LEASE_S = 3.0
RENEW_S = 1.0
SEEDS = range(20)
FAST_NET = Net(poll_s=0.002, pull_s=0.002)


class LeaseWaitingFailover(fo.Failover):
    """Promotes only after all leases on the previous term have expired."""

    fenced_since = (0, 0.0)

    def _fence(self, now, state):
        if self.fenced_since[0] != state.term:
            self.fenced_since = (state.term, now)
        if now - self.fenced_since[1] < LEASE_S:
            return ()
        return super()._fence(now, state)


class LeasedHome(Home):
    """Home that renews a lease on the group's term at the platform."""

    def __init__(self, world, *args):
        super().__init__(world, *args)
        self.lease = (0, 0.0)
        world.every(RENEW_S, self.request_lease)

    def request_lease(self):
        requested_at = self.world.now
        self.call_platform(lambda: self.grant_lease(requested_at))

    def grant_lease(self, requested_at):
        if not self.world.platform_down:
            lease = (self.world.object.term, requested_at + LEASE_S)
            self.world.send("platform", self.name, lambda: self.apply_lease(lease))

    def apply_lease(self, lease):
        self.lease = lease

    def has_lease(self, term):
        return self.lease[0] == term and self.world.now < self.lease[1]


class RuleWorld(World):
    """A world that uses one of the compared acknowledgement rules."""

    def __init__(self, seed, rule, net=None):
        self.rule, self.latency = rule, []
        leased = rule != "majority"
        controller = LeaseWaitingFailover if leased else fo.Failover
        super().__init__(
            seed, controller=controller, net=net, home=LeasedHome if leased else Home
        )
        self.ack_rule = self.may_acknowledge

    def may_acknowledge(self, view, position):
        if self.rule == "majority":
            return outlasts(view, position)
        held = self.rule == "lease" or outlasts(view, position)
        return held and self.confirming.has_lease(position.term)

    def acknowledge(self, write, position, run_at):
        self.latency.append(self.now - run_at)
        super().acknowledge(write, position, run_at)

    def count_lost_writes(self):
        """Count the acknowledged writes that the last primary does not hold."""
        present_writes = {entry[1] for entry in self.servers[self.object.primary].log}
        return len([write for write in self.acked if write not in present_writes])


def isolate_primary(world):
    world.isolate(0)
    world.advance(1.0)


def isolate_and_pause_primary(world):
    world.isolate(0)
    world.advance(0.5)
    world.set_state("c0", "frozen")
    world.advance(6.0)


def kill_primary(world):
    world.set_state("s0", "dead")


FAULTS = {
    "calm": lambda world: world.advance(3.0),
    "kill": kill_primary,
    "isolated": isolate_primary,
    "isolated, paused": isolate_and_pause_primary,
}


def measure(rule, fault):
    lost, gaps, latencies = 0, [], []
    for seed in SEEDS:
        world = RuleWorld(seed, rule)
        world.advance(2.0 + seed * 0.017)
        since = world.now
        FAULTS[fault](world)
        world.advance(9.0)
        gaps.append(world.gap(since))
        world.heal()
        world.advance(5.0)
        lost += world.count_lost_writes()
        latencies += world.latency
    return lost, statistics.median(gaps), max(gaps)


def latency(rule, *, behind):
    """Return the median latency and the acknowledged share with slow replicas."""
    found, write_count = [], 0
    for seed in SEEDS[:5]:
        world = RuleWorld(seed, rule, FAST_NET)
        world.advance(1.0)
        for name in behind:
            world.servers[name].far_behind = True
        world.latency.clear()
        before = len(world.servers["s0"].log)
        world.advance(3.0)
        found += world.latency
        write_count += len(world.servers["s0"].log) - before
    return statistics.median(found or [9.9]), len(found) / write_count


@pytest.mark.parametrize("rule", ["majority", "lease", "both"])
class TestRules:
    def test_faults(self, benchmark, rule):
        found = benchmark.pedantic(
            lambda: {fault: measure(rule, fault) for fault in FAULTS}, rounds=1
        )
        for fault, (lost, p50, worst) in found.items():
            print(
                f"\n{rule}, {fault}: {lost} lost, gap p50 {p50:.2f}, max {worst:.2f} s"
            )
        lost = sum(figures[0] for figures in found.values())
        assert (lost > 0) == (rule == "lease")

    def test_latency(self, benchmark, rule):
        sets = {"none": (), "one": ("s1",), "both": ("s1", "s2")}
        found = benchmark.pedantic(
            lambda: {n: latency(rule, behind=b) for n, b in sets.items()}, rounds=1
        )
        for name, (p50, share) in found.items():
            print(
                f"\n{rule}, {name} behind: p50 {p50 * 1000:.1f} ms, {share:.0%} acked"
            )
        assert found["one"][1] > 0.9
