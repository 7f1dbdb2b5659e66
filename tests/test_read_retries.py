"""Reads that a server fails run again at another server, within a budget."""

import asyncio

import pytest

from mangoramp.control.settings import Features
from mangoramp.policy.hedging import BURST, RETRY_RATIO, AttemptBudget
from mangoramp.serving.command import Refusal

from .wire_world import SERVERS, World

USUAL_LAG_S = 0.15  # replicas are asked only for entries older than this
FEATURES = Features(server_health=True)


class HealthWorld(World):
    """A deployment whose settings contain ``server_health``."""

    async def start_instance(self, name, **changes):
        return await super().start_instance(name, features=FEATURES, **changes)


async def search(world):
    """Return a caller whose reads a replica can serve."""
    caller = await world.caller("search")
    await caller.ask("READ a")
    await asyncio.sleep(USUAL_LAG_S)
    return caller


def fail(world, server_ids, count=1, refusal=Refusal.FAILED):
    for server_id in server_ids:
        world.group.servers[server_id].faults.refusals.extend([refusal] * count)


class TestFailedReads:
    @pytest.mark.parametrize("failing", [SERVERS[1:2], SERVERS[2:], SERVERS[1:]])
    async def test_run_again_at_another_server(self, failing):
        """Guards against passing on the failure of one misbehaving server."""
        async with HealthWorld() as world:
            caller = await search(world)
            fail(world, failing)
            assert (await caller.ask("READ a", "r1"))[1] == "DONE sig.r1"
            assert world.find_runs("r1")[0].server not in failing

    async def test_are_not_run_again_without_the_feature(self):
        """Guards against a changed behaviour of deployments that did not ask for it."""
        async with World() as world:
            caller = await search(world)
            fail(world, SERVERS)
            assert (await caller.ask("READ a", "r1"))[0].startswith("ERR")
            left = [world.group.servers[s].faults.refusals for s in SERVERS]
            assert sum(map(len, left)) == len(SERVERS) - 1

    async def test_that_fail_everywhere_are_passed_on_as_failed(self):
        """Guards against retries until the timeout, and against a false "not run"."""
        async with HealthWorld() as world:
            caller = await search(world)
            fail(world, SERVERS, count=5)
            (error, _) = await caller.ask("READ a", "r1")
            assert error.startswith("ERR FAILED")
            left = [world.group.servers[s].faults.refusals for s in SERVERS]
            assert sum(map(len, left)) == 5 * len(SERVERS) - 3

    async def test_show_the_sessions_own_writes(self):
        """Guards against a retry at a server that has not applied the position."""
        async with HealthWorld() as world:
            caller = await world.caller("notes")
            await caller.ask("READ a")
            world.group.servers["s2"].is_replication_paused = True
            for number in range(5):
                await caller.ask(f"WRITE a {number}")
                await asyncio.sleep(USUAL_LAG_S)
                fail(world, ("s3",))
                assert (await caller.ask("READ a"))[0] == f"ROW {number}"

    async def test_of_a_transaction_are_not_run_again(self):
        """Guards against a repeated statement in a transaction that has failed."""
        async with HealthWorld() as world:
            caller = await world.caller()
            await caller.ask("BEGIN")
            fail(world, SERVERS[:1])
            assert (await caller.ask("READ a", "r1"))[0].startswith("ERR")
            assert not world.find_runs("r1")

    async def test_writes_are_never_run_again(self):
        """Guards against a second effect of a write that failed half-way."""
        async with HealthWorld() as world:
            caller = await world.caller()
            fail(world, SERVERS[:1])
            assert (await caller.ask("WRITE a 1", "w1"))[0].startswith("ERR")
            assert not world.find_runs("w1")


class TestAttemptBudget:
    def test_limits_retries_to_a_share_of_the_reads(self):
        """Guards against doubled load when every server fails every read."""
        budget = AttemptBudget(RETRY_RATIO)
        granted = 0
        for _ in range(10_000):
            budget.record_read()
            granted += budget.try_acquire()
        assert granted <= 10_000 * RETRY_RATIO + BURST

    def test_lets_an_outliers_failures_through(self):
        budget = AttemptBudget(RETRY_RATIO)
        assert all(budget.try_acquire() for _ in range(int(BURST)))
        assert not budget.try_acquire()
