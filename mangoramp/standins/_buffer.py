"""Sends a server's answer as one piece, as PostgreSQL does."""

from __future__ import annotations

import asyncio

READY_BYTES = 6
READY_TAG = b"Z"
ERROR_TAG = b"E"


class AnswerWriter:
    """A stream writer that waits for the end of an answer before it sends.

    Args:
        writer: The connection's own writer.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._buffer = bytearray()
        self._added = False

    @property
    def transport(self) -> asyncio.WriteTransport:
        """The connection's transport."""
        return self._writer.transport

    def write(self, data: bytes) -> None:
        """Add to the answer."""
        self._buffer += data
        self._added = True

    async def drain(self) -> None:
        """Send the answer if it is whole, or if the caller asked for a flush.

        A flush drains a second time with nothing written since the first.
        """
        if self._is_whole() or not self._added:
            self._send()
            await self._writer.drain()
        self._added = False

    def close(self) -> None:
        """Send what there is and close."""
        self._send()
        self._writer.close()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await self._writer.wait_closed()

    def _is_whole(self) -> bool:
        tag = self._buffer[-READY_BYTES : 1 - READY_BYTES]
        return tag == READY_TAG or self._buffer[:1] == ERROR_TAG

    def _send(self) -> None:
        self._writer.write(bytes(self._buffer))
        self._buffer.clear()
