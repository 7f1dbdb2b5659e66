"""One instance at a time replaces a primary, whatever happens between its steps."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from mangoramp.control.promotion_claims import (
    Claim,
    PromotionClaims,
    StoredClaim,
)
from mangoramp.platform.promotion import PromotionClient, PromotionOutcome
from mangoramp.platform.settings import load_instance_settings
from mangoramp.policy.duty import (
    LEASE_S,
    MIN_CALL_S,
    TENURE_S,
    ClaimView,
    Replacement,
    RevisionAges,
    Situation,
    Tenure,
    reason_to_stop,
    wait_to_claim_s,
)
from mangoramp.policy.revision import Revision
from mangoramp.standins._ports import HOST

from . import virtual_time
from .promotion_world import GROUP, PromotionWorld

BOUND_S = 13.0  # to replace a primary


class TestHolders:
    @pytest.mark.parametrize("lost_part", [0.0, 0.02, 0.1])
    def test_take_no_turns_and_send_no_old_token(self, lost_part):
        """Guards against two holders of one release, and calls after a successor's."""
        for seed in range(30):
            world = PromotionWorld(seed, lost_part=lost_part)
            virtual_time.run(world.play_releases(12))
            assert not world.find_turns(LEASE_S), seed
            assert not world.find_low_tokens(), seed
            if not lost_part:
                assert len(world.promotions) == 12, seed

    def test_one_that_cannot_reach_the_platform_hands_over(self):
        """Guards against callers who wait for a holder that is cut off."""
        for seed in range(20):
            durations = virtual_time.run(self.play_cut(seed))
            assert max(durations) < BOUND_S, seed

    async def play_cut(self, seed):
        world = PromotionWorld(seed)
        world.start()
        await asyncio.sleep(2.0)
        durations = []
        for _ in range(3):
            leaving = await world.release()
            began_at = world.now
            while world.primary == leaving and world.now < began_at + 60.0:
                await asyncio.sleep(0.05)
            durations.append(world.now - began_at)
            holder = next(m for m in world.machines if m.name == world.calls[-1].holder)
            world.disturb(holder, cut_s=30.0)
            await asyncio.sleep(2.0)
        world.stop()
        return durations


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

    @pytest.mark.parametrize("step", ["read", "status", "claim", "connect"])
    def test_another_instance_has_replaced_the_primary(self, step):
        """Guards against a second promotion for a primary that is replaced already."""

        def change(world, tell):
            world.primary = "s2"
            tell("s2", is_primary=True)
            tell("s0", is_primary=False)

        assert not self.play(step, change)

    @pytest.mark.parametrize("step", ["read", "status", "claim", "connect"])
    def test_the_primary_stays(self, step):
        assert not self.play(step, lambda world, tell: tell("s0", is_draining=False))

    @pytest.mark.parametrize("step", ["read", "status", "claim", "connect"])
    def test_a_peer_knows_more(self, step):
        def change(world, tell):
            world.machines[0].promoter._peers_know_more = lambda: True

        assert not self.play(step, change)

    @pytest.mark.parametrize("step", ["claim", "connect"])
    @pytest.mark.parametrize("changes", [{"started_ms": 6}, {"is_draining": True}])
    def test_the_successor_is_no_use_any_more(self, step, changes):
        """Guards against the promotion of a server that has lost its log."""

        def change(world, tell):
            for server_id in ("s1", "s2"):
                tell(server_id, **changes)

        calls = self.play(step, change)
        assert "is_draining" not in changes or not calls
        assert find_first_token(calls) != FIRST_TOKEN

    @pytest.mark.parametrize("step", ["claim", "connect"])
    def test_the_process_is_paused_beyond_its_tenure(self, step):
        """Guards against a call after the time at which others take over."""

        def change(world, tell):
            world.disturb(world.machines[0], pause_s=TENURE_S + 1.0)

        calls = self.play(step, change, watch_s=TENURE_S + 2.0)
        assert calls
        assert find_first_token(calls) != FIRST_TOKEN


FIRST_TOKEN = (1 << 40) + 1  # of a claim where there was none before


def find_first_token(calls):
    """Return the token of the first call, None if there was none."""
    return calls[0].token if calls else None


class TestWaitToClaim:
    """How long an instance waits for the claim of another."""

    NEW = ClaimView(age_s=0.0, tenure_s=TENURE_S)

    def wait(self, *, is_fenced=False, **changes):
        return wait_to_claim_s(replace(self.NEW, **changes), is_fenced=is_fenced)

    def test_covers_all_calls_and_a_lease(self):
        assert self.wait() > TENURE_S + LEASE_S
        assert self.wait(age_s=TENURE_S + LEASE_S + 0.2) == 0.0

    def test_covers_the_calls_of_an_absent_holder(self):
        gone = {"is_away": True, "silent_s": float("inf")}
        assert TENURE_S < self.wait(**gone) < TENURE_S + LEASE_S
        assert self.wait(**gone, is_over=True) == 0.0

    def test_covers_a_lease_after_a_holder_was_last_in_touch(self):
        """Guards against a turn taken right after a holder was killed."""
        killed = {"is_away": True, "age_s": 1.5, "silent_s": 1.0}
        assert self.wait(**killed, is_over=True) >= LEASE_S - 1.5
        assert self.wait(**killed) >= LEASE_S - 1.0

    def test_ends_early_for_an_absent_holder_of_the_past_where_tokens_count(self):
        facts = {"is_away": True, "is_settled": True, "silent_s": float("inf")}
        assert self.wait(is_fenced=True, **facts) == 0.0
        assert self.wait(is_fenced=False, **facts) > TENURE_S

    def test_covers_a_lease_after_the_last_call(self):
        assert self.wait(is_over=True) == LEASE_S
        assert self.wait(is_over=True, is_unused=True) == 0.0

    def test_covers_what_is_not_known_yet(self):
        assert self.wait(is_over=True, is_unused=True, is_unseen=True) > 0.0
        assert self.wait(is_own_name=True, is_unseen=True) > 0.0

    def test_is_none_for_an_own_claim(self):
        assert self.wait(is_own=True, is_unseen=True) == 0.0
        assert self.wait(is_own_name=True) == 0.0


class TestUnknownHolder:
    def test_counts_as_in_touch_until_it_could_be_known(self):
        """Guards against turns of two instances that have not heard each other yet."""
        now = [100.0]
        claims = PromotionClaims(
            "i1",
            None,
            lambda: now[0],
            registry_at=lambda: Revision(1, 9),
            is_away=lambda name: True,
            heard=dict,
            is_fenced=lambda: True,
        )
        ended = Claim("i0", 7, "s0", 2, "s1", 1, tenure_ms=2600, is_over=True)
        stored = StoredClaim(GROUP, 8, 1, ended)
        decided = Replacement("s1", Revision(1, 9))
        assert claims.wait_s(stored, decided) > 0.9 * LEASE_S
        now[0] += LEASE_S + 1.0
        assert claims.wait_s(stored, decided) == 0.0


class TestTenure:
    def test_leaves_time_for_an_answer(self):
        tenure = Tenure(10.0)
        assert tenure.may_call(10.0 + TENURE_S - MIN_CALL_S - 0.01)
        assert not tenure.may_call(10.0 + TENURE_S - MIN_CALL_S + 0.01)
        assert tenure.left_s(10.0 + TENURE_S) == pytest.approx(0.0)


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
        new = Claim("i1", 7, "s1", 5, "s2", 1, ((1, 2),), 2600, True, True, (1, 2))
        raw = msgspec.json.encode(new)
        assert msgspec.json.decode(raw, type=FormerClaim) == self.OLD

    def test_calls_end_before_a_former_build_takes_the_claim_over(self):
        assert TENURE_S < 3.0


class Api:
    """A promotion API that answers after a delay, or not at all."""

    def __init__(self, *, status=200, delay_s=0.0):
        self.status = status
        self.delay_s = delay_s
        self.requests = []
        self.ends = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        return PromotionClient(f"http://{HOST}:{port}")

    async def __aexit__(self, *exc):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(head.decode())
            await asyncio.sleep(self.delay_s)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % self.status)
            await writer.drain()
            await reader.read()
            self.ends.append("closed")
        except asyncio.IncompleteReadError:
            self.ends.append("closed")
        except OSError:
            self.ends.append("reset")
        finally:
            writer.close()


class TestPromotionClient:
    async def promote(self, client, time_left):
        return await client.promote(
            GROUP, "s2", holder="i1", token=9, time_left=time_left
        )

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [(200, "accepted"), (409, "refused"), (429, "not_done"), (500, "unknown")],
    )
    async def test_sends_holder_and_token(self, status, outcome):
        api = Api(status=status)
        async with api as client:
            found = await self.promote(client, lambda: 1.0)
        assert found is PromotionOutcome(outcome)
        (head,) = api.requests
        assert head.startswith("POST /promotion HTTP/1.1\r\n")
        assert "Lease-Holder: i1\r\n" in head
        assert "Fencing-Token: 9\r\n" in head

    async def test_sends_nothing_once_the_right_has_ended_during_the_connection(self):
        """Guards against a call that was decided before a slow connection."""
        api, left = Api(), [1.0, 0.0]
        async with api as client:
            found = await self.promote(client, lambda: left.pop(0))
            await asyncio.sleep(0.05)
        assert found is PromotionOutcome.NOT_SENT
        assert not left
        assert not api.requests

    async def test_resets_a_connection_without_an_answer_in_time(self):
        """Guards against bytes that arrive after the next holder's call."""
        api = Api(delay_s=0.4)
        async with api as client:
            found = await self.promote(client, lambda: 0.2)
            await asyncio.sleep(0.5)
        assert found is PromotionOutcome.UNKNOWN
        assert api.ends == ["reset"]

    async def test_tells_that_nothing_was_sent_without_a_connection(self):
        client = PromotionClient(f"http://{HOST}:9")
        assert await self.promote(client, lambda: 0.5) is PromotionOutcome.NOT_SENT
        assert await self.promote(PromotionClient(""), lambda: 0.5) is (
            PromotionOutcome.NOT_SENT
        )


class TestFencingSetting:
    TEXT = """
node_name = "i1"
ip = "127.0.0.1"
zone = "a"
internal_ports = [7000, 7009]
[listen_addresses]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
[bounds]
"""

    @pytest.mark.parametrize(
        ("line", "is_fenced"),
        [
            ("", False),
            ("require_fencing = false", False),
            ("require_fencing = true", True),
        ],
    )
    def test_is_read(self, tmp_path, line, is_fenced):
        path = tmp_path / "local.toml"
        path.write_text(self.TEXT + line)
        assert load_instance_settings(path).unwrap().is_fenced is is_fenced
