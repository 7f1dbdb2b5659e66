import asyncio
import contextlib
import socket

import pytest
from tornado.iostream import IOStream, UnsatisfiableReadError

from mangoramp.errors import FaultError
from mangoramp.platform import caller_lines, wire
from mangoramp.platform.caller_lines import SMALL_LINE_BYTES, CallerLines
from mangoramp.serving.memory import Memory
from mangoramp.sessions.statement import Read, Request, Unread

LIMIT = 100 * wire.MAX_MESSAGE_BYTES


class Pair:
    """The lines of a caller's connection, and the caller's end of it."""

    def __init__(self, limit=LIMIT):
        near, self.far = socket.socketpair()
        self.far.setblocking(False)
        self.memory = Memory(limit, asyncio.get_running_loop().time)
        self.stream = IOStream(near, read_chunk_size=SMALL_LINE_BYTES)
        self.lines = CallerLines(self.stream, self.memory)

    def send(self, data):
        sending = asyncio.get_running_loop().sock_sendall(self.far, data)
        return asyncio.ensure_future(sending)

    async def read(self):
        return await asyncio.wait_for(self.lines.read(), 5)

    def close(self):
        self.stream.close()
        self.far.close()


@contextlib.contextmanager
def pair(limit=LIMIT):
    found = Pair(limit)
    try:
        yield found
    finally:
        found.close()


def query(text):
    return f"QUERY q {text}\r\n".encode()


class TestLines:
    @pytest.mark.parametrize("size", [1, 5, 4090, 4096, 4097, 5000, 70_000, 1_000_000])
    @pytest.mark.parametrize("step", [1, 7, 4096, 100_000])
    async def test_are_read_however_they_arrive(self, size, step):
        """Guards against a line that is split at a wrong byte or never found."""
        texts = ["READ " + "x" * size, "READ a", "READ " + "y" * size]
        sent = b"".join(map(query, texts))
        step = max(step, len(sent) // 2000)
        with pair() as p:

            async def send():
                for at in range(0, len(sent), step):
                    await p.send(sent[at : at + step])
                    await asyncio.sleep(0)

            sending = asyncio.ensure_future(send())
            for text in texts:
                assert await p.read() == Request("q", Read(text))
                p.lines.release_memory()
            await sending
            assert p.memory.budget.held == 0

    async def test_a_large_one_claims_what_it_takes(self):
        with pair() as p:
            sending = p.send(query("READ " + "x" * 500_000))
            await p.read()
            await sending
            assert 4 * 500_000 <= p.memory.budget.held < 4 * 501_000
            p.lines.release_memory()
            assert p.memory.budget.held == 0

    async def test_one_over_the_limit_is_too_long(self):
        with pair() as p:
            sending = p.send(query("READ " + "x" * wire.MAX_MESSAGE_BYTES))
            assert isinstance(await p.read(), wire.OversizedMessage)
            await sending

    async def test_one_far_over_the_limit_ends_the_connection(self):
        with pair() as p:
            sending = p.send(b"x" * (3 * wire.MAX_MESSAGE_BYTES))
            with pytest.raises(UnsatisfiableReadError):
                await p.read()
            sending.cancel()


class TestNoMemory:
    async def test_a_large_line_is_refused_and_the_next_one_read(self):
        """Guards against a refusal that takes the session with it."""
        with pair() as p:
            p.memory.try_claim("other", LIMIT)
            sending = p.send(query("READ " + "x" * 900_000) + query("READ a"))
            message = await p.read()
            assert message.id == "q"
            assert isinstance(message.statement, Unread)
            assert message.statement.fault.retry_after_s > 0
            assert await p.read() == Request("q", Read("READ a"))
            await sending

    async def test_nothing_is_read_while_a_line_waits(self):
        """Guards against a sender that is not pushed back."""
        with pair() as p:
            claim = p.memory.try_claim("other", LIMIT).unwrap()
            sending = p.send(query("READ " + "x" * 900_000))
            reading = asyncio.ensure_future(p.read())
            await asyncio.sleep(0.1)
            assert not sending.done()
            assert p.memory.budget.waiting == 1
            p.memory.release(claim)
            assert isinstance((await reading).statement, Read)
            await sending


class TestSlowSender:
    @pytest.mark.parametrize("pause_s", [None, 0.02])
    async def test_is_told_what_arrived_in_which_time(self, pause_s, monkeypatch):
        """Guards against half a statement that holds memory for ever."""
        monkeypatch.setattr(caller_lines, "STALL_S", 0.1)
        monkeypatch.setattr(caller_lines, "ARRIVAL_S", 0.3)
        with pair() as p:
            await p.send(b"QUERY q READ " + b"x" * 10_000)

            async def drip():
                while pause_s is not None:
                    await asyncio.sleep(pause_s)
                    await p.send(b"x")

            dripping = asyncio.ensure_future(drip())
            with pytest.raises(FaultError, match=r"did not arrive: 10\d\d\d bytes in"):
                await p.read()
            dripping.cancel()
            p.lines.release_memory()
            assert p.memory.budget.held == 0
