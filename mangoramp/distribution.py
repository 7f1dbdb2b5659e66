"""Passes the platform's objects on between proxies, so that few of them watch it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

import msgspec
from returns.result import Success

from .catalog import KIND_KEY, Catalog
from .events import SOURCE_CHANGED, emit
from .platform.client import Changes, PlatformClient
from .platform.watch import Watch
from .policy.cache import Delta, Item
from .proxies.links import Links
from .proxies.messages import Changed, Follow

WAIT_S = 20.0
ANSWER_S = 1.0
RETRY_S = 0.2
START_S = 0.5
FALLBACK_S = 1.0
FALLBACK_JITTER_S = 4.0


class Distribution:
    """Keeps the catalog up to date from the platform, or from a peer that is.

    Args:
        name: This instance.
        catalog: What is to be kept up to date.
        client: The platform.
        links: The way to the other proxies, for control only.
        rng: Source of the jitter.
        clock: Tells the time in seconds.

    Attributes:
        relay_stamp: Tells the view that is granted here, 0 if this is no relay.
        on_stamp: Called when the relay's view has changed.
    """

    def __init__(
        self,
        name: str,
        catalog: Catalog,
        client: PlatformClient,
        links: Links,
        *,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._catalog = catalog
        self._client = client
        self._links = links
        self._rng = rng or random.Random()
        self._clock = clock
        self._must_watch = False
        self._sources: tuple[str, ...] = ()
        self._changed = asyncio.Event()
        self._watching: list[asyncio.Task[None]] = []
        self._pulling: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._heard_at = clock()
        self._stamp = 0
        self.relay_stamp: Callable[[], int] = lambda: 0
        self.on_stamp: Callable[[], None] = lambda: None

    @property
    def is_watching(self) -> bool:
        """Whether this process watches the platform itself."""
        return bool(self._watching)

    def assign(self, *, watch: bool, sources: tuple[str, ...]) -> None:
        """Say where changes are to come from.

        Args:
            watch: Whether to watch the platform.
            sources: The peers to follow, the best one first.
        """
        if (watch, sources) == (self._must_watch, self._sources):
            return
        emit(SOURCE_CHANGED, watch=watch, sources=sources)
        self._must_watch = watch
        self._sources = sources
        self._changed.set()

    async def run(self) -> None:
        """Keep the catalog up to date until cancelled."""
        try:
            await self._run()
        finally:
            self._watch(on=False)
            for task in self._tasks:
                task.cancel()

    async def answer(self, req: Follow) -> Changed:
        """Answer a peer that follows this process."""
        arrived_at = self._clock()
        cache = self._catalog.cache
        if cache.is_behind(req.versions):
            self._start_pull(req.sender)
        while not (cache.has_changes_for(req.versions) or self._has_stamp(req)):
            left = arrived_at + req.wait_s - self._clock()
            if left <= 0:
                break
            await self._catalog.changed(left)
        fresh_at = self._catalog.fresh_at
        fresh_s = fresh_at - arrived_at if fresh_at > float("-inf") else None
        return Changed(
            deltas=cache.deltas_for(req.versions),
            fresh_s=fresh_s,
            stamp=self.relay_stamp(),
        )

    def _has_stamp(self, req: Follow) -> bool:
        return self.relay_stamp() not in (0, req.stamp)

    async def _run(self) -> None:
        patience_s = self._patience()
        while True:
            self._changed.clear()
            if self._must_watch:
                self._watch(on=True)
            if await self._follow_any():
                self._heard_at = self._clock()
                patience_s = self._patience()
                self._watch(on=self._must_watch)
                continue
            silent_s = self._clock() - self._heard_at
            if silent_s > patience_s:
                self._watch(on=True)
            await self._sleep(RETRY_S)

    async def _follow_any(self) -> bool:
        for source in self._sources:
            pull = asyncio.ensure_future(self._pull(source, WAIT_S))
            moved = asyncio.ensure_future(self._changed.wait())
            try:
                await asyncio.wait((pull, moved), return_when=asyncio.FIRST_COMPLETED)
                if not pull.done():
                    return True
                if pull.result():
                    return True
            finally:
                pull.cancel()
                moved.cancel()
        return False

    async def _pull(self, source: str, wait_s: float) -> bool:
        asked_at = self._clock()
        versions = self._catalog.cache.versions()
        req = Follow(
            sender=self._name, versions=versions, wait_s=wait_s, stamp=self._stamp
        )
        answer = await self._links.call(source, req, timeout_s=wait_s + ANSWER_S)
        if not isinstance(answer, Success):
            return False
        changed = answer.unwrap()
        if not isinstance(changed, Changed):
            return False
        for delta in changed.deltas:
            self._catalog.take(delta)
        if changed.fresh_s is not None:
            self._catalog.refresh(asked_at + changed.fresh_s)
        if changed.stamp not in (0, self._stamp):
            self._stamp = changed.stamp
            self.on_stamp()
        return True

    def _start_pull(self, source: str) -> None:
        if source in self._pulling:
            return
        self._pulling.add(source)
        task = asyncio.ensure_future(self._pull_once(source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull_once(self, source: str) -> None:
        try:
            await self._pull(source, 0.0)
        finally:
            self._pulling.discard(source)

    def _watch(self, *, on: bool) -> None:
        if on and not self._watching:
            kinds = self._catalog.kinds
            watches = [self._make_watch(kind) for kind in kinds]
            self._watching = [asyncio.ensure_future(w.run()) for w in watches]
        if not on:
            for task in self._watching:
                task.cancel()
            self._watching = []

    def _make_watch(self, kind: str) -> Watch[msgspec.Raw]:
        cache = self._catalog.cache

        def take(changes: Changes[msgspec.Raw], since: int, asked_at: float) -> None:
            items = tuple(
                Item(o.name, o.version, None if o.value is None else bytes(o.value))
                for o in changes.objects
            )
            self._catalog.take(Delta(kind, since, changes.version, items))
            if kind == KIND_KEY:
                self._catalog.refresh(asked_at)

        return Watch(
            self._client,
            kind,
            msgspec.Raw,
            since=lambda: cache.versions().get(kind, -1),
            on_changes=take,
            rng=self._rng,
            clock=self._clock,
        )

    def _patience(self) -> float:
        if not self._catalog.cache.has_synced:
            return self._rng.uniform(START_S, 2 * START_S)
        return FALLBACK_S + self._rng.uniform(0, FALLBACK_JITTER_S)

    async def _sleep(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()
