"""Watches the objects of one kind in the store by long polling."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from returns.result import Result, Success

from ..errors import Fault
from ..events import (
    PLATFORM_LOST,
    PLATFORM_RECOVERED,
    WATCH_ENDED,
    WATCH_STARTED,
    emit,
)
from ..policy.revision import Revision
from .client import Changes, PlatformClient

T = TypeVar("T")
POLL_WAIT_S = 20.0
ENABLED_CHECK_INTERVAL_S = 2.0  # while the watch is disabled
RETRY_BASE_S = 0.2
RETRY_MAX_S = 5.0
MAX_POLLS = 2  # in progress at the same time, if one does not wait for changes


class Watch(Generic[T]):
    """Watches the objects of one kind by long polling.

    Args:
        client: Client for the store.
        kind: The kind of object to watch.
        type_: The type to decode the objects to.
        since: Returns the last known revision of the kind, -1 if none is known.
        on_changes: Called with the changes of each poll, the revision from which they
            continue (0 for a complete list), and the start of the poll, in seconds.
        on_current: Called after them with the time, in seconds, and the revision up to
            which all changes are known.
        rng: Source of the jitter of retries.
        clock: Returns the current time in seconds.
        wait_s: Returns the time limit of a long poll, in seconds.
        is_enabled: Returns whether to keep polling. A disabled watch polls only until
            a revision is known, and when an immediate poll is requested.
        is_needed: Returns whether a disabled watch that knows no revision polls.
        retry_max_s: Returns the upper bound of a retry delay, in seconds.
        era: Returns the era of the store in which ``since`` was read, None if the
            current one is assumed.
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
        wait_s: Callable[[], float] = lambda: POLL_WAIT_S,
        is_enabled: Callable[[], bool] = lambda: True,
        retry_max_s: Callable[[], float] = lambda: RETRY_MAX_S,
        era: Callable[[], int | None] = lambda: None,
        is_needed: Callable[[], bool] = lambda: True,
        on_current: Callable[[float, Revision], None] = lambda as_of, known_to: None,
    ) -> None:
        self._client = client
        self._kind = kind
        self._type = type_
        self._since = since
        self._on_changes = on_changes
        self._rng = rng or random.Random()
        self._clock = clock
        self._wait_s = wait_s
        self._is_enabled = is_enabled
        self._poll_requested = asyncio.Event()
        self._failures = 0
        self._retry_max_s = retry_max_s
        self._era = era
        self._is_needed = is_needed
        self._on_current = on_current
        self._is_watching = False

    @property
    def is_failing(self) -> bool:
        """Whether the last poll failed."""
        return self._failures > 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            known = self._since()
            self._log_role()
            if not self._is_enabled() and (known > 0 or not self._is_needed()):
                self._failures = 0
                if not await self._wait_for_request(ENABLED_CHECK_INTERVAL_S):
                    continue
                known = self._since()  # peers have told more meanwhile
            asked_at = self._clock()
            is_long = known > 0 and not self.is_failing
            wait_s = self._wait_s() if is_long else 0.0
            if self._poll_requested.is_set():
                wait_s = 0.0
            answer = await self._poll(known, wait_s)
            if not isinstance(answer, Success):
                self._failures += 1
                reason = answer.failure().message
                if self._failures == 1:
                    emit(PLATFORM_LOST, kind=self._kind, reason=reason)
                await self._wait_for_request(self._backoff(self._failures))
                continue
            if self.is_failing:
                emit(PLATFORM_RECOVERED, kind=self._kind, failures=self._failures)
            self._failures = 0
            changes = answer.unwrap()
            since = 0 if changes.is_complete else known
            self._on_changes(changes, since, asked_at)
            is_empty = not changes.objects and not changes.is_complete
            has_waited = is_empty and self._clock() - asked_at >= wait_s
            as_of = asked_at + wait_s if has_waited else asked_at
            self._on_current(as_of, changes.revision)
            if known == 0 == changes.version:
                await asyncio.sleep(self._backoff(1))

    def poll_now(self) -> None:
        """Poll at once, without waiting for a change."""
        self._poll_requested.set()

    def _log_role(self) -> None:
        is_enabled = self._is_enabled()
        if is_enabled != self._is_watching:
            self._is_watching = is_enabled
            emit(WATCH_STARTED if is_enabled else WATCH_ENDED, kind=self._kind)

    async def _wait_for_request(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._poll_requested.wait()
        except TimeoutError:
            return False
        return True

    async def _poll(self, known: int, wait_s: float) -> Result[Changes[T], Fault]:
        """Poll; list all objects if the store has not had the known revision."""
        answer = await self._poll_since(known, wait_s)
        if isinstance(answer, Success) and _is_ahead(known, answer.unwrap()):
            return await self._poll_since(0, 0.0)
        return answer

    async def _poll_since(self, known: int, wait_s: float) -> Result[Changes[T], Fault]:
        """Poll, and make the polls that are requested meanwhile beside this one.

        It goes on, or a slow store or link would never complete any, and a watch would
        cost the store a second call. One that ends unchanged beside a watch is a proof.
        """
        era, asked_at = self._era(), self._clock()
        watch = self._start_poll(known, era, wait_s)
        polls: set[asyncio.Future[Any]] = {watch}
        requested: asyncio.Future[Any] = self._next_request()
        try:
            while True:
                awaited = {*polls, requested} if len(polls) < MAX_POLLS else polls
                done, _ = await asyncio.wait(
                    awaited, return_when=asyncio.FIRST_COMPLETED
                )
                for poll in polls & done:
                    polls.discard(poll)
                    answer: Result[Changes[T], Fault] = poll.result()
                    is_beside = wait_s > 0 and watch in polls
                    if is_beside and self._proves_no_change(answer, known, asked_at):
                        continue
                    if isinstance(answer, Success) or not polls:
                        return answer
                if requested in done:
                    requested, asked_at = self._next_request(), self._clock()
                    polls.add(self._start_poll(known, era, 0.0))
        finally:
            for unused in (*polls, requested):
                unused.cancel()

    def _proves_no_change(
        self, answer: Result[Changes[T], Fault], known: int, asked_at: float
    ) -> bool:
        if not isinstance(answer, Success):
            return False
        changes = answer.unwrap()
        if changes.objects or changes.is_complete or _is_ahead(known, changes):
            return False
        self._on_current(asked_at, changes.revision)
        return True

    def _next_request(self) -> asyncio.Future[Any]:
        self._poll_requested.clear()
        return asyncio.ensure_future(self._poll_requested.wait())

    def _start_poll(
        self, known: int, era: int | None, wait_s: float
    ) -> asyncio.Future[Result[Changes[T], Fault]]:
        return asyncio.ensure_future(
            self._client.fetch_changes(
                self._kind,
                self._type,
                since=max(0, known),
                wait_s=wait_s,
                era=era,
            )
        )

    def _backoff(self, failures: int) -> float:
        longest = min(self._retry_max_s(), RETRY_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(RETRY_BASE_S, longest)


def _is_ahead(known: int, changes: Changes[Any]) -> bool:
    """Return whether the store has not had the revision from which to continue."""
    return not changes.is_complete and changes.version < known
