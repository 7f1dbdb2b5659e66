"""Asks the store when the proof grows old that nothing newer exists."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from ..events import STALENESS_CHECKED, emit
from ..policy.staleness import StalenessLimit
from .confirmations import Confirmations, Topic
from .settings import Bounds

MIN_WAIT_S = 0.1


class TopicPoller(Protocol):
    """Polls the store."""

    @property
    def topics(self) -> Iterable[Topic]:
        """What is followed."""

    def poll_topic_now(self, topic: Topic) -> None:
        """Poll the store at once for one topic."""


class StalenessChecks:
    """Keeps the proofs of an instance younger than the bounds of its changes.

    Args:
        confirmations: The proofs.
        poller: Polls the store.
        bounds: Returns the time limits to keep.
        is_watcher: Returns whether this instance checks first, as a watcher of the
            store whose proofs the others take over.
        rng: Source of the jitter.
        clock: Returns the time in seconds.
        peers_first_s: Seconds after the start for which peers are expected to tell what
            the store holds.
    """

    def __init__(
        self,
        confirmations: Confirmations,
        poller: TopicPoller,
        bounds: Callable[[], Bounds],
        *,
        is_watcher: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float],
        peers_first_s: float,
    ) -> None:
        self._confirmations = confirmations
        self._poller = poller
        self._bounds = bounds
        self._is_watcher = is_watcher
        self._clock = clock
        self._started_at = clock() + peers_first_s
        self._limits = {topic: StalenessLimit(rng.random()) for topic in Topic}

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            wait_s = min(self._check(topic) for topic in self._poller.topics)
            await asyncio.sleep(max(MIN_WAIT_S, wait_s))

    def _check(self, topic: Topic) -> float:
        """Poll if the proof is too old; return the seconds until the next check."""
        now, limit = self._clock(), self._limits[topic]
        age_s = min(self._confirmations.age_s(topic), now - self._started_at)
        bound_s, is_watcher = self._bound_s(topic), self._is_watcher()
        wait_s = limit.wait_s(now, age_s, bound_s, is_watcher=is_watcher)
        if wait_s > 0:
            return wait_s
        limit.record_ask(now)
        emit(STALENESS_CHECKED, topic=topic.value, age_s=round(age_s, 3))
        self._poller.poll_topic_now(topic)
        return limit.wait_s(now, age_s, bound_s, is_watcher=is_watcher)

    def _bound_s(self, topic: Topic) -> float:
        bounds = self._bounds()
        return {
            Topic.CONFIGURATION: bounds.configuration_s,
            Topic.REGISTRY: bounds.draining_s,
            Topic.EVACUATIONS: bounds.evacuation_s,
        }[topic]
