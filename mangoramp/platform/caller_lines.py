"""Reads callers' lines, and large ones only when there is memory for them."""

from __future__ import annotations

import asyncio
from typing import cast

from returns.result import Success
from tornado.iostream import IOStream, UnsatisfiableReadError

from ..errors import Code, Fault, FaultError, Step
from ..policy.memory_budget import Claim
from ..serving.memory import Memory
from ..sessions.statement import Request, Unread
from . import wire

SMALL_LINE_BYTES = 4096  # read without asking for memory
LARGE_CHUNK_BYTES = 64 * 1024
# A line beyond this limit closes the connection without an answer.
READ_LIMIT_BYTES = 2 * wire.MAX_MESSAGE_BYTES
# The received line, its text, its encoding for a server or an instance, and a copy in a
# library's buffer.
COPIES = 4
STALL_S = 2.0  # a lost packet is sent again several times within it
ARRIVAL_S = 5.0  # until a large line has arrived; 1 MB takes 0.4 s at 20 Mbit/s
RETRY_AFTER_S = 0.5


class CallerLines:
    """The lines of one caller's connection.

    Args:
        stream: The connection.
        memory: The memory for large statements.

    Attributes:
        owner: Whose claims to memory they are: sessions of one owner take turns with
            those of others.
        is_waiting: Whether the caller is expected to send; false while a large line
            waits for memory or arrives.
    """

    def __init__(self, stream: IOStream, memory: Memory) -> None:
        self._stream = stream
        self._memory = memory
        self.owner = ""
        self.is_waiting = False
        self._reading: asyncio.Future[bytes] | None = None
        self._rest = b""  # received after the last line
        self._claim: Claim | None = None

    async def read(self) -> wire.CallerMessage:
        """Read and decode the next line.

        Raises:
            FaultError: A large line did not arrive in time.
            UnsatisfiableReadError: The line is far too long.
        """
        chunk = self._rest
        if not chunk:
            # As in _receive; each statement takes this way, so it calls no coroutine.
            reading = self._reading or self._start_receiving()
            self.is_waiting = True
            chunk = await reading
            self.is_waiting = False
            self._reading = None
            if chunk.find(wire.LINE_END) == len(chunk) - len(wire.LINE_END) >= 0:
                return wire.decode_caller(chunk)
        end = _find_line_end(chunk)
        self._rest = chunk
        while not end and len(self._rest) < SMALL_LINE_BYTES:
            self._rest += await self._receive(SMALL_LINE_BYTES)
            end = _find_line_end(self._rest)
        if not end:
            return await self._read_large()
        line, self._rest = self._rest[:end], self._rest[end:]
        return wire.decode_caller(line)

    def has_unread(self) -> bool:
        """Whether a message, or a part of the next one, has arrived and is not read."""
        return wire.LINE_END in self._rest or self._start_receiving().done()

    def release_memory(self) -> None:
        """Give back the memory for the last line, once it has been answered."""
        if self._claim is not None:
            self._memory.release(self._claim)
            self._claim = None

    def _start_receiving(self, size: int = SMALL_LINE_BYTES) -> asyncio.Future[bytes]:
        if self._reading is None:
            reading = self._stream.read_bytes(size, partial=True)
            self._reading = cast("asyncio.Future[bytes]", reading)
        return self._reading

    async def _receive(self, size: int) -> bytes:
        reading = self._start_receiving(size)
        self.is_waiting = True
        chunk = await reading
        self.is_waiting = False
        self._reading = None
        return chunk

    async def _read_large(self) -> wire.CallerMessage:
        size = COPIES * wire.MAX_MESSAGE_BYTES
        claimed = await self._memory.claim(self.owner, size)
        self._stream.read_chunk_size = LARGE_CHUNK_BYTES
        try:
            if isinstance(claimed, Success):
                self._claim = claimed.unwrap()
                return await self._read_claimed(self._claim)
            request_id = self._request_id()
            await self._discard_line(len(self._rest))
            return Request(request_id, Unread(claimed.failure()))
        finally:
            self._stream.read_chunk_size = SMALL_LINE_BYTES

    def _request_id(self) -> str:
        fields = self._rest.split(b" ", 2)
        return fields[1].decode(wire.ENCODING) if len(fields) > 2 else ""

    async def _read_claimed(self, claim: Claim) -> wire.CallerMessage:
        line = bytearray(self._rest)
        self._rest = b""
        started = asyncio.get_running_loop().time()
        end = 0
        while not end:
            if len(line) > wire.MAX_MESSAGE_BYTES:
                self._rest = bytes(line[-1:])
                await self._discard_line(len(line))
                return wire.OversizedMessage()
            searched = len(line) - 1  # the terminator may be split
            line += await self._receive_in_time(len(line), started)
            await _yield_to_others()
            end = _find_line_end(line, searched)
        self._rest = bytes(line[end:])
        del line[end:]
        self._memory.resize(claim, COPIES * len(line))
        return wire.decode_caller(line)

    async def _receive_in_time(self, received: int, started: float) -> bytes:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        until = min(asked_at + STALL_S, started + ARRIVAL_S)
        reading = self._stream.read_bytes(LARGE_CHUNK_BYTES, partial=True)
        fut = asyncio.ensure_future(reading)
        if not fut.done():
            # Unlike a timeout, this keeps bytes that arrived while the loop was late.
            await asyncio.wait((fut,), timeout=max(0.0, until - loop.time()))
        if fut.done() and asked_at < started + ARRIVAL_S:
            chunk: bytes = fut.result()
            return chunk
        now = loop.time()
        raise FaultError(
            Fault(
                Code.OVERLOADED,
                f"the statement did not arrive: {received} bytes in "
                f"{now - started:.1f} s, none in the last {now - asked_at:.1f} s",
                Step.PARSE,
                retry_after_s=RETRY_AFTER_S,
            )
        )

    async def _discard_line(self, size: int) -> None:
        """Receive the rest of a line without holding it.

        Args:
            size: Bytes of the line that have been received.
        """
        last = self._rest[-1:]
        self._rest = b""
        end = 0
        while not end:
            if size > READ_LIMIT_BYTES:
                raise UnsatisfiableReadError("the line is too long")
            chunk = last + await self._receive(LARGE_CHUNK_BYTES)
            await _yield_to_others()
            size += len(chunk) - len(last)
            last = chunk[-1:]
            end = _find_line_end(chunk)
        self._rest = chunk[end:]


def _find_line_end(data: bytes | bytearray, start: int = 0) -> int:
    """Return the length of the first line with its terminator, 0 if it has no end."""
    found = data.find(wire.LINE_END, start)
    return found + len(wire.LINE_END) if found >= 0 else 0


async def _yield_to_others() -> None:
    # A read whose bytes have arrived already completes without a turn of the loop, so
    # that a connection would receive all of its line before the others' statements run.
    await asyncio.sleep(0)
