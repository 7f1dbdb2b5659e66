import asyncio
import tempfile
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.endpoints.connection import Conn, Pool
from mangoramp.policy.position import START
from mangoramp.policy.statement import Kind
from mangoramp.proxies.messages import (
    BeginTransaction,
    EndTransaction,
    Refused,
    Rows,
    RunInTransaction,
    SettleTransaction,
    TransactionEnded,
)
from mangoramp.settings import TransactionSettings
from mangoramp.standins.endpoint import Faults

from .servers import CREATE, ISSUE, faults, inject_faults, running, write


class TransactionClient:
    """The client side of one transaction."""

    def __init__(self, home, id_, customer):
        self.home, self.id, self.customer = home, id_, customer

    @classmethod
    async def begin(cls, home, customer="tala", seen=START):
        reply = await home.serve(
            BeginTransaction(
                customer=customer, group="register", seen=seen, timeout_s=2.0
            )
        )
        return (
            reply
            if isinstance(reply, Refused)
            else cls(home, reply.transaction, customer)
        )

    async def run(self, sql, *params, kind=Kind.WRITE, timeout_s=2.0):
        return await self.home.serve(
            RunInTransaction(
                customer=self.customer,
                group="register",
                transaction=self.id,
                kind=kind,
                sql=sql,
                params=params,
                timeout_s=timeout_s,
            )
        )

    async def end(self, commit=True, key="", timeout_s=2.0):
        return await self.home.serve(
            EndTransaction(
                customer=self.customer,
                group="register",
                transaction=self.id,
                commit=commit,
                idempotency_key=key,
                timeout_s=timeout_s,
            )
        )

    async def settle(self, home=None):
        return await (home or self.home).serve(
            SettleTransaction(
                customer=self.customer,
                group="register",
                transaction=self.id,
                timeout_s=3.0,
            )
        )


class TestTransactions:
    async def test_commits_its_statements_together(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=8)
            await home.serve(write(CREATE))
            client = await TransactionClient.begin(home)
            for number in range(2):
                assert isinstance(await client.run(ISSUE, "A1", str(number)), Rows)
            assert servers.change_counts() == {}
            done = await client.end()
            assert (done.committed, done.repeated) == (True, False)
            assert servers.change_counts() == {("A1", "0"): 1, ("A1", "1"): 1}
            again = await client.end()
            assert (again.committed, again.repeated) == (True, True)

    async def test_answers_a_redone_transaction_by_its_key(self, tmp_path):
        async with running(tmp_path) as servers:
            homes = [servers.home(pool_size=8), servers.home(pool_size=8)]
            await homes[0].serve(write(CREATE))
            replies = []
            for home, revision in ((homes[0], "0"), (homes[1], "0"), (homes[1], "1")):
                client = await TransactionClient.begin(home)
                await client.run(ISSUE, "A1", revision)
                replies.append(await client.end(key="k1"))
            assert [r.repeated for r in replies[:2]] == [False, True]
            assert replies[2].fault.code == "idempotency_key_reused"
            assert servers.change_counts() == {("A1", "0"): 1}

    async def test_a_failed_statement_rolls_all_back(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=8)
            await home.serve(write(CREATE))
            client = await TransactionClient.begin(home)
            await client.run(ISSUE, "A1", "0")
            failed = await client.run("INSERT INTO nowhere VALUES (1)")
            assert failed.fault.sqlstate == "42P01"
            refused = await client.end()
            assert refused.fault.outcome == "not_run"
            assert servers.change_counts() == {}

    async def test_takes_one_request_at_a_time_of_its_customer_only(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=8)
            await home.serve(write(CREATE))
            client = await TransactionClient.begin(home)
            servers.primary().set_faults(Faults(late_s=0.1))
            first = asyncio.ensure_future(client.run(ISSUE, "A1", "0"))
            await asyncio.sleep(0.02)
            second = await client.run(ISSUE, "A1", "1")
            assert second.fault.code == "transaction_busy"
            assert (await client.end()).fault.code == "transaction_busy"
            assert isinstance(await first, Rows)
            other = TransactionClient(home, client.id, "norte")
            for reply in (await other.run(ISSUE, "A1", "2"), await other.end()):
                assert reply.fault.code == "transaction_unknown"
            assert (await client.end()).committed
            assert servers.change_counts() == {("A1", "0"): 1}

    async def test_limits_a_customer_to_half_of_the_transactions(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=8)
            replies = [await TransactionClient.begin(home) for _ in range(3)]
            assert replies[2].fault.code == "overloaded"
            assert replies[2].fault.retry_after_s
            assert isinstance(
                await TransactionClient.begin(home, "norte"), TransactionClient
            )


class TestEnds:
    @pytest.mark.parametrize(
        "limits", [TransactionSettings(0.3, 9.0), TransactionSettings(9.0, 0.3)]
    )
    async def test_rolls_back_a_transaction_that_times_out(self, tmp_path, limits):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=8, transactions=limits)
            await home.serve(write(CREATE))
            client = await TransactionClient.begin(home)
            await client.run(ISSUE, "A1", "0")
            while len(home.transactions):
                await asyncio.sleep(0.01)
            refused = await client.end()
            assert refused.fault.outcome == "not_run"
            assert isinstance(await home.serve(write(ISSUE, "A2", "0")), Rows)
            assert servers.change_counts() == {("A2", "0"): 1}

    async def test_ends_a_customers_transactions_on_demand(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=8)
            await home.serve(write(CREATE))
            clients = [
                await TransactionClient.begin(home, c) for c in ("tala", "norte")
            ]
            assert home.transactions.abort_customer_transactions("tala") == 1
            refused = await clients[0].run(ISSUE, "A1", "0")
            assert refused.fault.code == "transaction_unknown"
            assert isinstance(await clients[1].run(ISSUE, "A2", "0"), Rows)
            assert (await clients[1].end()).committed

    async def test_settles_a_commit_whose_answer_was_lost(self, tmp_path):
        async with running(tmp_path) as servers:
            homes = [servers.home(pool_size=8), servers.home(pool_size=8)]
            await homes[0].serve(write(CREATE))
            client = await TransactionClient.begin(homes[0])
            await client.run(ISSUE, "A1", "0")
            servers.primary().set_faults(Faults(drop_answers=1, drop_after=1))
            lost = await client.end()
            assert lost.fault.outcome == "unknown"
            settled = await client.settle(homes[1])
            assert settled.committed == bool(servers.change_counts())

    async def test_settled_as_rolled_back_it_never_commits(self, tmp_path):
        async with running(tmp_path) as servers:
            homes = [servers.home(pool_size=8), servers.home(pool_size=8)]
            await homes[0].serve(write(CREATE))
            client = await TransactionClient.begin(homes[0])
            settled = await client.settle(homes[1])
            assert isinstance(settled, TransactionEnded)
            assert not settled.committed
            await client.run(ISSUE, "A1", "0")
            refused = await client.end()
            assert refused.fault.outcome == "not_run"
            assert servers.change_counts() == {}


async def run_transaction(home, customer, statements):
    """Run one transaction and return its last reply."""
    client = await TransactionClient.begin(home, customer)
    if isinstance(client, Refused):
        return client
    for number in range(statements):
        reply = await client.run(ISSUE, customer, str(number), timeout_s=0.4)
        if isinstance(reply, Refused):
            return reply
        await asyncio.sleep(0)
    return await client.end(timeout_s=0.4)


async def run_interleaved(fault, late):
    """Run two pairs of concurrent transactions in sequence, with a fault."""
    with tempfile.TemporaryDirectory() as folder:
        async with running(Path(folder)) as servers:
            home = servers.home(pool_size=8)
            await home.serve(write(CREATE, key="k0"))
            injecting = asyncio.ensure_future(inject_faults(servers, [fault]))
            await asyncio.sleep(0)
            if late:
                servers.primary().faults = msgspec.structs.replace(
                    servers.primary().faults, late_s=0.01
                )
            names = ("a", "b", "c", "d")
            replies = []
            for pair in (names[:2], names[2:]):
                replies += await asyncio.gather(
                    *(run_transaction(home, name, 2) for name in pair)
                )
            injecting.cancel()
            await asyncio.sleep(0.05)
            check_entries(servers, dict(zip(names, replies, strict=True)))


def check_entries(servers, replies):
    entries = [entry for entry in servers.entries() if entry]
    for entry in entries:
        assert entry == [(entry[0][0], "0"), (entry[0][0], "1")], f"mixed: {entries}"
    found = [entry[0][0] for entry in entries]
    assert len(found) == len(set(found))
    for name, reply in replies.items():
        if isinstance(reply, TransactionEnded):
            assert name in found, replies
        elif reply.fault.outcome == "not_run":
            assert name not in found, replies


class TestMixing:
    @given(fault=faults, late=st.booleans())
    @settings(derandomize=True, deadline=None, max_examples=12)
    def test_statements_of_different_transactions_never_mix(self, fault, late):
        asyncio.run(run_interleaved(fault, late))

    async def test_an_abandoned_transaction_joins_no_other(self, tmp_path):
        async with running(tmp_path) as servers:
            replies = await abandon(servers)
            check_entries(servers, replies)

    async def test_fails_where_open_connections_go_back(self, tmp_path, monkeypatch):
        def release(pool, conn, *, clean):
            pool._release_slot()
            pool._idle.append(conn)

        monkeypatch.setattr(Pool, "release", release)
        monkeypatch.setattr(Conn, "terminate", lambda conn: None)
        async with running(tmp_path) as servers:
            replies = await abandon(servers)
            with pytest.raises(AssertionError, match="mixed"):
                check_entries(servers, replies)
            monkeypatch.undo()


async def abandon(servers):
    """Abort one customer's transaction, then run another customer's."""
    home = servers.home(pool_size=8)
    await home.serve(write(CREATE))
    client = await TransactionClient.begin(home, "a")
    await client.run(ISSUE, "a", "0")
    home.transactions.abort_customer_transactions("a")
    await asyncio.sleep(0.05)
    return {"a": await client.end(), "b": await run_transaction(home, "b", 2)}
