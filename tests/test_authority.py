import asyncio

import pytest

from mangoramp.control.settings import Bounds
from mangoramp.platform.promotion import PromotionOutcome
from mangoramp.policy.authority import (
    Knowledge,
    PauseDetector,
    is_claim_unseen,
    reason_to_wait,
)
from mangoramp.policy.duty import Replacement
from mangoramp.policy.revision import Revision

from .wire_world import GROUP, World


class TestKnowledge:
    def test_that_peers_confirm_is_enough(self):
        assert not reason_to_wait(Knowledge())

    def test_that_a_peer_has_newer_is_not(self):
        assert reason_to_wait(Knowledge(peers_know_more=True))

    @pytest.mark.parametrize(("report_s", "required_s"), [(0.25, 0.6), (2.0, 4.0)])
    def test_of_before_a_pause_counts_once_peers_could_report(
        self, report_s, required_s
    ):
        for since_pause_s, must_wait in ((0, True), (0.99, True), (1.01, False)):
            found = Knowledge(
                since_pause_s=since_pause_s * required_s, report_s=report_s
            )
            assert bool(reason_to_wait(found)) == must_wait

    def test_older_than_a_claim_does_not_show_its_effect(self):
        assert is_claim_unseen(Revision(1, 8), Revision(1, 7))
        assert not is_claim_unseen(Revision(1, 7), Revision(1, 8))
        assert is_claim_unseen(Revision(2, 1), Revision(1, 8))


class TestPauseDetector:
    def test_notices_a_pause_and_no_delay(self):
        pauses = PauseDetector()
        for now in (0.0, 0.1, 0.9, 1.0):
            pauses.record_check(now, next_s=0.1)
        assert pauses.since_pause_s(1.0) == float("inf")
        pauses.record_check(3.0, next_s=1.0)
        assert pauses.since_pause_s(3.4) == pytest.approx(0.4)
        pauses.record_check(4.8, next_s=0.1)  # late, but by less than a pause
        assert pauses.since_pause_s(4.8) == pytest.approx(1.8)


class TestDrainingPrimary:
    async def test_gets_no_statements_after_its_bound_without_a_successor(self):
        """Guards against statements for a leaving primary that nobody can replace."""
        async with World() as world:
            promoter = world.instances[0]._promoter

            async def refuse(*args, **facts):
                return PromotionOutcome.NOT_DONE

            promoter._promotion_client.promote = refuse
            world.instances[0].servers.limits.bounds = Bounds(draining_s=1.5)
            caller = await world.caller()
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            world.list_server("s1", state="draining")
            server = world.instances[0].servers.group(GROUP).servers["s1"]
            await world.wait_until(lambda: server.endpoint.is_draining)
            other = await world.caller()
            assert (await other.ask("WRITE b 1"))[0].startswith("DONE")
            await asyncio.sleep(1.5)
            answer = await other.ask("WRITE b 2", "late")
            assert answer[0].startswith("ERR BUSY the primary is about to leave")
            assert not world.find_runs("late")
            assert (await caller.ask("COMMIT"))[0].startswith("DONE")


class TestStaleInstance:
    """An instance whose registry is of the time before a promotion by others."""

    async def get_promoter(self, world):
        promoter = world.instances[0]._promoter
        await world.wait_until(lambda: GROUP in promoter._watches)
        group = world.instances[0].servers.group(GROUP)
        return promoter, group, promoter._watches[GROUP]

    async def make_stale(self, world):
        """Cut the first instance from the store and replace the primary meanwhile."""
        stale = world.instances[0]
        stale._feed._watches.clear()
        for task in stale._tasks[:1]:
            task.cancel()
        world.promote("s2")
        world.list_server("s1", state="draining")
        await world.wait_until(
            lambda: all(
                i.servers.group(GROUP).find_primary(0.0).id == "s2"
                for i in world.instances[1:]
            )
        )
        return stale

    async def test_does_not_replace_a_primary_that_others_have_promoted(
        self, monkeypatch
    ):
        """Guards against an instance back from a cut that deposes a healthy primary."""
        async with World(instances=3) as world:
            stale = world.instances[0]
            # It hears the others but takes no update from them.
            stale._news_fetcher._start_fetch = lambda: None
            await self.make_stale(world)
            group = stale.servers.group(GROUP)
            group.servers["s1"].not_primary_at = stale.servers.clock() + 100.0
            assert group.primary(stale.servers.clock()) is None
            del group.servers["s2"]  # it started while this instance was cut off
            await world.wait_until(lambda: stale._news_fetcher.is_behind_on_registry)
            watch = stale._promoter._watches[GROUP]
            watch.vacant_since = float("-inf")
            for _ in range(12):
                stale._promoter._check_groups(is_controller=True)
                await asyncio.sleep(0.1)
            await world.wait_until(lambda: not watch.is_replacing)
            assert not world.promotion_requests

    async def make_due(self, promoter, group, monkeypatch):
        """Return the decision to replace s1, which answers but counts as silent."""
        monkeypatch.setattr(promoter, "_is_due", lambda *args: True)
        return Replacement("s1", group.servers["s1"].primary_since)

    async def test_respects_a_claim_that_is_newer_than_its_registry(self, monkeypatch):
        """Guards against two promotions within a second by instances that differ."""
        async with World(instances=1) as world:
            promoter, group, watch = await self.get_promoter(world)
            world.put(
                "mangoramp-promotion",
                GROUP,
                {"holder": "other", "token": 9, "former": "s9", "former_since": 1,
                 "successor": "s3"},
            )  # fmt: skip
            former = await self.make_due(promoter, group, monkeypatch)
            await promoter._replace(group, watch, former, "it is silent")
            assert not world.promotion_requests
            # The holder is gone for longer than any lease.
            promoter._claims._started_at = float("-inf")
            world.list_server("s3", version="v2")  # the registry has changed since
            at = world.platform.get("servers", "s3").version
            fetcher = world.instances[0]._news_fetcher
            await world.wait_until(lambda: fetcher.registry_at.number >= at)
            await promoter._replace(group, watch, former, "it is silent")
            assert len(world.promotion_requests) == 1

    async def test_repeats_a_promotion_that_was_not_done(self, monkeypatch):
        """Guards against a promoter that waits for its own failed claim to expire."""
        async with World(instances=1) as world:
            promoter, group, watch = await self.get_promoter(world)
            former = await self.make_due(promoter, group, monkeypatch)
            answers = [PromotionOutcome.NOT_DONE] * 3

            async def refuse(*args, **facts):
                return answers.pop() if answers else await promote(*args, **facts)

            promote = promoter._promotion_client.promote
            monkeypatch.setattr(promoter._promotion_client, "promote", refuse)
            await promoter._replace(group, watch, former, "it is silent")
            assert not answers
            await promoter._replace(group, watch, former, "it is silent")
            assert len(world.promotion_requests) == 1
