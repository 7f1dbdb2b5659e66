"""Ways to acknowledge a write, weighed in the same virtual group and faults."""

import statistics

import pytest

from mangoramp.policy import failover as fo
from tests.failover_world import Home, Net, World, outlasts

LEASE_S = 3.0
RENEW_S = 1.0
SEEDS = range(20)
PROMPT = Net(poll_s=0.002, pull_s=0.002)


class WaitsOutLeases(fo.Failover):
    """Promotes only once no lease on the term before can be running."""

    raised = (0, 0.0)

    def _fence(self, now, state):
        if self.raised[0] != state.term:
            self.raised = (state.term, now)
        if now - self.raised[1] < LEASE_S:
            return ()
        return super()._fence(now, state)


class LeasedHome(Home):
    """Renews a lease on the group's term at the platform."""

    def __init__(self, world, *args):
        super().__init__(world, *args)
        self.lease = (0, 0.0)
        world.every(RENEW_S, self.renew)

    def renew(self):
        asked_at = self.world.now
        self.call_platform(lambda: self.grant(asked_at))

    def grant(self, asked_at):
        if not self.world.platform_down:
            lease = (self.world.object.term, asked_at + LEASE_S)
            self.world.send("platform", self.name, lambda: self.take(lease))

    def take(self, lease):
        self.lease = lease

    def holds(self, term):
        return self.lease[0] == term and self.world.now < self.lease[1]


class Weighed(World):
    """A world with one of the ways to acknowledge a write."""

    def __init__(self, seed, way, net=None):
        self.way, self.latency = way, []
        leased = way != "majority"
        controller = WaitsOutLeases if leased else fo.Failover
        super().__init__(
            seed, controller=controller, net=net, home=LeasedHome if leased else Home
        )
        self.ack_rule = self.decide

    def decide(self, view, position):
        if self.way == "majority":
            return outlasts(view, position)
        held = self.way == "lease" or outlasts(view, position)
        return held and self.confirming.holds(position.term)

    def acknowledge(self, write, position, run_at):
        self.latency.append(self.now - run_at)
        super().acknowledge(write, position, run_at)

    def lost(self):
        """Acknowledged writes that the last primary does not hold."""
        kept = {entry[1] for entry in self.servers[self.object.primary].log}
        return len([write for write in self.acked if write not in kept])


def isolated(world):
    world.isolate(0)
    world.advance(1.0)


def isolated_and_paused(world):
    world.isolate(0)
    world.advance(0.5)
    world.set_state("c0", "frozen")
    world.advance(6.0)


def killed(world):
    world.set_state("s0", "dead")


FAULTS = {
    "calm": lambda world: world.advance(3.0),
    "kill": killed,
    "isolated": isolated,
    "isolated, paused": isolated_and_paused,
}


def measure(way, fault):
    lost, gaps, latencies = 0, [], []
    for seed in SEEDS:
        world = Weighed(seed, way)
        world.advance(2.0 + seed * 0.017)
        since = world.now
        FAULTS[fault](world)
        world.advance(9.0)
        gaps.append(world.gap(since))
        world.heal()
        world.advance(5.0)
        lost += world.lost()
        latencies += world.latency
    return lost, statistics.median(gaps), max(gaps)


def latency(way, *, behind):
    """Median and largest latency, and the share acknowledged, with slow replicas."""
    found, sent = [], 0
    for seed in SEEDS[:5]:
        world = Weighed(seed, way, PROMPT)
        world.advance(1.0)
        for name in behind:
            world.servers[name].far_behind = True
        world.latency.clear()
        before = len(world.servers["s0"].log)
        world.advance(3.0)
        found += world.latency
        sent += len(world.servers["s0"].log) - before
    return statistics.median(found or [9.9]), len(found) / sent


@pytest.mark.parametrize("way", ["majority", "lease", "both"])
class TestWays:
    def test_faults(self, benchmark, way):
        found = benchmark.pedantic(
            lambda: {fault: measure(way, fault) for fault in FAULTS}, rounds=1
        )
        for fault, (lost, mid, most) in found.items():
            print(f"\n{way}, {fault}: {lost} lost, gap p50 {mid:.2f}, max {most:.2f} s")
        lost = sum(figures[0] for figures in found.values())
        assert (lost > 0) == (way == "lease")

    def test_latency(self, benchmark, way):
        sets = {"none": (), "one": ("s1",), "both": ("s1", "s2")}
        found = benchmark.pedantic(
            lambda: {n: latency(way, behind=b) for n, b in sets.items()}, rounds=1
        )
        for name, (mid, share) in found.items():
            print(f"\n{way}, {name} behind: p50 {mid * 1000:.1f} ms, {share:.0%} acked")
        assert found["one"][1] > 0.9
