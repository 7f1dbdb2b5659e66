"""Deletes old outcome records of keyed writes in small batches."""

from __future__ import annotations

import asyncio
import time

from .endpoints import outcomes
from .endpoints.connection import SERVER_ERRORS
from .endpoints.group import Group
from .errors import FaultError
from .events import OUTCOMES_PRUNED, emit

RECORD_RETENTION_S = 24 * 3600
WRITES_PER_PRUNE = 50
PRUNE_BATCH_SIZE = 100
PRUNE_TIMEOUT_S = 1.0


class Pruner:
    """Deletes old records, by default up to twice as many as are written.

    Args:
        group: The group's servers.
        retention_s: Retention of a record, in seconds.
        writes_per_prune: Number of keyed writes between two batches.
        batch_size: Maximum number of records deleted in one batch.
    """

    def __init__(
        self,
        group: Group,
        *,
        retention_s: float = RECORD_RETENTION_S,
        writes_per_prune: int = WRITES_PER_PRUNE,
        batch_size: int = PRUNE_BATCH_SIZE,
    ) -> None:
        self._group = group
        self._retention_s = retention_s
        self._writes_per_prune = writes_per_prune
        self._batch_size = batch_size
        self._writes_since_prune = 0
        self._task: asyncio.Task[None] | None = None

    def record_write(self) -> None:
        """Count a keyed write, and start a batch when one is due."""
        self._writes_since_prune += 1
        if self._writes_since_prune < self._writes_per_prune or (
            self._task and not self._task.done()
        ):
            return
        self._writes_since_prune = 0
        self._task = asyncio.ensure_future(self.prune_batch())

    async def prune_batch(self) -> None:
        """Delete one batch of old records; a failed batch is left to the next one."""
        primary = self._group.primary
        if primary is None:
            return
        try:
            async with self._group.pools[primary.name].lease() as conn:
                deleted = await outcomes.prune(
                    conn,
                    before_s=time.time() - self._retention_s,
                    limit=self._batch_size,
                    timeout_s=PRUNE_TIMEOUT_S,
                )
        except (FaultError, *SERVER_ERRORS):
            return
        if deleted:
            emit(OUTCOMES_PRUNED, group=self._group.spec.name, deleted=deleted)

    def close(self) -> None:
        """Cancel a running batch."""
        if self._task is not None:
            self._task.cancel()
