"""Simulates reads over servers that fail over, lag and answer late."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.policy.position import START, Lineage, Origin, Position
from mangoramp.policy.quorum import ServerStatus
from mangoramp.policy.routing import Chosen, ReadNeed, choose_read_server
from mangoramp.policy.view import Configuration, GroupServer, GroupView

NAMES = ("a", "b", "c")
SESSIONS = ("s", "t")


@dataclass
class Server:
    name: str
    term: int = 1
    log: list = field(default_factory=list)
    applied: int = 0
    primary: bool = False
    source: str = "a"

    @property
    def log_term(self):
        return self.log[-1][0] if self.log else 0

    def status(self, now):
        held = len(self.log)
        return ServerStatus(
            self.name,
            "1",
            self.term,
            self.log_term,
            held,
            self.applied,
            self.primary,
            now,
        )


class Reading:
    """Two sessions that write and read under random faults, with every read checked."""

    make_view = GroupView
    checks_session = True

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.servers = {name: Server(name) for name in NAMES}
        self.servers["a"].primary = True
        members = tuple(GroupServer(name, name, 2) for name in NAMES)
        self.known = Configuration(1, "a", members, Lineage((Origin(1, 0, 0),)))
        self.view = self.make_view(self.known)
        self.late = []
        self.pending = []
        self.acked = {}
        self.seen = {"s": START, "t": START}
        self.own = {"s": set(), "t": set()}
        self.shown = set()
        self.count = 0
        self.answered = 0

    def run(self, steps):
        likely = {
            self.some_wait: 3,
            self.some_poll: 6,
            self.deliver_late: 2,
            self.some_write: 6,
            self.some_replicate: 2,
            self.some_fail_over: 1,
            self.some_follow: 1,
            self.announce: 1,
            self.some_read: 8,
        }
        for rule in self.rng.choices(list(likely), list(likely.values()), k=steps):
            rule()
        return self

    def likely(self):
        return self.rng.random() < 0.7

    def some(self):
        return {name for name in NAMES if self.likely()}

    def some_wait(self):
        self.wait(self.rng.choice((0.01, 0.2, 1.0)))

    def some_poll(self):
        self.poll(self.some(), not self.likely())

    def some_write(self):
        session = self.rng.choice(SESSIONS)
        self.write(session, self.some(), self.some(), self.likely())

    def some_replicate(self):
        self.replicate(self.rng.choice(NAMES), self.likely())

    def some_fail_over(self):
        self.fail_over(self.rng.choice(NAMES))

    def some_follow(self):
        self.follow(self.rng.choice(NAMES))

    def some_read(self):
        self.read(self.rng.choice(SESSIONS), self.rng.choice((0.0, 0.3, 5.0)))

    def wait(self, seconds):
        self.now += seconds

    def poll(self, names, late):
        for name in sorted(names):
            status = self.servers[name].status(self.now)
            if late:
                self.late.append(status)
            else:
                self.view.record_status(status)

    def deliver_late(self):
        if self.late:
            self.view.record_status(self.late.pop(0))

    def write(self, session, holders, applying, polled):
        primary = self.view.primary(self.now)
        if primary is None or not self.servers[primary.name].primary:
            return
        server = self.servers[primary.name]
        self.count += 1
        server.log.append((server.term, self.count))
        server.applied = len(server.log)
        if server.term == primary.term:
            position = Position(server.term, len(server.log))
            self.pending.append((session, position, self.count))
        for name in sorted(holders):
            self.replicate(name, name in applying)
        if polled:
            self.poll(holders | {server.name}, False)
            self.acknowledge()

    def acknowledge(self):
        for write in list(self.pending):
            session, position, number = write
            if self.view.is_acknowledged(position):
                self.pending.remove(write)
                self.acked[number] = self.now
                self.own[session].add(number)
                self.seen[session] = max(self.seen[session], position)

    def replicate(self, name, apply):
        replica, source = self.servers[name], self.servers[self.servers[name].source]
        if replica.primary or not source.primary or source.term != replica.term:
            return
        while replica.log != source.log[: len(replica.log)]:
            replica.log.pop()
        replica.applied = min(replica.applied, len(replica.log))
        replica.log.extend(source.log[len(replica.log) :][:2])
        if apply:
            replica.applied = len(replica.log)

    def fail_over(self, out):
        fenced = [self.servers[name] for name in NAMES if name != out]
        term = max(server.term for server in self.servers.values()) + 1
        for server in fenced:
            server.term, server.primary = term, False
        best = max(fenced, key=lambda s: (s.log_term, len(s.log)))
        kept = {number for _, number in best.log}
        assert set(self.acked) <= kept, "an acknowledged write was lost"
        assert self.shown <= kept, "a read showed what was taken back"
        origin = Origin(term, best.log_term, len(best.log))
        origins = (*self.known.lineage.origins, origin)
        best.log.append((term, -term))
        best.applied, best.primary = len(best.log), True
        for server in fenced:
            server.source = best.name
        members = self.known.members
        self.known = Configuration(term, best.name, members, Lineage(origins))

    def follow(self, name):
        server = self.servers[name]
        if server.term < self.known.term:
            server.term, server.primary = self.known.term, False
            server.source = self.known.primary

    def announce(self):
        self.view.configure(self.known)

    def read(self, session, max_age):
        seen = self.seen[session] if self.checks_session else START
        need = ReadNeed(seen, self.now - max_age, "a")
        view = self.view
        choice = choose_read_server(
            need, view.candidates(self.now, {}), view.cfg.lineage
        )
        if not isinstance(choice, Chosen):
            return
        server = self.servers[choice.server]
        position = Position(server.log_term, server.applied)
        if view.unproven_reason(need, position):
            return
        visible = {number for _, number in server.log[: server.applied]}
        assert self.own[session] <= visible, "a session missed its own write"
        due = {n for n, at in self.acked.items() if at < self.now - max_age}
        assert due <= visible, "an answer was older than it may be"
        self.answered += 1
        self.shown |= {number for number in visible if number > 0}
        self.seen[session] = max(self.seen[session], position)


class AnyAge(GroupView):
    def as_of(self, position):
        return float("inf")


class AnyPosition(GroupView):
    def is_committed(self, position):
        return True

    def is_acknowledged(self, position):
        within = self.cfg.lineage.contains(position)
        return within and super().is_committed(position)


class UncheckedAge(Reading):
    make_view = AnyAge


class UncheckedCommit(Reading):
    make_view = AnyPosition


class UncheckedSession(Reading):
    checks_session = False


STEPS = 150
SEEDS = st.integers(0, 2**32)


def run_all(model, seeds):
    return [model(seed).run(STEPS) for seed in range(seeds)]


class TestReading:
    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(seed=SEEDS)
    def test_holds_under_failover_lag_and_late_answers(self, seed):
        Reading(seed).run(STEPS)

    def test_answers_and_acknowledges_in_most_runs(self):
        runs = run_all(Reading, seeds=50)
        assert sum(run.answered for run in runs) > 50
        assert sum(len(run.acked) for run in runs) > 50

    @pytest.mark.parametrize(
        ("model", "violation"),
        [
            (UncheckedSession, "missed its own write"),
            (UncheckedAge, "older than it may be"),
            (UncheckedCommit, "was taken back"),
        ],
    )
    def test_fails_without_each_check(self, model, violation):
        with pytest.raises(AssertionError, match=violation):
            run_all(model, seeds=1000)
