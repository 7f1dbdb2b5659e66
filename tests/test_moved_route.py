"""What is learned from an answer belongs to the group of the server that gave it."""

import asyncio

import pytest

from mangoramp.standins.wire_group import WireGroup

from .wire_world import GROUP, World, configuration

SECOND = "second"


class TestMovedRoute:
    """A route moves to another group while a transaction is open in the first one."""

    async def move(self, world):
        routes = [
            {
                "database_name": "notes",
                "type": "read_your_writes",
                "max_staleness_ms": 2500,
                "service": SECOND,
                "timeout_ms": 1500,
                "priority": 1,
            }
        ]
        services = [{"name": n, "max_connections": 16} for n in (GROUP, SECOND)]
        world.put("config", "main", configuration(2, routes=routes, services=services))
        state = world.instances[0].cluster_state
        await world.wait_until(lambda: state.version == 2)

    def world(self):
        return World(other_groups=(WireGroup(SECOND, ("t1", "t2", "t3")),))

    async def raise_term(self, world):
        """Have the first group in a later term than the second one."""
        for server_id in ("s2", "s3"):
            world.promote(server_id)
        group = world.instances[0].servers.group(GROUP)
        await world.wait_until(lambda: group.find_primary(0.0).id == "s3")

    @pytest.mark.parametrize("is_prepared", [False, True])
    async def test_a_commit_says_nothing_of_the_new_group(self, is_prepared):
        """Guards against stale reads after a commit across a moved route (review/8)."""
        async with self.world() as world:
            await self.raise_term(world)
            caller = await world.caller("notes")
            if is_prepared:
                await caller.ask("PREPARE p WRITE shape")
            await caller.ask("BEGIN")
            await caller.ask("EXEC p a 1" if is_prepared else "WRITE a 1")
            await self.move(world)
            assert (await caller.ask("COMMIT"))[0].startswith("DONE")
            second = world.instances[0].servers.group(SECOND)
            assert all(p.term == 1 for p in second.history.positions)
            # The session's own reads need no position that the second group never has.
            assert (await caller.ask("READ a"))[0].startswith("ROW")
            assert (await caller.ask("WRITE b 1"))[0].startswith("DONE")
            assert (await caller.ask("READ b"))[0] == "ROW 1"

    async def test_a_commit_stops_no_promotion_of_the_new_group(self):
        """Guards against replicas that all count as discarded for good."""
        async with self.world() as world:
            second = world.groups[1]
            for number in range(3):
                second.commit(((f"x{number}", "1"),))
            await self.raise_term(world)
            caller = await world.caller("notes")
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            await self.move(world)
            await caller.ask("COMMIT")
            second.servers["t1"].crash()
            other = await world.caller("notes")
            asking = asyncio.ensure_future(other.ask("WRITE b 1"))
            await world.wait_until(lambda: second.primary != "t1", 10.0)
            await asking

    async def test_a_write_before_the_move_says_nothing_either(self):
        async with self.world() as world:
            await self.raise_term(world)
            caller = await world.caller("notes")
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")
            await self.move(world)
            assert (await caller.ask("READ a"))[0].startswith("ROW")
