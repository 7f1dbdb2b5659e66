"""Registry of database groups, their servers and the connection pools."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..control.deployment import Deployment
from ..control.group import GroupState, Server
from ..control.settings import Bounds, Features
from ..policy.cold_limit import Holders
from ..policy.ejection import OutlierDetector
from ..policy.evacuation import EvacuationTimes
from ..policy.handover import Handover
from .capacity import Capacity
from .command import Connector
from .limits import ServerLimits
from .pins import Pins
from .pool import EVACUATED_REASON, ServerPool

DEFAULT_MAX_CONNECTIONS = 16  # per server, while the group's configuration is unknown
DEFAULT_SLOTS = 2  # while no server is listed
DEFAULT_POOL_LIMIT = 2  # while the number of instances is unknown

_DEFAULT_BOUNDS = Bounds()
_NO_FEATURES = Features()


@dataclass(slots=True)
class _PoolEntry:
    server: Server
    pool: ServerPool


class Servers:
    """Holds the known database groups, servers and connection pools.

    Args:
        connector: Opens connections.
        clock: Returns the time in seconds.
        name: The name of this instance.
        bounds: The limits that the deployment requires.
        features: The parts that are switched on.

    Attributes:
        instances: The number of instances, 0 while unknown.
        compares_answers: Whether the servers of a group are compared by their answers;
            set before the first group is known.
        connection_limit: Returns how many connections this process may hold to each
            server of a group, None while unknown.
        rates: The customers' rate limits per second, None for no limit. It is replaced
            when the configuration changes.
        handover: The customers whose connections this process holds as their home.
        evacuations: The evacuated failure domains; call :meth:`update_evacuated` after
            a change.
        holders: Returns the instances that hold connections.
        limits: What limits the load of cold, new and recovering servers.
    """

    def __init__(
        self,
        connector: Connector,
        clock: Callable[[], float],
        *,
        name: str = "",
        bounds: Bounds = _DEFAULT_BOUNDS,
        features: Features = _NO_FEATURES,
    ) -> None:
        self.connector = connector
        self.clock = clock
        self.groups: dict[str, GroupState] = {}
        self.evacuations: dict[str, EvacuationTimes] = {}
        self.instances = 0
        self.compares_answers = False
        self.connection_limit: Callable[[str], int | None] = lambda group: None
        self.rates: Mapping[str, float | None] = {}
        self.handover = Handover()
        self.holders: Callable[[], Holders] = lambda: Holders((), 1)
        self.limits = ServerLimits(self, name, bounds, features)
        self._features = features
        self._deployment: Deployment | None = None
        self._pools: dict[str, _PoolEntry] = {}

    def group(self, name: str) -> GroupState:
        """Return the state of a group, creating it if needed."""
        found = self.groups.get(name)
        if found is None:
            found = self.groups[name] = GroupState(
                name,
                self.evacuations,
                OutlierDetector() if self.compares_answers else None,
            )
        return found

    def pool(self, server: Server) -> ServerPool:
        """Return the connection pool of a server, creating it if needed."""
        entry = self._pools.get(server.id)
        if entry is not None and entry.server is server:
            return entry.pool
        if entry is not None:
            entry.pool.close()
        pool = self._create_pool(server)
        self._pools[server.id] = _PoolEntry(server, pool)
        return pool

    def find_pool(self, server: Server) -> ServerPool | None:
        """Return the connection pool of a server, None if there is none yet."""
        entry = self._pools.get(server.id)
        return entry.pool if entry is not None and entry.server is server else None

    def _create_pool(self, server: Server) -> ServerPool:
        limit = self._limit(server.endpoint.group)
        has_pins = self._features.load_control
        return ServerPool(
            server,
            self.connector,
            self.clock,
            limit=limit,
            capacity=Capacity(server, self.clock, self.limits, limit=limit),
            pins=Pins(self.clock, limit) if has_pins else None,
            handover=self.handover,
        )

    def pools(self) -> list[ServerPool]:
        """Return all connection pools."""
        return [entry.pool for entry in self._pools.values()]

    def update_evacuated(self) -> None:
        """Mark the servers of the evacuated failure domains, and no others."""
        now = self.clock()
        for group in self.groups.values():
            group.update_evacuated(now)
        for entry in self._pools.values():
            if entry.server.is_evacuated:
                entry.pool.reject_waiters(EVACUATED_REASON)

    def resize(self, deployment: Deployment | None, instances: int) -> None:
        """Update the pool limits for a new configuration or number of instances.

        Args:
            deployment: The new configuration, None to keep the current one.
            instances: The number of instances, 0 while unknown.
        """
        if deployment is not None:
            self._deployment = deployment
            self.rates = {n: c.rate for n, c in deployment.customers.items()}
        self.instances = instances
        self.limits.update_holders()
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
    def deployment(self) -> Deployment | None:
        """The configuration in force, None before the first one."""
        return self._deployment

    @property
    def configured_groups(self) -> list[GroupState]:
        """The groups that the configuration names.

        An entry of the registry may name any other group; its servers serve nobody.
        """
        if self._deployment is None:
            return list(self.groups.values())
        names = self._deployment.groups
        return [group for name, group in self.groups.items() if name in names]

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
        """The failure domains in which servers run that may be used.

        If all are evacuated, all count: no other choice of homes would be better.
        """
        found = frozenset(
            server.endpoint.failure_domain
            for group in self.configured_groups
            for server in group.servers.values()
        )
        return found - self.evacuations.keys() or found

    @property
    def min_slots(self) -> int:
        """The lowest number of concurrent statements that any server runs."""
        servers = (s for g in self.configured_groups for s in g.servers.values())
        return min((s.endpoint.slots for s in servers), default=DEFAULT_SLOTS)

    def max_connections(self, group: str) -> int:
        """Return how many connections each server of a group accepts in total."""
        known = self._deployment.groups.get(group) if self._deployment else None
        return known.max_connections if known is not None else DEFAULT_MAX_CONNECTIONS

    def _limit(self, group: str) -> int:
        limit = self.connection_limit(group)
        return DEFAULT_POOL_LIMIT if limit is None else limit
