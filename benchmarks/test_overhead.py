"""What the proxy costs against asyncpg straight to the same server."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import asyncpg
import pytest

from tests.processes import Processes, running_processes

STATEMENTS = 600
THREADS = 4
MOST_P50_RATIO = 3.0
LEAST_PER_CORE = 2000
CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
SEARCH = "SELECT id, revision FROM sheet WHERE id = $1"


class Connection:
    """A kept-alive connection to a proxy."""

    def __init__(self, port: int, key: str) -> None:
        self._http = http.client.HTTPConnection("127.0.0.1", port)
        self._headers = {"Authorization": f"Bearer {key}"}

    def post(self, sql: str, *params: str) -> int:
        body = json.dumps({"sql": sql, "params": params})
        path = "/v1/groups/register/statements"
        self._http.request("POST", path, body, self._headers)
        resp = self._http.getresponse()
        resp.read()
        return resp.status


@pytest.fixture(params=[1, 2], ids=["at-home", "forwarded"])
def fleet(request, tmp_path):
    with running_processes(tmp_path, domains=1, proxies=request.param) as processes:
        processes.key = processes.give_key(rate=100_000)
        yield processes


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def post_until_admitted(conn: Connection, sql: str) -> None:
    while conn.post(sql) in (401, 403, 503):
        time.sleep(0.02)


def entry(fleet: Processes) -> str:
    """The proxy that is not the home, if there are two."""
    for name in fleet.proxies:
        log = (fleet.folder / f"{name}.log").read_text()
        if "request forwarded" in log:
            return name
    return "p0"


def timed(conn: Connection) -> list[float]:
    found = []
    for _ in range(STATEMENTS):
        begun = time.perf_counter()
        assert conn.post(SEARCH, "A1") == 200
        found.append(time.perf_counter() - begun)
    return found


async def timed_straight(port: int) -> list[float]:
    conn = await asyncpg.connect(
        host="127.0.0.1", port=port, user="u", database="d", ssl=False
    )
    found = []
    for _ in range(STATEMENTS):
        begun = time.perf_counter()
        await conn.fetch(SEARCH, "A1")
        found.append(time.perf_counter() - begun)
    await conn.close()
    return found


class TestOverhead:
    def test_read(self, fleet):
        for name in fleet.proxies:
            post_until_admitted(
                Connection(fleet.proxies[name][0], fleet.key), "SELECT 1"
            )
        post_until_admitted(Connection(fleet.proxies["p0"][0], fleet.key), CREATE)
        name = entry(fleet)
        port = fleet.proxies[name][0]
        conn = Connection(port, fleet.key)
        timed(conn)
        through = timed(conn)
        straight = asyncio.run(timed_straight(fleet.servers["s0"][0]))
        ratio = statistics.median(through) / statistics.median(straight)
        per_core = self.per_core(fleet, port)
        print(
            f"\nproxies={len(fleet.proxies)}"
            f" straight p50={statistics.median(straight) * 1e3:.2f} ms"
            f" p99={statistics.quantiles(straight, n=100)[98] * 1e3:.2f} ms"
            f" through p50={statistics.median(through) * 1e3:.2f} ms"
            f" p99={statistics.quantiles(through, n=100)[98] * 1e3:.2f} ms"
            f" ratio p50={ratio:.2f} statements/s per core={per_core:.0f}"
        )
        assert ratio < MOST_P50_RATIO
        assert per_core > LEAST_PER_CORE

    def per_core(self, fleet: Processes, port: int) -> float:
        pids = [fleet.running[name].pid for name in fleet.proxies]
        begun = sum(cpu_s(pid) for pid in pids)
        with ThreadPoolExecutor(THREADS) as threads:
            conns = [Connection(port, fleet.key) for _ in range(THREADS)]
            list(threads.map(timed, conns))
        used = sum(cpu_s(pid) for pid in pids) - begun
        return THREADS * STATEMENTS / used
