"""Takes callers' connections, in the platform's wire protocol."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from returns.result import Result, Success
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.netutil import add_accept_handler, bind_sockets

from ..control.settings import Address
from ..errors import Code, Fault, Step
from ..events import HANDLER_FAILED, emit
from ..sessions.reply import Reply
from ..sessions.statement import Request
from . import wire
from ._socket import watch_peer

BACKLOG = 1024  # connections that come at once after an outage
READ_BYTES = 2 * wire.MAX_MESSAGE_BYTES  # a longer message ends without an answer
OUTPUT_BYTES = 16 * 1024 * 1024  # answers that a caller has not read yet


class CallerSession(Protocol):
    """A session as the listener drives it."""

    async def handle(self, req: Request) -> Reply:
        """Answer one statement."""

    def leave(self) -> None:
        """The caller is gone."""


OpenSession = Callable[[str, str], Awaitable[Result[CallerSession, Fault]]]


class Listener:
    """Reads callers' messages, hands them to sessions and writes the answers.

    Args:
        open_session: Opens a session for a database and a key.
    """

    def __init__(self, open_session: OpenSession) -> None:
        self._open_session = open_session
        self._callers: set[_Caller] = set()
        self._stop_accepting: list[Callable[[], None]] = []
        self._sockets: list[socket.socket] = []

    @property
    def is_idle(self) -> bool:
        """Whether no caller is connected."""
        return not self._callers

    def listen(self, address: Address) -> None:
        """Begin to accept callers."""
        host, port = address
        self._sockets = bind_sockets(port, host, socket.AF_INET, backlog=BACKLOG)
        self._stop_accepting = [
            add_accept_handler(sock, self._accept) for sock in self._sockets
        ]

    def close_idle(self) -> None:
        """Close the callers that wait for nothing and hold no transaction."""
        for caller in list(self._callers):
            caller.close_if_idle()

    def stop(self) -> None:
        """Accept no more callers."""
        for stop in self._stop_accepting:
            stop()
        for sock in self._sockets:
            sock.close()
        self._stop_accepting, self._sockets = [], []

    def close(self) -> None:
        """End all that is left."""
        self.stop()
        for caller in list(self._callers):
            caller.close()

    def _accept(self, sock: socket.socket, address: object) -> None:
        watch_peer(sock)
        stream = IOStream(
            sock,
            max_buffer_size=2 * READ_BYTES,
            max_write_buffer_size=OUTPUT_BYTES,
        )
        stream.set_nodelay(True)
        caller = _Caller(stream, self._open_session)
        self._callers.add(caller)
        task = asyncio.ensure_future(caller.run())
        task.add_done_callback(lambda _: self._callers.discard(caller))


class _Caller:
    """One caller's connection."""

    def __init__(self, stream: IOStream, open_session: OpenSession) -> None:
        self._stream = stream
        self._open_session = open_session
        self._session: CallerSession | None = None
        self._is_busy = True
        self._holds_transaction = False
        stream.set_close_callback(self._closed)

    async def run(self) -> None:
        """Answer messages until the caller leaves or is sent away."""
        try:
            await self._run()
        except (StreamClosedError, UnsatisfiableReadError):
            return
        except Exception as exc:
            # A fault of this program ends one session, not the others.
            emit(HANDLER_FAILED, reason=repr(exc))
        finally:
            self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection unless an answer or a transaction is open."""
        if not self._is_busy and not self._holds_transaction:
            self._stream.close()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    async def _run(self) -> None:
        hello = await self._read()
        if not isinstance(hello, wire.Hello):
            self._end(_out_of_turn(hello))
            return
        opened = await self._open_session(hello.database, hello.key)
        if not isinstance(opened, Success):
            self._end(opened.failure())
            return
        self._session = opened.unwrap()
        if self._stream.closed():
            self._session.leave()
            return
        self._stream.write(wire.WELCOME)
        while True:
            message = await self._read()
            if isinstance(message, wire.Goodbye):
                return
            if not isinstance(message, Request):
                self._end(_out_of_turn(message))
                return
            reply = await self._session.handle(message)
            self._holds_transaction = reply.state is not reply.state.IDLE
            self._stream.write(wire.encode_reply(reply))

    async def _read(self) -> wire.CallerMessage:
        self._is_busy = False
        line = await self._stream.read_until(wire.END, max_bytes=READ_BYTES)
        self._is_busy = True
        return wire.decode_caller(line)

    def _end(self, fault: Fault) -> None:
        if not self._stream.closed():
            self._stream.write(wire.encode_error(fault))

    def _closed(self) -> None:
        if self._session is not None:
            self._session.leave()


def _out_of_turn(message: wire.CallerMessage) -> Fault:
    if isinstance(message, wire.TooLong):
        return Fault(Code.BODY_TOO_LARGE, "the message is too long", Step.PARSE)
    if isinstance(message, wire.Garbled):
        return Fault(Code.BAD_REQUEST, message.reason, Step.PARSE)
    return Fault(Code.BAD_REQUEST, "the message is out of turn", Step.PARSE)
