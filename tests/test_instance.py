import asyncio
from dataclasses import replace

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient

from mangoramp.control import peers
from mangoramp.control.settings import Bounds, Features
from mangoramp.policy import watchers
from mangoramp.policy.homes import Candidate, choose_homes
from mangoramp.policy.revision import Revision
from mangoramp.serving.command import CommitFor, Refusal, RunFor
from mangoramp.standins._ports import free_ports

from .relay import Relay
from .wire_world import GROUP, HOST, SERVERS, World, configuration

USUAL_LAG_S = 0.15  # replicas are asked only for entries older than this


class TestSessions:
    async def test_answers_with_the_servers_signature_and_rows(self):
        async with World() as world:
            caller = await world.caller()
            done = await caller.ask("WRITE 1a4 hello world", "w1")
            assert done == ["DONE sig.w1", "READY I -"]
            read = await caller.ask("READ 1a4", "r1")
            assert read == ["ROW hello world", "DONE sig.r1", "READY I -"]

    async def test_refuses_unknown_databases_and_keys(self):
        async with World() as world:
            _, answer = await world.connect("nowhere")
            assert answer.startswith("ERR NODB ")
            caller, answer = await world.connect(key="k-none")
            assert answer.startswith("ERR NOAUTH ")
            with pytest.raises(Exception, match="closed"):
                await caller.read_line()

    async def test_passes_servers_the_customer_and_never_the_key(self):
        async with World() as world:
            caller = await world.caller(key="k-beta")
            await caller.ask("WRITE a 1", "w1")
            (run,) = world.find_runs("w1")
            assert run.customer == "beta"

    async def test_prepared_names_of_callers_do_not_collide(self):
        async with World() as world:
            one, two = await world.caller(), await world.caller()
            assert await one.ask("PREPARE s1 WRITE shape1") == ["DONE -", "READY I -"]
            assert await two.ask("PREPARE s1 READ shape2") == ["DONE -", "READY I -"]
            await one.ask("EXEC s1 a 7", "w1")
            answer = await two.ask("EXEC s1 a", "r1")
            assert answer[0] == "ROW 7"
            assert world.find_runs("w1")[0].shape.text == "shape1"
            assert world.find_runs("r1")[0].shape.text == "shape2"

    async def test_forgotten_names_are_unknown(self):
        async with World() as world:
            caller = await world.caller()
            await caller.ask("PREPARE s1 READ shape")
            await caller.ask("FORGET s1")
            answer = await caller.ask("EXEC s1 a")
            assert answer[0].startswith("ERR NOSTMT ")

    async def test_values_of_a_session_are_in_force_only_for_it(self):
        async with World() as world:
            one, two = await world.caller(), await world.caller()
            await one.ask("SET zone north")
            await one.ask("WRITE a 1", "w1")
            await two.ask("WRITE a 2", "w2")
            await one.ask("SET zone south")
            await one.ask("WRITE a 3", "w3")
            assert world.find_runs("w1")[0].values == (("zone", "north"),)
            assert world.find_runs("w2")[0].values == ()
            assert world.find_runs("w3")[0].values == (("zone", "south"),)

    @pytest.mark.parametrize(
        "text", ["DROP a", "AFTER 1.1 READ a", "RESET", "STATUS", "READ", "SET x", ""]
    )
    async def test_refuses_what_is_no_statement(self, text):
        async with World() as world:
            caller = await world.caller()
            answer = await caller.ask(text, "x1")
            assert answer[0].startswith("ERR BAD ")
            assert answer[1] == "READY I -"
            assert not world.group.runs
            assert (await caller.ask("READ a"))[-1] == "READY I -"

    @pytest.mark.parametrize(
        "raw",
        [b"HELLO\r\n", b"QUERY x READ a\nQUERY y READ b\r\n", b"QUERY - READ a\r\n"],
    )
    async def test_ends_a_session_after_a_line_that_is_no_message(self, raw):
        async with World() as world:
            caller, other = await world.caller(), await world.caller()
            await caller.stream.write(raw)
            assert (await caller.read_line()).startswith("ERR BAD ")
            with pytest.raises(Exception, match="closed"):
                await caller.read_line()
            assert not world.group.runs
            assert (await other.ask("WRITE a 1"))[-1] == "READY I -"

    async def test_refuses_a_message_that_is_too_long(self):
        async with World() as world:
            caller = await world.caller()
            await caller.stream.write(
                b"QUERY q1 WRITE a " + b"x" * (1024 * 1024) + b"\r\n"
            )
            assert (await caller.read_line()).startswith("ERR TOOBIG ")


class TestTransactions:
    async def test_is_pinned_to_one_connection(self):
        async with World() as world:
            caller = await world.caller()
            assert await caller.ask("BEGIN") == ["DONE -", "READY T -"]
            await caller.ask("WRITE a 1", "w1")
            assert (await caller.ask("READ a", "r1"))[0] == "ROW 1"
            other = await world.caller()
            assert (await other.ask("READ a"))[0] == "ROW "
            assert await caller.ask("COMMIT", "c1") == ["DONE sig.c1", "READY I -"]
            assert (await other.ask("READ a"))[0] == "ROW 1"
            assert world.find_runs("w1")[0].in_transaction
            assert world.find_runs("r1")[0].in_transaction

    async def test_rolls_back_when_the_caller_says_so_or_leaves(self):
        async with World() as world:
            caller, other = await world.caller(), await world.caller()
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            assert await caller.ask("ROLLBACK") == ["DONE -", "READY I -"]
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 2")
            caller.close()
            await asyncio.sleep(0.1)
            assert (await other.ask("READ a"))[0] == "ROW "
            assert not world.group.log

    async def test_a_lost_server_aborts_the_transaction(self):
        async with World() as world:
            caller = await world.caller()
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            world.group.servers["s1"].crash()
            answer = await caller.ask("WRITE b 1")
            assert answer[0].startswith("ERR ABORTED ")
            assert answer[1] == "READY E -"
            assert (await caller.ask("READ a"))[0].startswith("ERR BAD ")
            assert await caller.ask("ROLLBACK") == ["DONE -", "READY I -"]
            assert not world.group.log

    async def test_the_outcome_of_a_lost_commit_is_unknown(self):
        async with World() as world:
            caller = await world.caller()
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            world.group.servers["s1"].faults.drop_answers_to.append(CommitFor)
            answer = await caller.ask("COMMIT", "c1")
            assert answer[0].startswith("ERR UNSURE ")
            assert answer[1] == "READY I -"

    async def test_a_lost_commit_of_a_read_only_transaction_is_an_abort(self):
        async with World() as world:
            caller = await world.caller()
            await caller.ask("BEGIN")
            await caller.ask("READ a")
            world.group.servers["s1"].faults.drop_answers_to.append(CommitFor)
            assert (await caller.ask("COMMIT"))[0].startswith("ERR ABORTED ")

    async def test_ends_when_it_idles(self):
        async with World() as world:
            limits = {"tx_idle_ms": 200}
            world.put("config", "main", configuration(2, limits=limits))
            await asyncio.sleep(0.1)
            caller = await world.caller()
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            await asyncio.sleep(0.8)
            answer = await caller.ask("COMMIT")
            assert answer[0].startswith("ERR ABORTED ")
            assert not world.group.log

    async def test_a_read_only_one_runs_at_a_replica(self):
        async with World() as world:
            caller = await world.caller("search")
            await caller.ask("READ a")
            await asyncio.sleep(USUAL_LAG_S)
            await caller.ask("BEGIN READ")
            await caller.ask("READ a", "r1")
            await caller.ask("COMMIT", "c1")
            assert world.find_runs("r1")[0].server != "s1"


class TestWrites:
    async def test_is_retried_if_it_did_not_run(self):
        async with World() as world:
            caller = await world.caller()
            world.group.servers["s1"].faults.refusals = [Refusal.BUSY, Refusal.BUSY]
            assert (await caller.ask("WRITE a 1", "w1"))[0] == "DONE sig.w1"
            assert len(world.find_runs("w1")) == 1

    @pytest.mark.parametrize("refusal", [Refusal.FAILED, Refusal.TIMEOUT])
    async def test_is_not_retried_if_it_may_have_run(self, refusal):
        async with World() as world:
            caller = await world.caller()
            world.group.servers["s1"].faults.refusals = [refusal]
            answer = await caller.ask("WRITE a 1", "w1")
            assert answer[0].split(" ")[1] in ("FAILED", "TIMEOUT", "UNSURE")
            assert not world.find_runs("w1")

    async def test_after_a_lost_answer_the_outcome_is_unknown_and_it_is_not_retried(
        self,
    ):
        async with World() as world:
            caller = await world.caller()
            world.group.servers["s1"].faults.drop_answers_to.append(RunFor)
            answer = await caller.ask("WRITE a 1", "w1")
            assert answer[0].startswith("ERR UNSURE ")
            assert len(world.find_runs("w1")) == 1

    async def test_is_refused_as_not_run_while_there_is_no_primary(self):
        async with World() as world:
            world.is_promotion_enabled = False
            for server in world.group.servers.values():
                server.crash()
            caller = await world.caller()
            answer = await caller.ask("WRITE a 1", "w1")
            assert answer[0].startswith("ERR BUSY ")
            assert "retry after" in answer[0]


class TestReads:
    async def test_at_a_replica_within_the_age(self):
        async with World() as world:
            caller = await world.caller("search")
            await caller.ask("READ a", "r1")
            await asyncio.sleep(USUAL_LAG_S)
            await caller.ask("READ a", "r2")
            assert world.find_runs("r1")[0].server == "s1"
            assert world.find_runs("r2")[0].server != "s1"

    async def test_at_the_primary_when_replicas_are_too_old(self):
        async with World() as world:
            caller = await world.caller("search")
            for replica in ("s2", "s3"):
                world.group.servers[replica].is_replication_paused = True
            await caller.ask("READ a")
            writer = await world.caller("orders")
            await writer.ask("WRITE a 1")
            await asyncio.sleep(1.6)
            await writer.ask("WRITE b 1")
            assert (await caller.ask("READ a"))[0] == "ROW 1"

    async def test_sees_its_own_writes(self):
        async with World() as world:
            caller = await world.caller("notes")
            await caller.ask("READ a")
            for replica in ("s2", "s3"):
                world.group.servers[replica].is_replication_paused = True
            for number in range(5):
                await caller.ask(f"WRITE a {number}")
                assert (await caller.ask("READ a"))[0] == f"ROW {number}"

    async def test_never_trusts_a_former_primary(self):
        async with World() as world:
            caller = await world.caller("orders")
            await caller.ask("WRITE a old")
            group = world.group
            group.servers["s1"].is_replication_paused = True
            # The registry still names s1: only the servers know of the promotion.
            group.promote("s2")
            group.commit((("a", "new"),))
            await caller.send("READ a")
            await asyncio.sleep(0.2)
            world.list_server("s1")
            world.list_server("s2")
            assert (await caller.read_reply())[0] == "ROW new"

    async def test_is_retried_at_another_server_after_a_lost_answer(self):
        async with World() as world:
            caller = await world.caller("search")
            await caller.ask("READ a")
            for server_id in SERVERS[1:]:
                world.group.servers[server_id].faults.drop_answers_to.append(RunFor)
            assert (await caller.ask("READ a", "r1"))[1] == "DONE sig.r1"

    async def test_avoids_silent_servers(self):
        async with World() as world:
            caller = await world.caller("search")
            await caller.ask("READ a")
            for server_id in SERVERS[1:]:
                world.group.servers[server_id].faults.is_unresponsive = True
            assert (await caller.ask("READ a", "r1"))[1] == "DONE sig.r1"


class TestConfiguration:
    async def test_a_withdrawn_key_stops_connected_callers(self):
        async with World() as world:
            caller = await world.caller()
            tenants = [{"name": "alpha", "api_keys": ["other"]}]
            world.put("config", "main", configuration(2, tenants=tenants))
            await asyncio.sleep(0.2)
            assert (await caller.ask("READ a"))[0].startswith("ERR NOAUTH ")
            assert not world.group.runs

    async def test_a_withdrawn_key_ends_an_open_transaction(self):
        async with World() as world:
            caller = await world.caller()
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            tenants = [{"name": "alpha", "api_keys": ["other"]}]
            world.put("config", "main", configuration(2, tenants=tenants))
            await asyncio.sleep(0.3)
            answer = await caller.ask("COMMIT")
            assert answer[0].split(" ")[1] in ("NOAUTH", "ABORTED")
            assert not world.group.log

    async def test_never_goes_back_to_an_older_version(self):
        async with World() as world:
            cluster_state = world.instances[0].cluster_state
            world.put("config", "main", configuration(2, routes=[]))
            await world.wait_until(lambda: cluster_state.deployment.version == 2)
            known, revision = cluster_state.deployment, cluster_state.revision
            older = replace(known, version=1)
            for number in (revision.number - 1, revision.number + 1):
                cluster_state.apply_deployment(older, Revision(revision.era, number))
            assert cluster_state.deployment is known
            assert cluster_state.revision == revision

    async def test_recovers_after_the_store_has_dropped_its_history(self):
        async with World() as world:
            world.platform.faults.forget = 10**9
            world.platform.notify_watches()
            world.put("config", "main", configuration(2))
            cluster_state = world.instances[0].cluster_state
            await world.wait_until(lambda: cluster_state.deployment.version == 2)

    async def test_ignores_entries_that_cannot_be_decoded(self):
        async with World() as world:
            world.put("servers", "s2", {"service": 7})
            world.put("servers", "s9", ["no", "entry"])
            world.put("servers", "s3", {"service": GROUP, "state": "weird"})
            caller = await world.caller("search")
            for _ in range(4):
                assert (await caller.ask("READ a"))[-1] == "READY I -"
            await asyncio.sleep(0.2)
            answer = await caller.ask("READ a", "r9")
            assert answer[-1] == "READY I -"
            assert {run.server for run in world.find_runs("r9")} == {"s1"}


class TestNews:
    async def cut_off_from_store(self, world, relay):
        """Start an instance, then cut its connection to the store."""
        url = f"http://{HOST}:{relay.port}"
        instance = await world.start_instance("cut-off", store_url=url)
        await world.wait_until(lambda: instance.is_ready)
        await world.wait_until(lambda: len(instance.peers.live_instances) == 2)
        relay.is_holding_connections = True
        relay.reset_connections()
        return instance

    async def test_a_key_withdrawn_while_the_store_rejects_calls(self):
        async with World() as world:
            relay = Relay(lambda: world._store_port)
            await relay.start()
            instance = await self.cut_off_from_store(world, relay)
            caller = await world.caller(instance=1)
            tenants = [{"name": "alpha", "api_keys": ["other"]}]
            world.put("config", "main", configuration(2, tenants=tenants))
            await world.wait_until(
                lambda: instance.cluster_state.deployment.version == 2
            )
            assert (await caller.ask("READ a"))[0].startswith("ERR NOAUTH ")
            relay.close()

    async def test_a_server_drains_while_the_store_rejects_calls(self):
        async with World() as world:
            relay = Relay(lambda: world._store_port)
            await relay.start()
            instance = await self.cut_off_from_store(world, relay)
            world.list_server("s2", state="draining")
            server = instance.servers.group(GROUP).servers["s2"]
            await world.wait_until(lambda: server.endpoint.is_draining)
            relay.close()

    async def test_an_instance_that_starts_without_the_store(self):
        async with World() as world:
            relay = Relay(lambda: world._store_port)
            await relay.start()
            relay.is_holding_connections = True
            url = f"http://{HOST}:{relay.port}"
            instance = await world.start_instance("late", store_url=url)
            await world.wait_until(lambda: instance.is_ready)
            caller = await world.caller(instance=1)
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")
            relay.close()


class TestWatchers:
    @pytest.fixture(autouse=True)
    def _one_watcher(self, monkeypatch):
        monkeypatch.setattr(watchers, "MAX_INSTANCES_ALL_WATCHING", 0)
        monkeypatch.setattr(watchers, "WATCHERS_PER_DOMAIN", 1)

    async def settle(self, world):
        instances = world.instances

        def one_watches():
            known = all(
                len(i.peers.live_instances) == len(instances) for i in instances
            )
            return known and sum(i.peers.is_watcher for i in instances) == 1

        await world.wait_until(one_watches)
        # Watches that are no longer needed end with the next change.
        world.put("config", "main", configuration(2))
        await self.deployed(world, 2)
        await asyncio.sleep(0.5)

    async def deployed(self, world, version):
        instances = world.instances
        await world.wait_until(
            lambda: all(
                i.cluster_state.deployment.version == version for i in instances
            )
        )

    async def test_the_others_fetch_changes_from_their_peers(self):
        async with World(instances=4) as world:
            await self.settle(world)
            before = sum(world.platform.calls.values())
            world.put("config", "main", configuration(3))
            await self.deployed(world, 3)
            world.list_server("s2", state="draining")
            await world.wait_until(
                lambda: all(
                    i.servers.group(GROUP).servers["s2"].endpoint.is_draining
                    for i in world.instances
                )
            )
            # The watcher polls again after each change, and all may list the instances.
            assert sum(world.platform.calls.values()) - before <= 2 + 4

    async def test_a_removed_server_is_removed_everywhere(self):
        async with World(instances=3) as world:
            await self.settle(world)
            world.put("servers", "s3", None)
            await world.wait_until(
                lambda: all(
                    "s3" not in i.cluster_state.server_ids for i in world.instances
                )
            )

    async def test_another_instance_replaces_a_watcher_that_dies(self):
        async with World(instances=3) as world:
            await self.settle(world)
            index = next(n for n, i in enumerate(world.instances) if i.peers.is_watcher)
            world.instances.pop(index).close()
            world.put("config", "main", configuration(3))
            await self.deployed(world, 3)

    async def test_another_instance_replaces_a_watcher_that_the_store_rejects(self):
        async with World() as world:
            relay = Relay(lambda: world._store_port)
            await relay.start()
            url = f"http://{HOST}:{relay.port}"
            for name in ("turned-away-1", "turned-away-2", "turned-away-3"):
                await world.start_instance(name, store_url=url)
            await self.settle(world)
            relay.is_holding_connections = True
            relay.reset_connections()
            world.put("config", "main", configuration(3))
            await self.deployed(world, 3)
            relay.close()


class TestRates:
    async def test_refuses_beyond_the_burst_with_a_retry_time(self):
        async with World() as world:
            tenants = [
                {"name": "alpha", "api_keys": ["k-alpha"], "rate_per_s": 2, "burst": 3}
            ]
            world.put("config", "main", configuration(2, tenants=tenants))
            await asyncio.sleep(0.2)
            caller = await world.caller()
            answers = [(await caller.ask("READ a"))[-2] for _ in range(6)]
            refused = [a for a in answers if a.startswith("ERR BUSY ")]
            assert 2 <= len(refused) <= 3
            assert all("retry after" in a for a in refused)

    async def test_counts_over_all_instances(self):
        async with World(instances=3) as world:
            await world.wait_until(
                lambda: all(len(i.peers.live_instances) == 3 for i in world.instances)
            )
            tenants = [
                {"name": "alpha", "api_keys": ["k-alpha"], "rate_per_s": 1, "burst": 12}
            ]
            world.put("config", "main", configuration(2, tenants=tenants))
            await asyncio.sleep(0.3)
            done = 0
            for number in range(3):
                caller = await world.caller(instance=number)
                for _ in range(10):
                    answer = await caller.ask("READ a")
                    done += answer[-2].startswith("DONE")
                await asyncio.sleep(0.3)
            assert 10 <= done <= 16


class TestPromotion:
    async def test_replaces_a_crashed_primary(self):
        async with World(instances=3) as world:
            callers = [await world.caller(instance=n) for n in range(3)]
            for caller in callers:
                await caller.ask("WRITE a 1")
            world.put("servers", "s1", None)
            world.group.servers["s1"].crash()

            async def served(caller):
                async with asyncio.timeout(6):
                    while not (await caller.ask("WRITE a 2"))[0].startswith("DONE"):
                        await asyncio.sleep(0.05)

            await asyncio.gather(*map(served, callers))
            assert world.group.primary != "s1"
            assert len({token for _, token, _ in world.promotion_requests}) == 1

    async def test_replaces_a_draining_primary(self):
        async with World(instances=2) as world:
            caller = await world.caller()
            await caller.ask("WRITE a 1")
            world.list_server("s1", state="draining")
            await world.wait_until(lambda: world.group.primary != "s1")
            assert (await caller.ask("READ a"))[0] == "ROW 1"

    async def test_replaces_a_primary_that_accepts_connections_only(self):
        """Probes that only connect kept such a primary in office."""
        async with World(instances=3, features=Features(server_health=True)) as world:
            callers = [await world.caller(instance=n) for n in range(3)]
            for caller in callers:
                await caller.ask("WRITE a 1")
            world.group.servers["s1"].faults.resets_statements = True

            async def ask_on(caller):
                while world.group.primary == "s1":
                    await caller.ask("READ a")
                    await asyncio.sleep(0.02)

            async with asyncio.timeout(3):
                await asyncio.gather(*map(ask_on, callers))

    async def test_a_paused_connection_triggers_no_failover(self):
        async with World(instances=2) as world:
            caller = await world.caller()
            await caller.ask("WRITE a 1")
            world.group.servers["s1"].faults.is_unresponsive = True
            await asyncio.sleep(0.4)
            world.group.servers["s1"].faults.is_unresponsive = False
            await caller.ask("WRITE a 2")
            await asyncio.sleep(0.5)
            assert not world.promotion_requests


class TestStopping:
    async def test_completes_requests_in_flight(self):
        async with World(instances=2) as world:
            caller = await world.caller()
            world.group.servers["s1"].faults.statement_s = 0.5
            await caller.send("WRITE a 1", "w1")
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(world.instances[0].stop())
            await asyncio.sleep(0)
            assert not world.instances[0].is_ready
            assert (await caller.read_reply())[0] == "DONE sig.w1"
            await stopping

    async def test_removes_its_record_and_leaves_the_peers(self):
        async with World(instances=2) as world:
            first, second = world.instances
            await world.wait_until(lambda: len(second.peers.known_instances) == 2)
            await first.stop()
            await world.wait_until(lambda: second.peers.known_instances == ["i1"])


class TestHomes:
    FEW = {"services": [{"name": GROUP, "max_connections": 6}]}

    async def settle(self, world):
        world.put("config", "main", configuration(2, **self.FEW))
        instances = world.instances
        await world.wait_until(
            lambda: all(
                len(i.peers.live_instances) == len(instances) and not i.homes.is_direct
                for i in instances
            )
        )
        (home,) = {i.homes.home_of("alpha") or i.cfg.name for i in instances}
        index = next(n for n, i in enumerate(instances) if i.cfg.name == home)
        return home, index, (index + 1) % len(instances)

    async def test_statements_go_through_the_home(self):
        async with World(instances=3) as world:
            home, index, other = await self.settle(world)
            caller = await world.caller("notes", instance=other)
            assert (await caller.ask("WRITE a 1", "w1"))[0] == "DONE sig.w1"
            assert (await caller.ask("READ a", "r1"))[0] == "ROW 1"
            await caller.ask("PREPARE p WRITE shape")
            await caller.ask("SET who me")
            assert (await caller.ask("EXEC p b 2", "w2"))[0] == "DONE sig.w2"
            assert world.find_runs("w2")[0].values == (("who", "me"),)
            pools = world.instances[other].servers.pools()
            assert sum(pool.opened for pool in pools) == 0

    async def test_the_others_keep_no_connections(self):
        async with World(instances=3) as world:
            for number in range(3):
                caller = await world.caller("notes", instance=number)
                await caller.ask("READ a")
                await caller.ask("WRITE a 1")
            home, index, other = await self.settle(world)

            def others_hold_none():
                return all(
                    pool.connection_count == 0
                    for n, instance in enumerate(world.instances)
                    if instance.cfg.name not in instance.homes.names
                    for pool in instance.servers.pools()
                )

            await world.wait_until(others_hold_none)
            caller = await world.caller("notes", instance=other)
            assert (await caller.ask("WRITE a 2"))[0].startswith("DONE")

    async def test_positions_reported_by_a_home_serve_the_others(self):
        async with World(instances=3) as world:
            home, index, other = await self.settle(world)
            third = 3 - index - other
            writer = await world.caller(instance=third)
            caller = await world.caller("search", instance=other)

            async def write():
                for number in range(100):
                    await writer.ask(f"WRITE a {number}")
                    await asyncio.sleep(0.1)

            writing = asyncio.ensure_future(write())
            for number in range(4):
                assert (await caller.ask("READ a", f"r{number}"))[-2].startswith("DONE")
                await asyncio.sleep(0.9)
            writing.cancel()
            # The position from its own first read is older than the bound by now.
            for number in (2, 3):
                assert world.find_runs(f"r{number}")[0].server != "s1"

    async def test_transactions_are_pinned_at_the_home(self):
        async with World(instances=3) as world:
            home, index, other = await self.settle(world)
            caller = await world.caller(instance=other)
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1", "w1")
            assert not world.instances[index].homes.batches.is_idle
            assert (await caller.ask("READ a"))[0] == "ROW 1"
            assert (await caller.ask("COMMIT", "c1"))[0] == "DONE sig.c1"
            assert world.find_runs("w1")[0].in_transaction
            assert world.instances[index].homes.batches.is_idle

    async def test_a_caller_that_leaves_drops_its_transaction_there(self):
        async with World(instances=3) as world:
            home, index, other = await self.settle(world)
            caller = await world.caller(instance=other)
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            caller.close()
            await world.wait_until(lambda: world.instances[index].homes.batches.is_idle)
            assert not world.group.log

    async def test_a_write_is_unknown_and_ran_once_at_most_if_its_home_dies(self):
        async with World(instances=3) as world:
            home, index, other = await self.settle(world)
            caller = await world.caller(instance=other)
            await caller.ask("WRITE a 0")
            world.group.servers["s1"].faults.statement_s = 0.3
            await caller.send("WRITE a 1", "w1")
            await asyncio.sleep(0.1)
            world.instances.pop(index).close()
            answer = await caller.read_reply()
            assert answer[0].startswith("ERR UNSURE ")
            world.group.servers["s1"].faults.statement_s = 0.0
            assert len(world.find_runs("w1")) <= 1
            assert (await caller.ask("WRITE a 2"))[0].startswith("DONE")

    async def test_the_home_keeps_the_limits(self):
        async with World(instances=3) as world:
            tenants = [
                {"name": "alpha", "api_keys": ["k-alpha"], "rate_per_s": 1, "burst": 12}
            ]
            self.FEW["tenants"] = tenants
            await self.settle(world)
            done = 0
            for number in range(3):
                caller = await world.caller(instance=number)
                for _ in range(10):
                    answer = await caller.ask("READ a")
                    done += answer[-2].startswith("DONE")
            del self.FEW["tenants"]
            assert 11 <= done <= 14


class TestOperation:
    async def test_metrics_show_the_state_of_the_instance(self):
        async with World() as world:
            caller = await world.caller(key="k-beta")
            await caller.ask("WRITE a secret-data", "w1")
            host, port = world.instances[0].cfg.health
            resp = await AsyncHTTPClient().fetch(f"http://{host}:{port}/metrics")
            text = resp.body.decode()
            assert 'mangoramp_statements_total{code="",kind="write"' in text
            assert "mangoramp_configuration_version 1.0" in text
            assert 'mangoramp_server_connections{server="s1"}' in text
            assert "k-beta" not in text
            assert "secret-data" not in text

    async def test_applies_changed_settings(self):
        async with World() as world:
            (instance,) = world.instances
            caller = await world.caller()
            changed = replace(instance.cfg, bounds=Bounds(grace_s=9.0))
            instance.reload(changed)
            assert instance.cfg.bounds.grace_s == 9.0
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")


class TestLargeFleet:
    """Ten instances in two failure domains, which report through hubs."""

    # The list of live instances is renewed every 0.05 s, the choice of homes from it
    # every 0.1 s (docs/design/membership.md).
    AGREEMENT_S = 0.15
    FEW = {"services": [{"name": GROUP, "max_connections": 12}]}

    @pytest.fixture(autouse=True)
    def _few_flat(self, monkeypatch):
        monkeypatch.setattr(peers, "MAX_FLAT_INSTANCES", 3)

    async def start(self, world):
        world.put("config", "main", configuration(2, **self.FEW))
        for number in range(1, 10):
            await world.start_instance(f"i{number}", failure_domain="ab"[number % 2])
        await world.wait_until(
            lambda: all(
                len(i.peers.live_instances) == 10
                and (i.peers.is_hub or i.peers.source)
                and i.is_ready
                for i in world.instances
            ),
            10.0,
        )

    async def test_callers_are_served_at_every_instance(self):
        """Guards against lasting disagreement on the homes, and callers left out.

        Until each instance has renewed its choice, it may still use homes that it chose
        before it knew all instances; callers are served in that time, too.
        """
        async with World() as world:
            await self.start(world)
            await self.check_callers(world, "start")
            await asyncio.sleep(self.AGREEMENT_S)
            homes = {tuple(i.homes.names) for i in world.instances}
            assert len(homes) == 1
            candidates = {
                i.cfg.name: Candidate(i.cfg.strength, i.cfg.failure_domain)
                for i in world.instances
            }
            expected = choose_homes(candidates, 12, 2, ("a",))
            assert homes == {tuple(expected)}
            await self.check_callers(world, "agreed")

    async def check_callers(self, world, stage):
        for number in range(10):
            caller = await world.caller(instance=number)
            answer = await caller.ask("WRITE a 1", f"{stage}{number}")
            assert answer[0] == f"DONE sig.{stage}{number}"

    async def test_changes_reach_every_instance(self):
        async with World() as world:
            await self.start(world)
            before = sum(world.platform.calls.values())
            world.put("config", "main", configuration(3, **self.FEW))
            await world.wait_until(
                lambda: all(i.cluster_state.version == 3 for i in world.instances)
            )
            world.put("servers", "s3", None)
            await world.wait_until(
                lambda: all(
                    "s3" not in i.cluster_state.server_ids for i in world.instances
                )
            )
            watchers = sum(i.peers.is_watcher for i in world.instances)
            assert watchers == 6
            # Each watcher polls again after each change; all may list the instances.
            assert sum(world.platform.calls.values()) - before <= 4 * watchers + 10

    async def test_a_primary_that_crashes_is_replaced(self):
        async with World() as world:
            await self.start(world)
            caller = await world.caller(instance=9)
            await caller.ask("WRITE a 1")
            world.group.servers["s1"].crash()
            started = asyncio.get_running_loop().time()
            while world.group.primary == "s1":
                await caller.ask("WRITE a 1")
                assert asyncio.get_running_loop().time() - started < 3.0
            assert len({token for _, token, _ in world.promotion_requests}) == 1

    async def test_an_instance_of_the_former_build_is_seen_and_sees_all(self):
        """It reports to all instances, and expects reports from all of them."""
        async with World() as world:
            await self.start(world)
            host, port = HOST, free_ports(1)[0]
            world.put("mangoramp-instance", "former", {"host": host, "port": port})
            received = set()

            class Former(asyncio.DatagramProtocol):
                def datagram_received(self, data, addr):
                    name, incarnation, number = msgspec.msgpack.decode(data)[:3]
                    received.add(name)

            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                Former, local_addr=(host, port)
            )

            def report():
                fields = [
                    "former",
                    1,
                    len(sent) + 1,
                    False,
                    False,
                    1,
                    1,
                    {},
                    {},
                    1,
                    "a",
                ]
                sent.append(fields)
                for instance in world.instances:
                    transport.sendto(msgspec.msgpack.encode(fields), instance.cfg.peers)

            sent = []
            for _ in range(20):
                report()
                await asyncio.sleep(0.1)
            assert all("former" in i.peers.live_instances for i in world.instances)
            await world.wait_until(lambda: len(received) == 10)
            transport.close()


class TestStartDuringOutage:
    async def test_instances_know_each_other_soon_after_the_store_is_back(self):
        """Else each uses the part of a smaller fleet, and overloads a cold server."""
        async with World(instances=0) as world:
            world.platform.faults.down = True
            for number in range(3):
                await world.start_instance(f"i{number}", seeds=())
            await asyncio.sleep(0.3)
            world.platform.faults.down = False
            await world.wait_until(
                lambda: all(
                    world.platform.get("mangoramp-instance", f"i{n}") for n in range(3)
                )
            )
            # It lists all and reports to them, so that none of them is alone.
            await world.start_instance("late", seeds=())
            await world.wait_until(
                lambda: all(len(i.peers.live_instances) == 4 for i in world.instances),
                3.0,
            )
