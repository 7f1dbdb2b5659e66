"""Measures the proxy's overhead over asyncpg connected directly to the server."""

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
MAX_P50_RATIO = 3.0
MIN_STATEMENTS_PER_CPU_S = 2000
CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
SEARCH = "SELECT id, revision FROM sheet WHERE id = $1"


class Connection:
    """A persistent HTTP connection to a proxy."""

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


def forwarding_proxy(fleet: Processes) -> str:
    """Return the proxy that forwards its requests, or p0 if none does."""
    for name in fleet.proxies:
        log = (fleet.folder / f"{name}.log").read_text()
        if "request forwarded" in log:
            return name
    return "p0"


def time_statements(conn: Connection) -> list[float]:
    found = []
    for _ in range(STATEMENTS):
        begun = time.perf_counter()
        assert conn.post(SEARCH, "A1") == 200
        found.append(time.perf_counter() - begun)
    return found


async def time_direct(port: int) -> list[float]:
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
        name = forwarding_proxy(fleet)
        port = fleet.proxies[name][0]
        conn = Connection(port, fleet.key)
        time_statements(conn)
        proxied = time_statements(conn)
        direct = asyncio.run(time_direct(fleet.servers["s0"][0]))
        ratio = statistics.median(proxied) / statistics.median(direct)
        per_core = self.per_core(fleet, port)
        print(
            f"\nproxies={len(fleet.proxies)}"
            f" straight p50={statistics.median(direct) * 1e3:.2f} ms"
            f" p99={statistics.quantiles(direct, n=100)[98] * 1e3:.2f} ms"
            f" through p50={statistics.median(proxied) * 1e3:.2f} ms"
            f" p99={statistics.quantiles(proxied, n=100)[98] * 1e3:.2f} ms"
            f" ratio p50={ratio:.2f} statements/s per core={per_core:.0f}"
        )
        assert ratio < MAX_P50_RATIO
        assert per_core > MIN_STATEMENTS_PER_CPU_S

    def per_core(self, fleet: Processes, port: int) -> float:
        pids = [fleet.running[name].pid for name in fleet.proxies]
        begun = sum(cpu_s(pid) for pid in pids)
        with ThreadPoolExecutor(THREADS) as threads:
            conns = [Connection(port, fleet.key) for _ in range(THREADS)]
            list(threads.map(time_statements, conns))
        used = sum(cpu_s(pid) for pid in pids) - begun
        return THREADS * STATEMENTS / used
