"""Compares the write latency through a home with asyncpg connected to the server.

Targets: a write without an idempotency key costs 2 exchanges with the primary (the
statement and the status), a write with a key 4 (also a claim and a record). The median
latency is at most 4 and 8 times that of a direct statement, and grows at most 1.5 times
when a replica is far behind.
"""

import asyncio
import statistics
import time

import asyncpg
import pytest

from mangoramp import events
from mangoramp.confirmation import Confirmation
from mangoramp.endpoints import outcomes
from mangoramp.endpoints import run as run_module
from mangoramp.endpoints.connection import Conn
from mangoramp.endpoints.run import execute_script
from mangoramp.proxies.messages import Rows
from mangoramp.standins.endpoint import Faults
from tests.servers import CREATE, ISSUE, running, write

WRITES = 150
KEYLESS_EXCHANGES = 2
KEYED_EXCHANGES = 4
MAX_KEYLESS_RATIO = 4.0
MAX_KEYED_RATIO = 8.0
MAX_LAGGING_RATIO = 1.5
BASELINE_LAG_S = 0.25


@pytest.fixture(autouse=True)
def _quiet_log():
    events.configure(level="ERROR", json=False)


@pytest.fixture
def exchanges(monkeypatch):
    """Record the exchanges with the servers, without the polling of their status."""
    found = []
    real_exchange, real_prepare = run_module.exchange, Conn.prepare

    async def exchange(conn, work, timeout_s):
        if "mangoramp_wait" not in work.cr_frame.f_locals.get("query", ""):
            found.append("exchange")
        return await real_exchange(conn, work, timeout_s)

    async def prepare(conn, sql):
        found.append("prepare")
        return await real_prepare(conn, sql)

    monkeypatch.setattr(run_module, "exchange", exchange)
    monkeypatch.setattr(Conn, "prepare", prepare)
    return found


async def execute_one_by_one(conn, sql, *, timeout_s):
    """The baseline: run each statement in a separate exchange."""
    for part in sql.split("; "):
        tag = await execute_script(conn, part, timeout_s=timeout_s)
    return tag


async def median_ms(count, once):
    durations = []
    for number in range(count):
        started = time.perf_counter()
        await once(number)
        durations.append(time.perf_counter() - started)
    return statistics.median(durations) * 1000


async def median_through_home(home, kind, count=WRITES):
    async def once(number):
        key = f"{kind}-{number}" if kind.startswith("keyed") else ""
        reply = await home.serve(write(ISSUE, kind, str(number), key=key))
        assert isinstance(reply, Rows), reply

    return await median_ms(count, once)


async def median_direct(servers):
    server = servers.spec.servers[0]
    conn = await asyncpg.connect(
        host=server.host, port=server.port, user="test", database="test", ssl=False
    )
    stmt = await conn.prepare(ISSUE)

    async def once(number):
        await stmt.fetch("straight", str(number))

    try:
        return await median_ms(WRITES, once)
    finally:
        await conn.close()


async def start_home(servers):
    home = servers.home()
    for key in ("", "k0"):
        await home.serve(write(CREATE.replace("TABLE", "TABLE IF NOT EXISTS"), key=key))
    return home


class WaitForAll(Confirmation):
    """The baseline: wait until every server has applied the write."""

    async def wait_for_majority(self, primary, status, deadline):
        while any(s.applied < status.held for s in self._group.statuses.values()):
            await self._group.wait_for_change(deadline)


class TestWriteLatency:
    def test_a_write_costs_few_exchanges(
        self, benchmark, tmp_path, monkeypatch, exchanges
    ):
        async def counted(home, kind):
            before = len(exchanges)
            took = await median_through_home(home, kind)
            return took, (len(exchanges) - before) / WRITES

        async def measure():
            async with running(tmp_path) as servers:
                home = await start_home(servers)
                direct = await median_direct(servers)
                found = [await counted(home, kind) for kind in ("keyless", "keyed")]
                monkeypatch.setattr(outcomes, "execute_script", execute_one_by_one)
                monkeypatch.setattr(run_module, "MAX_PREPARED_STATEMENTS", 0)
                return direct, *found, await counted(home, "keyed apart")

        direct, *found = benchmark.pedantic(lambda: asyncio.run(measure()), rounds=1)
        print(f"\nstraight: median {direct:.2f} ms")
        for kind, (took, count) in zip(
            ("keyless", "keyed", "apart"), found, strict=True
        ):
            print(f"{kind}: {took:.2f} ms, {took / direct:.1f}x, {count:.1f} exchanges")
        (keyless, keyless_count), (keyed, keyed_count), (_, apart_count) = found
        assert keyless_count < KEYLESS_EXCHANGES + 0.1
        assert keyed_count < KEYED_EXCHANGES + 0.1 < apart_count
        assert keyless / direct <= MAX_KEYLESS_RATIO
        assert keyed / direct <= MAX_KEYED_RATIO

    @pytest.mark.parametrize("kind", ["keyless", "keyed"])
    def test_a_replica_far_behind_slows_no_write(self, benchmark, tmp_path, kind):
        async def measure():
            async with running(tmp_path) as servers:
                home = await start_home(servers)
                near = await median_through_home(home, kind)
                servers.endpoints["s2"].set_faults(Faults(lag_s=BASELINE_LAG_S))
                far = await median_through_home(home, f"{kind} far")
                home._writer._confirmation = WaitForAll(home.group)
                everyone = await median_through_home(home, f"{kind} all", 10)
                return near, far, everyone

        near, far, everyone = benchmark.pedantic(
            lambda: asyncio.run(measure()), rounds=1
        )
        print(
            f"\nmedian ms, {kind}: all near {near:.2f}, one {BASELINE_LAG_S} s behind "
            f"{far:.2f} ({far / near:.2f}x), waiting for all {everyone:.1f}"
        )
        assert far / near <= MAX_LAGGING_RATIO
        assert everyone >= BASELINE_LAG_S * 1000
