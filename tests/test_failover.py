import random
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mangoramp.policy import failover as fo

from .failover_world import FAULTS, World, at_primary_alone, finish, run_faults

SEEDS = range(60)


class PromotesWorst(fo.Failover):
    """Promotes the worst of the fenced servers."""

    def _best_candidate(self, state, fenced):
        return min(fenced, key=lambda status: (status.tail, status.name))


class FencesOne(fo.Failover):
    """Treats one fenced server as a majority."""

    def _has_fenced_enough(self, now, state, fenced):
        return bool(fenced)


class WithoutRecordedCandidate(fo.Failover):
    """Promotes without recording the candidate first."""

    def _fence(self, now, state):
        found = []
        for action in super()._fence(now, state):
            if isinstance(action, fo.UpdateGroup) and action.state.candidate:
                found.append(fo.Promote(action.state.candidate, state.term))
            found.append(action)
        return tuple(found)


class WithoutTermStarts(fo.Failover):
    """Does not record the start of a term."""

    def _update(self, now, new, reason):
        return super()._update(now, replace(new, origins=self.state.origins), reason)


class WithoutAgreement(fo.Failover):
    """Replaces a silent primary without the agreement of other observers."""

    def _has_agreement(self, now, state):
        return True


class IgnoresOwnPauses(WithoutAgreement):
    """Counts its own pauses as silence of the primary."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._detector.tick = lambda now: None


class NeverResumes(fo.Failover):
    """Does not continue a failover that another controller started."""

    def _is_turn(self, now, state):
        return self._acting_term == state.term


class IgnoresLeaving(fo.Failover):
    """Ignores that servers are leaving."""

    def _is_leaving(self, state, name):
        return False


def first_violation(what, **options):
    """Return the first seed with a violation that contains a text."""
    for seed in SEEDS:
        found = run_faults(seed, **options).violations()
        if any(what in violation for violation in found):
            return seed
    return None


class TestUnderPairsOfFaults:
    @pytest.mark.parametrize("first", SEEDS[::10])
    def test_keeps_all_rules(self, first):
        for seed in range(first, first + 10):
            assert run_faults(seed).violations() == []

    def test_shows_nothing_of_a_term_that_left_no_entries(self):
        world = World(1)
        world.advance(2.0)
        for name in ("s1", "s2"):
            world.servers[name].far_behind = True
        world.advance(0.5)
        world.set_state("s0", "frozen")
        world.advance(2.0)
        world.set_state(world.object.primary, "frozen")
        world.set_state("s0", "up")
        world.advance(3.0)
        assert world.object.origins[-1].previous == 1
        assert world.object.term > 2
        assert finish(world).violations() == []

    def test_loses_writes_without_the_best(self):
        assert first_violation("without", controller=PromotesWorst) is not None

    def test_loses_writes_without_a_fenced_majority(self):
        assert first_violation("without", controller=FencesOne) is not None

    def test_loses_writes_acknowledged_at_the_primary_alone(self):
        assert first_violation("without", ack_rule=at_primary_alone) is not None

    def test_acknowledges_replaced_writes_without_a_majority(self):
        what = "run and acknowledged in a replaced term"
        assert first_violation(what, ack_rule=at_primary_alone) is not None

    def test_shows_lost_entries_without_recorded_starts(self):
        assert first_violation("never had", controller=WithoutTermStarts) is not None

    def test_promotes_twice_without_a_recorded_candidate(self):
        assert (
            first_violation("promoted twice", controller=WithoutRecordedCandidate)
            is not None
        )


class Faults(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World(1)
        self.world.advance(1.0)

    @rule(name=st.sampled_from(sorted(FAULTS)), pair=st.permutations(range(3)))
    def fail(self, name, pair):
        FAULTS[name](self.world, pair[0], pair[1])

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.4, 1.4, 1.6, 3.0)))
    def wait(self, seconds):
        self.world.advance(seconds)

    @rule()
    def heal(self):
        self.world.heal()

    @invariant()
    def holds(self):
        assert self.world.violations() == []

    def teardown(self):
        assert finish(self.world).violations() == []


Faults.TestCase.settings = settings(
    max_examples=40, stateful_step_count=15, deadline=None, derandomize=True
)
TestAnySequence = Faults.TestCase


class TestNoPromotion:
    @staticmethod
    def terms(fault, *, seconds=4.0, **options):
        """Return the terms after a fault of some seconds, over several seeds."""
        found = set()
        for seed in range(5):
            world = World(seed, **options)
            world.advance(2.0 + seed * 0.03)
            fault(world)
            world.advance(seconds)
            world.heal()
            world.advance(4.0)
            assert world.violations() == []
            found.add(world.object.term)
        return found

    def test_for_a_short_pause(self):
        assert self.terms(lambda w: w.set_state("s0", "frozen"), seconds=0.7) == {1}

    def test_promotes_for_a_short_pause_without_the_wait(self):
        hasty = fo.Timings(ask_s=0.2, agree_s=0.2, suspect_s=0.3)
        frozen = self.terms(
            lambda w: w.set_state("s0", "frozen"), seconds=0.7, timings=hasty
        )
        assert frozen != {1}

    @pytest.mark.parametrize("home", ["c1", "c2"])
    def test_for_one_cut_path(self, home):
        assert self.terms(lambda w: w.cut("s0", home), seconds=9.0) == {1}

    def test_promotes_for_one_cut_path_without_the_others(self):
        terms = self.terms(
            lambda w: w.cut("s0", "c1"), seconds=9.0, controller=WithoutAgreement
        )
        assert terms != {1}

    @pytest.mark.parametrize("home", ["c0", "c1", "c2"])
    def test_for_a_slow_proxy(self, home):
        terms = self.terms(lambda w: w.set_state(home, "frozen"), seconds=7.0)
        assert terms == {1}

    def test_promotes_for_a_slow_proxy_without_looking_at_its_own_pauses(self):
        terms = self.terms(
            lambda w: w.set_state("c1", "frozen"),
            seconds=7.0,
            controller=IgnoresOwnPauses,
        )
        assert terms != {1}

    @pytest.mark.parametrize("server", ["s1", "s2"])
    def test_for_a_lost_replica(self, server):
        assert self.terms(lambda w: w.set_state(server, "dead")) == {1}

    def test_while_the_platform_is_down(self):
        world = World(3)
        world.advance(2.0)
        world.platform_down = True
        world.set_state("s0", "dead")
        world.advance(10.0)
        assert set(world.promoted) == {1}
        world.platform_down = False
        world.advance(4.0)
        assert world.object.primary in ("s1", "s2")


class TestResumption:
    @staticmethod
    def gaps(controller=fo.Failover):
        """Yield the write gaps when the acting controllers stop during a failover."""
        for moment in range(1, 60, 2):
            world = World(moment, controller=controller)
            world.advance(2.0)
            world.set_state("s0", "dead")
            world.advance(1.2 + moment * 0.01)
            acting = [c for c, h in world.homes.items() if h.policy._acting_term > 1]
            assert len(acting) < 3
            for name in acting:
                world.set_state(name, "frozen")
            since = world.now
            world.advance(9.0)
            yield world.gap(since)
            for name in acting:
                world.set_state(name, "up")
            world.advance(3.0)
            assert world.violations() == []

    def test_resumes_after_a_stop_at_any_step(self):
        assert max(self.gaps()) < 7.0

    def test_stalls_without_another_controller_that_resumes(self):
        assert max(self.gaps(NeverResumes)) >= 9.0


class TestWithoutThePlatform:
    @staticmethod
    def writes_of_cut_home(*, shares_state):
        world = World(4)
        world.shares_state = shares_state
        world.advance(2.0)
        world.lose_platform(1)
        world.set_state("s0", "dead")
        world.advance(3.5)
        before = len(world.acked)
        world.advance(2.0)
        assert world.violations() == []
        return [write for write in world.acked[before:] if write.startswith("c1-")]

    def test_learns_the_new_primary_from_the_others(self):
        assert self.writes_of_cut_home(shares_state=True)

    def test_keeps_refusing_without_the_others(self):
        assert not self.writes_of_cut_home(shares_state=False)


class TestLeaving:
    def test_hands_over_from_a_leaving_primary(self):
        world = World(1)
        world.advance(2.0)
        world.update_server("s0", leaving=True)
        since = world.now
        world.advance(3.0)
        assert world.object.primary in ("s1", "s2")
        assert world.gap(since) < 1.5
        assert finish(world).violations() == []

    @staticmethod
    def announced(controller=fo.Failover):
        """Return the recorded primaries when a leaving s1 has the longest log."""
        found = set()
        for seed in range(10):
            world = World(seed, controller=controller)
            world.update_server("s1", leaving=True)
            world.advance(2.0)
            world.servers["s2"].far_behind = True
            world.advance(0.5)
            world.set_state("s0", "dead")
            world.servers["s2"].far_behind = False
            world.advance(6.0)
            found |= {state.primary for _, state in world.history}
            assert finish(world).violations() == []
        return found

    def test_never_announces_a_leaving_server_while_one_stays(self):
        assert self.announced() == {"s0", "", "s2"}

    def test_announces_it_without_looking_at_who_leaves(self):
        assert "s1" in self.announced(IgnoresLeaving)


class TestRankVoters:
    def test_takes_the_servers_domains(self):
        ranked = fo.rank_voters("g", ["a", "b", "c"], ["d", "e"])
        assert set(ranked) == {"a", "b", "c"}

    def test_adds_domains_where_servers_are_close_together(self):
        ranked = fo.rank_voters("g", ["a", "a", "a"], ["a", "b", "c", "d"])
        assert len(ranked) == 3
        assert "a" in ranked

    def test_spreads_groups(self):
        firsts = {fo.rank_voters(f"g{n}", "abc", [])[0] for n in range(20)}
        assert firsts == set("abc")


class TestBackoff:
    def test_waits_longer_up_to_a_bound(self):
        backoff = fo.Backoff(random.Random(1))
        tried = [t for t in range(10_000) if backoff.try_attempt("a", t / 1000)]
        gaps = [b - a for a, b in zip(tried, tried[1:], strict=False)]
        assert gaps[0] < 200
        assert all(500 <= gap <= 1001 for gap in gaps[4:])
