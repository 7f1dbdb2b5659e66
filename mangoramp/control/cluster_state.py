"""The configuration and the server registry as last seen by this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from ..events import (
    DEPLOYMENT_CHANGED,
    ENDPOINT_CHANGED,
    ENDPOINT_REMOVED,
    ENTRY_OUTDATED,
    emit,
)
from ..policy.revision import NO_REVISION, Revision
from ..serving.servers import Servers
from .deployment import Deployment
from .endpoint import Endpoint

MAX_DEPARTED = 200  # servers that left; far more than leave between two copies


@dataclass(frozen=True, slots=True)
class VersionedEndpoint:
    """A server's registry entry with the store's revision of it.

    Attributes:
        endpoint: The entry.
        revision: The number of the store's revision.
        era: The era of the store's revision.
    """

    endpoint: Endpoint
    revision: int
    era: int = 0

    @property
    def stored_at(self) -> Revision:
        """The store's revision of the entry."""
        return Revision(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class DepartedServer:
    """The last known entry of a server that left the registry.

    A copy of the store may list the server again. Its entry counts only if the server
    has written it since.

    Attributes:
        started_ms: The start of its process, in Unix milliseconds.
        sequence: The number of reports of its process up to the entry.
        era: The era of the store in which it left.
    """

    started_ms: int
    sequence: int
    era: int

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders it among the entries of the same server."""
        return (self.started_ms, self.sequence)


class ClusterState:
    """Applies updates from the store or a peer, and ignores outdated ones.

    Configurations are ordered by the operators' version, which survives a restoration
    of the store. Registry entries are ordered by the store's revision within an era,
    and across eras by the servers' own counts.

    Args:
        servers: The servers.

    Attributes:
        deployment: The configuration in force, None until one is applied.
        revision: The store's revision of the configuration.
        registry_revision: The highest revision of any registry entry applied.
        has_deployment: Set once a configuration is in force.
        has_registry: Set once a full list of the servers has been applied.
        on_deployment: Called when the configuration has changed.
        on_change: Called when the configuration or a registry entry has changed.
    """

    def __init__(self, servers: Servers) -> None:
        self.deployment: Deployment | None = None
        self.revision = NO_REVISION
        self.registry_revision = NO_REVISION
        self.has_deployment = asyncio.Event()
        self.has_registry = asyncio.Event()
        self.on_deployment: Callable[[], None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None
        self._servers = servers
        self._entries: dict[str, VersionedEndpoint] = {}
        self._departed: dict[str, DepartedServer] = {}
        self._doubtful: set[str] = set()

    @property
    def has_doubtful_entries(self) -> bool:
        """Whether the store lists a server that left before it was restored.

        The server may be alive: a report that changes only its count gives no event.
        """
        return bool(self._doubtful)

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 before the first one."""
        return self.deployment.version if self.deployment is not None else 0

    def apply_deployment(
        self, deployment: Deployment, revision: Revision, *, source: str = "store"
    ) -> None:
        """Apply a configuration, unless its version is not newer than the current.

        Args:
            deployment: The configuration.
            revision: The store's revision of it.
            source: The store or the peer that it comes from, for the log.
        """
        if self.deployment is not None and deployment.version <= self.version:
            return
        self.deployment = deployment
        self.revision = revision
        emit(
            DEPLOYMENT_CHANGED,
            version=deployment.version,
            revision=str(revision),
            source=source,
            routes=len(deployment.routes),
            customers=len(deployment.customers),
            keys=len(deployment.customer_by_key),
        )
        self.has_deployment.set()
        self.on_deployment()
        self.on_change()

    def apply_endpoint(self, endpoint: Endpoint, revision: Revision) -> None:
        """Apply a server's registry entry, unless it is older than the known one."""
        known = self._entries.get(endpoint.id)
        if known is not None and revision < known.stored_at:
            return
        if self._is_outdated(endpoint, revision):
            emit(
                ENTRY_OUTDATED,
                server=endpoint.id,
                revision=str(revision),
                started_ms=endpoint.started_ms,
                sequence=endpoint.sequence,
            )
            if known is not None:
                self._store_entry(known.endpoint, revision)
            else:
                self._doubtful.add(endpoint.id)
            return
        old_group = known.endpoint.group if known is not None else endpoint.group
        if old_group != endpoint.group:
            self._servers.group(old_group).unlist_endpoint(
                endpoint.id, self._servers.clock()
            )
        self._departed.pop(endpoint.id, None)
        self._doubtful.discard(endpoint.id)
        self._store_entry(endpoint, revision)
        self._servers.group(endpoint.group).update_endpoint(
            endpoint, revision, self._servers.clock()
        )
        emit(
            ENDPOINT_CHANGED,
            server=endpoint.id,
            group=endpoint.group,
            primary=endpoint.is_primary,
            draining=endpoint.is_draining,
            revision=str(revision),
        )
        self.on_change()

    def endpoints_since(self, revision: Revision) -> Iterator[VersionedEndpoint]:
        """Return the registry entries that are newer than a revision."""
        return (e for e in self._entries.values() if e.stored_at > revision)

    @property
    def server_ids(self) -> frozenset[str]:
        """The ids of all servers with a registry entry."""
        return frozenset(self._entries)

    @property
    def departed(self) -> Mapping[str, DepartedServer]:
        """The servers that left lately, by id."""
        return self._departed

    def record_departed(self, departed: Mapping[str, DepartedServer]) -> None:
        """Note servers that a peer saw leaving.

        An entry that this process took from a restored store is removed, unless the
        server has written it since.
        """
        for server_id, last in departed.items():
            listed = self._entries.get(server_id)
            if listed is not None:
                if listed.era <= last.era or listed.endpoint.age_key > last.age_key:
                    continue
                self.remove_endpoint(server_id, listed.stored_at)
                self._doubtful.add(server_id)
            known = self._departed.get(server_id)
            if listed is not None or known is None or known.age_key < last.age_key:
                self._note_departed(server_id, last)

    def remove_endpoint(self, server_id: str, revision: Revision) -> None:
        """Remove a server whose registry entry was deleted as of a revision."""
        self.registry_revision = max(self.registry_revision, revision)
        self._doubtful.discard(server_id)
        known = self._entries.pop(server_id, None)
        if known is None:
            return
        endpoint = known.endpoint
        self._note_departed(
            server_id,
            DepartedServer(endpoint.started_ms, endpoint.sequence, revision.era),
        )
        self._servers.group(endpoint.group).unlist_endpoint(
            server_id, self._servers.clock()
        )
        emit(
            ENDPOINT_REMOVED,
            server=server_id,
            group=endpoint.group,
            revision=str(revision),
        )
        self.on_change()

    def retain_endpoints(self, server_ids: frozenset[str], revision: Revision) -> None:
        """Remove all servers that are missing from a full list as of a revision."""
        self.registry_revision = max(self.registry_revision, revision)
        self._doubtful &= server_ids
        for server_id, entry in list(self._entries.items()):
            if server_id not in server_ids and entry.stored_at <= revision:
                self.remove_endpoint(server_id, revision)
        self.has_registry.set()

    def _is_outdated(self, endpoint: Endpoint, revision: Revision) -> bool:
        """Return whether an entry of a new era was written before the known one."""
        if not endpoint.started_ms:
            return False  # the server reports no start, so its counts prove nothing
        known = self._entries.get(endpoint.id)
        if known is not None:
            return (
                revision.era > known.era and endpoint.age_key < known.endpoint.age_key
            )
        left = self._departed.get(endpoint.id)
        return (
            left is not None
            and revision.era > left.era
            and endpoint.age_key <= left.age_key
        )

    def _store_entry(self, endpoint: Endpoint, revision: Revision) -> None:
        self._entries[endpoint.id] = VersionedEndpoint(
            endpoint, revision.number, revision.era
        )
        self.registry_revision = max(self.registry_revision, revision)

    def _note_departed(self, server_id: str, last: DepartedServer) -> None:
        self._departed.pop(server_id, None)
        self._departed[server_id] = last
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
