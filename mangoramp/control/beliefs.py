"""What this process believes of its deployment: configuration and servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..events import DEPLOYMENT_CHANGED, ENDPOINT_CHANGED, ENDPOINT_GONE, emit
from ..serving.servers import Servers
from .deployment import Deployment
from .endpoint import Endpoint


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """A server's entry and the store's revision of it."""

    endpoint: Endpoint
    revision: int


class Beliefs:
    """Takes over what the store says; nothing of it goes back to an older version.

    Args:
        servers: The servers.

    Attributes:
        deployment: The configuration in force, None before the first.
        revision: The store's revision of it.
        registry_revision: The store's latest revision of a server's entry.
        deployed: Set once there is a configuration.
        registered: Set once the servers were listed.
        on_deployment: Called when the configuration has changed.
        on_change: Called when anything has changed.
    """

    def __init__(self, servers: Servers) -> None:
        self.deployment: Deployment | None = None
        self.revision = 0
        self.registry_revision = 0
        self.deployed = asyncio.Event()
        self.registered = asyncio.Event()
        self.on_deployment: Callable[[], None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None
        self._servers = servers
        self._listed: dict[str, ListedEndpoint] = {}

    def take_deployment(self, deployment: Deployment, revision: int) -> None:
        """Take over a configuration, unless it is older than the one in force."""
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
        self.deployed.set()
        self.on_deployment()
        self.on_change()

    def take_endpoint(self, endpoint: Endpoint, revision: int) -> None:
        """Take over a server's entry, unless it is older than the one known."""
        known = self._listed.get(endpoint.id)
        if known is not None and revision < known.revision:
            return
        former = known.endpoint.group if known is not None else endpoint.group
        if former != endpoint.group:
            self._servers.group(former).unlist(endpoint.id, self._servers.clock())
        self._listed[endpoint.id] = ListedEndpoint(endpoint, revision)
        self.registry_revision = max(self.registry_revision, revision)
        self._servers.group(endpoint.group).list_endpoint(endpoint, revision)
        emit(
            ENDPOINT_CHANGED,
            server=endpoint.id,
            group=endpoint.group,
            primary=endpoint.is_primary,
            draining=endpoint.is_draining,
            revision=revision,
        )
        self.on_change()

    def endpoints_since(self, revision: int) -> Iterator[ListedEndpoint]:
        """The servers' entries that are newer than a revision."""
        return (e for e in self._listed.values() if e.revision > revision)

    @property
    def server_ids(self) -> frozenset[str]:
        """The servers that have entries."""
        return frozenset(self._listed)

    def drop_endpoint(self, server_id: str, revision: int) -> None:
        """Take over that a server has no entry, as of a revision."""
        self.registry_revision = max(self.registry_revision, revision)
        known = self._listed.pop(server_id, None)
        if known is None:
            return
        group = known.endpoint.group
        self._servers.group(group).unlist(server_id, self._servers.clock())
        emit(ENDPOINT_GONE, server=server_id, group=group, revision=revision)
        self.on_change()

    def keep_endpoints(self, server_ids: frozenset[str], revision: int) -> None:
        """Take over that no other servers have entries, as of a revision."""
        for server_id, listed in list(self._listed.items()):
            if server_id not in server_ids and listed.revision <= revision:
                self.drop_endpoint(server_id, revision)
        self.registered.set()
