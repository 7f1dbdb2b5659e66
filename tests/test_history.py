import asyncio
import random
from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.control.promoter import Claim
from mangoramp.policy.history import MAX_TERMS, TermHistory
from mangoramp.policy.position import Position
from mangoramp.policy.succession import Successor, choose_successor

from .wire_world import GROUP, World

SEEDS = 400
STEPS = 120
SERVERS = ("a", "b", "c")


class TestTermHistory:
    def test_positions_after_the_start_of_a_later_term_are_discarded(self):
        history = TermHistory([Position(1, 1), Position(2, 25)])
        assert not history.is_discarded(Position(1, 24))
        assert history.is_discarded(Position(1, 25))
        assert history.is_discarded(Position(1, 50))
        assert not history.is_discarded(Position(2, 50))
        assert not history.is_discarded(Position(3, 1))

    def test_a_primary_without_entries_of_its_term_shows_where_it_begins(self):
        history = TermHistory()
        history.record_start(2, Position(1, 24))
        assert history.is_discarded(Position(1, 25))
        assert not history.is_discarded(Position(1, 24))

    def test_keeps_the_last_terms(self):
        history = TermHistory(Position(t, t) for t in range(1, 3 * MAX_TERMS))
        assert len(history.positions) == MAX_TERMS
        assert history.positions[-1].term == 3 * MAX_TERMS - 1

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 5), st.integers(0, 30))))
    def test_the_order_of_what_is_learned_does_not_matter(self, pairs):
        positions = [Position(*pair) for pair in pairs]
        one, other = TermHistory(positions), TermHistory(reversed(positions))
        assert one.positions == other.positions
        assert TermHistory(one.positions).positions == one.positions


class TestChoice:
    def test_leaves_out_a_former_primary_with_a_longer_discarded_log(self):
        """Guards against discarded commits that come back with a former primary."""
        history = TermHistory([Position(1, 1), Position(2, 25)])
        former = Successor("former", Position(1, 50))
        replica = Successor("replica", Position(1, 24))
        assert choose_successor([former, replica], history) == replica
        assert choose_successor([former], history) is None
        assert choose_successor([former, replica]) == former

    def test_takes_the_primary_whatever_is_known(self):
        history = TermHistory([Position(2, 25)])
        primary = Successor("p", Position(1, 50), is_primary=True)
        assert choose_successor([primary], history) == primary


@dataclass
class Log:
    entries: list = field(default_factory=list)  # of the term and a unique name
    is_up: bool = True
    is_deaf: bool = False

    @property
    def received(self):
        last = self.entries[-1][0] if self.entries else 0
        return Position(last, len(self.entries))


class World3:
    """Three servers; the promoter learns what the primaries' answers show."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.logs = {name: Log() for name in SERVERS}
        self.primary, self.term = "a", 1
        self.history = TermHistory()
        self.discarded = set()
        self.names = 0
        self.promotions = 0

    def step(self):
        act = self.rng.choice(
            ["commit"] * 4 + ["crash", "return", "deaf", "hear", "promote", "restart"]
        )
        getattr(self, act)()

    def commit(self):
        log = self.logs[self.primary]
        if not log.is_up:
            return
        self.names += 1
        log.entries.append((self.term, self.names))
        self.replicate()
        self.history.record(log.received)

    def replicate(self):
        primary = self.logs[self.primary]
        for name, log in self.logs.items():
            if name != self.primary and log.is_up and not log.is_deaf:
                log.entries = list(primary.entries)

    def crash(self):
        self.logs[self.rng.choice(SERVERS)].is_up = False

    def return_(self):
        self.logs[self.rng.choice(SERVERS)].is_up = True

    def deaf(self):
        self.logs[self.rng.choice(SERVERS)].is_deaf = True

    def hear(self):
        self.logs[self.rng.choice(SERVERS)].is_deaf = False

    def restart(self):
        """All instances restart and know what the store holds."""
        self.history = TermHistory(self.history.positions)

    def promote(self):
        if self.logs[self.primary].is_up:
            return
        candidates = [
            Successor(name, log.received)
            for name, log in self.logs.items()
            if log.is_up and name != self.primary
        ]
        chosen = choose_successor(candidates, self.history)
        if chosen is None:
            return
        former, chosen_log = self.logs[self.primary], self.logs[chosen.id]
        returned = self.discarded.intersection(chosen_log.entries)
        assert not returned, f"{chosen} brings back {returned}"
        in_force = [
            log.entries
            for log in (self.logs[c.id] for c in candidates)
            if log.entries == former.entries[: len(log.entries)]
        ]
        assert chosen_log.entries == max(in_force, key=len), "commits are lost"
        self.discarded |= set(former.entries) - set(chosen_log.entries)
        self.primary, self.term = chosen.id, self.term + 1
        self.promotions += 1
        self.history.record_start(self.term, chosen_log.received)
        self.replicate()


setattr(World3, "return", World3.return_)


class TestAnyOrder:
    def test_of_crash_return_deafness_and_promotion_brings_nothing_back(self):
        """Guards against reads that lack a commit which is in force again."""
        terms = 0
        for seed in range(SEEDS):
            world = World3(seed)
            for _ in range(STEPS):
                world.step()
            terms = max(terms, world.promotions)
        assert terms >= 3


class TestStore:
    async def test_holds_where_the_term_of_a_new_primary_began(self):
        """Guards against a fleet that restarts and promotes a discarded log."""
        async with World(instances=1) as world:
            caller = await world.caller()
            for number in range(3):
                await caller.ask(f"WRITE a {number}")
            world.list_server("s1", state="draining")
            await world.wait_until(lambda: world.group.primary != "s1")

            def terms():
                found = world.platform.get("mangoramp-promotion", GROUP)
                return msgspec.json.decode(found.value, type=Claim).terms

            await world.wait_until(lambda: dict(terms()).get(world.group.term) == 4)
            await world.start_instance("i9")
            world.instances.pop(0).close()
            await asyncio.sleep(0)

    @pytest.mark.parametrize("lead_s", [0.3, 1.0])
    async def test_holds_it_where_the_server_leads_after_the_answer(self, lead_s):
        """Guards against review/6: the start of a term that is never recorded."""
        async with World(instances=2) as world:
            world.lead_s = lead_s
            caller = await world.caller()
            for number in range(3):
                await caller.ask(f"WRITE a {number}")
            world.list_server("s1", state="draining")
            await world.wait_until(lambda: world.group.primary != "s1")
            writing = asyncio.ensure_future(caller.ask("WRITE a 9"))

            def terms():
                found = world.platform.get("mangoramp-promotion", GROUP)
                return msgspec.json.decode(found.value, type=Claim).terms

            await world.wait_until(lambda: dict(terms()).get(world.group.term) == 4)
            await writing
            for number in range(2):  # as after a restart of all
                world.instances.pop(0).close()
                await world.start_instance(f"i{number}", is_first_start=False)
            world.list_server(world.group.primary, state="draining")

            def histories():
                return [i.servers.group(GROUP).history for i in world.instances]

            def is_known():
                return any(Position(2, 4) in h.positions for h in histories())

            await world.wait_until(is_known, 10.0)
            (history, *_) = [h for h in histories() if Position(2, 4) in h.positions]
            assert history.is_discarded(Position(1, 9))
            assert not history.is_discarded(Position(1, 3))

    @pytest.mark.parametrize("terms", [(), ((1, 1), (2, 25))])
    def test_claims_are_read_by_the_former_build_and_back(self, terms):
        """Guards against a rollout in which one build cannot read a claim."""
        fields = {"holder": "h", "token": 1, "former": "a", "former_since": 2,
                  "successor": "b", "former_era": 1}  # fmt: skip
        former = msgspec.defstruct(
            "FormerClaim", [(n, type(v)) for n, v in fields.items()]
        )
        claim = Claim(**fields, terms=terms)
        read = msgspec.json.decode(msgspec.json.encode(claim), type=former)
        assert msgspec.structs.asdict(read) == fields
        back = msgspec.json.decode(msgspec.json.encode(read), type=Claim)
        assert back == Claim(**fields)
