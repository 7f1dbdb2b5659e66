"""Simulates a group under faults in virtual time, with a home per failure domain."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, replace

from mangoramp.policy import failover as fo
from mangoramp.policy.failure_detector import PrimaryView
from mangoramp.policy.position import Lineage, Origin
from mangoramp.policy.quorum import ServerStatus
from mangoramp.policy.view import Configuration, GroupServer, GroupView

TICK_S = 0.1
WRITE_S = 0.05
PLATFORM_TIMEOUT_S = 1.0
PROBE_DELAY_S = 0.6


@dataclass(frozen=True)
class Net:
    one_way_s: float = 0.0005
    connect_s: float = 0.012
    poll_s: float = 0.1
    pull_s: float = 0.03


class Server:
    def __init__(self, name, domain):
        self.name, self.domain = name, domain
        self.term, self.log, self.primary, self.source = 1, [], False, ""
        self.state, self.backlog, self.starts, self.far_behind = "up", [], 0, False

    def status(self, asked_at):
        log_term = self.log[-1][0] if self.log else 0
        held, start = len(self.log), str(self.starts)
        primary = self.primary
        return ServerStatus(
            self.name, start, self.term, log_term, held, held, primary, asked_at
        )

    def fence(self, term):
        if term > self.term:
            self.term, self.primary, self.source = term, False, ""


class World:
    """A group, its homes and the platform, with virtual time and a simulated network.

    Servers are named ``s0..`` and homes ``c0..``; those with number n run in domain dn.
    """

    def __init__(
        self, seed, *, controller=fo.Failover, timings=None, net=None, home=None
    ):
        self.shares_state = True
        size, home, self.confirming = 3, home or Home, None
        self.rng = random.Random(seed)
        self.net = net or Net()
        self.now, self.queue, self.order = 0.0, [], itertools.count()
        self.cuts, self.platform_down, self.lose_answers = set(), False, 0
        self.servers = {f"s{n}": Server(f"s{n}", f"d{n}") for n in range(size)}
        self.servers["s0"].primary = True
        for server in list(self.servers.values())[1:]:
            server.source = "s0"
        members = tuple(GroupServer(s.name, s.domain, 2) for s in self.servers.values())
        self.object = fo.GroupState(1, 1, "s0", "", members, (Origin(1, 0, 0),))
        self.history = [(0.0, self.object)]
        self.promoted = {1: {"s0"}}
        self.promoted_at = {1: 0.0}
        self.acked, self.acks_at, self.refused, self.found_violations = [], [], 0, []
        self.ack_rule = outlasts
        voters = fo.rank_voters("g", [f"d{n}" for n in range(size)], [])
        self.homes = {}
        for n in range(size):
            rng = random.Random(seed * 31 + n)
            policy = controller("g", f"d{n}", now=0.0, rng=rng, timings=timings)
            self.homes[f"c{n}"] = home(self, f"c{n}", policy, voters)
        for name in self.servers:
            self.every(self.net.pull_s, lambda name=name: self.pull(name))

    # Time and messages

    def at(self, when, run):
        heapq.heappush(self.queue, (when, next(self.order), run))

    def every(self, period, run):
        def again():
            run()
            self.at(self.now + period, again)

        self.at(self.now + self.rng.uniform(0, period), again)

    def advance(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, run = heapq.heappop(self.queue)
            run()
        self.now = end

    def send(self, src, dst, run):
        if (src, dst) in self.cuts:
            return
        delay = self.net.one_way_s * self.rng.uniform(1, 1.5)
        self.at(self.now + delay, lambda: self.deliver(dst, run))

    def deliver(self, dst, run):
        node = self.servers.get(dst) or self.homes.get(dst)
        if node is None or node.state == "up":
            run()
        elif node.state == "frozen":
            node.backlog.append(run)

    # Faults

    def set_state(self, name, state):
        node = self.servers.get(name) or self.homes[name]
        restarted = node.state == "dead" and state == "up"
        node.state, backlog = state, node.backlog
        node.backlog = []
        if state == "up":
            if restarted and name in self.servers:
                node.primary, node.source, node.starts = False, "", node.starts + 1
            for run in [] if restarted else backlog:
                run()

    def cut(self, src, dst):
        self.cuts.add((src, dst))

    def isolate(self, domain):
        inside = {f"s{domain}", f"c{domain}"}
        every = {*self.servers, *self.homes, "platform"}
        for a, b in itertools.product(inside, every - inside):
            self.cuts |= {(a, b), (b, a)}

    def lose_platform(self, domain):
        home = f"c{domain}"
        self.cuts |= {("platform", home), (home, "platform")}

    def update_server(self, server, **changes):
        members = tuple(
            replace(m, **changes) if m.name == server else m
            for m in self.object.members
        )
        self.change(replace(self.object, members=members))

    def heal(self):
        self.cuts.clear()
        self.platform_down, self.lose_answers = False, 0
        for name, server in self.servers.items():
            server.far_behind = False
            self.set_state(name, "up")
        for name in self.homes:
            self.set_state(name, "up")

    # Platform

    def change(self, state):
        self.object = replace(state, version=self.object.version + 1)
        self.history.append((self.now, self.object))
        for home in self.homes.values():
            self.send("platform", home.name, home.state_callback(self.object))

    def update(self, src, action):
        if self.platform_down:
            return
        if action.state.version == self.object.version:
            self.change(action.state)
            if action.state.primary:
                self.check_no_lost_writes(action.state.primary)
        if self.lose_answers:
            self.lose_answers -= 1
        else:
            self.send("platform", src, self.homes[src].state_callback(self.object))

    def read(self, src):
        if not self.platform_down:
            self.send("platform", src, self.homes[src].state_callback(self.object))

    # Servers

    def pull(self, name):
        server = self.servers[name]
        if server.state != "up" or not server.source or server.far_behind:
            return
        tail = server.status(0.0).tail
        asked = (server.term, tail, server.source)
        self.send(name, server.source, lambda: self.answer_pull(name, asked))

    def answer_pull(self, name, asked):
        term, tail, source = asked
        primary = self.servers[source]
        primary.fence(term)
        if not primary.primary or primary.term != term:
            return
        log = primary.log
        known = not tail.offset or (
            tail.offset <= len(log) and log[tail.offset - 1][0] == tail.term
        )
        entries = log[tail.offset : tail.offset + 200] if known else None
        self.send(source, name, lambda: self.append_entries(name, asked, entries))

    def append_entries(self, name, asked, entries):
        server = self.servers[name]
        if asked != (server.term, server.status(0.0).tail, server.source):
            return
        if entries is None:
            server.log.pop()
        else:
            server.log.extend(entries)

    def command(self, action):
        server = self.servers[action.server]
        match action:
            case fo.Fence():
                server.fence(action.term)
            case fo.Promote() if action.term == server.term:
                self.promoted.setdefault(action.term, set()).add(server.name)
                self.promoted_at.setdefault(action.term, self.now)
                if not server.primary and server.status(0.0).log_term != server.term:
                    server.log.append((server.term, ""))
                server.primary, server.source = True, ""
            case fo.Follow() if action.term >= server.term:
                if server.primary and action.term == server.term:
                    return False
                server.fence(action.term)
                server.source = action.primary
            case _:
                return False
        return True

    # Invariants

    def check_no_lost_writes(self, name):
        log = self.servers[name].log
        held = {entry[1] for entry in log}
        lost = [write for write in self.acked if write not in held]
        if lost:
            self.found_violations.append(f"{name} became primary without {lost[:5]}")
        lineage = Lineage(self.object.origins)
        for server in self.servers.values():
            shown = lineage.contains(server.status(0.0).tail)
            if shown and server.log != log[: len(server.log)]:
                self.found_violations.append(
                    f"{server.name} shows what {name} never had"
                )

    def acknowledge(self, write, position, run_at):
        later = [t for t in self.promoted_at if t > position.term]
        replaced = any(self.promoted_at[t] < run_at for t in later)
        if replaced and not Lineage(self.object.origins).contains(position):
            self.found_violations.append(
                f"{write} run and acknowledged in a replaced term"
            )
        self.acked.append(write)
        self.acks_at.append((self.now, position.term))

    def violations(self):
        twice = {t: names for t, names in self.promoted.items() if len(names) > 1}
        return self.found_violations + [f"promoted twice: {twice}"] * bool(twice)

    def gap(self, since):
        """Return the longest time without an acknowledged write, in seconds."""
        times = [since, *(at for at, _ in self.acks_at if at > since), self.now]
        return max(b - a for a, b in itertools.pairwise(times))


class Home:
    def __init__(self, world, name, policy, voters):
        self.world, self.name, self.policy, self.voters = world, name, policy, voters
        self.state, self.backlog, self.statuses = "up", [], {}
        self.pending, self.writes = {}, itertools.count()
        self.view = GroupView(configuration(world.object))
        self.apply_state(world.object)
        world.every(TICK_S, self.tick)
        world.every(WRITE_S, self.write)
        for server in world.servers:
            world.every(world.net.poll_s, lambda server=server: self.poll(server))

    def state_callback(self, state):
        return lambda: self.apply_state(state)

    def apply_state(self, state):
        if self.policy.state is None or state.version > self.policy.state.version:
            self.view.configure(configuration(state))
        self.policy.apply_group(self.world.now, state, self.voters)
        self.confirm()
        self.decide()

    def tick(self):
        if self.state != "up":
            return
        self.decide()
        if int(self.world.now / TICK_S) % 10 == 0:
            self.call_platform(lambda: self.world.read(self.name))

    def poll(self, server):
        if self.state == "up":
            asked_at = self.world.now
            self.ask(server, lambda: self.answer(server, asked_at))

    def ask(self, server, run):
        self.world.send(self.name, server, run)

    def answer(self, server, asked_at):
        status = self.world.servers[server].status(asked_at)
        self.world.send(server, self.name, lambda: self.record_status(status))

    def record_status(self, status):
        known = self.statuses.get(status.name)
        if known is None or status.asked_at >= known.asked_at:
            self.statuses[status.name] = status
            self.view.record_status(status)
        self.policy.record_status(self.world.now, status)
        self.confirm()
        self.decide()

    def decide(self):
        for action in self.policy.decide(self.world.now):
            self.carry_out(action)

    def carry_out(self, action):
        world = self.world
        match action:
            case fo.AskViews():
                for home in world.homes.values():
                    if home.policy.failure_domain in action.failure_domains:
                        world.send(self.name, home.name, home.view_callback(self))
                        if home.state != "up":
                            later = world.now + PROBE_DELAY_S
                            world.at(later, lambda home=home: home.probe(self))
            case fo.UpdateGroup():
                self.call_platform(lambda: world.update(self.name, action))
                retry = world.now + PLATFORM_TIMEOUT_S
                read = lambda: world.read(self.name)  # noqa: E731
                world.at(retry, lambda: self.call_platform(read))
            case fo.ReadGroup():
                self.call_platform(lambda: world.read(self.name))
            case _:
                sent = world.now + world.net.connect_s
                world.at(sent, lambda: self.command(action))

    def call_platform(self, run):
        if self.state == "up":
            self.world.send(self.name, "platform", run)

    def command(self, action):
        asked_at = self.world.now
        self.ask(action.server, lambda: self.run_command(action, asked_at))

    def run_command(self, action, asked_at):
        if not self.world.command(action):
            return
        status = self.world.servers[action.server].status(asked_at)

        def done():
            if isinstance(action, fo.Follow):
                self.policy.record_follow(action, status)
            self.record_status(status)

        self.world.send(action.server, self.name, done)

    def view_callback(self, asker):
        def answer():
            view, state = self.policy.view(self.world.now), self.policy.state

            def take():
                if self.world.shares_state:
                    asker.apply_state(state)
                asker.policy.record_view(asker.world.now, view)
                asker.decide()

            self.world.send(self.name, asker.name, take)

        return answer

    def probe(self, asker):
        """Answer as another proxy of the domain, in place of this home."""
        world, group = self.world, asker.policy.state
        server = world.servers.get(group.primary)
        if server is None or {(asker.name, self.name)} & world.cuts:
            return
        cut = {(self.name, server.name), (server.name, self.name)} & world.cuts
        heard = not cut and server.state == "up" and server.primary
        silent_s = 0.0 if heard else PROBE_DELAY_S
        view = PrimaryView(self.policy.failure_domain, group.term, silent_s)

        def take():
            asker.policy.record_view(world.now, view)
            asker.decide()

        world.send(self.name, asker.name, take)

    def write(self):
        group = self.policy.state
        status = self.statuses.get(group.primary)
        if self.state != "up":
            return
        fit = status is not None and status.is_primary and status.term == group.term
        if not fit or self.world.now - status.asked_at > 1.5:
            self.world.refused += 1
            return
        write = f"{self.name}-{next(self.writes)}"
        self.ask(group.primary, lambda: self.run_write(group.primary, write))

    def run_write(self, name, write):
        server, run_at = self.world.servers[name], self.world.now
        if not server.primary:
            return
        server.log.append((server.term, write))
        status = server.status(run_at)

        def written():
            self.pending[write] = (status.tail, run_at)
            self.record_status(status)

        self.world.send(name, self.name, written)

    def confirm(self):
        self.world.confirming = self
        for write, (position, run_at) in list(self.pending.items()):
            if self.world.ack_rule(self.view, position):
                del self.pending[write]
                self.world.acknowledge(write, position, run_at)


def configuration(state):
    lineage = Lineage(state.origins)
    return Configuration(state.term, state.primary, state.members, lineage)


def outlasts(view, position):
    """Acknowledge writes that a majority holds, as the proxies do."""
    return view.is_acknowledged(position)


def at_primary_alone(view, position):
    """Acknowledge every write that the primary holds, without a majority."""
    return True


FAULTS = {
    "kill": lambda world, n, m: world.set_state(f"s{n}", "dead"),
    "freeze": lambda world, n, m: world.set_state(f"s{n}", "frozen"),
    "isolate": lambda world, n, m: world.isolate(n),
    "cut servers": lambda world, n, m: world.cut(f"s{n}", f"s{m}"),
    "cut to server": lambda world, n, m: world.cut(f"c{m}", f"s{n}"),
    "cut from server": lambda world, n, m: world.cut(f"s{n}", f"c{m}"),
    "cut platform": lambda world, n, m: world.cut("platform", f"c{n}"),
    "no platform": lambda world, n, m: world.lose_platform(n),
    "pause home": lambda world, n, m: world.set_state(f"c{n}", "frozen"),
    "kill home": lambda world, n, m: world.set_state(f"c{n}", "dead"),
    "far behind": lambda world, n, m: setattr(world.servers[f"s{n}"], "far_behind", 1),
    "platform down": lambda world, n, m: setattr(world, "platform_down", True),
    "lose answers": lambda world, n, m: setattr(world, "lose_answers", 3),
    "leave": lambda world, n, m: world.update_server(f"s{n}", leaving=True),
    "resume": lambda world, n, m: [
        world.set_state(name, "up") for name in (f"s{n}", f"c{n}", f"c{m}")
    ],
}


def run_faults(seed, *, rounds=4, **options):
    """Run random pairs of faults from a seed, end them all and return the world."""
    rule = options.pop("ack_rule", outlasts)
    world = World(seed, **options)
    world.ack_rule = rule
    rng = random.Random(seed)
    world.advance(1.0)
    for _ in range(rounds):
        for name in rng.sample(sorted(FAULTS), 2):
            FAULTS[name](world, *rng.sample(range(3), 2))
            world.advance(rng.choice((0.0, 0.05, 0.3, 1.4, 1.5, 2.5)))
        world.advance(rng.choice((0.1, 1.5, 3.0)))
        if rng.random() < 0.4:
            world.heal()
    return finish(world)


def finish(world):
    """End all faults and check that the group accepts writes again after a while."""
    world.heal()
    world.advance(9.0)
    before = len(world.acked)
    world.advance(1.0)
    if len(world.acked) == before:
        world.found_violations.append(
            f"no writes after the faults ended: {world.object}"
        )
    if world.object.primary:
        world.check_no_lost_writes(world.object.primary)
    return world
