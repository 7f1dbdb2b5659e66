"""Runs an attempt of a read and, if its answer is overdue, a second one beside it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

from .command import Answer

Attempt = Coroutine[Any, Any, Answer | None]


class HedgeOutcome(StrEnum):
    """What became of a second attempt."""

    WON = "won"
    LOST = "lost"
    FAILED = "failed"


class Hedger:
    """Runs attempts of reads side by side; the first good answer wins.

    The other attempt goes on until its answer was read or it timed out, so that its
    connection can be used again. Closing it would cost the server a new connection,
    which takes longer than most statements.
    """

    def __init__(self) -> None:
        self._losers: set[asyncio.Task[Answer | None]] = set()

    async def run(
        self, first: Attempt, delay_s: float, start_second: Callable[[], Attempt | None]
    ) -> tuple[Answer | None, HedgeOutcome | None]:
        """Run an attempt, and a second one if the first has no answer after a time.

        Args:
            first: The first attempt.
            delay_s: Seconds after which the answer is overdue.
            start_second: Returns the second attempt, None if there is to be none.

        Returns:
            The answer, None if no attempt gave one, and what became of the second
            attempt, None if there was none.

        Raises:
            FaultError: The attempts failed.
        """
        tasks = [asyncio.create_task(first)]
        try:
            second = None
            while second is None:
                done, _ = await asyncio.wait(tasks, timeout=delay_s)
                if done:
                    return await tasks[0], None
                second = start_second()
            tasks.append(asyncio.create_task(second))
            return await self._first_good(tasks)
        except asyncio.CancelledError:
            for task in tasks:
                task.cancel()
            raise

    async def _first_good(
        self, tasks: list[asyncio.Task[Answer | None]]
    ) -> tuple[Answer | None, HedgeOutcome]:
        first, second = tasks
        pending = {first, second}
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            # Both may be done at once.
            for task in (t for t in tasks if t in done and _is_good(t)):
                for loser in pending:
                    self._keep(loser)
                won = task is second
                return task.result(), HedgeOutcome.WON if won else HedgeOutcome.LOST
        _retrieve(second)
        return first.result(), HedgeOutcome.FAILED

    def _keep(self, loser: asyncio.Task[Answer | None]) -> None:
        self._losers.add(loser)
        loser.add_done_callback(self._losers.discard)
        loser.add_done_callback(_retrieve)


def _is_good(task: asyncio.Task[Answer | None]) -> bool:
    is_done = not task.cancelled() and task.exception() is None
    return is_done and task.result() is not None


def _retrieve(task: asyncio.Task[Answer | None]) -> None:
    """Mark a task's error as seen, so that it is not reported as lost."""
    if not task.cancelled():
        task.exception()
