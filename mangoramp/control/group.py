"""State of the database groups and their servers as seen by this process."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from ..events import PRIMARY_CHANGED, SERVER_LOST, SERVER_RECOVERED, emit
from ..policy.ejection import OutlierDetector
from ..policy.evacuation import EvacuationTimes
from ..policy.history import TermHistory
from ..policy.position import Position
from ..policy.revision import NO_REVISION, Revision
from ..policy.samples import PrimarySamples, Sample
from .endpoint import Endpoint

UNLISTED_GRACE_S = 2.5  # a live server is listed again 2 s after the store is back
FIRST_RETRY_DELAY_S = 0.1  # long enough for a retransmission
MAX_RETRY_DELAY_S = 1.0  # a restarted server is detected within this time
NOT_PRIMARY_HOLD_S = 0.5  # a role change reaches the registry within this time
INITIAL_LAG_S = 0.1  # assumed until a replica's lag is known
INITIAL_LATENCY_S = 0.01  # latency of a short statement
DRAINING_PART = 0.8  # of the bound; its report may be known late here
LAG_RECHECK_S = 0.5  # a replica that has caught up gets reads again within this time
SMOOTHING_FACTOR = 0.1  # moving average over about 10 statements
MIN_FAILED_STATEMENTS = 5  # in a row; fewer happen after a reset of connections


class SlowStart(StrEnum):
    """Why a server gets its load gradually."""

    STARTED = "started"
    RECOVERED = "recovered"
    PROMOTED = "promoted"
    EVACUATION_ENDED = "evacuation ended"
    NEW_HOLDER = "this instance newly holds connections"


class Limit(StrEnum):
    """A limit on the statements that this instance sends to a server."""

    NONE = "none"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    COLD = "cold"
    PACE = "pace"
    SHARE = "share"
    WINDOW = "window"
    CONNECTIONS = "connections"
    PINNED = "pinned"


@dataclass(frozen=True, slots=True)
class CapacityState:
    """Which limit holds statements back from a server, and why.

    Attributes:
        limit: The binding limit.
        reason: The figures of the limit, empty for none.
    """

    limit: Limit
    reason: str = ""


class CapacityReporter(Protocol):
    """Reports the limits of this instance's connections to one server."""

    @property
    def capacity_state(self) -> CapacityState:
        """Which limit is binding and why."""

    def predict_capacity(self) -> CapacityState:
        """Return what ``capacity_state`` would be, without changing limits."""


@dataclass(slots=True, eq=False)
class Server:
    """A server with its recent latency, lag and failures.

    Attributes:
        endpoint: Its latest registry entry.
        primary_since: The registry revision at which its entry first marked it as
            primary, ``NO_REVISION`` while the entry marks it as a replica.
        unlisted_at: When its registry entry disappeared, None while it is listed.
        last_position: The log position in its latest answer, None if unknown.
        last_answer_at: Time of its last answer, in seconds.
        last_success_at: Time of the last answer to a statement that did not fail, in
            seconds.
        failed_statements: Statements since then that failed or were not answered.
        statements_failing_since: Time of the first of them, None if there is none.
        failing_since: Time of the first failure in a row, None while it answers.
        failures: Number of consecutive failures.
        retry_at: Time until which it is avoided, in seconds.
        not_primary_at: When it last answered that it is not the primary.
        latency_s: Moving average of the statement latency, in seconds.
        lag_s: Estimated replication lag, in seconds.
        behind_at: When it last refused a read as behind, in seconds; None if a read has
            shown since that ``lag_s`` was too high.
        busy: Statements of this process in flight at the server.
        draining_since: When it was first seen to drain, in seconds, None if it stays.
        evacuation: When requests to it end because its failure domain is evacuated,
            None if it is not.
        returned_at: When the last evacuation of its failure domain was withdrawn.
        cold_until: Time until which it is cold, in seconds.
        full_until: Time until which its limits leave no room, in seconds, so that reads
            go to other servers.
        slow_starts: How often it started, recovered or was promoted.
        slow_start: The reason of the latest of these.
        reporter: Reports the limits of this instance's connections to it, None while
            there are none.
    """

    endpoint: Endpoint
    primary_since: Revision = NO_REVISION
    unlisted_at: float | None = None
    last_position: Position | None = None
    last_answer_at: float = float("-inf")
    last_success_at: float = float("-inf")
    failed_statements: int = 0
    statements_failing_since: float | None = None
    failing_since: float | None = None
    failures: int = 0
    retry_at: float = float("-inf")
    not_primary_at: float = float("-inf")
    latency_s: float = INITIAL_LATENCY_S
    lag_s: float = INITIAL_LAG_S
    behind_at: float | None = None
    busy: int = 0
    draining_since: float | None = None
    evacuation: EvacuationTimes | None = None
    returned_at: float = float("-inf")
    cold_until: float = float("-inf")
    full_until: float = float("-inf")
    slow_starts: int = 0
    slow_start: SlowStart = SlowStart.STARTED
    reporter: CapacityReporter | None = field(default=None, repr=False)

    @property
    def id(self) -> str:
        """The server's id."""
        return self.endpoint.id

    @property
    def is_primary(self) -> bool:
        """Whether it is listed as primary or has just been promoted."""
        return self.primary_since != NO_REVISION

    @property
    def is_evacuated(self) -> bool:
        """Whether its failure domain is evacuated."""
        return self.evacuation is not None

    def may_send(self, now: float, *, in_transaction: bool = False) -> bool:
        """Return whether an evacuation, if any, still allows a request to it.

        Args:
            now: The time in seconds.
            in_transaction: Whether the request belongs to a transaction that is open
                at the server.
        """
        return self.evacuation is None or self.evacuation.may_send(
            now, is_primary=self.is_primary, in_transaction=in_transaction
        )

    def has_drained(self, now: float, bound_s: float) -> bool:
        """Return whether it drains for so long that requests to it must end.

        Args:
            now: The time in seconds.
            bound_s: Seconds after its report until which requests may arrive.
        """
        if self.draining_since is None:
            return False
        return now - self.draining_since >= DRAINING_PART * bound_s

    def update_evacuation(self, times: EvacuationTimes | None, now: float) -> None:
        """Set when requests to it end, None if it is not evacuated any more."""
        if self.evacuation is not None and times is None:
            self.returned_at = now
            self.begin_slow_start(SlowStart.EVACUATION_ENDED)
        self.evacuation = times

    def is_suspect(self, now: float) -> bool:
        """Whether it failed recently, so that other servers are preferred."""
        return now < self.retry_at

    @property
    def capacity_state(self) -> CapacityState:
        """Which limit holds statements back from the server, and why."""
        state = self.own_state()
        if state is not None or self.reporter is None:
            return state or CapacityState(Limit.NONE)
        return self.reporter.capacity_state

    def predict_capacity(self) -> CapacityState:
        """Return what ``capacity_state`` would be, without changing limits."""
        state = self.own_state()
        if state is not None or self.reporter is None:
            return state or CapacityState(Limit.NONE)
        return self.reporter.predict_capacity()

    def own_state(self) -> CapacityState | None:
        """Return the limit that holds for all instances, None if there is none."""
        if self.is_evacuated:
            return CapacityState(Limit.EVACUATED, "its failure domain is evacuated")
        if self.endpoint.is_draining:
            return CapacityState(Limit.DRAINING, "it is being drained")
        return None

    def begin_slow_start(self, reason: SlowStart) -> None:
        """Have the server's load increased gradually from now on."""
        self.slow_starts += 1
        self.slow_start = reason

    def apply_entry(self, endpoint: Endpoint, now: float) -> None:
        """Apply a registry entry of the same process."""
        remaining_s = endpoint.cold_left_s
        cold_until = now + remaining_s if remaining_s > 0 else float("-inf")
        if endpoint.age_key == self.endpoint.age_key and self.cold_until > now:
            # A copy of the same entry that arrives later shows no later end.
            cold_until = min(cold_until, self.cold_until)
        self.cold_until = cold_until
        self.endpoint = endpoint
        if not endpoint.is_draining:
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = now

    def record_answer(self, now: float, latency_s: float | None = None) -> None:
        """Record an answer, and the statement latency if given."""
        if self.failures > 1:
            emit(SERVER_RECOVERED, server=self.id, failures=self.failures)
            self.begin_slow_start(SlowStart.RECOVERED)
        self.last_answer_at = now
        self.failing_since = None
        self.failures = 0
        self.retry_at = float("-inf")
        if latency_s is not None:
            self.latency_s += SMOOTHING_FACTOR * (latency_s - self.latency_s)

    @property
    def fails_statements(self) -> bool:
        """Whether it failed so many statements in a row that it is of no use."""
        return self.failed_statements >= MIN_FAILED_STATEMENTS

    def record_statement(self, now: float, *, has_failed: bool) -> None:
        """Record whether a statement that was sent to it succeeded."""
        if not has_failed:
            self.last_success_at = now
            self.failed_statements = 0
            self.statements_failing_since = None
            return
        self.failed_statements += 1
        if self.statements_failing_since is None:
            self.statements_failing_since = now

    def record_accepted(self, now: float) -> None:
        """Record that it accepted a connection.

        A server that fails each statement may still accept connections, so that this is
        no sign of recovery.
        """
        if not self.fails_statements:
            self.record_answer(now)

    def record_failure(self, now: float, reason: str) -> None:
        """Record a failure and back off exponentially."""
        self.failures += 1
        if self.failing_since is None:
            self.failing_since = now
        delay_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** min(self.failures - 1, 10)
        )
        self.retry_at = now + delay_s
        if self.failures == 2:
            emit(SERVER_LOST, server=self.id, group=self.endpoint.group, reason=reason)

    def record_applied(self, entry_age_s: float) -> None:
        """Record that it has applied an entry of this age."""
        if entry_age_s >= self.lag_s:
            return
        if self.behind_at is not None:
            # It has caught up; averaging would keep reads away from it for long.
            self.lag_s, self.behind_at = entry_age_s, None
            return
        self.lag_s += SMOOTHING_FACTOR * (entry_age_s - self.lag_s)

    def record_lag(self, entry_age_s: float, now: float) -> None:
        """Record that it has not applied an entry of this age yet."""
        self.lag_s = max(self.lag_s, 1.5 * entry_age_s)
        self.behind_at = now

    def is_recheck_due(self, now: float) -> bool:
        """Return whether a read may show that it is no longer behind."""
        return self.behind_at is not None and now - self.behind_at >= LAG_RECHECK_S


class GroupState:
    """The servers of one database group, and which of them is the primary.

    Args:
        name: The group's name.
        evacuations: The evacuated failure domains.
        outliers: Compares the servers' answers, None if they are not compared.
    """

    def __init__(
        self,
        name: str,
        evacuations: Mapping[str, EvacuationTimes] | None = None,
        outliers: OutlierDetector | None = None,
    ) -> None:
        self.name = name
        self.outliers = outliers
        self._evacuations = evacuations if evacuations is not None else {}
        self.servers: dict[str, Server] = {}
        self.samples = PrimarySamples()
        self.history = TermHistory()
        self._changed = asyncio.Event()
        self._primary_id = ""

    def update_endpoint(
        self, endpoint: Endpoint, revision: Revision, now: float = float("-inf")
    ) -> None:
        """Apply a server's registry entry.

        Args:
            endpoint: The entry.
            revision: The registry's revision of it.
            now: The current time, in seconds.
        """
        known = self.servers.get(endpoint.id)
        was_primary = known is not None and known.primary_since != NO_REVISION
        if known is None or known.endpoint.started_ms != endpoint.started_ms:
            # What was recorded of the previous process says nothing of the new one.
            known = self.servers[endpoint.id] = Server(endpoint)
        elif endpoint.is_primary and not known.endpoint.is_primary:
            known.primary_since = NO_REVISION
        known.apply_entry(endpoint, now)
        known.evacuation = self._evacuations.get(endpoint.failure_domain)
        known.unlisted_at = None
        if not endpoint.is_primary:
            known.primary_since = NO_REVISION
        elif known.primary_since == NO_REVISION:
            known.primary_since = revision
            known.not_primary_at = float("-inf")
            if not was_primary:
                known.begin_slow_start(SlowStart.PROMOTED)
        self.notify_changed()

    def unlist_endpoint(self, server_id: str, now: float) -> None:
        """Mark a server as unlisted, or remove it if it was draining."""
        server = self.servers.get(server_id)
        if server is None:
            return
        if server.endpoint.is_draining:
            del self.servers[server_id]
        elif server.unlisted_at is None:
            server.unlisted_at = now
        self.notify_changed()

    def expire(self, now: float) -> list[str]:
        """Remove servers that stayed unlisted for too long, and return their ids."""
        expired = [
            s.id
            for s in self.servers.values()
            if s.unlisted_at is not None and now - s.unlisted_at > UNLISTED_GRACE_S
        ]
        for server_id in expired:
            del self.servers[server_id]
        if expired:
            self.notify_changed()
        return expired

    def update_evacuated(self, now: float) -> None:
        """Mark the servers whose failure domains are evacuated, and no others."""
        for server in self.servers.values():
            domain = server.endpoint.failure_domain
            server.update_evacuation(self._evacuations.get(domain), now)
        self.notify_changed()

    def record_promotion(self, server_id: str, revision: Revision) -> None:
        """Treat a server as the primary before the registry lists it as such."""
        server = self.servers.get(server_id)
        if server is not None:
            server.primary_since = revision
            server.not_primary_at = float("-inf")
            server.begin_slow_start(SlowStart.PROMOTED)
            self.notify_changed()

    def find_primary(self, now: float) -> Server | None:
        """Return what :meth:`primary` would return, without logging a change."""
        candidates = [
            s
            for s in self.servers.values()
            if s.primary_since != NO_REVISION
            and now - s.not_primary_at > NOT_PRIMARY_HOLD_S
        ]
        return max(candidates, key=lambda s: s.primary_since, default=None)

    def primary(self, now: float) -> Server | None:
        """Return the server that is treated as the primary, None if there is none."""
        found = self.find_primary(now)
        if found is not None and found.id != self._primary_id:
            self._primary_id = found.id
            emit(
                PRIMARY_CHANGED,
                group=self.name,
                server=found.id,
                revision=str(found.primary_since),
            )
        return found

    def replicas(self, now: float) -> list[Server]:
        """Return the servers that may serve reads, except the primary."""
        return self.find_replicas(self.primary(now))

    def find_replicas(self, primary: Server | None) -> list[Server]:
        """Return the servers that may serve reads beside a primary."""
        return [
            s
            for s in self.servers.values()
            if s is not primary
            and not s.endpoint.is_draining
            and not s.is_evacuated
            and s.unlisted_at is None
        ]

    def record_position(self, asked_at: float, position: Position | None) -> None:
        """Record the position that the primary reported, if it did.

        Args:
            asked_at: When the primary was asked, in seconds.
            position: The position in its answer.
        """
        if position is not None:
            self.samples.add(Sample(asked_at, position))
            self.history.record(position)

    def notify_changed(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change or the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
