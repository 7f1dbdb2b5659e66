"""Measures the overhead of an instance on the platform's wire protocol.

The instance runs as a separate process; caller and server share this process. The
bounds are the targets for the cost of a statement: twice the median of a direct
connection, and 3,000 statements per second on one core.
"""

import asyncio
import os
import time
from pathlib import Path

from tornado.tcpclient import TCPClient

from mangoramp.platform import wire
from tests.soak import InstanceProcess
from tests.wire_world import GROUP, HOST, Caller, World

STATEMENTS = 1000
MAX_P50_RATIO = 2.0
MIN_STATEMENTS_PER_CPU_S = 3000


def cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def median_s(ask):
    times = []
    for number in range(STATEMENTS):
        started = time.perf_counter()
        await ask(f"WRITE a {number}")
        times.append(time.perf_counter() - started)
    return sorted(times)[len(times) // 2]


async def connect(port, start_line):
    stream = await TCPClient().connect(HOST, port)
    stream.set_nodelay(True)
    caller = Caller(stream)
    await stream.write(start_line)
    assert (await caller.read_line()).startswith("READY")
    return caller


class TestWireOverhead:
    async def test_write(self, tmp_path):
        async with World(instances=0) as world:
            process = InstanceProcess(
                tmp_path, "i0", world._store_port, world._promotion_port
            )
            process.start()
            try:
                server = world.group.servers["s1"]
                start_line = wire.encode_start(GROUP, "alpha", "s1")
                direct = await connect(server.port, start_line)
                async with asyncio.timeout(10):
                    while True:
                        try:
                            proxied = await connect(
                                process.ports[0], b"START orders k-alpha\r\n"
                            )
                            break
                        except (OSError, AssertionError):
                            await asyncio.sleep(0.05)
                await proxied.ask("WRITE a 0")
                direct_s = await median_s(direct.ask)
                before = cpu_s(process._process.pid)
                proxied_s = await median_s(proxied.ask)
                cpu_per_statement_s = (
                    cpu_s(process._process.pid) - before
                ) / STATEMENTS
            finally:
                process.kill()
        ratio, rate = proxied_s / direct_s, 1 / cpu_per_statement_s
        print(f"p50 {ratio:.1f} times direct, {rate:.0f} statements/s on a core")
        assert ratio <= MAX_P50_RATIO
        assert rate >= MIN_STATEMENTS_PER_CPU_S
