"""Distribution of the platform's objects between proxies, so that few watch it."""

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
from .platform.watch import POLL_WAIT_S, Watch
from .policy.cache import Delta, Item
from .proxies.links import Links
from .proxies.messages import Changed, Follow

FOLLOW_WAIT_S = 20.0
KEY_WAIT_S = 2.5  # a silent connection is given up 1 s later; a key is withdrawn in 5 s
FOLLOW_TIMEOUT_MARGIN_S = 1.0
FOLLOW_RETRY_S = 0.2
MIN_STARTUP_SILENCE_S = 0.5
WATCH_FALLBACK_S = 1.0
WATCH_FALLBACK_JITTER_S = 4.0


class Distribution:
    """Keeps the catalog up to date from the platform or from peers.

    Args:
        name: Name of this instance.
        catalog: The catalog to update.
        client: Client of the platform.
        links: Links to the other proxies, for control messages only.
        rng: Random source of the jitter.
        clock: Returns the current time in seconds.

    Attributes:
        relay_stamp: Returns the stamp of the view that this process grants as relay, 0
            if it is not the relay.
        on_stamp_change: Called when a followed peer sends a new stamp.
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
        self._sources_changed = asyncio.Event()
        self._watch_tasks: list[asyncio.Task[None]] = []
        self._pulling_from: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_pull_at = clock()
        self._stamp = 0
        self.relay_stamp: Callable[[], int] = lambda: 0
        self.on_stamp_change: Callable[[], None] = lambda: None

    @property
    def is_watching(self) -> bool:
        """Whether this process watches the platform directly."""
        return bool(self._watch_tasks)

    def assign(self, *, watch: bool, sources: tuple[str, ...]) -> None:
        """Set the sources of changes.

        Args:
            watch: Whether to watch the platform directly.
            sources: The peers to follow, in order of preference.
        """
        if (watch, sources) == (self._must_watch, self._sources):
            return
        emit(SOURCE_CHANGED, watch=watch, sources=sources)
        self._must_watch = watch
        self._sources = sources
        self._sources_changed.set()

    async def run(self) -> None:
        """Keep the catalog up to date until cancelled."""
        try:
            await self._run()
        finally:
            self._set_watching(on=False)
            for task in self._tasks:
                task.cancel()

    async def handle_follow(self, req: Follow) -> Changed:
        """Answer a peer's long poll with the changes that it does not have yet."""
        arrived_at = self._clock()
        cache = self._catalog.cache
        if cache.is_behind(req.versions):
            self._start_pull(req.sender)
        while not (cache.has_changes_for(req.versions) or self._has_new_stamp(req)):
            remaining_s = arrived_at + req.wait_s - self._clock()
            if remaining_s <= 0:
                break
            await self._catalog.wait_for_change(remaining_s)
        keys_fresh_at = self._catalog.keys_fresh_at
        fresh_s = keys_fresh_at - arrived_at if keys_fresh_at > float("-inf") else None
        return Changed(
            deltas=cache.deltas_for(req.versions),
            fresh_s=fresh_s,
            stamp=self.relay_stamp(),
        )

    def _has_new_stamp(self, req: Follow) -> bool:
        return self.relay_stamp() not in (0, req.stamp)

    async def _run(self) -> None:
        silence_limit_s = self._silence_limit()
        while True:
            self._sources_changed.clear()
            if self._must_watch:
                self._set_watching(on=True)
            if await self._follow_any():
                self._last_pull_at = self._clock()
                silence_limit_s = self._silence_limit()
                self._set_watching(on=self._must_watch)
                continue
            silent_s = self._clock() - self._last_pull_at
            if silent_s > silence_limit_s:
                self._set_watching(on=True)
            await self._wait_for_assignment(FOLLOW_RETRY_S)

    async def _follow_any(self) -> bool:
        for source in self._sources:
            pull = asyncio.ensure_future(self._pull(source, FOLLOW_WAIT_S))
            reassigned = asyncio.ensure_future(self._sources_changed.wait())
            try:
                await asyncio.wait(
                    (pull, reassigned), return_when=asyncio.FIRST_COMPLETED
                )
                if not pull.done():
                    return True
                if pull.result():
                    return True
            finally:
                pull.cancel()
                reassigned.cancel()
        return False

    async def _pull(self, source: str, wait_s: float) -> bool:
        asked_at = self._clock()
        versions = self._catalog.cache.versions()
        req = Follow(
            sender=self._name, versions=versions, wait_s=wait_s, stamp=self._stamp
        )
        answer = await self._links.call(
            source, req, timeout_s=wait_s + FOLLOW_TIMEOUT_MARGIN_S
        )
        if not isinstance(answer, Success):
            return False
        changed = answer.unwrap()
        if not isinstance(changed, Changed):
            return False
        for delta in changed.deltas:
            self._catalog.apply(delta)
        if changed.fresh_s is not None:
            self._catalog.record_key_freshness(asked_at + changed.fresh_s)
        if changed.stamp not in (0, self._stamp):
            self._stamp = changed.stamp
            self.on_stamp_change()
        return True

    def _start_pull(self, source: str) -> None:
        if source in self._pulling_from:
            return
        self._pulling_from.add(source)
        task = asyncio.ensure_future(self._pull_once(source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull_once(self, source: str) -> None:
        try:
            await self._pull(source, 0.0)
        finally:
            self._pulling_from.discard(source)

    def _set_watching(self, *, on: bool) -> None:
        if on and not self._watch_tasks:
            kinds = self._catalog.kinds
            watches = [self._make_watch(kind) for kind in kinds]
            self._watch_tasks = [asyncio.ensure_future(w.run()) for w in watches]
        if not on:
            for task in self._watch_tasks:
                task.cancel()
            self._watch_tasks = []

    def _make_watch(self, kind: str) -> Watch[msgspec.Raw]:
        cache = self._catalog.cache

        def apply(changes: Changes[msgspec.Raw], since: int, asked_at: float) -> None:
            items = tuple(
                Item(o.name, o.version, None if o.value is None else bytes(o.value))
                for o in changes.objects
            )
            self._catalog.apply(Delta(kind, since, changes.version, items))
            if kind == KIND_KEY:
                self._catalog.record_key_freshness(asked_at)

        return Watch(
            self._client,
            kind,
            msgspec.Raw,
            since=lambda: cache.versions().get(kind, -1),
            on_changes=apply,
            rng=self._rng,
            clock=self._clock,
            wait_s=lambda: KEY_WAIT_S if kind == KIND_KEY else POLL_WAIT_S,
        )

    def _silence_limit(self) -> float:
        if not self._catalog.cache.has_synced:
            return self._rng.uniform(MIN_STARTUP_SILENCE_S, 2 * MIN_STARTUP_SILENCE_S)
        return WATCH_FALLBACK_S + self._rng.uniform(0, WATCH_FALLBACK_JITTER_S)

    async def _wait_for_assignment(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._sources_changed.wait()
