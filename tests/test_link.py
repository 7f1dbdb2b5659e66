import asyncio
import random

import pytest
from returns.result import Success

from mangoramp.policy.position import START
from mangoramp.proxies.link import Link, LinkServer
from mangoramp.proxies.messages import Rows, decode
from mangoramp.standins.fleet import free_ports

from .servers import write

CALLS = 80
SLOWEST_S = 0.03


async def talk(at_once):
    """Calls that are answered late and out of order; whose answer each got.

    Every second call is given up early.
    """
    rng = random.Random(7)
    delays = {str(n): rng.uniform(0, SLOWEST_S) for n in range(CALLS)}
    room = asyncio.Semaphore(at_once)

    async def handler(req):
        await asyncio.sleep(delays[req.sql])
        return Rows(columns=(req.sql,), rows=b"", count=0, position=START, server="")

    address = f"tcp://127.0.0.1:{free_ports(1)[0]}"
    server = LinkServer(address, handler)
    serving = asyncio.ensure_future(server.run())
    link = Link("p1", address)

    async def call(number):
        timeout_s = 5.0 if number % 2 else SLOWEST_S / 2
        async with room:
            found = await link.call(write(str(number)), timeout_s=timeout_s)
        return found.unwrap().columns[0] if isinstance(found, Success) else None

    try:
        return await asyncio.gather(*(call(number) for number in range(CALLS)))
    finally:
        await asyncio.sleep(2 * SLOWEST_S)
        link.close()
        server.close()
        await asyncio.wait({serving}, timeout=1)


def crossed(found):
    return [n for n, name in enumerate(found) if name not in (None, str(n))]


class TestCrossedAnswers:
    async def test_each_call_gets_its_own_answer(self):
        found = await talk(at_once=2)
        assert None in found
        assert crossed(found) == []
        assert None not in found[1::2]

    async def test_fails_where_answers_are_matched_by_order(self, monkeypatch):
        async def read(link):
            while True:
                answer = decode((await link._sock.arecv_msg()).bytes)
                waiting = (f for f in link._waiting.values() if not f.done())
                first = next(waiting, None)
                if first is not None:
                    first.set_result(answer)

        monkeypatch.setattr(Link, "_read", read)
        with pytest.raises(AssertionError):
            assert crossed(await talk(at_once=2)) == []


class TestBursts:
    async def test_lose_no_message(self):
        for _ in range(20):
            found = await talk(at_once=CALLS)
            assert crossed(found) == []
            assert None not in found[1::2]
