"""Chooses the replica for a read, and what the read requires of it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..control.deployment import ReadRule
from ..control.group import GroupState, Server
from ..policy.ejection import OutlierDetector
from ..policy.placement import Replica, choose_replica, preferred_replica
from ..policy.position import Position
from .executor import Executor
from .operation import Operation
from .pool import ServerPool


@dataclass(frozen=True, slots=True)
class _Access:
    """How a choice looks up what it needs, with or without an effect on it.

    Attributes:
        primary: Returns a group's primary.
        pool: Returns a server's pool, None if there is none yet.
        admit: Returns whether a server, given its id, may get the read.
        admit_probe: Returns whether an outlier gets the read to be measured again.
    """

    primary: Callable[[GroupState], Server | None]
    pool: Callable[[Server], ServerPool | None]
    admit: Callable[[OutlierDetector, str], bool]
    admit_probe: Callable[[OutlierDetector, str], bool]


@dataclass(frozen=True, slots=True)
class ReplicaPrediction:
    """The choice of a replica for a read that is not sent.

    Attributes:
        chosen: The replica, None if the read needs the primary.
        need: The freshness that the read requires, None if only the primary has it.
        candidates: The replicas that were compared.
    """

    chosen: Server | None = None
    need: ReadNeed | None = None
    candidates: tuple[Replica, ...] = ()


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
        now = self._clock()
        access = self._access(now, is_probe_allowed=is_probe_allowed)
        group = self._servers.group(op.route.group)
        found = self._choose(op, group, excluded, access, now)
        if found.chosen is None or found.need is None:
            return None
        return found.chosen, found.need

    def predict(self, op: Operation) -> ReplicaPrediction:
        """Choose the replica for the first attempt of a read, without any effect."""
        now = self._clock()
        access = _Access(
            primary=lambda group: group.find_primary(now),
            pool=self._servers.find_pool,
            admit=lambda outliers, i: outliers.would_admit(i),
            # The read itself counts before its replica is chosen.
            admit_probe=lambda outliers, i: outliers.would_probe(i, now, new_reads=1),
        )
        group = self._servers.groups.get(op.route.group)
        if group is None:
            return ReplicaPrediction()
        return self._choose(op, group, set(), access, now)

    def _access(self, now: float, *, is_probe_allowed: bool = False) -> _Access:
        """Return how a real request looks up what it needs."""
        return _Access(
            primary=lambda group: group.primary(now),
            pool=self._servers.pool,
            admit=lambda outliers, i: outliers.admit(i, now),
            admit_probe=lambda outliers, i: (
                is_probe_allowed and outliers.admit_probe(i, now)
            ),
        )

    def _choose(
        self,
        op: Operation,
        group: GroupState,
        excluded: set[str],
        access: _Access,
        now: float,
    ) -> ReplicaPrediction:
        need = self.need(op, group)
        if need is None:
            return ReplicaPrediction()
        replicas = group.find_replicas(access.primary(group))
        preferred = preferred_replica(op.customer, [s.id for s in replicas])
        servers = {s.id: s for s in replicas if s.id not in excluded}
        candidates = [
            self._candidate(s, access.pool(s), op.customer, s.id == preferred, now)
            for s in servers.values()
        ]
        found = self._choose_admitted(
            candidates, need, op, group, bool(excluded), access
        )
        if found is None and not op.ticket.is_hedge and group.outliers is not None:
            if self._avoids_primary(group, op.customer, now, access):
                found = choose_replica(candidates, need.position, need.age_s)
            if found is None and self._is_primary_bad(group, now, access):
                # The replica itself refuses the read if it does not show the position.
                found = choose_replica(candidates, need.position, math.inf)
        chosen = servers[found.id] if found is not None else None
        return ReplicaPrediction(chosen, need, tuple(candidates))

    def _choose_admitted(
        self,
        candidates: list[Replica],
        need: ReadNeed,
        op: Operation,
        group: GroupState,
        is_repeated: bool,
        access: _Access,
    ) -> Replica | None:
        """Choose a replica; outliers get their share, and no second attempts."""
        outliers = group.outliers
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
            admit=lambda i: access.admit(outliers, i),
            admit_probe=lambda i: access.admit_probe(outliers, i),
        )

    def avoids_primary(self, group: GroupState, customer: str, now: float) -> bool:
        """Return whether reads that a replica can serve do not go to the primary."""
        return self._avoids_primary(group, customer, now, self._access(now))

    def _avoids_primary(
        self, group: GroupState, customer: str, now: float, access: _Access
    ) -> bool:
        primary = access.primary(group)
        if primary is None or self._is_primary_bad(group, now, access):
            return True
        return not self._has_capacity(primary, customer, access.pool)

    def _is_primary_bad(self, group: GroupState, now: float, access: _Access) -> bool:
        primary = access.primary(group)
        if primary is None or primary.is_suspect(now):
            return True
        return group.outliers is not None and group.outliers.is_outlier(primary.id)

    def has_capacity(self, server: Server, customer: str) -> bool:
        """Return whether a server could run a customer's read without a wait."""
        return self._has_capacity(server, customer, self._servers.pool)

    def _has_capacity(
        self,
        server: Server,
        customer: str,
        pool_of: Callable[[Server], ServerPool | None],
    ) -> bool:
        pool = pool_of(server) if self._executor.has_own_connections else None
        if pool is not None:
            return pool.has_capacity(customer)
        # The home, or a pool that is created later, checks its connections itself.
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
        own = session.commits.get(group.name)
        if route.rule is not ReadRule.OWN_WRITES or own is None:
            return need
        if own.position > need.position:
            return ReadNeed(own.position, now - own.acknowledged_at)
        return need

    def _candidate(
        self,
        server: Server,
        pool: ServerPool | None,
        customer: str,
        is_preferred: bool,
        now: float,
    ) -> Replica:
        # The connections of a home are unknown here; the preferred replica is assumed
        # to have one.
        is_own = self._executor.has_own_connections
        has_idle = pool is not None and pool.has_idle(customer)
        has_connection = has_idle if is_own else is_preferred
        return Replica(
            id=server.id,
            last_position=server.last_position,
            lag_s=server.lag_s,
            latency_s=server.latency_s,
            busy=server.busy + (pool.waiting if pool is not None else 0),
            slots=server.endpoint.slots,
            is_near=server.endpoint.failure_domain == self._failure_domain,
            has_connection=has_connection,
            is_preferred=is_preferred,
            is_suspect=self._is_suspect(server, has_connection, now),
            is_recheck_due=server.is_recheck_due(now),
        )

    def _is_suspect(self, server: Server, has_connection: bool, now: float) -> bool:
        # A server that accepts no connection is judged by its
        # answers on those that are open.
        if self._judges_answers and has_connection and server.failures < 2:
            return False
        return server.is_suspect(now) or now < server.full_until
