import asyncio
import random

import pytest
from returns.result import Success

from mangoramp.policy.position import START
from mangoramp.proxies.link import Link, LinkServer
from mangoramp.proxies.messages import Rows, decode
from mangoramp.standins.fleet import free_ports

from .servers import write

CALLS = 150
SLOWEST_S = 0.1


async def talk():
    """Many calls at once, answered late and out of order; whose answer each got."""
    rng = random.Random(7)
    delays = {str(n): rng.uniform(0, SLOWEST_S) for n in range(CALLS)}

    async def handler(req):
        await asyncio.sleep(delays[req.sql])
        return Rows(columns=(req.sql,), rows=b"", count=0, position=START, server="")

    address = f"tcp://127.0.0.1:{free_ports(1)[0]}"
    server = LinkServer(address, handler)
    serving = asyncio.ensure_future(server.run())
    link = Link("p1", address)

    async def call(number):
        timeout_s = 5.0 if number % 2 else SLOWEST_S / 2
        found = await link.call(write(str(number)), timeout_s=timeout_s)
        return found.unwrap().columns[0] if isinstance(found, Success) else None

    try:
        return await asyncio.gather(*(call(number) for number in range(CALLS)))
    finally:
        link.close()
        server.close()
        await asyncio.wait({serving}, timeout=1)


def check(found):
    assert any(name is None for name in found)
    assert sum(name is not None for name in found) >= CALLS / 2
    assert all(name in (None, str(number)) for number, name in enumerate(found))


class TestCrossedAnswers:
    async def test_each_call_gets_its_own_answer(self):
        check(await talk())

    async def test_fails_where_answers_are_matched_by_order(self, monkeypatch):
        async def read(link):
            while True:
                answer = decode((await link._sock.arecv_msg()).bytes)
                waiting = (f for f in link._waiting.values() if not f.done())
                first = next(waiting, None)
                if first is not None:
                    first.set_result(answer)

        monkeypatch.setattr(Link, "_read", read)
        found = await talk()
        with pytest.raises(AssertionError):
            check(found)
