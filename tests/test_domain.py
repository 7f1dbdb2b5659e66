"""A group never has two homes, whatever is paused, lost or late, in virtual time."""

import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from mangoramp.policy.domain import DomainParticipant
from mangoramp.policy.membership import Member, Relay

GROUPS = ("g0", "g1", "g2", "g3")
STEP_S = 0.1


class IgnoresGrantEnd(Member):
    """Serves beyond the end of its grant."""

    def holds(self, group, now):
        return super().holds(group, min(now, self._grant_until - 0.01))


class UsesUnsettledView(Member):
    """Uses only the newest view, even if it is not settled."""

    def apply_grant(self, grant, **when):
        is_applied = super().apply_grant(grant, **when)
        if is_applied and grant.number:
            self._views = (self.view,)
        return is_applied


class BreaksPromises(Member):
    """Acquires the lease despite its promises."""

    def has_promised(self, now, grant_s):
        return False


@dataclass
class Node:
    part: DomainParticipant
    offset: float
    rate: float
    wait: float = 0.0
    paused_until: float = 0.0
    cut: bool = False
    inbox: list = field(default_factory=list)

    def clock(self, now):
        return self.offset + now * self.rate


class World:
    """A simulated failure domain in virtual time, driven by one seed."""

    def __init__(self, seed, *, size=3, member=Member, faults=True):
        self.rng = random.Random(seed)
        self.now, self.member, self.faults = 0.0, member, faults
        self.names = [f"p{n}" for n in range(size)]
        self.version, self.record, self.platform_up = 0, None, True
        self.nodes, self.violations, self.served = {}, [], Counter()
        for name in self.names:
            self.start(name)

    def start(self, name):
        rng = self.rng
        node = Node(None, rng.uniform(0, 1000), rng.uniform(0.995, 1.005))
        clock, incarnation = node.clock(self.now), f"{name}-{rng.random()}"
        node.part = DomainParticipant(name, incarnation, f"tcp://{name}", now=clock)
        node.part.member = self.member(name, incarnation, now=clock)
        self.nodes[name] = node

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            if self.faults:
                self.inject_fault()
            for name in self.rng.sample(self.names, len(self.names)):
                node = self.nodes.get(name)
                if node is not None and self.now >= node.paused_until:
                    self.step(name, node)
            self.check()
        return self

    def inject_fault(self):
        rng = self.rng
        name = rng.choice(self.names)
        node = self.nodes.get(name)
        chance = rng.random()
        if chance < 0.008:
            self.platform_up = not self.platform_up
        elif node is None:
            if chance < 0.1:
                self.start(name)
        elif chance < 0.016:
            node.paused_until = self.now + rng.uniform(0.5, 12)
        elif chance < 0.024:
            node.cut = not node.cut
        elif chance < 0.032:
            del self.nodes[name]

    def step(self, name, node):
        inbox, node.inbox = node.inbox, []
        for due, deliver in inbox:
            if due <= self.now:
                deliver()
            else:
                node.inbox.append((due, deliver))
        node.wait -= STEP_S
        if node.wait <= 0:
            node.wait = 0.6
            self.call_platform(node)
            self.beat(name, node)

    def call_platform(self, node):
        if not self.platform_up or node.cut:
            return
        part, clock = node.part, node.clock(self.now)
        part.observe(self.version, self.record, clock)
        record = part.next_lease_record(clock, listed=self.names)
        if record is None:
            return
        self.record, self.version = record, self.version + 1
        if not (self.faults and self.rng.random() < 0.1):
            part.observe(self.version, self.record, clock)

    def beat(self, name, node):
        rec = node.part.lease.record
        if rec is None or not rec.holder:
            return
        beat, asked_at = node.part.beat(), node.clock(self.now)
        copies = self.rng.choice((0, 1, 1, 1, 1, 1, 2)) if self.faults else 1
        asked = (name, node.part, beat, asked_at)
        for _ in range(1 if rec.holder == name else copies):
            self.send(rec.holder, lambda: self.handle_beat(rec.holder, *asked))

    def handle_beat(self, relay, sender, part, beat, asked_at):
        if relay not in self.nodes:
            return
        node = self.nodes[relay]
        grant = node.part.handle_beat(beat, node.clock(self.now))
        if grant is None:
            return

        def apply_grant():
            peer = self.nodes.get(sender)
            if peer is None or peer.part is not part:
                return
            clock = peer.clock(self.now)
            if part.apply_grant(
                grant, asked_at=asked_at, now=clock, mine=relay == sender
            ):
                self.beat(sender, peer)

        if relay == sender:
            apply_grant()
        else:
            self.send(sender, apply_grant)

    def send(self, to, deliver):
        node = self.nodes.get(to)
        if node is not None:
            late = self.rng.random() < 0.1 and self.faults
            delay = self.rng.uniform(0, 8) if late else 0.0
            node.inbox.append((self.now + delay, deliver))

    def check(self):
        for group in GROUPS:
            homes = [
                name
                for name, node in self.nodes.items()
                if node.part.holds(group, node.clock(self.now))
            ]
            self.served[group] += bool(homes)
            if len(homes) > 1:
                self.violations.append((round(self.now, 1), group, homes))


def violations(member):
    worlds = (World(seed, member=member).run(60) for seed in range(40))
    return any(world.violations for world in worlds)


class TestHomes:
    @pytest.mark.parametrize("size", [1, 2, 3, 5])
    def test_are_never_two_under_faults(self, size):
        for seed in range(40):
            world = World(seed, size=size).run(90)
            assert not world.violations, (seed, world.violations[0])

    @pytest.mark.parametrize("member", [IgnoresGrantEnd, UsesUnsettledView])
    def test_are_two_without_the_mechanism(self, member):
        assert violations(member)

    def test_are_two_if_a_new_relay_does_not_wait(self, monkeypatch):
        def start_relay(part, token, now):
            return Relay(token, now=now)

        monkeypatch.setattr(DomainParticipant, "_start_relay", start_relay)
        assert violations(Member)

    @pytest.mark.parametrize("member", [Member, BreaksPromises])
    def test_are_one_only_by_the_promises_while_the_relay_is_cut_off(self, member):
        world = World(6, size=2, member=member, faults=False).run(15)
        world.nodes[world.record.holder].cut = True
        world.run(30)
        assert bool(world.violations) == (member is BreaksPromises)

    def test_are_served_nearly_always_in_calm(self):
        world = World(1, faults=False).run(60)
        assert min(world.served.values()) > 0.93 * 60 / STEP_S

    def test_go_on_through_a_platform_outage(self):
        world = World(2, faults=False).run(15)
        world.platform_up = False
        world.served.clear()
        world.run(120)
        assert set(world.served.values()) == {int(120 / STEP_S)}

    def test_move_when_a_member_dies(self):
        world = World(3, faults=False).run(15)
        relay = world.record.holder
        del world.nodes[next(n for n in world.names if n != relay)]
        world.run(6).served.clear()
        world.run(10)
        assert set(world.served.values()) == {int(10 / STEP_S)}

    def test_move_when_the_relay_dies(self):
        world = World(4, faults=False).run(15)
        del world.nodes[world.record.holder]
        world.run(8).served.clear()
        world.run(10)
        assert set(world.served.values()) == {int(10 / STEP_S)}

    def test_stop_when_a_candidate_dies_during_an_outage(self):
        world = World(5, faults=False).run(15)
        world.platform_up = False
        relay = world.record.holder
        del world.nodes[next(n for n in world.names if n != relay)]
        world.run(15).served.clear()
        world.run(5)
        assert not any(world.served.values())
        world.platform_up = True
        world.run(6).served.clear()
        world.run(5)
        assert set(world.served.values()) == {int(5 / STEP_S)}
