"""Chooses the replica for a read, and what the read requires of it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..control.deployment import ReadRule
from ..control.group import GroupState, Server
from ..policy.placement import Replica, choose_replica, preferred_replica
from ..policy.position import Position
from .executor import Executor
from .operation import Operation


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """The freshness that a read requires.

    Attributes:
        position: The position that the server must have applied.
        age_s: Seconds for which the primary has held this position, at least.
    """

    position: Position
    age_s: float


class ReplicaChooser:
    """Chooses replicas for reads and read-only transactions.

    Args:
        executor: Tells who holds the connections, and which there are.
        failure_domain: The failure domain of this process.
        judges_answers: Whether a server that accepts no connection is judged by its
            answers on open ones.
    """

    def __init__(
        self, executor: Executor, failure_domain: str, *, judges_answers: bool
    ) -> None:
        self._executor = executor
        self._servers = executor.servers
        self._clock = executor.clock
        self._failure_domain = failure_domain
        self._judges_answers = judges_answers

    def choose(
        self, op: Operation, excluded: set[str], *, is_probe_allowed: bool = False
    ) -> tuple[Server, ReadNeed] | None:
        """Choose a replica for a read; None if the read needs the primary.

        Args:
            op: The read, or the first statement of a read-only transaction.
            excluded: The ids of servers to exclude.
            is_probe_allowed: Whether an outlier may get the read to be measured again.
        """
        group = self._servers.group(op.route.group)
        now = self._clock()
        need = self.need(op, group)
        if need is None:
            return None
        replicas = group.replicas(now)
        preferred = preferred_replica(op.customer, [s.id for s in replicas])
        servers = {s.id: s for s in replicas if s.id not in excluded}
        candidates = [
            self._candidate(s, op.customer, s.id == preferred, now)
            for s in servers.values()
        ]
        found = self._choose_admitted(
            candidates, need, op, group, bool(excluded), is_probe_allowed
        )
        if found is None and not op.ticket.is_hedge and group.outliers is not None:
            if self.avoids_primary(group, op.customer, now):
                found = choose_replica(candidates, need.position, need.age_s)
            if found is None and self._is_primary_bad(group, now):
                # The replica itself refuses the read if it does not show the position.
                found = choose_replica(candidates, need.position, math.inf)
        return (servers[found.id], need) if found is not None else None

    def _choose_admitted(
        self,
        candidates: list[Replica],
        need: ReadNeed,
        op: Operation,
        group: GroupState,
        is_repeated: bool,
        is_probe_allowed: bool,
    ) -> Replica | None:
        """Choose a replica; outliers get their share, and no second attempts."""
        outliers, now = group.outliers, self._clock()
        if outliers is None:
            return choose_replica(candidates, need.position, need.age_s)
        if is_repeated or op.ticket.is_hedge:
            return choose_replica(
                candidates,
                need.position,
                need.age_s,
                admit=lambda i: not outliers.is_outlier(i),
            )
        return choose_replica(
            candidates,
            need.position,
            need.age_s,
            admit=lambda i: outliers.admit(i, now),
            admit_probe=lambda i: is_probe_allowed and outliers.admit_probe(i, now),
        )

    def avoids_primary(self, group: GroupState, customer: str, now: float) -> bool:
        """Return whether reads that a replica can serve do not go to the primary."""
        primary = group.primary(now)
        if primary is None or self._is_primary_bad(group, now):
            return True
        return not self.has_capacity(primary, customer)

    def _is_primary_bad(self, group: GroupState, now: float) -> bool:
        primary = group.primary(now)
        if primary is None or primary.is_suspect(now):
            return True
        return group.outliers is not None and group.outliers.is_outlier(primary.id)

    def has_capacity(self, server: Server, customer: str) -> bool:
        """Return whether a server could run a customer's read without a wait."""
        if self._executor.has_own_connections:
            return self._servers.pool(server).has_capacity(customer)
        # The home knows its connections and checks them.
        return server.busy < server.endpoint.slots

    def need(self, op: Operation, group: GroupState) -> ReadNeed | None:
        """Return the freshness that a read needs; None if only the primary has it."""
        route, session = op.route, op.session
        if route.rule is ReadRule.PRIMARY:
            return None
        sample = group.samples.earliest_since(op.fresh_since - route.max_age_s)
        if sample is None:
            return None
        now = self._clock()
        need = ReadNeed(sample.position, now - sample.asked_at)
        committed_position = (
            session.committed_position if route.rule is ReadRule.OWN_WRITES else None
        )
        if committed_position is not None and committed_position > need.position:
            return ReadNeed(committed_position, now - session.committed_at)
        return need

    def _candidate(
        self, server: Server, customer: str, is_preferred: bool, now: float
    ) -> Replica:
        pool = self._servers.pool(server)
        # The connections of a home are unknown here; the preferred replica is assumed
        # to have one.
        is_own = self._executor.has_own_connections
        has_connection = pool.has_idle(customer) if is_own else is_preferred
        return Replica(
            id=server.id,
            last_position=server.last_position,
            lag_s=server.lag_s,
            latency_s=server.latency_s,
            busy=server.busy + pool.waiting,
            slots=server.endpoint.slots,
            is_near=server.endpoint.failure_domain == self._failure_domain,
            has_connection=has_connection,
            is_preferred=is_preferred,
            is_suspect=self._is_suspect(server, has_connection, now),
        )

    def _is_suspect(self, server: Server, has_connection: bool, now: float) -> bool:
        # A server that accepts no connection is judged by its
        # answers on those that are open.
        if self._judges_answers and has_connection and server.failures < 2:
            return False
        return server.is_suspect(now) or now < server.full_until
