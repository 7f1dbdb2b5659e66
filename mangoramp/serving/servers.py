"""The groups, their servers and the pools of connections to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..control.deployment import Deployment
from ..control.group import GroupState, Server
from .command import Connector
from .pool import ServerPool

DEFAULT_CONNECTIONS = 16  # of a server whose group's configuration is not known
DEFAULT_SLOTS = 2  # of a server that is not listed yet
LEAST = 2  # while the number of instances is not known


@dataclass(slots=True)
class _Entry:
    server: Server
    pool: ServerPool


class Servers:
    """All database servers that this process knows.

    Args:
        connector: Opens connections.
        clock: Tells the time in seconds.

    Attributes:
        instances: How many instances there are, 0 while that is not known.
        limit: Tells the connections to each server of a group that this process may
            hold, None while too little is known.
    """

    def __init__(self, connector: Connector, clock: Callable[[], float]) -> None:
        self.connector = connector
        self.clock = clock
        self.groups: dict[str, GroupState] = {}
        self.instances = 0
        self.limit: Callable[[str], int | None] = lambda group: None
        self._deployment: Deployment | None = None
        self._pools: dict[str, _Entry] = {}

    def group(self, name: str) -> GroupState:
        """The state of a group, a new one if nothing is known of it."""
        found = self.groups.get(name)
        if found is None:
            found = self.groups[name] = GroupState(name)
        return found

    def pool(self, server: Server) -> ServerPool:
        """The connections to a server."""
        entry = self._pools.get(server.id)
        if entry is not None and entry.server is server:
            return entry.pool
        if entry is not None:
            entry.pool.close()
        limit = self._limit(server.endpoint.group)
        pool = ServerPool(server, self.connector, self.clock, limit=limit)
        self._pools[server.id] = _Entry(server, pool)
        return pool

    def pools(self) -> list[ServerPool]:
        """All pools."""
        return [entry.pool for entry in self._pools.values()]

    def resize(self, deployment: Deployment | None, instances: int) -> None:
        """Take over what the parts of each server's connections depend on.

        Args:
            deployment: The configuration in force.
            instances: How many instances there are, 0 while that is not known.
        """
        self._deployment = deployment or self._deployment
        self.instances = instances
        for entry in self._pools.values():
            entry.pool.resize(self._limit(entry.server.endpoint.group))

    def tidy(self) -> None:
        """Forget servers that are gone, and close old connections."""
        now = self.clock()
        for group in self.groups.values():
            group.expire(now)
        for server_id, entry in list(self._pools.items()):
            group = self.group(entry.server.endpoint.group)
            if group.servers.get(server_id) is not entry.server:
                entry.pool.close()
                del self._pools[server_id]
            else:
                entry.pool.trim()

    def close(self) -> None:
        """Close all connections."""
        for entry in self._pools.values():
            entry.pool.close()

    @property
    def customers(self) -> int:
        """How many customers the configuration has."""
        return len(self._deployment.customers) if self._deployment else 0

    @property
    def fewest_connections(self) -> int:
        """The connections that each server of the scarcest group takes."""
        groups = self._deployment.groups.values() if self._deployment else ()
        most = (group.max_connections for group in groups)
        return min(most, default=DEFAULT_CONNECTIONS)

    @property
    def fewest_slots(self) -> int:
        """The statements that each server of the scarcest group runs at a time."""
        servers = (s for group in self.groups.values() for s in group.servers.values())
        return min((s.endpoint.slots for s in servers), default=DEFAULT_SLOTS)

    def max_connections(self, group: str) -> int:
        """The connections that each server of a group takes, from all instances."""
        known = self._deployment.groups.get(group) if self._deployment else None
        return known.max_connections if known is not None else DEFAULT_CONNECTIONS

    def _limit(self, group: str) -> int:
        limit = self.limit(group)
        return LEAST if limit is None else limit
