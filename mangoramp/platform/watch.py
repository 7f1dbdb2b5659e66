"""A watch: keeps the objects of one kind as the platform last told them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Generic, TypeVar

from returns.result import Success

from ..events import PLATFORM_BACK, PLATFORM_LOST, emit
from .client import Changes, PlatformClient, Versioned

T = TypeVar("T")
WAIT_S = 20.0
RETRY_BASE_S = 0.2
RETRY_MAX_S = 5.0


class Watch(Generic[T]):
    """Follows one kind of object by long polls.

    Args:
        client: The platform.
        kind: The kind to follow.
        type_: What to decode its objects to.
        on_change: Called with each changed object, in the order of versions.
        rng: Source of the jitter after failures.
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: str,
        type_: type[T],
        on_change: Callable[[Versioned[T]], None],
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._client = client
        self._kind = kind
        self._type = type_
        self._on_change = on_change
        self._rng = rng or random.Random()
        self._ready = asyncio.Event()
        self.version = 0
        self.heard_at = -1.0

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        failures = 0
        while True:
            wait_s = WAIT_S if self._ready.is_set() else 0.0
            answer = await self._client.changes(
                self._kind, self._type, since=self.version, wait_s=wait_s
            )
            if not isinstance(answer, Success):
                failures += 1
                if failures == 1:
                    emit(
                        PLATFORM_LOST, kind=self._kind, reason=answer.failure().message
                    )
                await asyncio.sleep(self._backoff(failures))
                continue
            if failures:
                emit(PLATFORM_BACK, kind=self._kind, failures=failures)
            failures = 0
            self._take(answer.unwrap())

    async def ready(self) -> None:
        """Wait for the first listing."""
        await self._ready.wait()

    def _take(self, changes: Changes[T]) -> None:
        self.heard_at = time.monotonic()
        for versioned in changes.objects:
            self._on_change(versioned)
        self.version = max(self.version, changes.version)
        self._ready.set()

    def _backoff(self, failures: int) -> float:
        longest = min(RETRY_MAX_S, RETRY_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(RETRY_BASE_S, longest)
