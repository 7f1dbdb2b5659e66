"""Counts the HTTP requests in flight."""

from __future__ import annotations

import asyncio


class InFlightCounter:
    """Counts the requests in flight, so that a shutdown can wait for them.

    Attributes:
        is_draining: Whether the process drains, so that each response closes its
            connection.
    """

    def __init__(self) -> None:
        self.is_draining = False
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def start_request(self) -> None:
        """Count a request that was received."""
        self._count += 1
        self._idle.clear()

    def finish_request(self) -> None:
        """Stop counting a request that has ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()
