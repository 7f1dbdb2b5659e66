"""The configuration and the server registry as last seen by this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..events import DEPLOYMENT_CHANGED, ENDPOINT_CHANGED, ENDPOINT_REMOVED, emit
from ..serving.servers import Servers
from .deployment import Deployment
from .endpoint import Endpoint


@dataclass(frozen=True, slots=True)
class VersionedEndpoint:
    """A server's registry entry with the store's revision of it."""

    endpoint: Endpoint
    revision: int


class ClusterState:
    """Applies updates from the store or a peer, and ignores older revisions.

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
        self.revision = 0
        self.registry_revision = 0
        self.has_deployment = asyncio.Event()
        self.has_registry = asyncio.Event()
        self.on_deployment: Callable[[], None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None
        self._servers = servers
        self._entries: dict[str, VersionedEndpoint] = {}

    def apply_deployment(self, deployment: Deployment, revision: int) -> None:
        """Apply a configuration, unless its revision is not newer than the current."""
        if revision <= self.revision:
            return
        self.deployment = deployment
        self.revision = revision
        emit(
            DEPLOYMENT_CHANGED,
            version=deployment.version,
            revision=revision,
            routes=len(deployment.routes),
            customers=len(deployment.customers),
            keys=len(deployment.customer_by_key),
        )
        self.has_deployment.set()
        self.on_deployment()
        self.on_change()

    def apply_endpoint(self, endpoint: Endpoint, revision: int) -> None:
        """Apply a server's registry entry, unless it is older than the known one."""
        known = self._entries.get(endpoint.id)
        if known is not None and revision < known.revision:
            return
        old_group = known.endpoint.group if known is not None else endpoint.group
        if old_group != endpoint.group:
            self._servers.group(old_group).unlist_endpoint(
                endpoint.id, self._servers.clock()
            )
        self._entries[endpoint.id] = VersionedEndpoint(endpoint, revision)
        self.registry_revision = max(self.registry_revision, revision)
        self._servers.group(endpoint.group).update_endpoint(endpoint, revision)
        emit(
            ENDPOINT_CHANGED,
            server=endpoint.id,
            group=endpoint.group,
            primary=endpoint.is_primary,
            draining=endpoint.is_draining,
            revision=revision,
        )
        self.on_change()

    def endpoints_since(self, revision: int) -> Iterator[VersionedEndpoint]:
        """Return the registry entries that are newer than a revision."""
        return (e for e in self._entries.values() if e.revision > revision)

    @property
    def server_ids(self) -> frozenset[str]:
        """The ids of all servers with a registry entry."""
        return frozenset(self._entries)

    def remove_endpoint(self, server_id: str, revision: int) -> None:
        """Remove a server whose registry entry was deleted as of a revision."""
        self.registry_revision = max(self.registry_revision, revision)
        known = self._entries.pop(server_id, None)
        if known is None:
            return
        group = known.endpoint.group
        self._servers.group(group).unlist_endpoint(server_id, self._servers.clock())
        emit(ENDPOINT_REMOVED, server=server_id, group=group, revision=revision)
        self.on_change()

    def retain_endpoints(self, server_ids: frozenset[str], revision: int) -> None:
        """Remove all servers that are missing from a full list as of a revision."""
        for server_id, entry in list(self._entries.items()):
            if server_id not in server_ids and entry.revision <= revision:
                self.remove_endpoint(server_id, revision)
        self.has_registry.set()
