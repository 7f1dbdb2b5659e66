"""Follows the operators' configuration and the servers' entries in the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from ..control.deployment import Deployment
from ..control.endpoint import Endpoint
from ..control.settings import Bounds
from ..events import ENTRY_UNREADABLE, emit
from .client import Changes, PlatformClient, Versioned
from .configuration import CONFIGURATION_KIND, CONFIGURATION_NAME, decode_deployment
from .registry import REGISTRY_KIND, decode_endpoint
from .watch import Watch

RETRY_MAX_S = 0.5  # entries have to be known again two seconds after an outage
SECOND_RETRY_MAX_S = 4.0  # of those that only stand in for the first watchers
LEAST_WAIT_S = 1.0


class FeedReceiver(Protocol):
    """What is told of changes."""

    def take_deployment(self, deployment: Deployment, revision: int) -> None:
        """Take over a configuration."""

    def take_endpoint(self, endpoint: Endpoint, revision: int) -> None:
        """Take over a server's entry."""

    def drop_endpoint(self, server_id: str, revision: int) -> None:
        """Take over that a server has no entry, as of a revision."""

    def keep_endpoints(self, server_ids: frozenset[str], revision: int) -> None:
        """Take over that no other servers have entries, as of a revision."""


class Feed:
    """Keeps the two kinds up to date by watches of their own.

    Args:
        client: The store.
        receiver: What is told of changes.
        bounds: The promises; a watch that went silent is noticed in time for them.
        is_watcher: Tells whether this instance follows the store itself.
        is_first_watcher: Tells whether it would also if the store answered all.
        rng: Source of the jitter.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        client: PlatformClient,
        receiver: FeedReceiver,
        bounds: Bounds,
        *,
        is_watcher: Callable[[], bool],
        is_first_watcher: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._receiver = receiver
        self._known = {CONFIGURATION_KIND: -1, REGISTRY_KIND: -1}
        # Half of the time in which a change must be in force after a disturbance: the
        # other half is left for the next call.
        wait_s = max(LEAST_WAIT_S, (bounds.settled_s + bounds.configuration_s) / 2)
        takers = {
            CONFIGURATION_KIND: self._take_configuration,
            REGISTRY_KIND: self._take_registry,
        }
        self._watches = [
            Watch(
                client,
                kind,
                msgspec.Raw,
                since=lambda kind=kind: self._known[kind],  # type: ignore[misc]
                on_changes=taker,
                rng=rng,
                clock=clock,
                wait_s=lambda: wait_s,
                is_wanted=is_watcher,
                retry_max_s=lambda: (
                    RETRY_MAX_S if is_first_watcher() else SECOND_RETRY_MAX_S
                ),
            )
            for kind, taker in takers.items()
        ]

    @property
    def is_failing(self) -> bool:
        """Whether the store did not answer the last call of a watch."""
        return any(watch.is_failing for watch in self._watches)

    def nudge(self) -> None:
        """Ask anew, since others know more."""
        for watch in self._watches:
            watch.nudge()

    async def run(self) -> None:
        """Follow until cancelled."""
        await asyncio.gather(*(watch.run() for watch in self._watches))

    def _take_configuration(
        self, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        self._known[CONFIGURATION_KIND] = changes.version
        for found in changes.objects:
            if found.name != CONFIGURATION_NAME or found.value is None:
                continue
            try:
                deployment = decode_deployment(bytes(found.value))
            except ValueError as exc:
                _unreadable(CONFIGURATION_KIND, found, exc)
                continue
            self._receiver.take_deployment(deployment, found.version)

    def _take_registry(
        self, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        self._known[REGISTRY_KIND] = changes.version
        listed = set()
        for found in changes.objects:
            endpoint = _endpoint(found)
            if endpoint is None:
                self._receiver.drop_endpoint(found.name, changes.version)
                continue
            listed.add(endpoint.id)
            self._receiver.take_endpoint(endpoint, found.version)
        if changes.is_listing:
            self._receiver.keep_endpoints(frozenset(listed), changes.version)


def _endpoint(found: Versioned[msgspec.Raw]) -> Endpoint | None:
    if found.value is None:
        return None
    try:
        return decode_endpoint(found.name, bytes(found.value))
    except ValueError as exc:
        _unreadable(REGISTRY_KIND, found, exc)
        return None


def _unreadable(kind: str, found: Versioned[msgspec.Raw], exc: ValueError) -> None:
    emit(
        ENTRY_UNREADABLE,
        kind=kind,
        name=found.name,
        version=found.version,
        reason=str(exc),
    )
