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
from ..errors import Code, Fault, FaultError, Outcome, Step
from ..events import CALLER_STALLED, HANDLER_FAILED, emit, place_of
from ..serving.memory import Memory
from ..sessions.reply import Reply, SessionState
from ..sessions.statement import Request, Unread
from . import wire
from ._socket import enable_keepalive
from .caller_lines import READ_LIMIT_BYTES, SMALL_LINE_BYTES, CallerLines

WRITE_STALL_S = 5.0  # until a caller has taken some more of its answer
WRITE_CHUNK_BYTES = 64 * 1024
ACCEPT_BACKLOG = 1024  # callers reconnect all at once after an outage
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
        memory: The memory for large statements.
    """

    def __init__(self, open_session: OpenSession, memory: Memory) -> None:
        self._open_session = open_session
        self._memory = memory
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
            max_buffer_size=READ_LIMIT_BYTES,
            read_chunk_size=SMALL_LINE_BYTES,
            max_write_buffer_size=WRITE_BUFFER_BYTES,
        )
        stream.set_nodelay(True)
        caller = _CallerConnection(
            stream, self._open_session, self._memory, lambda: self._is_draining
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
        memory: Memory,
        is_draining: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._open_session = open_session
        self._is_draining = is_draining
        self._session: CallerSession | None = None
        self._memory = memory
        self._lines = CallerLines(stream, memory)
        self._holds_transaction = False
        stream.set_close_callback(self._on_close)

    async def run(self) -> None:
        """Answer messages until the connection closes or a fault ends the session."""
        try:
            await self._run()
        except (StreamClosedError, UnsatisfiableReadError):
            return
        except FaultError as exc:
            emit(CALLER_STALLED, reason=exc.fault.message)
            self._write_fault(exc.fault)
        except Exception as exc:
            # A bug in this process ends only the session that hit it.
            emit(HANDLER_FAILED, reason=repr(exc), place=place_of(exc))
            self._write_internal_fault()
        finally:
            self._lines.release_memory()
            self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection if it has no pending statement or open transaction.

        A request that has arrived but has not been processed yet is pending, too, and
        so is one whose answer the caller has not taken yet.
        """
        is_idle = self._lines.is_waiting and not self._holds_transaction
        if is_idle and not self._has_unread_request():
            self._stream.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    async def _run(self) -> None:
        start = await self._lines.read()
        if not isinstance(start, wire.Start):
            self._write_fault(_protocol_fault(start))
            return
        self._lines.owner = start.key
        opened = await self._open_session(start.database, start.key)
        if not isinstance(opened, Success):
            self._write_fault(opened.failure())
            return
        self._session = opened.unwrap()
        if self._stream.closed():
            self._session.on_disconnect()
            return
        self._lines.release_memory()
        self._stream.write(wire.START_ACCEPTED)
        while await self._answer_next(self._session):
            pass

    async def _answer_next(self, session: CallerSession) -> bool:
        """Answer the next message; return whether the session goes on."""
        message = await self._lines.read()
        if isinstance(message, wire.Bye):
            return False
        if not isinstance(message, Request):
            self._write_fault(_protocol_fault(message))
            return False
        reply = await session.handle(message)
        self._holds_transaction = reply.state is not reply.state.IDLE
        try:
            await self._write(wire.encode_reply(reply))
        finally:
            if reply.claim is not None:
                self._memory.release(reply.claim)
        if self._is_draining() and not self._holds_transaction:
            return self._has_unread_request()
        return True

    async def _write(self, answer: bytes) -> None:
        """Write an answer, and wait while the caller does not take it."""
        for start in range(0, len(answer), WRITE_CHUNK_BYTES):
            written = self._stream.write(answer[start : start + WRITE_CHUNK_BYTES])
            self._lines.release_memory()
            if self._stream.writing():
                # A caller who does not read its answers is not read from either.
                await self._finish_write(written, start)

    async def _finish_write(self, written: asyncio.Future[None], taken: int) -> None:
        try:
            async with asyncio.timeout(WRITE_STALL_S):
                await written
        except TimeoutError:
            reason = f"it took {taken} bytes of its answer, none for {WRITE_STALL_S} s"
            emit(CALLER_STALLED, reason=reason)
            raise StreamClosedError from None

    def _has_unread_request(self) -> bool:
        if self._lines.has_unread():
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
    if isinstance(message, Request) and isinstance(message.statement, Unread):
        return message.statement.fault
    if isinstance(message, wire.InvalidMessage):
        return Fault(Code.BAD_REQUEST, message.reason, Step.PARSE)
    return Fault(Code.BAD_REQUEST, "the message is out of turn", Step.PARSE)
