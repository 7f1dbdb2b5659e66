"""Compares the share of reads that replicas serve with the best possible share."""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from dataclasses import dataclass

import pytest

from mangoramp.policy.position import START, Lineage, Origin, Position
from mangoramp.policy.quorum import ServerStatus
from mangoramp.policy.routing import Chosen, ReadNeed, choose_read_server
from mangoramp.policy.view import Configuration, GroupServer, GroupView

SEEDS = range(5)
SECONDS = 60.0
MIN_SHARE_OF_BEST = 0.9
POLL_S = 0.1
LAG_PERIOD_S = 2.0


@dataclass(frozen=True)
class Workload:
    """A group's traffic and the lag of its replicas.

    Attributes:
        writes: Writes per second.
        reads: Reads per second.
        own_write_share: Share of reads directly after a write of the same session.
        age_s: Maximum data ages of reads, drawn uniformly, in seconds.
        lag_s: The normal lag of a replica, in seconds.
        far_lag_s: The lag of a replica that is far behind, in seconds.
        far_share: Share of time during which a replica is far behind.
        one_way_s: One-way network delay to a server, in seconds.
    """

    writes: float
    reads: float
    own_write_share: float
    age_s: tuple[float, ...]
    lag_s: float
    far_lag_s: float
    far_share: float
    one_way_s: float = 0.0005


TALA = Workload(
    5, 100, 0.05, (0.5, 2.0, 10.0), lag_s=0.05, far_lag_s=6.0, far_share=0.1
)
AGENCIA = Workload(
    30, 60, 0.2, (0.5, 1.0, 5.0), lag_s=0.03, far_lag_s=3.0, far_share=0.05
)


class Group:
    """A primary and two replicas with known positions at any time."""

    def __init__(self, load: Workload, rng: random.Random) -> None:
        self.load = load
        times = itertools.accumulate(rng.expovariate(load.writes) for _ in range(10**5))
        self.written = list(itertools.takewhile(lambda t: t < SECONDS, times))
        self.lags = {
            name: [self._lag(rng) for _ in range(int(SECONDS / LAG_PERIOD_S) + 2)]
            for name in ("b", "c")
        }
        self.floors = {name: self._floors(lags) for name, lags in self.lags.items()}

    def _lag(self, rng: random.Random) -> float:
        if rng.random() < self.load.far_share:
            return self.load.far_lag_s
        return rng.lognormvariate(0, 0.5) * self.load.lag_s

    def applied(self, name: str, now: float) -> int:
        if name == "a":
            return bisect.bisect_right(self.written, now)
        period = int(now / LAG_PERIOD_S)
        shown = bisect.bisect_right(self.written, now - self.lags[name][period])
        return max(shown, self.floors[name][period])

    def _floors(self, lags: list[float]) -> list[int]:
        """Return the position applied at each period's start; it never decreases."""
        ends = ((n + 1) * LAG_PERIOD_S - lag for n, lag in enumerate(lags))
        shown = (bisect.bisect_right(self.written, end) for end in ends)
        return [0, *itertools.accumulate(shown, max)]

    def status(self, name: str, asked_at: float, now: float) -> ServerStatus:
        held = bisect.bisect_right(self.written, now)
        applied = self.applied(name, now)
        return ServerStatus(name, "1", 1, 1, held, applied, name == "a", asked_at)

    def next_change(self, name: str, asked_at: float) -> float:
        """Return when a server polled now reports a held or applied position change."""
        held = bisect.bisect_right(self.written, asked_at)
        due = [asked_at + POLL_S, *self.written[held : held + 1]]
        if name != "a":
            lag = self.lags[name][int(asked_at / LAG_PERIOD_S)]
            applied = self.applied(name, asked_at)
            due += [at + lag for at in self.written[applied : applied + 1]]
        return max(asked_at, min(due))


@dataclass
class ReadCounts:
    reads: int = 0
    replica: int = 0
    possible: int = 0
    stale: int = 0

    def record(self, group: Group, need: ReadNeed, now: float, choice: object) -> None:
        min_offset = max(
            need.seen.offset, bisect.bisect_left(group.written, need.as_of)
        )
        self.reads += 1
        self.possible += any(
            group.applied(name, now) >= min_offset for name in ("b", "c")
        )
        if isinstance(choice, Chosen) and choice.server != "a":
            self.replica += 1
            self.stale += group.applied(choice.server, now) < min_offset


def run(load: Workload, seed: int) -> ReadCounts:
    rng = random.Random(seed)
    group = Group(load, rng)
    members = tuple(GroupServer(name, name, 2) for name in "abc")
    view = GroupView(Configuration(1, "a", members, Lineage((Origin(1, 0, 0),))))
    order = itertools.count()
    queue = [(0.0, next(order), name, 0.0) for name in "abc"]
    reads = itertools.accumulate(rng.expovariate(load.reads) for _ in range(10**5))
    for at in itertools.takewhile(lambda t: t < SECONDS - 1, reads):
        heapq.heappush(queue, (at, next(order), "read", at))
    counts = ReadCounts()
    while queue:
        now, _, kind, asked_at = heapq.heappop(queue)
        if kind == "read":
            is_own_write = rng.random() < load.own_write_share
            seen = Position(1, bisect.bisect_right(group.written, now))
            need = ReadNeed(
                seen if is_own_write else START, now - rng.choice(load.age_s), "b"
            )
            choice = choose_read_server(
                need, view.candidates(now, {}), view.cfg.lineage
            )
            counts.record(group, need, now, choice)
        elif now < SECONDS:
            view.record_status(
                group.status(kind, asked_at, max(0.0, now - load.one_way_s))
            )
            later = group.next_change(kind, now) + 2 * load.one_way_s
            heapq.heappush(queue, (later, next(order), kind, now))
    return counts


class TestReadShare:
    @pytest.mark.parametrize(("name", "load"), [("tala", TALA), ("agencia", AGENCIA)])
    def test_near_the_best(self, name, load):
        found = [run(load, seed) for seed in SEEDS]
        reads = sum(counts.reads for counts in found)
        replica = sum(counts.replica for counts in found) / reads
        possible = sum(counts.possible for counts in found) / reads
        print(f"\n{name}: replicas {replica:.3f}, best {possible:.3f}, primary only 0")
        assert not any(counts.stale for counts in found)
        assert replica >= MIN_SHARE_OF_BEST * possible
