import asyncio

from .wire_world import World, configuration


class TestDuties:
    """An unexpected error in a background task does not end the task's duty."""

    async def test_a_promoter_that_failed_goes_on(self, monkeypatch):
        async with World() as world:
            (instance,) = world.instances
            check = instance._promoter._check_groups

            def fail_once(**kwargs):
                monkeypatch.setattr(instance._promoter, "_check_groups", check)
                raise KeyError("unexpected")

            monkeypatch.setattr(instance._promoter, "_check_groups", fail_once)
            await asyncio.sleep(0.3)
            world.group.servers["s1"].crash()
            caller = await world.caller()
            await caller.ask("WRITE a 1")
            await world.wait_until(lambda: world.group.primary != "s1")

    async def test_changes_are_followed_after_an_error(self, monkeypatch):
        async with World() as world:
            (instance,) = world.instances
            state = instance.cluster_state
            apply = state.apply_deployment

            def fail_once(deployment, revision):
                monkeypatch.setattr(state, "apply_deployment", apply)
                raise RuntimeError("unexpected")

            monkeypatch.setattr(state, "apply_deployment", fail_once)
            world.put("config", "main", configuration(2))
            await asyncio.sleep(0.2)
            world.put("config", "main", configuration(3))
            await world.wait_until(lambda: state.version == 3)

    async def test_a_report_that_causes_an_error_is_dropped(self, monkeypatch):
        async with World(instances=2) as world:
            first = world.instances[0]
            on_report = first.peers.on_report

            def fail_once(report):
                monkeypatch.setattr(first.peers, "on_report", on_report)
                raise TypeError("unexpected")

            monkeypatch.setattr(first.peers, "on_report", fail_once)
            await asyncio.sleep(0.6)
            assert len(first.peers.live_instances) == 2
