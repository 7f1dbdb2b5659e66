"""Evacuation of failure domains: the table, and the checks before sending."""

import asyncio
import itertools
from types import SimpleNamespace

import msgspec
import pytest
from returns.result import Success

from mangoramp.control.cluster_state import ClusterState
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.evacuations import Evacuations
from mangoramp.control.news import AskNews, News
from mangoramp.control.news_fetcher import NewsFetcher
from mangoramp.control.reports import Report
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
from mangoramp.serving.operation import Ticket
from mangoramp.serving.pool import NoConnectionError, Urgency
from mangoramp.serving.servers import Servers
from mangoramp.serving.transactions import Transaction, TransactionRunner
from mangoramp.sessions.reply import SessionState
from mangoramp.sessions.session import Session
from mangoramp.sessions.statement import Read

from .wire_world import SERVERS

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
        # Peers ask for the removal only if it raises the revision that is reported.
        reported = table.latest
        table.expire(10.0 + MISSING_GRACE_S)
        assert not table.evacuated
        assert table.latest > reported
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

    async def test_no_connection_to_an_evacuated_primary_is_opened(self, deployment):
        deployment.set("a")
        waiting = asyncio.ensure_future(deployment.lease("s1"))
        await asyncio.sleep(0.01)
        deployment.now += 0.11
        with pytest.raises(NoConnectionError):
            await asyncio.wait_for(waiting, 0.5)
        assert deployment.servers.pool(deployment.server("s1")).opened == 0

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
        handle = (await homes.batches.answer(message)).handle
        deployment.set("a")
        deployment.now += 2.6
        for late in (message, msgspec.structs.replace(message, handle=handle)):
            assert isinstance(await homes.batches.answer(late), BatchNotSent)
        assert homes.batches.is_idle
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
            release=lambda: None,
        )
        tx = Transaction("c", False, 0.0, 0.0, Ticket("t"), lease)
        deployment.set("a")
        deployment.now += 2.6
        with pytest.raises(NotSentError):
            await executor.run(lease, Session("d", ""), COMMANDS, timeout_s=1.0)
        # The stub cannot run anything: a rollback that is sent would be an error.
        runner = TransactionRunner(executor, None)
        runner.roll_back(tx)
        await asyncio.gather(*runner._rollbacks)
        assert len(dropped) == 2

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


class TestNews:
    async def test_peers_confirm_an_evacuation_in_turn(self, deployment):
        """Guards against a removal that the peer asked last does not know either."""
        asked = []

        class StubPeers:
            is_watcher = False
            peers = {}
            now = 100.0

            def has_newer(self, known):
                return False

            def newer_peers(self, known):
                return ["x", "y", "z"]

        async def fetch(peer, message, timeout_s):
            asked.append(peer)
            return Success(News(0, 0, None, (), frozenset(), False))

        peers = StubPeers()
        fetcher = NewsFetcher(
            ClusterState(deployment.servers),
            peers,
            lambda topics: None,
            fetch,
            deployment.evacuations,
        )
        deployment.set("a")
        for _ in range(8):
            fetcher.check_peers()
            await asyncio.sleep(0.01)
            peers.now += 1.3
        assert asked == ["x", "y", "z", "x"]


class TestMessages:
    def test_the_former_build_decodes_the_new_fields(self):
        """Guards against instances of two builds that cannot hear each other."""
        report = Report("i", 1, 2, evacuations_at=(1, 2), is_isolated=True)
        fields = msgspec.to_builtins(report)
        names = Report.__struct_fields__
        before_both = fields[: names.index("evacuations_at")]
        before_one = fields[: names.index("is_isolated")]
        assert msgspec.convert(before_both, Report).evacuations_at is None
        assert msgspec.convert(before_one, Report).evacuations_at == (1, 2)
        assert not msgspec.convert(before_one, Report).is_isolated
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
