"""Deletes old records of keyed writes, a few at a time."""

from __future__ import annotations

import asyncio
import time

from .endpoints import outcomes
from .endpoints.connection import FAILURES
from .endpoints.group import Group
from .errors import FaultError
from .events import OUTCOMES_PRUNED, emit

KEEP_S = 24 * 3600
PRUNE_EVERY = 50
PRUNE_MOST = 100
PRUNE_TIMEOUT_S = 1.0


class Pruner:
    """Deletes up to twice as many old records as are made.

    Args:
        group: The group's servers.
        keep_s: Seconds for which a record is kept.
        every: Keyed writes between two steps.
        most: Records deleted in one step.
    """

    def __init__(
        self,
        group: Group,
        *,
        keep_s: float = KEEP_S,
        every: int = PRUNE_EVERY,
        most: int = PRUNE_MOST,
    ) -> None:
        self._group = group
        self._keep_s = keep_s
        self._every = every
        self._most = most
        self._made = 0
        self._task: asyncio.Task[None] | None = None

    def count(self) -> None:
        """Count a keyed write, and start a step when one is due."""
        self._made += 1
        if self._made < self._every or (self._task and not self._task.done()):
            return
        self._made = 0
        self._task = asyncio.ensure_future(self.step())

    async def step(self) -> None:
        """Delete some old records; what fails is left to the next step."""
        primary = self._group.primary
        if primary is None:
            return
        try:
            async with self._group.pools[primary.name].lease() as conn:
                deleted = await outcomes.prune(
                    conn,
                    before_s=time.time() - self._keep_s,
                    most=self._most,
                    timeout_s=PRUNE_TIMEOUT_S,
                )
        except (FaultError, *FAILURES):
            return
        if deleted:
            emit(OUTCOMES_PRUNED, group=self._group.spec.name, deleted=deleted)

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
