"""The requests of callers that were taken and not answered yet."""

from __future__ import annotations

import asyncio


class InFlight:
    """Counts requests, so that a shutdown can wait for the last.

    Attributes:
        closing: Whether each answer is to be its connection's last.
    """

    def __init__(self) -> None:
        self.closing = False
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def enter(self) -> None:
        """A request was taken."""
        self._count += 1
        self._idle.clear()

    def leave(self) -> None:
        """A request was answered."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def idle(self) -> None:
        """Wait until none is left."""
        await self._idle.wait()
