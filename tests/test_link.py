import asyncio
import random
import time

import pynng
import pytest
from returns.result import Success

from mangoramp.errors import Code, Outcome
from mangoramp.policy.position import START
from mangoramp.proxies import link
from mangoramp.proxies.link import Link, LinkServer
from mangoramp.proxies.messages import PROXY_CODEC, Rows
from mangoramp.standins._ports import free_ports

from .servers import write

CALLS = 80
MAX_DELAY_S = 0.03


async def echo(req):
    return Rows(columns=(req.sql,), rows=b"", count=0, position=START, server="")


async def make_calls(concurrency):
    """Make calls that are answered late and out of order; return what each received.

    Every second call has a short timeout; None stands for a call that failed.
    """
    rng = random.Random(7)
    delays = {str(n): rng.uniform(0, MAX_DELAY_S) for n in range(CALLS)}
    limit = asyncio.Semaphore(concurrency)

    async def handler(req):
        await asyncio.sleep(delays[req.sql])
        return await echo(req)

    address = f"tcp://127.0.0.1:{free_ports(1)[0]}"
    server = LinkServer(address, handler, PROXY_CODEC)
    serving = asyncio.ensure_future(server.run())
    to_peer = Link("p1", address, PROXY_CODEC)

    async def call(number):
        timeout_s = 5.0 if number % 2 else MAX_DELAY_S / 2
        async with limit:
            found = await to_peer.call(write(str(number)), timeout_s=timeout_s)
        return found.unwrap().columns[0] if isinstance(found, Success) else None

    try:
        return await asyncio.gather(*(call(number) for number in range(CALLS)))
    finally:
        await asyncio.sleep(2 * MAX_DELAY_S)
        to_peer.close()
        server.close()
        await asyncio.wait({serving}, timeout=1)


def mismatched(found):
    return [n for n, name in enumerate(found) if name not in (None, str(n))]


class TestAnswerMatching:
    async def test_each_call_gets_its_own_answer(self):
        found = await make_calls(concurrency=2)
        assert None in found
        assert mismatched(found) == []
        assert None not in found[1::2]

    async def test_fails_where_calls_share_a_context(self, monkeypatch):
        def acquire(contexts):
            if not contexts._free:
                contexts._free.append(contexts._sock.new_context())
            return contexts._free[0]

        monkeypatch.setattr(link._ContextPool, "acquire", acquire)
        with pytest.raises((AssertionError, asyncio.CancelledError)):
            assert None not in (await make_calls(concurrency=2))[1::2]


class TestLostPeer:
    async def test_no_request_is_sent_again(self):
        address = f"tcp://127.0.0.1:{free_ports(1)[0]}"
        received = []

        async def never_answer(req):
            received.append(req)
            await asyncio.sleep(60)

        first = LinkServer(address, never_answer, PROXY_CODEC)
        serving = asyncio.ensure_future(first.run())
        to_peer = Link("p1", address, PROXY_CODEC)
        call = asyncio.ensure_future(to_peer.call(write("1"), timeout_s=20))
        while not received:
            await asyncio.sleep(0.005)
        first.close()
        fault = (await call).failure()
        assert fault.outcome is Outcome.UNKNOWN
        assert fault.code is Code.CONNECTION_LOST
        second = LinkServer(address, echo, PROXY_CODEC)
        serving_again = asyncio.ensure_future(second.run())
        while not isinstance(await to_peer.call(write("2"), timeout_s=1), Success):
            await asyncio.sleep(0.005)
        assert [req.sql for req in received] == ["1"]
        to_peer.close()
        second.close()
        await asyncio.wait({serving, serving_again}, timeout=1)


class TestClosedLink:
    async def test_answers_a_call_whose_request_was_just_sent(self):
        """Guards against an error of pynng that ends the session of the caller."""
        address = f"tcp://127.0.0.1:{free_ports(1)[0]}"

        async def never_answer(req):
            await asyncio.sleep(60)

        server = LinkServer(address, never_answer, PROXY_CODEC)
        serving = asyncio.ensure_future(server.run())
        to_peer = Link("p1", address, PROXY_CODEC)
        while not to_peer.is_connected:
            await asyncio.sleep(0.005)
        call = asyncio.ensure_future(to_peer.call(write("1"), timeout_s=2.0))
        await asyncio.sleep(0)
        time.sleep(0.1)  # nng sends the request, which the event loop does not notice
        to_peer.close()
        fault = (await call).failure()
        assert fault.code is Code.CONNECTION_LOST
        assert fault.outcome is Outcome.UNKNOWN
        server.close()
        await asyncio.wait({serving}, timeout=1)


class TestBursts:
    async def test_lose_no_message(self):
        for _ in range(20):
            found = await make_calls(concurrency=CALLS)
            assert mismatched(found) == []
            assert None not in found[1::2]


class TestFaults:
    async def test_an_answer_that_cannot_be_read_has_an_unknown_outcome(self):
        address = f"tcp://127.0.0.1:{free_ports(1)[0]}"
        server = pynng.Rep0(listen=address)
        to_peer = Link("p1", address, PROXY_CODEC)
        call = asyncio.ensure_future(to_peer.call(write("1"), timeout_s=2.0))
        await server.arecv()
        await server.asend(b"\xc1")
        found = await call
        assert found.failure().outcome is Outcome.UNKNOWN
        to_peer.close()
        server.close()

    async def test_the_wait_for_a_connection_is_part_of_the_limit(self):
        address = f"tcp://127.0.0.1:{free_ports(1)[0]}"
        to_peer = Link("p1", address, PROXY_CODEC)

        async def silent(req):
            await asyncio.sleep(5.0)

        calling = asyncio.ensure_future(to_peer.call(write("1"), timeout_s=0.4))
        await asyncio.sleep(0.2)
        server = LinkServer(address, silent, PROXY_CODEC)
        serving = asyncio.ensure_future(server.run())
        started = asyncio.get_running_loop().time()
        await calling
        assert asyncio.get_running_loop().time() - started < 0.3
        to_peer.close()
        server.close()
        await asyncio.wait({serving}, timeout=1)
