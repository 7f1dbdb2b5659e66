import asyncio
import math
import time

import pytest

from mangoramp.endpoints import connection
from mangoramp.endpoints.connection import Pool
from mangoramp.endpoints.run import run
from mangoramp.errors import FaultError
from mangoramp.standins.endpoint import Faults, Listener

from .servers import CREATE, ISSUE, running, write

IDLE_S = connection.PROBE_AFTER_IDLE_S
PATIENT_S = 10.0  # longer than a busy machine takes to open a connection


@pytest.fixture
def cancels(monkeypatch):
    found = []
    monkeypatch.setattr(Listener, "cancel", lambda server, *ids: found.append(ids))
    return found


async def ask(pool, text, timeout_s=1.0):
    async with pool.lease(pool._clock() + timeout_s) as conn:
        sql = f"SELECT '{text}' AS said"
        return (await run(conn, sql, (), server="s0", timeout_s=timeout_s)).rows


async def time_out_one(pool, endpoint):
    """Time out one late answer, then run further queries."""
    endpoint.set_faults(Faults(late_s=0.2))
    with pytest.raises(FaultError) as caught:
        await ask(pool, "first", 0.05)
    assert caught.value.fault.code == "timeout"
    endpoint.set_faults(Faults())
    return [await ask(pool, f"next {number}") for number in range(5)]


class TestExchange:
    async def test_a_late_answer_is_not_delivered_to_another_caller(
        self, tmp_path, cancels
    ):
        async with running(tmp_path) as servers:
            pool = Pool(servers.spec.servers[0], size=1)
            found = await time_out_one(pool, servers.primary())
            assert found == [b'[["next %d"]]' % number for number in range(5)]
            await asyncio.sleep(0.2)
            assert cancels == []
            pool.close()

    async def test_fails_without_closing(self, tmp_path, cancels):
        """asyncpg's own timeout sends a cancel request on a second connection."""
        async with running(tmp_path) as servers:
            conn = await connection.connect(servers.spec.servers[0], role="test")
            servers.primary().set_faults(Faults(late_s=0.2))
            with pytest.raises(TimeoutError):
                await conn.fetch("SELECT 'a'", timeout=0.05)
            await asyncio.sleep(0.3)
            assert cancels
            conn.terminate()

    async def test_concurrent_requests_get_their_own_answers(self, tmp_path):
        async with running(tmp_path) as servers:
            pool = Pool(servers.spec.servers[0], size=4)
            servers.primary().set_faults(Faults(late_s=0.005))

            timeouts_s = (0.005, 0.025, 0.045, PATIENT_S)

            async def query(number):
                try:
                    return await ask(pool, str(number), timeouts_s[number % 4])
                except FaultError:
                    return None

            found = await asyncio.gather(*(query(number) for number in range(80)))
            answered = [n for n, rows in enumerate(found) if rows is not None]
            assert set(answered) >= set(range(3, 80, 4))
            assert all(found[n] == b'[["%d"]]' % n for n in answered)
            pool.close()


class Clock:
    def __init__(self):
        self.skipped_s = 0.0

    def __call__(self):
        return time.monotonic() + self.skipped_s


async def query_after_silence(servers, pool, clock):
    """Make all open connections silent while idle, then run a query."""
    await asyncio.gather(*(ask(pool, "warm") for _ in range(3)))
    servers.primary().set_faults(Faults(silent=True))
    clock.skipped_s += IDLE_S
    async with pool.lease(clock() + 10.0) as conn:
        return await run(conn, "SELECT 'back' AS said", (), server="s0", timeout_s=1.0)


class TestSilence:
    async def test_a_silent_connection_is_replaced_at_once(self, tmp_path):
        async with running(tmp_path) as servers:
            clock = Clock()
            pool = Pool(servers.spec.servers[0], size=4, clock=clock)
            assert (
                await query_after_silence(servers, pool, clock)
            ).rows == b'[["back"]]'
            assert len(pool._idle) == 1
            pool.close()

    async def test_one_failure_makes_the_other_connections_suspect(self, tmp_path):
        async with running(tmp_path) as servers:
            pool = Pool(servers.spec.servers[0], size=4)
            await asyncio.gather(*(ask(pool, "warm") for _ in range(3)))
            servers.primary().set_faults(Faults(silent=True))
            with pytest.raises(FaultError):
                await ask(pool, "lost", 0.3)
            assert await ask(pool, "back", 10.0) == b'[["back"]]'
            assert len(pool._idle) == 1
            pool.close()

    async def test_fails_without_the_probe(self, tmp_path, monkeypatch):
        monkeypatch.setattr(connection, "PROBE_AFTER_IDLE_S", math.inf)
        async with running(tmp_path) as servers:
            clock = Clock()
            pool = Pool(servers.spec.servers[0], size=4, clock=clock)
            with pytest.raises(FaultError):
                await query_after_silence(servers, pool, clock)
            pool.close()

    async def test_idle_connections_are_probed_in_the_background(
        self, tmp_path, monkeypatch
    ):
        monkeypatch.setattr(connection, "PROBE_INTERVAL_S", 0.02)
        async with running(tmp_path) as servers:
            clock = Clock()
            pool = Pool(servers.spec.servers[0], size=4, clock=clock)
            await asyncio.gather(*(ask(pool, "warm") for _ in range(3)))
            servers.primary().set_faults(Faults(silent=True))
            clock.skipped_s += IDLE_S
            while pool._idle:
                await asyncio.sleep(0.01)
            pool.close()

    async def test_a_frozen_server_is_not_mistaken_for_a_silent_connection(
        self, tmp_path
    ):
        async with running(tmp_path) as servers:
            clock = Clock()
            pool = Pool(servers.spec.servers[0], size=4, clock=clock)
            await ask(pool, "warm")
            servers.primary().set_faults(Faults(frozen=True))
            clock.skipped_s += IDLE_S
            with pytest.raises(FaultError) as caught:
                await ask(pool, "no", 10.0)
            assert caught.value.fault.code == "no_server"
            assert caught.value.fault.outcome == "not_run"
            servers.primary().set_faults(Faults())
            pool.close()


class TestCapacity:
    async def test_refuses_when_the_server_stays_full(self, tmp_path):
        async with running(tmp_path, connections=3) as servers:
            server = servers.spec.servers[0]
            other = await connection.connect(server, role="test")
            while len(servers.primary().sessions) < 3:
                await asyncio.sleep(0.01)
            pool = Pool(server, size=4)
            with pytest.raises(FaultError) as caught:
                await ask(pool, "no", 10.0)
            fault = caught.value.fault
            assert (fault.code, fault.outcome) == ("overloaded", "not_run")
            assert fault.retry_after_s
            waiting = asyncio.ensure_future(ask(pool, "yes", 10.0))
            await asyncio.sleep(0.02)
            other.terminate()
            assert await waiting == b'[["yes"]]'
            pool.close()

    async def test_says_not_run_when_no_connection_was_free_in_time(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=1)
            await home.serve(write(CREATE))
            pool = home.group.pools["s0"]
            async with pool.lease():
                reply = await home.serve(write(ISSUE, "A1", "0", timeout_s=0.1))
            assert (reply.fault.code, reply.fault.outcome) == ("timeout", "not_run")
            assert ISSUE not in servers.primary().received_statements

    async def test_a_refused_statement_keeps_the_connection(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=1)
            pool = home.group.pools["s0"]
            await home.serve(write(CREATE))
            kept = list(pool._idle)
            for key in ("", "k1"):
                reply = await home.serve(
                    write("INSERT INTO nowhere VALUES (1)", key=key)
                )
                assert reply.fault.sqlstate == "42P01"
            assert pool._idle == kept

    async def test_a_stale_plan_is_prepared_again(self, tmp_path):
        async with running(tmp_path) as servers:
            home = servers.home(pool_size=1)
            await home.serve(write(CREATE))
            pool = home.group.pools["s0"]
            found = []
            for sql in ("SELECT * FROM sheet", "ALTER TABLE sheet ADD place TEXT") * 2:
                async with pool.lease() as conn:
                    found.append(await run(conn, sql, (), server="s0"))
                if len(found) == 3:
                    break
            assert found[0].columns == ("id", "revision")
            assert found[2].columns == ("id", "revision", "place")
