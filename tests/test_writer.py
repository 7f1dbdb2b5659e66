import asyncio
import itertools
import tempfile
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp import writer as writer_module
from mangoramp.confirmation import Confirmation
from mangoramp.endpoints import outcomes
from mangoramp.endpoints import run as run_module
from mangoramp.errors import Outcome
from mangoramp.proxies.messages import Rows
from mangoramp.standins.endpoint import Faults

from .servers import (
    CREATE,
    ISSUE,
    Fault,
    Servers,
    faults,
    inject_faults,
    most_advanced,
    running,
    write,
)


class TestKeyedWrites:
    async def test_a_retry_on_any_home_gets_the_first_answer(self, tmp_path):
        async with running(tmp_path) as servers:
            homes = [servers.home(), servers.home()]
            await homes[0].serve(write(CREATE))
            req = write(ISSUE, "A1", "0", key="k1")
            first = await homes[0].serve(req)
            again = await homes[1].serve(req)
            assert (first.repeated, again.repeated) == (False, True)
            assert (again.rows, again.count) == (first.rows, first.count)
            assert servers.change_counts() == {("A1", "0"): 1}

    async def test_refuses_a_key_that_came_with_another_statement(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home()
            await home.serve(write(CREATE))
            await home.serve(write(ISSUE, "A1", "0", key="k1"))
            reply = await home.serve(write(ISSUE, "A1", "1", key="k1"))
            assert reply.fault.code == "idempotency_key_reused"
            assert reply.fault.outcome == "not_run"
            other = write(ISSUE, "A1", "1", key="k1", customer="norte")
            assert isinstance(await home.serve(other), Rows)
            assert servers.change_counts() == {("A1", "0"): 1, ("A1", "1"): 1}

    async def test_a_failed_statement_leaves_no_record(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home()
            req = write(ISSUE, "A1", "0", key="k1")
            reply = await home.serve(req)
            assert (reply.fault.sqlstate, reply.fault.outcome) == ("42P01", "not_run")
            await home.serve(write(CREATE))
            assert not (await home.serve(req)).repeated
            assert servers.change_counts() == {("A1", "0"): 1}

    async def test_the_first_answer_outlasts_a_failover(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home()
            await home.serve(write(CREATE))
            req = write(ISSUE, "A1", "0", key="k1")
            assert not (await home.serve(req)).repeated
            servers.promote(most_advanced(servers))
            again = await servers.home().serve(req)
            assert (again.repeated, again.position.term) == (True, 2)
            assert servers.change_counts() == {("A1", "0"): 1}

    async def test_the_same_request_twice_at_once_lands_once(self, tmp_path):
        async with running(tmp_path) as servers:
            homes = [servers.home(), servers.home()]
            await homes[0].serve(write(CREATE))
            req = write(ISSUE, "A1", "0", key="k1")
            replies = await asyncio.gather(*(h.serve(req) for h in homes * 3))
            assert sorted(reply.repeated for reply in replies) == [False] + [True] * 5
            assert servers.change_counts() == {("A1", "0"): 1}

    async def test_old_records_are_pruned_in_small_steps(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home()
            await home.serve(write(CREATE))
            pruner = writer_module.Pruner(
                home.group, retention_s=-60, writes_per_prune=1, batch_size=2
            )
            for number in range(5):
                await home.serve(write(ISSUE, "A1", str(number), key=f"k{number}"))
            left = []
            for _ in range(3):
                await pruner.prune_batch()
                left.append(records(servers))
            assert left == [3, 1, 0]


def records(servers: Servers) -> int:
    conn = servers.primary().store.connect()
    try:
        return conn.execute("SELECT count(*) FROM mangoramp_outcome").fetchone()[0]
    finally:
        conn.close()


async def retry_until_rows(homes, req, retry_for_s=30.0):
    """Retry a request at one home after the other, as a client with a key does."""
    give_up = time.monotonic() + retry_for_s
    for home in itertools.cycle(homes):
        reply = await home.serve(req)
        if isinstance(reply, Rows) or time.monotonic() > give_up:
            return reply
    return None


async def write_with_faults(chosen_faults: list[Fault], *, key: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with running(Path(folder)) as servers:
            homes = [servers.home(), servers.home()]
            await homes[0].serve(write(CREATE, key="k0"))
            req = write(ISSUE, "A1", "0", key=key, timeout_s=1.2)
            injecting = asyncio.ensure_future(inject_faults(servers, chosen_faults))
            await asyncio.sleep(0)
            if key:
                reply = await retry_until_rows(homes, req)
                assert isinstance(reply, Rows), reply
            else:
                reply = await homes[0].serve(req)
            injecting.cancel()
            await asyncio.sleep(0.05)
            check(servers, reply)


def check(servers: Servers, reply) -> None:
    count = servers.change_counts()[("A1", "0")]
    if isinstance(reply, Rows):
        assert count == 1, f"landed {count} times: {reply}"
    elif reply.fault.outcome == "not_run":
        assert count == 0, f"landed {count} times: {reply}"
    else:
        assert count <= 1, f"landed {count} times: {reply}"


class TestAtMostOnce:
    @given(chosen_faults=st.lists(faults, min_size=1, max_size=2), keyed=st.booleans())
    @settings(derandomize=True, deadline=None, max_examples=20)
    def test_each_write_lands_at_most_once_and_answers_are_true(
        self, chosen_faults, keyed
    ):
        asyncio.run(write_with_faults(chosen_faults, key="k1" if keyed else ""))

    def test_fails_without_the_record(self, monkeypatch):
        async def claim(conn, key, *, now_s, timeout_s):
            await conn.execute("BEGIN")
            return True

        async def commit(conn, key, answer, *, timeout_s):
            return await conn.execute("COMMIT") == "COMMIT"

        monkeypatch.setattr(outcomes, "claim", claim)
        monkeypatch.setattr(outcomes, "commit_claimed", commit)
        with pytest.raises(AssertionError, match="landed 2 times"):
            asyncio.run(write_with_faults([("drop", 2)], key="k1"))

    def test_fails_where_a_lost_answer_counts_as_not_run(self, monkeypatch):
        not_run = property(lambda sending: Outcome.NOT_RUN)
        monkeypatch.setattr(run_module._StatementProgress, "outcome", not_run)
        with pytest.raises(AssertionError, match="landed 2 times"):
            asyncio.run(write_with_faults([("drop", 0)], key=""))


async def isolate(servers, home, key=""):
    """Write at a primary without followers, replace it, and return the reply."""
    await home.serve(write(CREATE))
    while min(e.store.held for e in servers.endpoints.values()) < 1:
        await asyncio.sleep(0.01)
    old = servers.primary()
    for name in ("s1", "s2"):
        servers.endpoints[name].set_faults(Faults(pull=False))
    writing = asyncio.ensure_future(home.serve(write(ISSUE, "A1", "0", key=key)))
    while not servers.change_counts():
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    servers.promote("s1")
    for name in ("s1", "s2"):
        servers.endpoints[name].set_faults(Faults())
    assert old.primary
    return await writing


class TestAcknowledgement:
    async def test_a_replaced_primarys_write_is_not_acknowledged(self, tmp_path):
        async with running(tmp_path) as servers:
            reply = await isolate(servers, servers.home())
            assert reply.fault.outcome == "unknown"
            assert servers.change_counts() == {}

    async def test_with_a_key_it_is_made_at_the_next_primary(self, tmp_path):
        async with running(tmp_path) as servers:
            reply = await isolate(servers, servers.home(), key="k1")
            assert (reply.position.term, reply.server) == (2, "s1")
            assert servers.change_counts() == {("A1", "0"): 1}

    async def test_fails_without_the_majority(self, tmp_path, monkeypatch):
        async def wait(*args):
            return None

        monkeypatch.setattr(Confirmation, "wait_for_majority", wait)
        async with running(tmp_path) as servers:
            reply = await isolate(servers, servers.home())
            assert isinstance(reply, Rows)
            assert servers.change_counts() == {}

    async def test_writes_wait_for_the_next_primary(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home()
            await home.serve(write(CREATE, key="k0"))
            name = most_advanced(servers)
            servers.primary().set_faults(Faults(cut=True))
            reqs = [
                write(ISSUE, "A1", str(n), key=f"w{n}" * (n % 2), timeout_s=30.0)
                for n in range(40)
            ]
            writing = [asyncio.ensure_future(home.serve(req)) for req in reqs]
            await asyncio.sleep(0.5)
            servers.promote(name)
            replies = await asyncio.gather(*writing)
            assert [r for r in replies if not isinstance(r, Rows)] == []
            assert set(servers.change_counts().values()) == {1}
            assert len(servers.change_counts()) == len(reqs)
