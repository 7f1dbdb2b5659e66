"""Follows the configuration and the server registry in the platform's store."""

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

RETRY_MAX_S = 0.5  # entries must be known again 2 s after an outage
FALLBACK_RETRY_MAX_S = 4.0  # for instances that watch only while others cannot
MIN_POLL_WAIT_S = 1.0


class FeedReceiver(Protocol):
    """Receives changes of the configuration and of the server registry."""

    def apply_deployment(self, deployment: Deployment, revision: int) -> None:
        """Apply a configuration."""

    def apply_endpoint(self, endpoint: Endpoint, revision: int) -> None:
        """Apply a server's registry entry."""

    def remove_endpoint(self, server_id: str, revision: int) -> None:
        """Remove a server that has no registry entry as of a revision."""

    def retain_endpoints(self, server_ids: frozenset[str], revision: int) -> None:
        """Remove all servers but these, as of a revision."""


class Feed:
    """Watches the configuration and the server registry and reports changes.

    Args:
        client: Client for the store.
        receiver: Receives the changes.
        bounds: The guaranteed time limits; polls are short enough to detect a hung
            watch in time for them.
        is_watcher: Returns whether this instance watches the store itself.
        is_preferred_watcher: Returns whether this instance would watch the store
            even if the store answered all instances.
        rng: Source of the retry jitter.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self,
        client: PlatformClient,
        receiver: FeedReceiver,
        bounds: Bounds,
        *,
        is_watcher: Callable[[], bool],
        is_preferred_watcher: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._receiver = receiver
        self._revisions = {CONFIGURATION_KIND: -1, REGISTRY_KIND: -1}
        # A change must be in force within settled_s + configuration_s after a
        # disturbance. A poll that hangs may take half of that time; the other half
        # is left for the next poll.
        wait_s = max(MIN_POLL_WAIT_S, (bounds.settled_s + bounds.configuration_s) / 2)
        handlers = {
            CONFIGURATION_KIND: self._apply_configuration,
            REGISTRY_KIND: self._apply_registry,
        }
        self._watches = [
            Watch(
                client,
                kind,
                msgspec.Raw,
                since=lambda kind=kind: self._revisions[kind],  # type: ignore[misc]
                on_changes=handler,
                rng=rng,
                clock=clock,
                wait_s=lambda: wait_s,
                is_enabled=is_watcher,
                retry_max_s=lambda: (
                    RETRY_MAX_S if is_preferred_watcher() else FALLBACK_RETRY_MAX_S
                ),
            )
            for kind, handler in handlers.items()
        ]

    @property
    def is_failing(self) -> bool:
        """Whether the last poll of any watch failed."""
        return any(watch.is_failing for watch in self._watches)

    def poll_now(self) -> None:
        """Poll the store at once, because peers know a newer revision."""
        for watch in self._watches:
            watch.poll_now()

    async def run(self) -> None:
        """Run the watches until cancelled."""
        await asyncio.gather(*(watch.run() for watch in self._watches))

    def _apply_configuration(
        self, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        self._revisions[CONFIGURATION_KIND] = changes.version
        for found in changes.objects:
            if found.name != CONFIGURATION_NAME or found.value is None:
                continue
            try:
                deployment = decode_deployment(bytes(found.value))
            except ValueError as exc:
                _log_unreadable(CONFIGURATION_KIND, found, exc)
                continue
            self._receiver.apply_deployment(deployment, found.version)

    def _apply_registry(
        self, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        self._revisions[REGISTRY_KIND] = changes.version
        listed = set()
        for found in changes.objects:
            endpoint = _decode_entry(found)
            if endpoint is None:
                self._receiver.remove_endpoint(found.name, changes.version)
                continue
            listed.add(endpoint.id)
            self._receiver.apply_endpoint(endpoint, found.version)
        if changes.is_complete:
            self._receiver.retain_endpoints(frozenset(listed), changes.version)


def _decode_entry(found: Versioned[msgspec.Raw]) -> Endpoint | None:
    if found.value is None:
        return None
    try:
        return decode_endpoint(found.name, bytes(found.value))
    except ValueError as exc:
        _log_unreadable(REGISTRY_KIND, found, exc)
        return None


def _log_unreadable(kind: str, found: Versioned[msgspec.Raw], exc: ValueError) -> None:
    emit(
        ENTRY_UNREADABLE,
        kind=kind,
        name=found.name,
        version=found.version,
        reason=str(exc),
    )
