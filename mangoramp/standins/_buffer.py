"""Buffers a server's answer and sends it in one write, as PostgreSQL does."""

from __future__ import annotations

import asyncio

READY_MESSAGE_BYTES = 6
READY_TAG = b"Z"
ERROR_TAG = b"E"


class AnswerWriter:
    """Stream writer that buffers an answer until it is complete.

    Args:
        writer: The connection's stream writer.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._buffer = bytearray()
        self._has_written = False

    @property
    def transport(self) -> asyncio.WriteTransport:
        """The connection's transport."""
        return self._writer.transport

    def write(self, data: bytes) -> None:
        """Append data to the buffered answer."""
        self._buffer += data
        self._has_written = True

    async def drain(self) -> None:
        """Send the buffer if the answer is complete or a flush is requested.

        A flush shows as a second ``drain`` call with no write in between.
        """
        if self._is_complete() or not self._has_written:
            self._send()
            await self._writer.drain()
        self._has_written = False

    def close(self) -> None:
        """Send the buffered data and close the connection."""
        self._send()
        self._writer.close()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await self._writer.wait_closed()

    def _is_complete(self) -> bool:
        tag = self._buffer[-READY_MESSAGE_BYTES : 1 - READY_MESSAGE_BYTES]
        return tag == READY_TAG or self._buffer[:1] == ERROR_TAG

    def _send(self) -> None:
        self._writer.write(bytes(self._buffer))
        self._buffer.clear()
