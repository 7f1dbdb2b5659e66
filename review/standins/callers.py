"""Stand-in for the callers: sessions of the platform's wire protocol."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from .platform import HOST
from .record import Record

CLOSED = "closed"
MAX_LINE_BYTES = 2**21


@dataclass(frozen=True)
class Reply:
    """What a caller got for one request.

    Attributes:
        sent_at: When the request was sent, in seconds of the record.
        at: When the answer was complete or the connection ended.
        word: DONE, the code of an error, or ``closed`` without a complete answer.
        state: The state of the session.
    """

    sent_at: float
    at: float
    word: str
    state: str = "I"


class Session:
    """One session of a caller.

    Args:
        name: The caller's name, the start of its requests' ids.
        record: The record of the run.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self._numbers = itertools.count(1)
        self.is_open = False

    async def open(self, port: int, database: str, key: str) -> bool:
        """Open the session at the instance that listens on a port."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                HOST, port, limit=MAX_LINE_BYTES
            )
            self._writer.write(f"START {database} {key}\r\n".encode())
            line = await asyncio.wait_for(self._reader.readuntil(b"\r\n"), 2.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        self.is_open = line.startswith(b"READY")
        if not self.is_open:
            self._writer.close()
        return self.is_open

    async def ask(self, text: str) -> tuple[str, Reply]:
        """Send one request and read its answer."""
        request_id = f"{self.name}-{next(self._numbers)}"
        sent_at = self._record.now
        word, state = CLOSED, "I"
        try:
            self._record.write(self.name, f"sends {request_id} {text[:40]}")
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            while True:
                raw = await self._reader.readuntil(b"\r\n")
                fields = raw[:-2].decode("latin-1").split(" ")
                if fields[0] == "READY":
                    state = fields[1]
                    break
                word = fields[1] if fields[0] == "ERR" else fields[0]
        except (OSError, asyncio.IncompleteReadError):
            self.is_open = False
            word = CLOSED
        reply = Reply(sent_at, self._record.now, word, state)
        self._record.write(self.name, f"got {word} for {request_id}")
        return request_id, reply

    def close(self) -> None:
        """End the session."""
        if self.is_open:
            self.is_open = False
            self._writer.write(b"BYE\r\n")
            self._writer.close()
