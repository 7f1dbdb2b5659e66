import asyncio
import signal
import time

import asyncpg
import pytest

from mangoramp.policy.failover import rank_voters

from .caller import Caller
from .processes import processes_in

WRITE = "INSERT INTO sheet VALUES ($1)"
FIND = "SELECT id FROM sheet WHERE id = $1"
ALL = "SELECT id FROM sheet"
PATIENCE_S = 20.0


@pytest.fixture
def fleet(tmp_path):
    with processes_in(tmp_path) as processes:
        yield processes


@pytest.fixture
def caller(fleet):
    return Caller(fleet.give_key(rate=3000))


class Load:
    """Writes through each proxy in turn and remembers what was acknowledged."""

    def __init__(self, fleet, caller, proxies):
        self.fleet, self.caller, self.proxies = fleet, caller, proxies
        self.done, self.done_at = [], []
        self.refused, self.count, self.reads = 0, 0, 0

    async def until(self, enough, patience=PATIENCE_S):
        deadline = time.monotonic() + patience
        while not enough():
            assert time.monotonic() < deadline, self.done[-3:]
            await self.write()

    async def write(self):
        self.count += 1
        url = self.fleet.url(self.proxies[self.count % len(self.proxies)])
        timeout = {"Mangoramp_Timeout": "0.5"}
        reply = await self.caller.post(url, WRITE, str(self.count), **timeout)
        if reply.body.get("outcome") == "done":
            self.done.append((str(self.count), reply.body["server"]))
            self.done_at.append(time.monotonic())
            await self.read_back(str(self.count))
        else:
            self.refused += 1
            await asyncio.sleep(0.02)

    async def read_back(self, write):
        """Read a write through another proxy; an answer must show it."""
        url = self.fleet.url(self.proxies[(self.count + 1) % len(self.proxies)])
        reply = await self.caller.post(url, FIND, write, Mangoramp_Timeout="0.5")
        if reply.status == 200:
            self.reads += 1
            assert reply.body["rows"] == [[write]]

    async def more(self, count=20):
        target = len(self.done) + count
        await self.until(lambda: len(self.done) >= target)

    async def on_another(self, name):
        await self.until(lambda: self.done[-1][1] != name)

    async def found(self):
        url = self.fleet.url(self.proxies[0])
        reply = await self.caller.post(url, ALL)
        return {row[0] for row in reply.body["rows"]}


async def started(fleet, caller, proxies):
    load = Load(fleet, caller, proxies)
    url = fleet.url(proxies[0])
    while (await caller.post(url, "CREATE TABLE sheet (id TEXT)")).status in (401, 403):
        await asyncio.sleep(0.02)
    await load.more()
    return load


class TestKilledPrimary:
    async def test_is_replaced_under_writes(self, fleet, caller):
        load = await started(fleet, caller, list(fleet.proxies))
        fleet.kill("s0")
        at = time.monotonic()
        await load.on_another("s0")
        gap = load.done_at[-1] - at
        print(f"gap {gap:.2f} s, {load.refused} writes refused or unknown")
        before = load.reads
        await load.more()
        assert load.reads > before
        assert {write for write, _ in load.done} <= await load.found()
        fleet.start_server("s0", primary=True)
        await load.more(50)
        assert {server for _, server in load.done[-50:]} != {"s0"}


class TestStoppedPrimary:
    async def test_returns_as_a_replica(self, fleet, caller):
        load = await started(fleet, caller, list(fleet.proxies))
        fleet.signal("s0", signal.SIGSTOP)
        await load.on_another("s0")
        fleet.signal("s0", signal.SIGCONT)
        await load.more(100)
        assert "s0" not in {server for _, server in load.done[-100:]}
        assert {write for write, _ in load.done} <= await load.found()
        statuses = await self.wait_level(fleet)
        assert not statuses[0]["is_primary"]

    async def wait_level(self, fleet):
        """Wait until all servers are in one term and hold the same."""
        deadline = time.monotonic() + PATIENCE_S
        while time.monotonic() < deadline:
            found = [await status(port) for port, _ in fleet.servers.values()]
            if len({(s["term"], s["held"]) for s in found}) == 1:
                return found
            await asyncio.sleep(0.05)
        raise AssertionError(found)


class TestStoppedProxy:
    async def test_is_not_needed_nor_the_platforms_answers(self, fleet, caller):
        first = rank_voters("register", ["d0", "d1", "d2"], [])[0]
        stopped = first.replace("d", "p")
        others = [proxy for proxy in fleet.proxies if proxy != stopped]
        load = await started(fleet, caller, others)
        fleet.set_faults("platform", lose_answers=2)
        fleet.kill("s0")
        fleet.signal(stopped, signal.SIGSTOP)
        await load.on_another("s0")
        fleet.signal(stopped, signal.SIGCONT)
        await load.more()
        assert {write for write, _ in load.done} <= await load.found()


async def status(port):
    conn = await asyncpg.connect(
        host="127.0.0.1", port=port, user="t", database="t", ssl=False
    )
    try:
        return dict(await conn.fetchrow("SELECT * FROM mangoramp_status()"))
    finally:
        conn.terminate()
