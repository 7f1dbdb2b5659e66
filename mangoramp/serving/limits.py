"""What limits the load of cold, new and recovering servers at this instance."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from ..control.deployment import Group
from ..control.group import Server
from ..control.settings import Bounds, Features
from ..policy.cold_limit import cold_limit, cold_part

if TYPE_CHECKING:
    from .servers import Servers

HOLDERS_REFRESH_S = 0.1  # as often as the homes are chosen


class ServerLimits:
    """Derives the limits of each server from configuration, settings and holders.

    Args:
        servers: The known servers.
        name: The name of this instance.
        bounds: The limits that the deployment requires.
        features: The parts that are switched on.

    Attributes:
        holder_since: Since when this instance may hold connections, in seconds.
    """

    def __init__(
        self, servers: Servers, name: str, bounds: Bounds, features: Features
    ) -> None:
        self.holder_since = servers.clock()
        self.bounds = bounds
        self._servers = servers
        self._name = name
        self._features = features
        self._is_holder = False
        self._holders = servers.holders()
        self._updated_at = float("-inf")

    @property
    def is_paced(self) -> bool:
        """Whether servers get their load gradually after a start or recovery."""
        return self._features.server_health or self._features.evacuation

    def update_holders(self) -> None:
        """Update the instances that hold connections."""
        now = self._servers.clock()
        self._updated_at = now
        self._holders = self._servers.holders()
        was_holder, self._is_holder = self._is_holder, self._name in self._holders.names
        if self._is_holder and not was_holder:
            self.holder_since = now

    def slot_share(self, server: Server) -> float:
        """Return this instance's part of a server's slots."""
        return server.endpoint.slots / max(1, len(self._holders.names))

    def usual_latency_s(self, server: Server) -> float | None:
        """Return the usual latency of a server.

        Returns:
            The median of its group's other servers if its own is unknown, None if
            theirs is unknown, too.
        """
        if _has_answered(server):
            return server.latency_s
        group = self._servers.group(server.endpoint.group)
        known = [s.latency_s for s in group.servers.values() if _has_answered(s)]
        return statistics.median(known) if known else None

    def cold_start_s(self, server: Server) -> float:
        """Return the seconds that a server stays cold after its start."""
        group = self._group(server)
        return group.cold_start_s if group is not None else 0.0

    def cold_part(self, server: Server) -> int | None:
        """Return the requests per second that this instance may send to a cold server.

        Returns:
            None if cold servers of the group are not limited.
        """
        group = self._group(server)
        if group is None or group.cold_rate <= 0:
            return None
        if self._servers.clock() - self._updated_at >= HOLDERS_REFRESH_S:
            self.update_holders()
        return self.known_cold_part(server)

    def known_cold_part(self, server: Server) -> int | None:
        """Return ``cold_part`` by the holders as last known, without updating them."""
        group = self._group(server)
        if group is None or group.cold_rate <= 0:
            return None
        bounds = self.bounds
        limit = cold_limit(group.cold_rate, bounds.cold_overage, bounds.cold_slack)
        return cold_part(limit, self._holders, self._name, server.id)

    def _group(self, server: Server) -> Group | None:
        deployment = self._servers.deployment
        if deployment is None:
            return None
        return deployment.groups.get(server.endpoint.group)


def _has_answered(server: Server) -> bool:
    return server.last_answer_at > float("-inf")
