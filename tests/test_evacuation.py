"""Evacuation of failure domains: the table, the checks before sending, instances."""

import asyncio
import itertools
import random
import time
from types import SimpleNamespace

import msgspec
import pytest

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.evacuations import Evacuations
from mangoramp.control.news import AskNews, News
from mangoramp.control.peers import Report
from mangoramp.control.settings import Bounds, Features
from mangoramp.errors import FaultError
from mangoramp.policy.evacuation import (
    MISSING_GRACE_S,
    EvacuationTable,
    EvacuationTimes,
)
from mangoramp.policy.revision import Revision
from mangoramp.policy.succession import Evidence, reason_to_promote
from mangoramp.serving.batches import BatchNotSent, RunBatch
from mangoramp.serving.command import Answer, ConnectionContext, NotSentError, RunFor
from mangoramp.serving.executor import Executor
from mangoramp.serving.homes import Homes
from mangoramp.serving.lease import LocalLease
from mangoramp.serving.pool import NoConnectionError, Urgency
from mangoramp.serving.servers import Servers
from mangoramp.sessions.reply import SessionState
from mangoramp.sessions.session import Session
from mangoramp.sessions.statement import Read

from .relay import Relay
from .wire_world import GROUP, HOST, KEY, SERVERS, World, configuration

BOUND_S = 2.0  # instead of 5 s, to keep the tests short
ZONES = dict(zip(SERVERS, "abc", strict=True))
COMMANDS = (RunFor("r1", Read("READ a")),)


class TestTable:
    def test_the_order_of_merging_does_not_matter(self):
        """Guards against an evacuation or a withdrawal that a late update undoes."""
        changes = [
            ("a", Revision(1, 5), True),
            ("a", Revision(1, 9), False),
            ("a", Revision(2, 3), True),
            ("b", Revision(1, 7), True),
            ("b", Revision(1, 8), False),
        ]
        tables = []
        for order in itertools.permutations(changes):
            table = EvacuationTable()
            for change in order:
                table.apply(*change)
            tables.append((dict(table.entries), table.evacuated, table.latest))
        assert all(found == tables[0] for found in tables)
        assert tables[0][1] == {"a"}

    def test_peers_agree_whatever_they_exchange(self):
        """Guards against a difference that lasts once all updates are exchanged."""
        for seed in range(300):
            rng = random.Random(seed)
            truth, tables = {}, [EvacuationTable() for _ in range(3)]
            for number in range(1, 30):
                domain, is_evacuated = rng.choice("abc"), rng.random() < 0.6
                truth[domain] = (Revision(1 + number // 20, number), is_evacuated)
                rng.choice(tables).apply(domain, *truth[domain])
                one, other = rng.sample(tables, 2)
                one.merge(other.entries)
            for one, other in itertools.product(tables, tables):
                one.merge(other.entries)
            assert all(dict(t.entries) == truth for t in tables), seed

    def test_a_restored_store_does_not_withdraw_an_evacuation(self):
        """Guards against traffic between a restoration and the operator's new write."""
        table = EvacuationTable()
        table.apply("a", Revision(1, 50), True)
        table.retain((), Revision(2, 40), now=10.0)
        table.expire(10.0 + MISSING_GRACE_S - 0.1)
        assert table.evacuated == {"a"}
        assert table.is_doubtful
        table.apply("a", Revision(2, 45), True)
        table.expire(60.0)
        assert table.evacuated == {"a"}
        assert not table.is_doubtful

    def test_a_removal_that_only_a_list_shows_is_applied_later(self):
        """Guards against an evacuation that stays in force for ever."""
        table = EvacuationTable()
        table.apply("a", Revision(1, 50), True)
        table.retain((), Revision(2, 40), now=10.0)
        table.expire(10.0 + MISSING_GRACE_S)
        assert not table.evacuated
        table.apply("a", Revision(1, 50), True)
        assert not table.evacuated

    def test_a_second_restoration_starts_the_time_anew(self):
        table = EvacuationTable()
        table.apply("a", Revision(1, 50), True)
        table.retain((), Revision(2, 40), now=10.0)
        table.retain((), Revision(3, 40), now=12.0)
        table.expire(13.0)
        assert table.evacuated == {"a"}

    def test_a_peer_of_the_former_era_is_doubted_too(self):
        table = EvacuationTable()
        table.retain((), Revision(2, 40), now=10.0)
        table.merge({"a": (Revision(1, 50), True)})
        assert table.evacuated == {"a"}
        assert table.is_doubtful


class TestTimes:
    def test_replicas_primaries_and_transactions_end_one_after_the_other(self):
        times = EvacuationTimes(since=100.0, bound_s=5.0)
        assert not times.may_send(100.0, is_primary=False)
        for after_s, primary, transaction in (
            (1.2, True, True),
            (1.3, False, True),
            (2.6, False, False),
        ):
            now = 100.0 + after_s
            assert times.may_send(now, is_primary=True) is primary
            for is_primary in (True, False):
                allowed = times.may_send(
                    now, is_primary=is_primary, in_transaction=True
                )
                assert allowed is transaction

    def test_a_primary_is_replaced_without_a_majority(self):
        evidence = Evidence(True, is_evacuated=True, has_majority=False)
        assert reason_to_promote(evidence) == "its failure domain is being evacuated"


class Connection:
    """A connection that counts what is sent and stays inside a transaction."""

    def __init__(self):
        self.context = ConnectionContext()
        self.is_open = True
        self.sent = 0

    async def run(self, batch, *, timeout_s):
        self.sent += len(batch)
        return (Answer(SessionState.IN_TRANSACTION, None, (), "sig"),) * len(batch)

    def close(self):
        self.is_open = False


class Connector:
    async def open(self, server_id, group, address, customer):
        return Connection()


class Deployment:
    """Servers of three failure domains at a time that the test sets."""

    def __init__(self):
        self.now = 100.0
        self.servers = Servers(Connector(), lambda: self.now)
        self.evacuations = Evacuations(self.servers, lambda: 5.0)
        self.number = 1
        for server_id, domain in ZONES.items():
            self.list_server(server_id, domain)

    def list_server(self, server_id, domain, started_ms=1):
        endpoint = Endpoint(
            server_id, "g", ("h", 1), domain, 2, False, server_id == "s1", started_ms
        )
        self.servers.group("g").update_endpoint(endpoint, Revision(1, 1))

    def set(self, domain, is_evacuated=True, *, is_late=False):
        self.number += 1
        change = {domain: (Revision(1, self.number), is_evacuated)}
        self.evacuations.apply_changes(change, is_late=is_late)

    def server(self, server_id):
        return self.servers.group("g").servers[server_id]

    async def lease(self, server_id):
        pool = self.servers.pool(self.server(server_id))
        conn = await pool.acquire("c", Urgency(1, 0.2, 0.2))
        return LocalLease(pool.server, conn, "c", pool)


@pytest.fixture
def deployment():
    return Deployment()


class TestFinalCheck:
    @pytest.mark.parametrize(("server_id", "until_s"), [("s1", 1.25), ("s2", 0.0)])
    async def test_a_statement_that_got_its_connection_before_is_not_sent(
        self, deployment, server_id, until_s
    ):
        """Guards against a statement that leaves after the choice of its server."""
        lease = await deployment.lease(server_id)
        deployment.set(ZONES[server_id])
        deployment.now += until_s
        with pytest.raises(NotSentError):
            await lease.run(None, COMMANDS, timeout_s=1.0)
        assert not lease.conn.sent

    async def test_an_open_transaction_ends_with_its_connection(self, deployment):
        lease = await deployment.lease("s1")
        await lease.run(None, COMMANDS, timeout_s=1.0)
        deployment.set("a")
        deployment.now += 2.4
        await lease.run(None, COMMANDS, timeout_s=1.0)
        deployment.now += 0.2
        with pytest.raises(NotSentError):
            await lease.run(None, COMMANDS, timeout_s=1.0)
        assert lease.conn.sent == 2
        assert not lease.conn.is_open

    async def test_no_connection_is_opened_and_no_request_waits(self, deployment):
        deployment.set("b")
        with pytest.raises(NoConnectionError):
            await asyncio.wait_for(deployment.lease("s2"), 0.1)
        assert deployment.servers.pool(deployment.server("s2")).opened == 0

    async def test_requests_that_wait_are_released_at_once(self, deployment):
        pool = deployment.servers.pool(deployment.server("s2"))
        pool.resize(1)
        await deployment.lease("s2")
        waiting = asyncio.ensure_future(deployment.lease("s2"))
        await asyncio.sleep(0.01)
        deployment.set("b")
        with pytest.raises(NoConnectionError):
            await asyncio.wait_for(waiting, 0.1)

    async def test_a_home_answers_that_nothing_was_sent(self, deployment):
        """Guards against a home that learned of the evacuation before the caller's."""
        homes = Homes(
            "i1",
            deployment.servers,
            instances=dict,
            admit=lambda customer, request_id: 0.0,
            links=None,
            heard_at=lambda name: 0.0,
        )
        message = RunBatch("s1", "g", "c", None, {}, COMMANDS, 1.0, 0.2, 0.2)
        handle = (await homes.answer(message)).handle
        deployment.set("a")
        deployment.now += 2.6
        for late in (message, msgspec.structs.replace(message, handle=handle)):
            assert isinstance(await homes.answer(late), BatchNotSent)
        assert homes.is_idle
        assert not deployment.servers.pool(deployment.server("s1")).leased

    async def test_an_instance_does_not_forward_what_its_home_may_not_know(
        self, deployment
    ):
        executor = Executor(deployment.servers)
        dropped = []
        lease = SimpleNamespace(
            server=deployment.server("s1"),
            in_transaction=True,
            discard=lambda: dropped.append(True),
        )
        deployment.set("a")
        deployment.now += 2.6
        with pytest.raises(NotSentError):
            await executor.run(lease, Session("d", ""), COMMANDS, timeout_s=1.0)
        assert dropped

    async def test_a_statement_for_the_primary_is_rejected_at_once(self, deployment):
        executor = Executor(deployment.servers)
        op = SimpleNamespace(
            route=SimpleNamespace(group="g"),
            customer="c",
            deadline=1000.0,
            session=Session("d", ""),
        )
        deployment.set("a")
        assert (await executor.primary(op)).id == "s1"
        deployment.now += 1.3
        with pytest.raises(FaultError) as caught:
            await asyncio.wait_for(executor.primary(op), 0.1)
        assert caught.value.fault.retry_after_s > 0


class TestServers:
    def test_a_server_that_restarts_stays_evacuated(self, deployment):
        """Guards against a new entry of a server that forgets its evacuation."""
        deployment.set("b")
        deployment.list_server("s2", "b", started_ms=2)
        assert deployment.server("s2").is_evacuated
        assert {s.id for s in deployment.servers.group("g").replicas(100.0)} == {"s3"}

    def test_a_late_notice_shortens_the_times(self, deployment):
        """Guards against traffic beyond the bound at an instance that learned late."""
        deployment.set("a", is_late=True)
        assert not deployment.server("s1").may_send(deployment.now)

    def test_evacuated_domains_get_no_homes_unless_all_are(self, deployment):
        deployment.set("a")
        assert deployment.servers.failure_domains == {"b", "c"}
        deployment.set("b")
        deployment.set("c")
        assert deployment.servers.failure_domains == {"a", "b", "c"}

    def test_a_withdrawn_evacuation_notes_the_return(self, deployment):
        deployment.set("b")
        deployment.now += 5.0
        deployment.set("b", is_evacuated=False)
        server = deployment.server("s2")
        assert not server.is_evacuated
        assert server.returned_at == deployment.now

    def test_one_withdrawn_before_it_was_noticed_changes_nothing(self, deployment):
        deployment.set("b", is_evacuated=False)
        assert not deployment.server("s2").is_evacuated
        assert deployment.server("s2").returned_at == float("-inf")


class TestMessages:
    def test_the_former_build_decodes_the_new_fields(self):
        """Guards against instances of two builds that cannot hear each other."""
        report = Report("i", 1, 2, evacuations_at=(1, 2))
        fields = msgspec.to_builtins(report)
        assert msgspec.convert(fields[:-1], Report).evacuations_at is None
        for message in (
            AskNews(1, 2, evacuations_at=(1, 2)),
            News(1, 2, None, (), frozenset(), True, evacuations=(("a", 1, 2, True),)),
        ):
            data = msgspec.msgpack.encode(message)
            assert msgspec.msgpack.decode(data, type=type(message)) == message

    def test_a_deployment_without_evacuations_reports_none(self):
        evacuations = Evacuations(
            Servers(None, lambda: 0.0), lambda: 0.0, is_enabled=False
        )
        assert evacuations.is_known.is_set()
        assert evacuations.latest is None


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
            fresh.evacuations.apply_news = lambda entries, latest: None
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
