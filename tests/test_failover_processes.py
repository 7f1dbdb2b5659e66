import asyncio
import signal
import time

import asyncpg
import pytest

from mangoramp.policy.failover import rank_voters

from .caller import Caller
from .processes import running_processes

INSERT = "INSERT INTO sheet VALUES ($1)"
SELECT_ONE = "SELECT id FROM sheet WHERE id = $1"
SELECT_ALL = "SELECT id FROM sheet"
TIMEOUT_S = 20.0


@pytest.fixture
def fleet(tmp_path):
    with running_processes(tmp_path) as processes:
        yield processes


@pytest.fixture
def caller(fleet):
    return Caller(fleet.give_key(rate=3000))


class Load:
    """Writes through all proxies in turn and records the acknowledged writes."""

    def __init__(self, fleet, caller, proxies):
        self.fleet, self.caller, self.proxies = fleet, caller, proxies
        self.acknowledged, self.acknowledged_at = [], []
        self.refused, self.count, self.reads = 0, 0, 0

    async def write_until(self, condition, timeout_s=TIMEOUT_S):
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, self.acknowledged[-3:]
            await self.write()

    async def write(self):
        self.count += 1
        url = self.fleet.url(self.proxies[self.count % len(self.proxies)])
        timeout = {"Mangoramp_Timeout": "0.5"}
        reply = await self.caller.post(url, INSERT, str(self.count), **timeout)
        if reply.body.get("outcome") == "done":
            self.acknowledged.append((str(self.count), reply.body["server"]))
            self.acknowledged_at.append(time.monotonic())
            await self.read_back(str(self.count))
        else:
            self.refused += 1
            await asyncio.sleep(0.02)

    async def read_back(self, write):
        """Read a write through another proxy and check that the answer contains it."""
        url = self.fleet.url(self.proxies[(self.count + 1) % len(self.proxies)])
        reply = await self.caller.post(url, SELECT_ONE, write, Mangoramp_Timeout="0.5")
        if reply.status == 200:
            self.reads += 1
            assert reply.body["rows"] == [[write]]

    async def write_more(self, count=20):
        target = len(self.acknowledged) + count
        await self.write_until(lambda: len(self.acknowledged) >= target)

    async def write_until_other_server(self, name):
        await self.write_until(lambda: self.acknowledged[-1][1] != name)

    async def read_ids(self):
        url = self.fleet.url(self.proxies[0])
        reply = await self.caller.post(url, SELECT_ALL)
        return {row[0] for row in reply.body["rows"]}


async def start_load(fleet, caller, proxies):
    load = Load(fleet, caller, proxies)
    url = fleet.url(proxies[0])
    while (await caller.post(url, "CREATE TABLE sheet (id TEXT)")).status in (401, 403):
        await asyncio.sleep(0.02)
    await load.write_more()
    return load


class TestKilledPrimary:
    async def test_is_replaced_under_writes(self, fleet, caller):
        load = await start_load(fleet, caller, list(fleet.proxies))
        fleet.kill("s0")
        killed_at = time.monotonic()
        await load.write_until_other_server("s0")
        gap = load.acknowledged_at[-1] - killed_at
        print(f"gap {gap:.2f} s, {load.refused} writes refused or unknown")
        reads_before = load.reads
        await load.write_more()
        assert load.reads > reads_before
        assert {write for write, _ in load.acknowledged} <= await load.read_ids()
        fleet.start_server("s0", primary=True)
        await load.write_more(50)
        assert {server for _, server in load.acknowledged[-50:]} != {"s0"}


class TestStoppedPrimary:
    async def test_returns_as_a_replica(self, fleet, caller):
        load = await start_load(fleet, caller, list(fleet.proxies))
        fleet.signal("s0", signal.SIGSTOP)
        await load.write_until_other_server("s0")
        fleet.signal("s0", signal.SIGCONT)
        await load.write_more(100)
        assert "s0" not in {server for _, server in load.acknowledged[-100:]}
        assert {write for write, _ in load.acknowledged} <= await load.read_ids()
        statuses = await self.wait_until_converged(fleet)
        assert not statuses[0]["is_primary"]

    async def wait_until_converged(self, fleet):
        """Wait until all servers have the same term and log position."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            statuses = [await status(port) for port, _ in fleet.servers.values()]
            if len({(s["term"], s["held"]) for s in statuses}) == 1:
                return statuses
            await asyncio.sleep(0.05)
        raise AssertionError(statuses)


class TestStoppedProxy:
    async def test_is_not_needed_nor_the_platforms_answers(self, fleet, caller):
        first = rank_voters("register", ["d0", "d1", "d2"], [])[0]
        stopped = first.replace("d", "p")
        others = [proxy for proxy in fleet.proxies if proxy != stopped]
        load = await start_load(fleet, caller, others)
        fleet.set_faults("platform", lose_answers=2)
        fleet.kill("s0")
        fleet.signal(stopped, signal.SIGSTOP)
        await load.write_until_other_server("s0")
        fleet.signal(stopped, signal.SIGCONT)
        await load.write_more()
        assert {write for write, _ in load.acknowledged} <= await load.read_ids()


async def status(port):
    conn = await asyncpg.connect(
        host="127.0.0.1", port=port, user="t", database="t", ssl=False
    )
    try:
        return dict(await conn.fetchrow("SELECT * FROM mangoramp_status()"))
    finally:
        conn.terminate()
