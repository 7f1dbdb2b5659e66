import asyncio
import json
import signal
from urllib.request import urlopen

import asyncpg
import msgspec
import pytest
from tornado.httpclient import HTTPError

from mangoramp.catalog import KIND_GROUP
from mangoramp.objects import GroupObject, TermStart
from mangoramp.platform.client import PlatformClient

from .caller import Caller
from .processes import running_processes
from .test_processes import post_until_admitted

CREATE = "CREATE TABLE sheet (id TEXT, revision INTEGER)"
ISSUE = "INSERT INTO sheet VALUES ($1, $2)"
SEARCH = "SELECT id FROM sheet"


@pytest.fixture
def procs(tmp_path):
    with running_processes(tmp_path) as processes:
        yield processes


@pytest.fixture
def caller(procs):
    return Caller(procs.give_key())


def received_statements(procs, name):
    control = procs.servers[name][1]
    return json.load(urlopen(f"http://127.0.0.1:{control}/faults"))


async def call_function(procs, name, function, *params):
    conn = await asyncpg.connect(
        host="127.0.0.1",
        port=procs.servers[name][0],
        user="test",
        database="x",
        ssl=False,
    )
    placeholders = ", ".join(f"${n + 1}" for n in range(len(params)))
    row = await conn.fetchrow(
        f"SELECT * FROM mangoramp_{function}({placeholders})", *params
    )
    conn.terminate()
    return row


async def replace_primary(procs):
    """Promote s1 in term 2 and update the group on the platform."""
    for name in ("s1", "s2"):
        await call_function(procs, name, "fence", "2")
    row = await call_function(procs, "s1", "promote", "2")
    start = TermStart(2, row["term_start"], row["term_previous"])
    await call_function(
        procs, "s2", "follow", "2", "127.0.0.1", str(procs.servers["s1"][0])
    )
    client = PlatformClient(procs.platform)
    found = (await client.get(KIND_GROUP, "register", GroupObject)).unwrap()
    group = msgspec.structs.replace(
        found.value,
        term=2,
        primary="s1",
        starts=(*found.value.starts, start),
    )
    await client.put(KIND_GROUP, "register", group, version=found.version)
    client.close()


class TestPausedProxy:
    async def test_acknowledges_nothing_of_a_replaced_primary(self, procs, caller):
        url = procs.url("p0")
        await post_until_admitted(caller, url, CREATE)
        for name in ("s1", "s2"):
            procs.set_faults(name, pull=False)
        issuing = asyncio.ensure_future(caller.post(url, ISSUE, "A1", 1))
        while ISSUE not in received_statements(procs, "s0"):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        procs.signal("p0", signal.SIGSTOP)
        for name in ("s1", "s2"):
            procs.set_faults(name)
        await replace_primary(procs)
        procs.signal("p0", signal.SIGCONT)
        reply = await issuing
        assert reply.body["outcome"] == "unknown", reply
        found = await post_until_admitted(caller, procs.url("p1"), SEARCH)
        assert found.body["rows"] == []

    async def test_a_killed_proxys_work_lands_once_or_not_at_all(self, procs, caller):
        await post_until_admitted(caller, procs.url("p0"), CREATE)
        procs.set_faults("s0", late_s=0.1)
        key = {"Idempotency_Key": "k1"}
        issuing = asyncio.ensure_future(
            caller.post(procs.url("p0"), ISSUE, "A1", 1, **key)
        )
        while ISSUE not in received_statements(procs, "s0"):
            await asyncio.sleep(0.02)
        procs.kill("p0")
        with pytest.raises(HTTPError):
            await issuing
        done = await post_until_admitted(caller, procs.url("p1"), ISSUE, "A1", 1, **key)
        assert done.body["outcome"] == "done"
        again = await caller.post(procs.url("p2"), ISSUE, "A1", 1, **key)
        assert again.body["repeated"]
        found = await caller.post(procs.url("p2"), SEARCH)
        assert found.body["rows"] == [["A1"]]
        assert await self.abandon_transaction(procs, caller) == [["A1"]]

    async def abandon_transaction(self, procs, caller):
        """Kill the proxy of an open transaction before its commit; return the rows."""
        begun = await caller.post(transactions(procs, "p1"), "")
        url = f"{transactions(procs, 'p2')}/{begun.body['transaction']}"
        ran = await caller.post(f"{url}/statements", ISSUE, "A2", 1)
        assert ran.body["outcome"] == "done"
        procs.kill("p1")
        refused = await caller.post(f"{url}/commit", "")
        assert refused.body["outcome"] == "not_run", refused
        return (await caller.post(procs.url("p2"), SEARCH)).body["rows"]


def transactions(procs, proxy):
    return procs.url(proxy).replace("statements", "transactions")
