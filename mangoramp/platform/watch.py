"""A watch: follows the objects of one kind by long polls."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Generic, TypeVar

from returns.result import Result, Success

from ..errors import Fault
from ..events import PLATFORM_BACK, PLATFORM_LOST, emit
from .client import Changes, PlatformClient

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
        since: Tells the version up to which the kind is known, -1 for nothing.
        on_changes: Called with each answer, the version that it goes on from (0 for
            a listing), and when it was asked, in seconds.
        rng: Source of the jitter after failures.
        clock: Tells the time in seconds.
        wait_s: Tells the longest that a poll waits, in seconds.
        retry_max_s: The longest pause after a failure, in seconds.
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: str,
        type_: type[T],
        *,
        since: Callable[[], int],
        on_changes: Callable[[Changes[T], int, float], None],
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wait_s: Callable[[], float] = lambda: WAIT_S,
        retry_max_s: float = RETRY_MAX_S,
    ) -> None:
        self._client = client
        self._kind = kind
        self._type = type_
        self._since = since
        self._on_changes = on_changes
        self._rng = rng or random.Random()
        self._clock = clock
        self._wait_s = wait_s
        self._nudged = asyncio.Event()
        self._retry_max_s = retry_max_s

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        failures = 0
        while True:
            known = self._since()
            asked_at = self._clock()
            answer = await self._poll(known, is_patient=known > 0 and not failures)
            if answer is None:
                continue
            if not isinstance(answer, Success):
                failures += 1
                reason = answer.failure().message
                if failures == 1:
                    emit(PLATFORM_LOST, kind=self._kind, reason=reason)
                await asyncio.sleep(self._backoff(failures))
                continue
            if failures:
                emit(PLATFORM_BACK, kind=self._kind, failures=failures)
            failures = 0
            changes = answer.unwrap()
            since = 0 if changes.is_listing else known
            self._on_changes(changes, since, asked_at)
            if known == 0 == changes.version:
                await asyncio.sleep(self._backoff(1))

    def nudge(self) -> None:
        """Ask anew: the present poll does not tell what others know already."""
        self._nudged.set()

    async def _poll(
        self, known: int, *, is_patient: bool
    ) -> Result[Changes[T], Fault] | None:
        self._nudged.clear()
        polling = asyncio.ensure_future(
            self._client.changes(
                self._kind,
                self._type,
                since=max(0, known),
                wait_s=self._wait_s() if is_patient else 0.0,
            )
        )
        nudged = asyncio.ensure_future(self._nudged.wait())
        try:
            await asyncio.wait((polling, nudged), return_when=asyncio.FIRST_COMPLETED)
            return polling.result() if polling.done() else None
        finally:
            polling.cancel()
            nudged.cancel()

    def _backoff(self, failures: int) -> float:
        longest = min(self._retry_max_s, RETRY_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(RETRY_BASE_S, longest)
