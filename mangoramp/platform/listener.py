"""Accepts callers' connections over the platform's wire protocol."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from returns.result import Result, Success
from tornado.iostream import (
    IOStream,
    StreamBufferFullError,
    StreamClosedError,
    UnsatisfiableReadError,
)
from tornado.netutil import add_accept_handler, bind_sockets

from ..control.settings import Address
from ..errors import Code, Fault, Outcome, Step
from ..events import HANDLER_FAILED, emit
from ..sessions.reply import Reply, SessionState
from ..sessions.statement import Request
from . import wire
from ._socket import enable_keepalive

ACCEPT_BACKLOG = 1024  # callers reconnect all at once after an outage
# A message beyond this limit closes the connection without an answer.
READ_LIMIT_BYTES = 2 * wire.MAX_MESSAGE_BYTES
WRITE_BUFFER_BYTES = 16 * 1024 * 1024  # for answers that a caller has not read yet


class CallerSession(Protocol):
    """The session of one caller, as seen by the listener."""

    async def handle(self, req: Request) -> Reply:
        """Execute one statement and return its reply."""

    def on_disconnect(self) -> None:
        """Clean up after the caller's connection has closed."""


OpenSession = Callable[[str, str], Awaitable[Result[CallerSession, Fault]]]


class Listener:
    """Reads callers' messages, passes them to their sessions and writes the replies.

    Args:
        open_session: Opens a session, given the database and the API key.
    """

    def __init__(self, open_session: OpenSession) -> None:
        self._open_session = open_session
        self._callers: set[_CallerConnection] = set()
        self._stop_accepting: list[Callable[[], None]] = []
        self._sockets: list[socket.socket] = []
        self._is_draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no caller is connected."""
        return not self._callers

    def listen(self, address: Address) -> None:
        """Start accepting connections on an address."""
        host, port = address
        self._sockets = bind_sockets(port, host, socket.AF_INET, backlog=ACCEPT_BACKLOG)
        self._stop_accepting = [
            add_accept_handler(sock, self._accept) for sock in self._sockets
        ]

    def drain(self) -> None:
        """Close idle connections, and each of the others after its next answer.

        A connection inside a transaction is closed once the transaction has ended.
        """
        self._is_draining = True
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close connections that have no pending statement and no open transaction."""
        for caller in list(self._callers):
            caller.close_if_idle()

    def stop(self) -> None:
        """Stop accepting connections; open ones continue."""
        for stop in self._stop_accepting:
            stop()
        for sock in self._sockets:
            sock.close()
        self._stop_accepting, self._sockets = [], []

    def close(self) -> None:
        """Stop accepting connections and close all open ones."""
        self.stop()
        for caller in list(self._callers):
            caller.close()

    def _accept(self, sock: socket.socket, address: object) -> None:
        enable_keepalive(sock)
        stream = IOStream(
            sock,
            max_buffer_size=2 * READ_LIMIT_BYTES,
            max_write_buffer_size=WRITE_BUFFER_BYTES,
        )
        stream.set_nodelay(True)
        caller = _CallerConnection(
            stream, self._open_session, lambda: self._is_draining
        )
        self._callers.add(caller)
        task = asyncio.ensure_future(caller.run())
        task.add_done_callback(lambda _: self._callers.discard(caller))


class _CallerConnection:
    """One caller's connection."""

    def __init__(
        self,
        stream: IOStream,
        open_session: OpenSession,
        is_draining: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._open_session = open_session
        self._is_draining = is_draining
        self._session: CallerSession | None = None
        self._is_busy = True
        self._reading: asyncio.Future[bytes] | None = None
        self._holds_transaction = False
        stream.set_close_callback(self._on_close)

    async def run(self) -> None:
        """Answer messages until the connection closes or a fault ends the session."""
        try:
            await self._run()
        except (StreamClosedError, UnsatisfiableReadError):
            return
        except Exception as exc:
            # A bug in this process ends only the session that hit it.
            emit(HANDLER_FAILED, reason=repr(exc))
            self._write_internal_fault()
        finally:
            self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection if it has no pending statement or open transaction.

        A request that has arrived but has not been processed yet is pending, too, and
        so is one whose answer the caller has not taken yet.
        """
        is_pending = self._is_busy or self._stream.writing()
        is_idle = not is_pending and not self._holds_transaction
        if is_idle and not self._has_unread_request():
            self._stream.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    async def _run(self) -> None:
        start = await self._read()
        if not isinstance(start, wire.Start):
            self._write_fault(_protocol_fault(start))
            return
        opened = await self._open_session(start.database, start.key)
        if not isinstance(opened, Success):
            self._write_fault(opened.failure())
            return
        self._session = opened.unwrap()
        if self._stream.closed():
            self._session.on_disconnect()
            return
        self._stream.write(wire.START_ACCEPTED)
        while True:
            message = await self._read()
            if isinstance(message, wire.Bye):
                return
            if not isinstance(message, Request):
                self._write_fault(_protocol_fault(message))
                return
            reply = await self._session.handle(message)
            self._holds_transaction = reply.state is not reply.state.IDLE
            written = self._stream.write(wire.encode_reply(reply))
            if self._is_draining() and not self._holds_transaction:
                await written
                self._start_reading()
                if not self._has_unread_request():
                    return

    async def _read(self) -> wire.CallerMessage:
        reading = self._start_reading()
        self._is_busy = False
        line = await reading
        self._is_busy, self._reading = True, None
        return wire.decode_caller(line)

    def _start_reading(self) -> asyncio.Future[bytes]:
        """Start to read the next message, unless that has begun already."""
        if self._reading is None:
            reading = self._stream.read_until(wire.LINE_END, max_bytes=READ_LIMIT_BYTES)
            self._reading = asyncio.ensure_future(reading)
        return self._reading

    def _has_unread_request(self) -> bool:
        if self._reading is not None and self._reading.done():
            return True
        try:
            return bool(self._stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False  # nothing has arrived, or the connection is broken

    def _write_fault(self, fault: Fault) -> None:
        if not self._stream.closed():
            self._stream.write(wire.encode_error(fault))

    def _write_internal_fault(self) -> None:
        fault = Fault(
            Code.INTERNAL,
            "this instance failed; the outcome is unknown",
            Step.RUN,
            outcome=Outcome.UNKNOWN,
        )
        with contextlib.suppress(StreamClosedError, StreamBufferFullError):
            if self._session is None:
                self._write_fault(fault)
                return
            has_ended = not self._holds_transaction
            state = SessionState.IDLE if has_ended else SessionState.FAILED
            self._stream.write(wire.encode_reply(Reply(state, fault=fault)))

    def _on_close(self) -> None:
        if self._session is not None:
            self._session.on_disconnect()


def _protocol_fault(message: wire.CallerMessage) -> Fault:
    if isinstance(message, wire.OversizedMessage):
        return Fault(Code.BODY_TOO_LARGE, "the message is too long", Step.PARSE)
    if isinstance(message, wire.InvalidMessage):
        return Fault(Code.BAD_REQUEST, message.reason, Step.PARSE)
    return Fault(Code.BAD_REQUEST, "the message is out of turn", Step.PARSE)
