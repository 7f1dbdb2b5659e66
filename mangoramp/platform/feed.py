"""Follows the configuration, the server registry and evacuations in the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import partial
from typing import Protocol

import msgspec
from returns.result import Success

from ..control.confirmations import Confirmations, Topic
from ..control.deployment import Deployment
from ..control.endpoint import Endpoint
from ..control.settings import Bounds
from ..decoding import log_unreadable
from ..policy.evacuation import Entry
from ..policy.revision import NO_REVISION, Revision
from .client import Changes, PlatformClient, Versioned
from .configuration import CONFIGURATION_KIND, CONFIGURATION_NAME, decode_deployment
from .registry import REGISTRY_KIND, decode_endpoint
from .watch import Watch

RETRY_MAX_S = 0.5  # entries must be known again 2 s after an outage
FALLBACK_RETRY_MAX_S = 4.0  # for instances that watch only while others cannot
MIN_POLL_WAIT_S = 1.0
PEERS_FIRST_S = 1.0  # peers usually answer a new instance within half of this time
RECHECK_INTERVAL_S = 1.5  # a live server reports within this time after an outage
EVACUATION_KIND = "evacuations"
EVACUATION_WAIT_PART = 0.4  # of the bound; a hung poll ends 1 s later and is repeated
EVACUATION_RECHECK_S = 0.5
MAX_POLL_GAP_S = 1.0  # between polls that succeed one after the other
TOPICS = {
    CONFIGURATION_KIND: Topic.CONFIGURATION,
    REGISTRY_KIND: Topic.REGISTRY,
    EVACUATION_KIND: Topic.EVACUATIONS,
}
ALL_TOPICS = frozenset(topic.value for topic in Topic)


class FeedReceiver(Protocol):
    """Receives changes of the configuration and of the server registry."""

    has_deployment: asyncio.Event
    has_registry: asyncio.Event
    registry_revision: Revision

    @property
    def has_doubtful_entries(self) -> bool:
        """Whether the registry has to be listed again soon."""

    def apply_deployment(self, deployment: Deployment, revision: Revision) -> None:
        """Apply a configuration."""

    def apply_endpoint(self, endpoint: Endpoint, revision: Revision) -> None:
        """Apply a server's registry entry."""

    def remove_endpoint(self, server_id: str, revision: Revision) -> None:
        """Remove a server that has no registry entry as of a revision."""

    def retain_endpoints(self, server_ids: frozenset[str], revision: Revision) -> None:
        """Remove all servers but these, as of a revision."""


class EvacuationReceiver(Protocol):
    """Receives changes of the evacuations."""

    is_known: asyncio.Event

    @property
    def has_doubtful_evacuations(self) -> bool:
        """Whether the evacuations have to be listed again soon."""

    def apply_changes(self, changes: Mapping[str, Entry], *, is_late: bool) -> None:
        """Apply changes, which may have been made seconds ago if ``is_late``."""

    def apply_list(self, listed: Mapping[str, Revision], revision: Revision) -> None:
        """Apply the complete list as of a revision."""


class Feed:
    """Watches the store and reports changes.

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
        evacuations: Receives the changes of the evacuations, None to watch none.
        peers_first_s: Seconds for which an instance that does not watch relies on its
            peers alone after its start.
        confirmations: The proofs that all changes are known, None to keep them here.
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
        evacuations: EvacuationReceiver | None = None,
        peers_first_s: float = PEERS_FIRST_S,
        confirmations: Confirmations | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._started_at = clock()
        self._peers_first_s = peers_first_s
        self._is_watcher = is_watcher
        self._receiver = receiver
        self._evacuations = evacuations
        self._evacuations_at = float("-inf")
        self._confirmations = confirmations or Confirmations(clock)
        self._revisions: dict[str, Revision | None] = {
            CONFIGURATION_KIND: None,
            REGISTRY_KIND: None,
        }
        self._refuted = dict.fromkeys(TOPICS, NO_REVISION)
        # A change must be in force within settled_s + configuration_s after a
        # disturbance. A poll that hangs may take half of that time; the other half
        # is left for the next poll.
        wait_s = max(MIN_POLL_WAIT_S, (bounds.settled_s + bounds.configuration_s) / 2)
        self._handlers = handlers = {
            CONFIGURATION_KIND: self._apply_configuration,
            REGISTRY_KIND: self._apply_registry,
        }
        waits = dict.fromkeys(handlers, wait_s)
        if evacuations is not None:
            self._revisions[EVACUATION_KIND] = None
            handlers[EVACUATION_KIND] = self._apply_evacuations
            waits[EVACUATION_KIND] = min(
                wait_s, max(MIN_POLL_WAIT_S, EVACUATION_WAIT_PART * bounds.evacuation_s)
            )
        self._watches = {
            TOPICS[kind]: Watch(
                client,
                kind,
                msgspec.Raw,
                since=lambda kind=kind: self._since(kind),  # type: ignore[misc]
                era=lambda kind=kind: self._era(kind),  # type: ignore[misc]
                on_changes=partial(self._on_changes, kind),
                rng=rng,
                clock=clock,
                wait_s=lambda kind=kind: waits[kind],  # type: ignore[misc]
                is_enabled=is_watcher,
                is_needed=self._is_needed,
                retry_max_s=lambda: (
                    RETRY_MAX_S if is_preferred_watcher() else FALLBACK_RETRY_MAX_S
                ),
                on_current=partial(self._confirmations.confirm, TOPICS[kind]),
            )
            for kind in handlers
        }

    @property
    def is_failing(self) -> bool:
        """Whether the last poll of any watch failed."""
        return any(watch.is_failing for watch in self._watches.values())

    def poll_now(self, topics: Collection[str] = ALL_TOPICS) -> None:
        """Poll the store at once, because peers know a newer revision.

        Args:
            topics: The names of the topics to poll for.
        """
        for topic, watch in self._watches.items():
            if topic.value in topics:
                watch.poll_now()

    @property
    def topics(self) -> Iterable[Topic]:
        """What is followed."""
        return self._watches.keys()

    def poll_topic_now(self, topic: Topic) -> None:
        """Poll the store at once for one topic, unless a failed poll is due again."""
        watch = self._watches[topic]
        if not (watch.is_failing and self._is_watcher()):
            watch.poll_now()

    async def run(self) -> None:
        """Run the watches until cancelled."""
        self._started_at = self._clock()
        await asyncio.gather(
            self._recheck_registry(),
            self._recheck_evacuations(),
            *(watch.run() for watch in self._watches.values()),
        )

    def on_store_restored(self) -> None:
        """List all objects anew, unless peers do so for this instance."""
        if self._is_watcher():
            self.poll_now()

    async def _recheck_registry(self) -> None:
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_S)
            if not self._receiver.has_doubtful_entries or not self._is_watcher():
                continue
            listed = await self._client.list_objects(REGISTRY_KIND, msgspec.Raw)
            if isinstance(listed, Success):
                self._apply_registry(listed.unwrap(), 0, 0.0)

    async def _recheck_evacuations(self) -> None:
        receiver = self._evacuations
        while receiver is not None:
            await asyncio.sleep(EVACUATION_RECHECK_S)
            if not receiver.has_doubtful_evacuations or not self._is_watcher():
                continue
            asked_at = self._clock()
            listed = await self._client.list_objects(EVACUATION_KIND, msgspec.Raw)
            if isinstance(listed, Success):
                self._apply_evacuations(listed.unwrap(), 0, asked_at)

    def _is_needed(self) -> bool:
        """Return whether peers have not told this instance what the store holds."""
        receiver = self._receiver
        is_known = receiver.has_deployment.is_set() and receiver.has_registry.is_set()
        if self._evacuations is not None:
            is_known = is_known and self._evacuations.is_known.is_set()
        return not is_known and self._clock() - self._started_at >= self._peers_first_s

    def _since(self, kind: str) -> int:
        revision = self._known_to(kind)
        return -1 if revision is None else revision.number

    def _era(self, kind: str) -> int | None:
        revision = self._known_to(kind)
        return None if revision is None else revision.era

    def _known_to(self, kind: str) -> Revision | None:
        """Return the revision from which to continue, which a peer may have told."""
        own = self._revisions[kind]
        if kind == EVACUATION_KIND:
            # Only a list shows which ones a restored store lacks; it is short.
            return own
        told = self._confirmations.known_to(TOPICS[kind])
        # Any host may send a report: what the store does not confirm stops no watch.
        if told <= self._refuted[kind] or told.era != self._client.era:
            return own
        return max(own or told, told)

    def _on_changes(
        self, kind: str, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        told = self._confirmations.known_to(TOPICS[kind])
        if changes.is_complete and changes.revision < told:
            self._refuted[kind] = told
        self._handlers[kind](changes, since, asked_at)

    def _apply_configuration(
        self, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        self._revisions[CONFIGURATION_KIND] = changes.revision
        for found in changes.objects:
            if found.name != CONFIGURATION_NAME or found.value is None:
                continue
            try:
                deployment = decode_deployment(bytes(found.value))
            except ValueError as exc:
                log_unreadable(CONFIGURATION_KIND, found.name, found.version, exc)
                continue
            self._receiver.apply_deployment(deployment, found.revision)

    def _apply_registry(
        self, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        self._revisions[REGISTRY_KIND] = changes.revision
        receiver = self._receiver
        is_known = receiver.has_registry.is_set()
        if is_known and changes.revision < receiver.registry_revision:
            # Peers have told more meanwhile. A late answer would bring back servers
            # that have left since; the next poll may not name them any more.
            return
        listed = set()
        for found in changes.objects:
            endpoint = _decode_entry(found)
            if endpoint is None:
                self._receiver.remove_endpoint(found.name, changes.revision)
                continue
            listed.add(endpoint.id)
            self._receiver.apply_endpoint(endpoint, found.revision)
        if changes.is_complete:
            self._receiver.retain_endpoints(frozenset(listed), changes.revision)

    def _apply_evacuations(
        self, changes: Changes[msgspec.Raw], since: int, asked_at: float
    ) -> None:
        assert self._evacuations is not None
        self._revisions[EVACUATION_KIND] = changes.revision
        # After failed polls, a change may have been made long before the answer.
        is_late = asked_at - self._evacuations_at > MAX_POLL_GAP_S
        self._evacuations_at = self._clock()
        if changes.is_complete:
            listed = {found.name: found.revision for found in changes.objects}
            self._evacuations.apply_list(listed, changes.revision)
            return
        # The event of a removal may name the revision of the object before it.
        newest = {
            found.name: (changes.revision, False)
            if found.is_deleted
            else (found.revision, True)
            for found in changes.objects
        }
        self._evacuations.apply_changes(newest, is_late=is_late)


def _decode_entry(found: Versioned[msgspec.Raw]) -> Endpoint | None:
    if found.value is None:
        return None
    try:
        return decode_endpoint(found.name, bytes(found.value))
    except ValueError as exc:
        log_unreadable(REGISTRY_KIND, found.name, found.version, exc)
        return None
