"""What an instance adds to a statement on the platform's wire.

The instance is a process of its own; caller and server share this one. The bounds are
the aims of the issue on the cost of a statement: twice a direct connection's median,
and 3,000 statements a second on one core.
"""

import asyncio
import os
import time
from pathlib import Path

from tornado.tcpclient import TCPClient

from mangoramp.platform import wire
from tests.soak import Daemon
from tests.wire_world import GROUP, HOST, Caller, World

STATEMENTS = 1000
MOST_TIMES_DIRECT = 2.0
LEAST_A_SECOND = 3000


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


async def connect(port, opening):
    stream = await TCPClient().connect(HOST, port)
    stream.set_nodelay(True)
    caller = Caller(stream)
    await stream.write(opening)
    assert (await caller.line()).startswith("READY")
    return caller


class TestWireOverhead:
    async def test_write(self, tmp_path):
        async with World(instances=0) as world:
            daemon = Daemon(tmp_path, "i0", world._store_port, world._duty_port)
            daemon.start()
            try:
                server = world.group.servers["s1"]
                opening = wire.encode_start(GROUP, "alpha", "s1")
                direct = await connect(server.port, opening)
                async with asyncio.timeout(10):
                    while True:
                        try:
                            through = await connect(
                                daemon.ports[0], b"START orders k-alpha\r\n"
                            )
                            break
                        except (OSError, AssertionError):
                            await asyncio.sleep(0.05)
                await through.ask("WRITE a 0")
                direct_s = await median_s(direct.ask)
                before = cpu_s(daemon._process.pid)
                through_s = await median_s(through.ask)
                each_s = (cpu_s(daemon._process.pid) - before) / STATEMENTS
            finally:
                daemon.kill()
        ratio, rate = through_s / direct_s, 1 / each_s
        print(f"p50 {ratio:.1f} times direct, {rate:.0f} statements/s on a core")
        assert ratio <= MOST_TIMES_DIRECT
        assert rate >= LEAST_A_SECOND
