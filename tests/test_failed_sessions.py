import asyncio
import time

import pytest
from returns.result import Success
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from mangoramp.platform import wire
from mangoramp.platform.listener import Listener
from mangoramp.serving.memory import Memory
from mangoramp.standins._ports import HOST, free_ports

from .wire_world import Caller

START = b"START orders key\r\n"


class FailingSession:
    """A session that hits a bug."""

    def __init__(self):
        self.is_disconnected = False

    async def handle(self, req):
        raise RuntimeError("secret")

    def on_disconnect(self):
        self.is_disconnected = True


async def connect(open_session):
    listener = Listener(
        open_session, Memory(64 * wire.MAX_MESSAGE_BYTES, time.monotonic)
    )
    address = (HOST, *free_ports(1))
    listener.listen(address)
    caller = Caller(await TCPClient().connect(*address))
    await caller.stream.write(START)
    return listener, caller


class TestUnhandledException:
    async def test_of_a_statement_is_answered_before_the_session_ends(self):
        """Guards against callers that are left without an answer by a bug."""
        session = FailingSession()

        async def open_session(database, key):
            return Success(session)

        listener, caller = await connect(open_session)
        assert await caller.read_line() == "READY I -"
        error, state = await caller.ask("WRITE a 1")
        assert error == "ERR FAILED this instance failed; the outcome is unknown"
        assert state == "READY I -"
        with pytest.raises(StreamClosedError):
            await asyncio.wait_for(caller.read_line(), 1.0)
        assert session.is_disconnected
        listener.close()

    async def test_of_the_start_is_answered_before_the_close(self):
        async def open_session(database, key):
            raise RuntimeError("secret")

        listener, caller = await connect(open_session)
        error = await caller.read_line()
        assert error == "ERR FAILED this instance failed; the outcome is unknown"
        with pytest.raises(StreamClosedError):
            await asyncio.wait_for(caller.read_line(), 1.0)
        listener.close()
