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
UNWANTED_S = 0.25  # between two looks at whether the watch is wanted
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
        is_wanted: Tells whether to go on once the kind is known; a nudge asks anyway.
        retry_max_s: Tells the longest pause after a failure, in seconds.
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
        is_wanted: Callable[[], bool] = lambda: True,
        retry_max_s: Callable[[], float] = lambda: RETRY_MAX_S,
    ) -> None:
        self._client = client
        self._kind = kind
        self._type = type_
        self._since = since
        self._on_changes = on_changes
        self._rng = rng or random.Random()
        self._clock = clock
        self._wait_s = wait_s
        self._is_wanted = is_wanted
        self._nudged = asyncio.Event()
        self._failures = 0
        self._retry_max_s = retry_max_s

    @property
    def is_failing(self) -> bool:
        """Whether the last poll was not answered."""
        return self._failures > 0

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            known = self._since()
            if known > 0 and not self._is_wanted():
                self._failures = 0
                if not await self._is_nudged():
                    continue
            asked_at = self._clock()
            answer = await self._poll(
                known, is_patient=known > 0 and not self.is_failing
            )
            if answer is None:
                continue
            if not isinstance(answer, Success):
                self._failures += 1
                reason = answer.failure().message
                if self._failures == 1:
                    emit(PLATFORM_LOST, kind=self._kind, reason=reason)
                await asyncio.sleep(self._backoff(self._failures))
                continue
            if self.is_failing:
                emit(PLATFORM_BACK, kind=self._kind, failures=self._failures)
            self._failures = 0
            changes = answer.unwrap()
            since = 0 if changes.is_listing else known
            self._on_changes(changes, since, asked_at)
            if known == 0 == changes.version:
                await asyncio.sleep(self._backoff(1))

    def nudge(self) -> None:
        """Ask anew: the present poll does not tell what others know already."""
        self._nudged.set()

    async def _is_nudged(self) -> bool:
        try:
            async with asyncio.timeout(UNWANTED_S):
                await self._nudged.wait()
        except TimeoutError:
            return False
        return True

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
        longest = min(self._retry_max_s(), RETRY_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(RETRY_BASE_S, longest)
