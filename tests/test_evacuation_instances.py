"""Evacuation of failure domains by whole instances."""

import asyncio
import time

import pytest

from mangoramp.control import peers
from mangoramp.control.settings import Bounds, Features
from mangoramp.policy.duty import TENURE_S

from .relay import Relay
from .wire_world import GROUP, HOST, KEY, SERVERS, World, configuration

BOUND_S = 2.0  # instead of 5 s, to keep the tests short
ZONES = dict(zip(SERVERS, "abc", strict=True))


class Fleet(World):
    """A deployment with a server in each of three failure domains."""

    CHANGES = {
        "features": Features(evacuation=True),
        "bounds": Bounds(grace_s=3.0, evacuation_s=BOUND_S),
    }

    def list_server(self, server_id, **changes):
        super().list_server(server_id, **({"zone": ZONES[server_id]} | changes))

    async def start_instance(self, name, **changes):
        return await super().start_instance(name, **(self.CHANGES | changes))

    def evacuate(self, *domains):
        for domain in domains:
            self.put("evacuations", domain, {})

    def withdraw(self, domain):
        self.put("evacuations", domain, None)

    async def evacuated(self, *domains):
        await self.wait_until(
            lambda: all(
                i.evacuations.table.evacuated == set(domains) for i in self.instances
            )
        )

    async def send_until(self, caller, text, condition):
        answers = []
        async with asyncio.timeout(8.0):
            while not condition():
                answers.append((await caller.ask(text))[0])
                await asyncio.sleep(0.02)
        return answers

    async def assert_silent(self, server_id, evacuated_at, caller, text="READ a"):
        """Send requests for a while; none may reach the server after the bound."""
        await self.send_until(
            caller, text, lambda: time.monotonic() > evacuated_at + BOUND_S + 0.7
        )
        server = self.group.servers[server_id]
        assert server.last_request_at <= evacuated_at + BOUND_S


class TestInstances:
    async def test_the_primary_is_replaced_and_gets_nothing_more(self):
        """Guards against requests to the domain, and against a second promotion."""
        async with Fleet(instances=2) as world:
            caller = await world.caller()
            evacuated_at = time.monotonic()
            world.evacuate("a")
            answers = await world.send_until(
                caller, "WRITE a 1", lambda: world.group.primary != "s1"
            )
            assert all(a.startswith("DONE") for a in answers)
            await world.assert_silent("s1", evacuated_at, caller, "WRITE a 2")
            assert len({token for _, token, _ in world.promotion_requests}) == 1
            assert (await caller.ask("WRITE a 3"))[0].startswith("DONE")

    async def test_transactions_may_end_and_late_ones_are_aborted(self):
        async with Fleet() as world:
            world.is_promotion_enabled = False
            one, two = await world.caller(), await world.caller()
            for number, caller in enumerate((one, two)):
                await caller.ask("BEGIN")
                await caller.ask(f"WRITE tx{number} 1")
            world.evacuate("a")
            await world.evacuated("a")
            await asyncio.sleep(0.3 * BOUND_S)
            assert (await one.ask("COMMIT", "c1"))[0] == "DONE sig.c1"
            await asyncio.sleep(0.3 * BOUND_S)
            before = world.group.servers["s1"].last_request_at
            assert (await two.ask("COMMIT"))[0].startswith("ERR ABORTED")
            assert world.group.servers["s1"].last_request_at == before
            assert [entry.items for entry in world.group.log] == [(("tx0", "1"),)]

    async def test_without_a_successor_statements_are_rejected_at_once(self):
        """Guards against statements held until their deadline; then all return."""
        async with Fleet() as world:
            caller = await world.caller()
            await caller.ask("WRITE a 1")
            world.evacuate("a", "b", "c")
            await world.evacuated("a", "b", "c")
            await asyncio.sleep(BOUND_S / 4)
            started = time.monotonic()
            for _ in range(5):
                answer = (await caller.ask("WRITE a 2"))[0]
                assert answer.startswith("ERR BUSY ")
                assert "retry after" in answer
            assert time.monotonic() - started < 0.5
            assert not world.promotion_requests
            for domain in "abc":
                world.withdraw(domain)
            await world.evacuated()
            assert (await caller.ask("WRITE a 3"))[0].startswith("DONE")

    async def test_two_domains_in_succession(self):
        async with Fleet(instances=2) as world:
            caller = await world.caller()
            world.evacuate("a")
            await world.wait_until(lambda: world.group.primary != "s1")
            second = world.group.primary
            evacuated_at = time.monotonic()
            world.evacuate(ZONES[second])
            (last,) = set(SERVERS) - {"s1", second}
            await world.wait_until(lambda: world.group.primary == last)
            await world.assert_silent(second, evacuated_at, caller, "WRITE a 1")
            assert (await caller.ask("WRITE a 2"))[0].startswith("DONE")

    async def test_a_successor_evacuated_after_the_claim_is_not_promoted(self):
        """Guards against an order for a server that was evacuated meanwhile."""
        async with Fleet() as world:
            client = world.instances[0]._client
            put, claimed = client.put, []

            async def put_and_evacuate(kind, name, value, **conditions):
                result = await put(kind, name, value, **conditions)
                if not claimed:
                    world.evacuate(ZONES[value.successor])
                    await world.evacuated("a", ZONES[value.successor])
                claimed.append(value.successor)
                return result

            client.put = put_and_evacuate
            world.evacuate("a")
            await world.wait_until(lambda: claimed)
            (last,) = set(SERVERS) - {"s1", claimed[0]}
            # The claim for the evacuated successor must not hold the next one up.
            await world.wait_until(lambda: world.group.primary == last, TENURE_S - 0.5)
            assert {server for _, _, server in world.promotion_requests} == {last}

    async def test_one_withdrawn_at_once_causes_no_promotion(self):
        async with Fleet() as world:
            caller = await world.caller()
            world.evacuate("a")
            world.withdraw("a")
            await asyncio.sleep(1.0)
            assert not world.promotion_requests
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")

    async def test_an_instance_that_the_store_turns_away_learns_from_a_peer(self):
        async with Fleet() as world:
            relay = Relay(lambda: world._store_port)
            await relay.start()
            other = await world.start_instance(
                "cut-off", store_url=f"http://{HOST}:{relay.port}"
            )
            await world.wait_until(lambda: other.is_ready)
            relay.is_holding_connections = True
            relay.reset_connections()
            caller = await world.caller("search", instance=1)
            evacuated_at = time.monotonic()
            world.evacuate("b")
            await world.evacuated("b")
            await world.assert_silent("s2", evacuated_at, caller)
            world.withdraw("b")
            await world.evacuated()
            relay.close()

    async def test_a_new_instance_asks_a_peer_before_it_takes_callers(self):
        """Guards against a restart that sends to a domain evacuated before."""
        async with Fleet() as world:
            world.evacuate("b")
            await world.evacuated("b")
            relay = Relay(lambda: world._store_port)
            await relay.start()
            relay.is_holding_connections = True
            fresh = await world.start_instance(
                "fresh",
                store_url=f"http://{HOST}:{relay.port}",
                is_first_start=False,
            )
            await world.wait_until(lambda: fresh.is_ready)
            assert fresh.evacuations.table.evacuated == {"b"}
            relay.close()

    async def test_an_instance_that_knows_no_evacuations_is_not_ready(self):
        async with Fleet() as world:
            (known,) = world.instances
            fresh = await world.start_instance("fresh", seeds=())
            fresh.evacuations.apply_list = lambda listed, revision: None
            fresh.evacuations.apply_news = lambda entries: None
            await fresh.cluster_state.has_registry.wait()
            await asyncio.sleep(1.3)
            assert known.is_ready
            assert not fresh.is_ready
            caller, answer = await world.connect("orders", KEY, instance=1)
            assert answer.startswith("ERR ")

    async def test_a_restored_store_interrupts_no_evacuation(self):
        async with Fleet(instances=2) as world:
            copy = world.platform.take_copy()
            world.evacuate("b")
            await world.evacuated("b")
            seen = []
            world.platform.restore(copy)
            for _ in range(20):
                await asyncio.sleep(0.1)
                seen += [i.evacuations.table.evacuated for i in world.instances]
            world.evacuate("b")
            for _ in range(25):
                await asyncio.sleep(0.1)
                seen += [i.evacuations.table.evacuated for i in world.instances]
            assert set(seen) == {frozenset("b")}
            world.platform.restore(copy)
            await world.evacuated()

    async def test_metrics_and_records_of_a_fleet_without_the_feature(self):
        """Guards against other behaviour where evacuations are not supported."""
        async with World() as world:
            world.put("evacuations", "a", {})
            (instance,) = world.instances
            await asyncio.sleep(0.3)
            assert len(instance._feed._watches) == 2
            assert instance._build_report(1, 1).evacuations_at is None
            assert not instance.servers.group(GROUP).servers["s1"].is_evacuated
            caller = await world.caller()
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")

    async def test_a_home_elsewhere_takes_over(self):
        few = {"services": [{"name": GROUP, "max_connections": 6}]}
        async with Fleet(instances=0) as world:
            world.put("config", "main", configuration(2, **few))
            for number, domain in enumerate("aabbcc"):
                await world.start_instance(f"i{number}", failure_domain=domain)
            await world.wait_until(
                lambda: all(
                    len(i.peers.live_instances) == 6
                    and i.is_ready
                    and not i.homes.is_direct
                    for i in world.instances
                )
            )
            caller = await world.caller(instance=0)
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")
            evacuated_at = time.monotonic()
            world.evacuate("a")
            await world.evacuated("a")
            await asyncio.sleep(0.2)
            for instance in world.instances:
                assert not {"i0", "i1"} & set(instance.homes.names)
            await world.assert_silent("s1", evacuated_at, caller, "WRITE a 2")
            assert (await caller.ask("WRITE a 3"))[0].startswith("DONE")


class TestLargeFleet:
    """Eight instances in two failure domains, which report through hubs."""

    @pytest.fixture(autouse=True)
    def _few_flat(self, monkeypatch):
        monkeypatch.setattr(peers, "MAX_FLAT_INSTANCES", 3)
        monkeypatch.setattr(peers, "WATCHERS_PER_DOMAIN", 1)

    async def test_instances_that_do_not_watch_learn_of_it(self):
        """Guards against instances that only their hub could tell."""
        few = {"services": [{"name": GROUP, "max_connections": 12}]}
        async with Fleet(instances=0) as world:
            world.put("config", "main", configuration(2, **few))
            for number in range(8):
                await world.start_instance(
                    f"i{number}", failure_domain="ab"[number % 2]
                )
            await world.wait_until(
                lambda: all(
                    len(i.peers.live_instances) == 8 and i.is_ready
                    for i in world.instances
                ),
                10.0,
            )
            assert sum(i.peers.is_watcher for i in world.instances) < 8
            world.evacuate("c")
            await world.evacuated("c")
            copy = world.platform.take_copy()
            world.withdraw("c")
            await world.evacuated()
            world.evacuate("b")
            await world.evacuated("b")
            # The copy lacks b and still has c, which the operator removes again.
            world.platform.restore(copy)
            world.withdraw("c")
            await world.wait_until(
                lambda: all(not i.evacuations.table.evacuated for i in world.instances),
                10.0,
            )
