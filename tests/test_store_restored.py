"""The store comes back from a copy some seconds old."""

import asyncio
import random
from dataclasses import replace

import msgspec
import pytest
import tornado.web
from returns.result import Success
from tornado.httpserver import HTTPServer

from mangoramp.control.cluster_state import ClusterState
from mangoramp.control.deployment import Deployment
from mangoramp.control.endpoint import Endpoint
from mangoramp.errors import Outcome
from mangoramp.platform.client import PlatformClient
from mangoramp.policy.fencing import fencing_token
from mangoramp.policy.revision import Revision
from mangoramp.serving.servers import Servers
from mangoramp.standins._ports import HOST, free_ports
from mangoramp.standins.platform import Platform

from .relay import Relay
from .wire_world import GROUP, World, configuration

KIND = "things"


class Store:
    """A store with a client; use it as an asynchronous context manager."""

    def __init__(self):
        self.platform = Platform()

    async def __aenter__(self):
        (port,) = free_ports(1)
        self._http = HTTPServer(self.platform.application())
        self._http.listen(port, HOST)
        self.client = PlatformClient(f"http://{HOST}:{port}")
        return self

    async def __aexit__(self, *exc):
        self.client.close()
        self._http.stop()

    async def put(self, name, value, version=0, era=None):
        return await self.client.put(KIND, name, value, version=version, era=era)


class TestClient:
    async def test_a_restoration_is_noticed_in_any_answer(self):
        async with Store() as store:
            restored = []
            store.client.on_restored = lambda: restored.append(store.client.era)
            copy = store.platform.take_copy()
            await store.put("a", 1)
            assert not restored
            store.platform.restore(copy)
            store.platform.faults.down = True
            await store.client.get(KIND, "a", int)
            assert restored == [2]

    async def test_a_watch_lists_anew_although_the_revision_exists_again(self):
        async with Store() as store:
            copy = store.platform.take_copy()
            await store.put("a", 1)
            listed = (await store.client.fetch_changes(KIND, int)).unwrap()
            store.platform.restore(copy)
            assert store.platform.put(KIND, "b", 0, b"2")
            await store.client.get(KIND, "b", int)
            changes = await store.client.fetch_changes(
                KIND, int, since=listed.version, era=listed.era, wait_s=0.1
            )
            found = changes.unwrap()
            assert found.is_complete
            assert [o.name for o in found.objects] == ["b"]
            assert found.revision > listed.revision

    async def test_an_answer_to_a_call_of_the_former_era_proves_nothing(self):
        async with Store() as store:
            await store.put("a", 1)
            copy = store.platform.take_copy()
            store.platform.faults.late_s = 0.1
            putting = asyncio.ensure_future(store.put("b", 1))
            await asyncio.sleep(0.05)
            store.platform.restore(copy)
            result = await putting
            assert not isinstance(result, Success)
            assert result.failure().outcome is Outcome.UNKNOWN

    async def test_a_revision_of_the_former_era_is_no_condition(self):
        async with Store() as store:
            await store.put("a", 1)
            read = (await store.client.get(KIND, "a", int)).unwrap()
            store.platform.restore(store.platform.take_copy())
            await store.client.get(KIND, "other", int)
            result = await store.put("a", 2, version=read.version, era=read.era)
            assert result.failure().outcome is Outcome.NOT_RUN
            assert store.platform.get(KIND, "a").value == msgspec.Raw(b"1")

    async def test_a_store_that_reports_no_era_is_used_as_before(self):
        async with Store() as store:
            store.platform.era = ""
            await store.put("a", 1)
            assert (await store.client.get(KIND, "a", int)).unwrap().value == 1
            assert store.client.era == 0

    @pytest.mark.parametrize("era", ["x", "-1", "\u00b2", "1 2"])
    async def test_an_era_that_cannot_be_read_is_logged_and_ignored(self, era):
        async with Store() as store:
            store.platform.era = era.encode("latin-1").decode("latin-1")
            await store.put("a", 1)
            assert (await store.client.get(KIND, "a", int)).unwrap().value == 1
            assert store.client.era == 0


class TestUnreadableAnswers:
    async def test_an_object_of_another_type_is_a_fault(self):
        async with Store() as store:
            await store.put("a", "text")
            assert not isinstance(await store.client.get(KIND, "a", int), Success)
            listed = await store.client.list_objects(KIND, int)
            assert "a" in listed.failure().message

    async def test_a_list_that_does_not_end_is_not_complete(self):
        (port,) = free_ports(1)

        class Endless(tornado.web.RequestHandler):
            def get(self):
                item = {"meta": {"name": "a", "revision": 1}, "spec": 1}
                self.finish({"items": [item], "has_more": True, "current_rev": 5})

        http = HTTPServer(tornado.web.Application([(r"/objects/.*", Endless)]))
        http.listen(port, HOST)
        client = PlatformClient(f"http://{HOST}:{port}")
        assert not isinstance(await client.list_objects(KIND, int), Success)
        client.close()
        http.stop()


ENDPOINT = Endpoint("s1", "g", ("10.0.0.1", 1), "a", 2, False, True, 1000, 7)


@pytest.fixture
def state():
    servers = Servers(None, lambda: 0.0)
    return ClusterState(servers)


class TestRegistry:
    def servers(self, state):
        return state._servers.group("g").servers

    def test_a_server_that_left_is_not_used_again(self, state):
        state.apply_endpoint(ENDPOINT, Revision(1, 50))
        state.remove_endpoint("s1", Revision(1, 60))
        state._servers.group("g").expire(10.0)
        state.apply_endpoint(replace(ENDPOINT, sequence=5), Revision(2, 40))
        state.apply_endpoint(ENDPOINT, Revision(2, 41))
        assert not self.servers(state)
        assert state.has_doubtful_entries

    def test_it_is_used_again_once_it_has_written_or_restarted(self, state):
        for number, change in enumerate(({"sequence": 8}, {"started_ms": 2000}), 2):
            state.apply_endpoint(ENDPOINT, Revision(number - 1, 50))
            state.remove_endpoint("s1", Revision(number - 1, 60))
            state._servers.group("g").expire(10.0)
            state.apply_endpoint(replace(ENDPOINT, **change), Revision(number, 40))
            assert set(self.servers(state)) == {"s1"}
            assert not state.has_doubtful_entries
            state.remove_endpoint("s1", Revision(number, 70))

    def test_an_old_entry_does_not_end_draining(self, state):
        state.apply_endpoint(replace(ENDPOINT, is_draining=True), Revision(1, 50))
        old = replace(ENDPOINT, sequence=3)
        state.apply_endpoint(old, Revision(2, 40))
        assert self.servers(state)["s1"].endpoint.is_draining
        state.apply_endpoint(replace(ENDPOINT, sequence=9), Revision(2, 45))
        assert not self.servers(state)["s1"].endpoint.is_draining

    def test_a_server_that_the_copy_lacks_has_time_to_come_back(self, state):
        state.apply_endpoint(ENDPOINT, Revision(1, 50))
        state.retain_endpoints(frozenset(), Revision(2, 40))
        group = state._servers.group("g")
        assert group.servers["s1"].unlisted_at == 0.0
        state.apply_endpoint(replace(ENDPOINT, sequence=8), Revision(2, 41))
        assert group.servers["s1"].unlisted_at is None
        state.retain_endpoints(frozenset(), Revision(2, 50))
        assert group.expire(3.0) == ["s1"]

    def test_the_newest_primary_is_the_one_of_the_newest_era(self, state):
        state.apply_endpoint(ENDPOINT, Revision(1, 900))
        promoted = replace(ENDPOINT, id="s2", sequence=30)
        state.apply_endpoint(promoted, Revision(2, 40))
        assert state._servers.group("g").primary(0.0).id == "s2"

    def test_a_peer_tells_which_servers_left(self, state):
        former = ClusterState(Servers(None, lambda: 0.0))
        former.apply_endpoint(ENDPOINT, Revision(1, 50))
        former.remove_endpoint("s1", Revision(1, 60))
        state.apply_endpoint(replace(ENDPOINT, sequence=5), Revision(2, 40))
        state.record_departed(former.departed)
        state._servers.group("g").expire(10.0)
        assert not self.servers(state)
        state.apply_endpoint(replace(ENDPOINT, sequence=5), Revision(2, 40))
        assert not self.servers(state)

    def test_the_configuration_is_ordered_by_its_version(self, state):
        state.apply_deployment(Deployment(7), Revision(1, 90))
        state.apply_deployment(Deployment(5), Revision(2, 40))
        assert state.version == 7
        state.apply_deployment(Deployment(8), Revision(2, 41))
        assert state.version == 8


class TestInstances:
    async def test_a_withdrawn_key_stays_withdrawn(self):
        async with World(instances=2) as world:
            copy = world.platform.take_copy()
            tenants = [{"name": "alpha", "api_keys": ["other"]}]
            world.put("config", "main", configuration(2, tenants=tenants))
            await self.deployed(world, 2)
            world.platform.restore(copy)
            await self.in_era(world, 2)
            await asyncio.sleep(0.3)
            assert [i.cluster_state.version for i in world.instances] == [2, 2]
            _, answer = await world.connect()
            assert answer.startswith("ERR NOAUTH ")
            world.put("config", "main", configuration(3))
            await self.deployed(world, 3)

    async def test_a_fresh_process_takes_the_newer_version_of_its_peers(self):
        async with World() as world:
            copy = world.platform.take_copy()
            world.put("config", "main", configuration(2))
            await self.deployed(world, 2)
            world.platform.restore(copy)
            fresh = await world.start_instance("fresh", is_first_start=False)
            await world.wait_until(lambda: fresh.is_ready)
            assert fresh.cluster_state.version == 2

    async def test_callers_are_served_and_records_are_written_again(self):
        async with World(instances=2) as world:
            copy = world.platform.take_copy()
            copy.objects["mangoramp-instance"] = {}
            caller = await world.caller()
            await caller.ask("WRITE a 1")
            world.platform.restore(copy)
            await self.in_era(world, 2)
            assert (await caller.ask("WRITE a 2"))[0].startswith("DONE")
            await world.wait_until(
                lambda: (
                    len(world.platform.fetch_changes("mangoramp-instance", 0).objects)
                    == 2
                ),
                8.0,
            )

    async def test_an_instance_that_the_store_turns_away_ends_at_the_same_state(self):
        async with World() as world:
            relay = Relay(lambda: world._store_port)
            await relay.start()
            url = f"http://{HOST}:{relay.port}"
            other = await world.start_instance("cut-off", store_url=url)
            await world.wait_until(lambda: other.is_ready)
            copy = world.platform.take_copy()
            world.list_server("s2", sequence=5, state="draining")
            group = other.servers.group(GROUP)
            await world.wait_until(lambda: group.servers["s2"].endpoint.is_draining)
            relay.is_holding_connections = True
            relay.reset_connections()
            world.platform.restore(copy)
            world.list_server("s3", sequence=6, state="draining")
            await world.wait_until(lambda: group.servers["s3"].endpoint.is_draining)
            assert group.servers["s2"].endpoint.is_draining
            states = {i.cluster_state.registry_revision for i in world.instances}
            assert len(states) == 1
            relay.close()

    async def test_no_server_is_promoted_while_the_store_recovers(self):
        async with World(instances=2) as world:
            copy = world.platform.take_copy()
            caller = await world.caller()
            await caller.ask("WRITE a 1")
            copy.objects["servers"] = {}
            world.platform.restore(copy)
            await self.in_era(world, 2)
            await asyncio.sleep(1.5)
            for server_id in ("s1", "s2", "s3"):
                world.list_server(server_id, sequence=9)
            await asyncio.sleep(1.0)
            assert not world.promotion_requests
            assert (await caller.ask("WRITE a 2"))[0].startswith("DONE")

    async def test_an_old_copy_that_names_a_former_primary_causes_no_promotion(self):
        async with World(instances=1) as world:
            copy = world.platform.take_copy()
            world.promote("s2")
            world.platform.restore(copy)
            fresh = await world.start_instance("fresh", is_first_start=False)
            await world.wait_until(lambda: fresh.is_ready)
            caller = await world.caller(instance=1)
            await caller.ask("WRITE a 1")
            await asyncio.sleep(2.0)
            assert not world.promotion_requests
            assert world.group.primary == "s2"

    async def in_era(self, world, era):
        await world.wait_until(
            lambda: all(i._client.era == era for i in world.instances), 8.0
        )

    async def deployed(self, world, version):
        await world.wait_until(
            lambda: all(i.cluster_state.version == version for i in world.instances),
            8.0,
        )


class ClaimStore:
    """The claim object of a store that gives its revisions out again."""

    def __init__(self):
        self.era, self.revision = 1, 100
        self.stored_at, self.claim = 0, None
        self.copies = [self.contents()]

    def contents(self):
        return self.revision, self.stored_at, self.claim

    def write(self, claim, expected):
        """Write a claim; return the era of the answer, None on a conflict."""
        if expected != self.stored_at:
            return None
        self.revision += 1
        self.stored_at, self.claim = self.revision, claim
        return self.era

    def restore(self, rng):
        self.revision, self.stored_at, self.claim = rng.choice(self.copies)
        self.copies = self.copies[: 1 + self.copies.index(self.contents())]
        self.era += 1


def token_by_era_and_revision(read_era, read_at, claim):
    return fencing_token(Revision(read_era, read_at))


def token_by_count(read_era, read_at, claim):
    return claim[1] + 1 if claim else 1


def token_by_era_and_count(read_era, read_at, claim):
    count = claim[1] % 1000 if claim and claim[1] // 1000 == read_era else 0
    return read_era * 1000 + count + 1


def play_claims(seed, token_of):
    """Play holders, lost and late writes and restorations; return the tokens used."""
    rng = random.Random(seed)
    store, tokens, late = ClaimStore(), [], []
    reads = {}
    for _ in range(120):
        event = rng.random()
        holder = rng.choice("ABC")
        if event < 0.35:
            reads[holder] = (store.era, store.stored_at, store.claim)
        elif event < 0.7 and holder in reads:
            era, read_at, claim = reads.pop(holder)
            token = token_of(era, read_at, claim)
            if rng.random() < 0.4:
                late.append(((holder, token), read_at))
                continue
            answered_in = store.write((holder, token), read_at)
            if answered_in == era:
                tokens.append((token, store.era))
        elif event < 0.8 and late:
            store.write(*late.pop(rng.randrange(len(late))))
        elif event < 0.9:
            store.copies.append(store.contents())
        elif event < 0.94:
            store.restore(rng)
        else:
            store.revision += rng.randint(1, 3)
    return [token for token, _ in tokens]


class TestFencing:
    def is_broken(self, token_of, seeds):
        return [
            seed
            for seed in range(seeds)
            if (tokens := play_claims(seed, token_of)) != sorted(set(tokens))
        ]

    def test_no_token_is_given_out_twice_or_lower(self):
        assert not self.is_broken(token_by_era_and_revision, 2000)

    @pytest.mark.parametrize("token_of", [token_by_count, token_by_era_and_count])
    def test_fails_without_the_revision(self, token_of):
        assert self.is_broken(token_of, 2000)
