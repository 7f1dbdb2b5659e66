"""Registry of database groups, their servers and the connection pools."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..control.deployment import Deployment
from ..control.group import GroupState, Server
from ..policy.ejection import OutlierDetector
from .command import Connector
from .pool import ServerPool

DEFAULT_MAX_CONNECTIONS = 16  # per server, while the group's configuration is unknown
DEFAULT_SLOTS = 2  # while no server is listed
DEFAULT_POOL_LIMIT = 2  # while the number of instances is unknown


@dataclass(slots=True)
class _PoolEntry:
    server: Server
    pool: ServerPool


class Servers:
    """Holds the known database groups, servers and connection pools.

    Args:
        connector: Opens connections.
        clock: Returns the time in seconds.

    Attributes:
        instances: The number of instances, 0 while unknown.
        compares_answers: Whether the servers of a group are compared by their answers;
            set before the first group is known.
        connection_limit: Returns how many connections this process may hold to each
            server of a group, None while unknown.
    """

    def __init__(self, connector: Connector, clock: Callable[[], float]) -> None:
        self.connector = connector
        self.clock = clock
        self.groups: dict[str, GroupState] = {}
        self.instances = 0
        self.compares_answers = False
        self.connection_limit: Callable[[str], int | None] = lambda group: None
        self._deployment: Deployment | None = None
        self._pools: dict[str, _PoolEntry] = {}

    def group(self, name: str) -> GroupState:
        """Return the state of a group, creating it if needed."""
        found = self.groups.get(name)
        if found is None:
            found = self.groups[name] = GroupState(
                name, OutlierDetector() if self.compares_answers else None
            )
        return found

    def pool(self, server: Server) -> ServerPool:
        """Return the connection pool of a server, creating it if needed."""
        entry = self._pools.get(server.id)
        if entry is not None and entry.server is server:
            return entry.pool
        if entry is not None:
            entry.pool.close()
        limit = self._limit(server.endpoint.group)
        pool = ServerPool(server, self.connector, self.clock, limit=limit)
        self._pools[server.id] = _PoolEntry(server, pool)
        return pool

    def pools(self) -> list[ServerPool]:
        """Return all connection pools."""
        return [entry.pool for entry in self._pools.values()]

    def resize(self, deployment: Deployment | None, instances: int) -> None:
        """Update the pool limits for a new configuration or number of instances.

        Args:
            deployment: The new configuration, None to keep the current one.
            instances: The number of instances, 0 while unknown.
        """
        self._deployment = deployment or self._deployment
        self.instances = instances
        for entry in self._pools.values():
            entry.pool.resize(self._limit(entry.server.endpoint.group))

    def evict_expired(self) -> None:
        """Drop servers that no longer exist and close expired connections."""
        now = self.clock()
        for group in self.groups.values():
            group.expire(now)
        for server_id, entry in list(self._pools.items()):
            group = self.group(entry.server.endpoint.group)
            if group.servers.get(server_id) is not entry.server:
                entry.pool.close()
                del self._pools[server_id]
            else:
                entry.pool.evict_idle()

    def close(self) -> None:
        """Close all connections."""
        for entry in self._pools.values():
            entry.pool.close()

    @property
    def customers(self) -> int:
        """The number of configured customers."""
        return len(self._deployment.customers) if self._deployment else 0

    @property
    def min_connections(self) -> int:
        """The lowest per-server connection limit of all groups."""
        groups = self._deployment.groups.values() if self._deployment else ()
        most = (group.max_connections for group in groups)
        return min(most, default=DEFAULT_MAX_CONNECTIONS)

    @property
    def failure_domains(self) -> frozenset[str]:
        """The failure domains in which servers run."""
        return frozenset(
            server.endpoint.failure_domain
            for group in self.groups.values()
            for server in group.servers.values()
        )

    @property
    def min_slots(self) -> int:
        """The lowest number of concurrent statements that any server runs."""
        servers = (s for group in self.groups.values() for s in group.servers.values())
        return min((s.endpoint.slots for s in servers), default=DEFAULT_SLOTS)

    def max_connections(self, group: str) -> int:
        """Return how many connections each server of a group accepts in total."""
        known = self._deployment.groups.get(group) if self._deployment else None
        return known.max_connections if known is not None else DEFAULT_MAX_CONNECTIONS

    def _limit(self, group: str) -> int:
        limit = self.connection_limit(group)
        return DEFAULT_POOL_LIMIT if limit is None else limit
