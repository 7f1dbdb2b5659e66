"""One instance at a time replaces a primary, whatever happens between its steps."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from mangoramp.control.promotion_claims import Claim
from mangoramp.policy.duty import (
    LEASE_S,
    TENURE_S,
    ClaimView,
    Replacement,
    RevisionAges,
    Situation,
    reason_to_stop,
    wait_to_claim_s,
)
from mangoramp.policy.revision import Revision

from . import virtual_time
from .promotion_world import PromotionWorld


class TestHolders:
    def test_take_no_turns(self):
        """Guards against two holders of one planned release."""
        for seed in range(30):
            world = PromotionWorld(seed)
            virtual_time.run(world.play_releases(12))
            assert not world.find_turns(LEASE_S), seed
            assert len(world.promotions) == 12, seed


class TestChangesBetweenSteps:
    """A promotion is not sent once the reason for it has ended, at whichever step."""

    def play(self, step, change, *, watch_s=0.6):
        return virtual_time.run(self.run(step, change, watch_s))

    async def run(self, step, change, watch_s):
        world = PromotionWorld(1, instances=1)
        world.start()
        await asyncio.sleep(1.0)
        world.changed_at = None
        (machine,) = world.machines

        def tell(server_id, **changes):
            world.store.revision += 1
            endpoint = replace(world.endpoints[server_id], **changes)
            endpoint = replace(endpoint, sequence=endpoint.sequence + 1)
            world.endpoints[server_id] = endpoint
            revision = Revision(1, world.store.revision)
            world.apply_entry(machine, endpoint, revision)

        def after_step(found):
            if found == step and world.changed_at is None:
                world.changed_at = world.now
                change(world, tell)

        world.after_step = after_step
        tell("s0", is_draining=True)
        await asyncio.sleep(watch_s)
        assert world.changed_at is not None
        world.stop()
        return world.calls

    @pytest.mark.parametrize("step", ["read", "status", "claim"])
    def test_another_instance_has_replaced_the_primary(self, step):
        """Guards against a second promotion for a primary that is replaced already."""

        def change(world, tell):
            world.primary = "s2"
            tell("s2", is_primary=True)
            tell("s0", is_primary=False)

        assert not self.play(step, change)

    @pytest.mark.parametrize("step", ["read", "status", "claim"])
    def test_the_primary_stays(self, step):
        assert not self.play(step, lambda world, tell: tell("s0", is_draining=False))

    @pytest.mark.parametrize("step", ["read", "status", "claim"])
    def test_a_peer_knows_more(self, step):
        def change(world, tell):
            world.machines[0].promoter._peers_know_more = lambda: True

        assert not self.play(step, change)

    @pytest.mark.parametrize("step", ["claim"])
    @pytest.mark.parametrize("changes", [{"started_ms": 6}, {"is_draining": True}])
    def test_the_successor_is_no_use_any_more(self, step, changes):
        """Guards against the promotion of a server that has lost its log."""

        def change(world, tell):
            for server_id in ("s1", "s2"):
                tell(server_id, **changes)

        calls = self.play(step, change)
        assert "is_draining" not in changes or not calls
        assert find_first_token(calls) != FIRST_TOKEN


FIRST_TOKEN = (1 << 40) + 1  # of a claim where there was none before


def find_first_token(calls):
    """Return the token of the first call, None if there was none."""
    return calls[0].token if calls else None


class TestWaitToClaim:
    """How long an instance waits for the claim of another."""

    NEW = ClaimView(age_s=0.0, tenure_s=TENURE_S)

    def wait(self, **changes):
        return wait_to_claim_s(replace(self.NEW, **changes))

    def test_covers_all_calls_and_a_lease(self):
        assert self.wait() > TENURE_S + LEASE_S
        assert self.wait(age_s=TENURE_S + LEASE_S + 0.2) == 0.0

    def test_covers_the_calls_of_an_absent_holder(self):
        assert TENURE_S < self.wait(is_away=True) < TENURE_S + LEASE_S

    def test_covers_a_lease_after_the_last_call(self):
        assert self.wait(is_over=True) == LEASE_S
        assert self.wait(is_over=True, is_away=True) == 0.0
        assert self.wait(is_over=True, is_unused=True) == 0.0

    def test_covers_what_is_not_known_yet(self):
        assert self.wait(is_over=True, is_unused=True, is_unseen=True) > 0.0
        assert self.wait(is_own_name=True, is_unseen=True) > 0.0

    def test_is_none_for_an_own_claim(self):
        assert self.wait(is_own=True, is_unseen=True) == 0.0
        assert self.wait(is_own_name=True) == 0.0


class TestReasonToStop:
    DECIDED = Replacement("s1", Revision(1, 5))
    SAME = Situation("s1", Revision(1, 5))

    def test_is_empty_while_nothing_has_changed(self):
        assert reason_to_stop(self.DECIDED, self.SAME) == ""

    def test_is_empty_once_the_group_has_no_primary_any_more(self):
        assert reason_to_stop(self.DECIDED, Situation("", is_due=False)) == ""

    @pytest.mark.parametrize(
        "changes",
        [
            {"primary": "s2"},
            {"since": Revision(1, 6)},
            {"is_due": False},
            {"wait_reason": "a peer knows a newer registry"},
            {"successor_fault": "s2 has left"},
        ],
    )
    def test_tells_what_has_changed(self, changes):
        assert reason_to_stop(self.DECIDED, replace(self.SAME, **changes))


class TestRevisionAges:
    def test_count_from_when_a_revision_was_known_to_exist(self):
        ages = RevisionAges()
        ages.record(1.0, Revision(1, 10))
        ages.record(2.0, Revision(1, 10))
        ages.record(3.0, Revision(1, 20))
        assert ages.age_s(Revision(1, 10), 5.0) == 4.0
        assert ages.age_s(Revision(1, 11), 5.0) == 2.0
        assert ages.age_s(Revision(1, 21), 5.0) == 0.0

    def test_of_a_former_era_are_known(self):
        ages = RevisionAges()
        ages.record(1.0, Revision(2, 10))
        assert ages.age_s(Revision(1, 99), 5.0) == 4.0

    def test_are_kept_for_longer_than_any_wait(self):
        ages = RevisionAges()
        for now in range(1000):
            ages.record(now, Revision(1, now))
        assert len(ages._known) < 40
        assert ages.age_s(Revision(1, 990), 999.0) == 9.0


class FormerClaim(msgspec.Struct, frozen=True):
    """The record as builds up to 8bfac23 write and read it."""

    holder: str
    token: int
    former: str
    former_since: int
    successor: str
    former_era: int = 0
    terms: tuple[tuple[int, int], ...] = ()


class TestFormerShape:
    OLD = FormerClaim("i1", 7, "s1", 5, "s2", 1, ((1, 2),))

    def test_of_a_claim_is_read_with_the_calls_that_its_build_makes(self):
        found = msgspec.json.decode(msgspec.json.encode(self.OLD), type=Claim)
        assert found.tenure_ms >= 6300
        assert not found.is_over
        assert not found.is_unused
        assert found.terms == ((1, 2),)

    def test_is_what_a_former_build_reads(self):
        new = Claim("i1", 7, "s1", 5, "s2", 1, ((1, 2),), 6500, True, True, (1, 2))
        raw = msgspec.json.encode(new)
        assert msgspec.json.decode(raw, type=FormerClaim) == self.OLD
