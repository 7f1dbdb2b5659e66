"""Fails over database groups: one instance at a time, under a fencing token."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from ..events import (
    CONNECTION_REFUSED,
    PROMOTION_CLAIMED,
    PROMOTION_ENDED,
    PROMOTION_SKIPPED,
    TERM_UNKNOWN,
    emit,
)
from ..platform.client import PlatformClient
from ..platform.promotion import PromotionClient, PromotionOutcome
from ..policy._rendezvous import rendezvous_order
from ..policy.authority import Knowledge, PauseDetector, reason_to_wait
from ..policy.duty import (
    HAND_OVER_S,
    LEASE_S,
    MAX_CLAIMS_IN_A_ROW,
    TENURE_S,
    Replacement,
    Situation,
    reason_to_stop,
)
from ..policy.isolation import Reachability, is_unreachable_here
from ..policy.position import Position
from ..policy.revision import NO_REVISION, Revision
from ..policy.succession import (
    Evidence,
    Successor,
    choose_successor,
    reason_to_promote,
)
from ..serving.command import OpenRefusedError, ServerConnection, ServerStatus
from ..serving.servers import Servers
from .deployment import Deployment
from .group import GroupState, Server
from .peers import Peers
from .promotion_claims import Claim, HeldClaim, PromotionClaims

CHECK_INTERVAL_S = 0.1  # a tenth of the shortest outage that triggers a failover
FOLLOWER_CHECK_INTERVAL_S = 1.0  # to become a controller
RANK_DELAY_S = 0.2  # one round trip; lower ranks wait for claims of higher ones
RECHECK_INTERVAL_S = 0.25  # of another instance's claim, which may end early
SETTLE_S = 1.0  # after a request, until the server reports its new role
MAX_HEARD_AGE_S = 30.0  # peers have no use for an older answer
TERM_WAIT_S = 3.0  # for a promoted server to lead; most take some hundred ms
TERM_CHECK_INTERVAL_S = 0.05  # few commits are made meanwhile
PROBE_INTERVAL_S = 0.4  # for a failing primary without traffic from callers


@dataclass(slots=True)
class _GroupWatch:
    """Progress of the failover of one group."""

    vacant_since: float | None = None
    reason_since: float | None = None
    hold_until: float = float("-inf")
    probed_at: float = float("-inf")
    is_replacing: bool = False
    called_at: float = float("-inf")  # when the last own call may have been sent
    priority_until: float = float("-inf")  # while others wait for an own claim
    claimed: Replacement | None = None
    claims_in_a_row: int = 0  # own ones for that replacement


@dataclass(frozen=True, slots=True)
class _CallResult:
    """What came of the calls under one claim.

    Attributes:
        outcome: The outcome of the last call.
        is_unsent: Whether no call was sent at all.
        stop_reason: Why no further call was made, empty if the time was over.
    """

    outcome: PromotionOutcome
    is_unsent: bool
    stop_reason: str

    @property
    def is_answered(self) -> bool:
        """Whether the platform has decided on the promotion."""
        return self.outcome in (PromotionOutcome.ACCEPTED, PromotionOutcome.REFUSED)


class Promoter:
    """Monitors the primary of each group and replaces it if it fails or drains.

    Args:
        name: This instance's name.
        servers: The servers.
        peers: The other instances.
        client: The client of the store.
        promotion_client: The client of the promotion service.
        deployment: Returns the configuration in force.
        registry_at: Returns the newest revision of the registry that is known here.
        peers_know_more: Returns whether a peer has reported a newer registry.
        is_stopping: Returns whether this instance is about to end.
        is_fenced: Returns whether the platform refuses a promotion with an older token.
        judges_statements: Whether a primary that accepts connections but fails all
            statements is replaced.
    """

    def __init__(
        self,
        name: str,
        servers: Servers,
        peers: Peers,
        client: PlatformClient,
        promotion_client: PromotionClient,
        deployment: Callable[[], Deployment | None],
        *,
        registry_at: Callable[[], Revision] = lambda: NO_REVISION,
        peers_know_more: Callable[[], bool] = lambda: False,
        is_stopping: Callable[[], bool] = lambda: False,
        is_fenced: Callable[[], bool] = lambda: True,
        judges_statements: bool = False,
    ) -> None:
        self._name = name
        self._servers = servers
        self._peers = peers
        self._claims = PromotionClaims(
            name,
            client,
            servers.clock,
            registry_at=registry_at,
            is_away=self._is_away,
            heard=peers.last_reports,
            is_fenced=is_fenced,
        )
        self._promotion_client = promotion_client
        self._deployment = deployment
        self._peers_know_more = peers_know_more
        self._is_stopping = is_stopping
        self._pauses = PauseDetector()
        self._judges_statements = judges_statements
        self._watches: dict[str, _GroupWatch] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Monitor the primaries until cancelled."""
        try:
            while True:
                is_controller = self._name in self._peers.controllers
                next_s = (
                    CHECK_INTERVAL_S if is_controller else FOLLOWER_CHECK_INTERVAL_S
                )
                self._pauses.record_check(self._servers.clock(), next_s=next_s)
                self._check_groups(is_controller=is_controller)
                await asyncio.sleep(next_s)
        finally:
            for task in self._tasks:
                task.cancel()

    def heard_primaries(self) -> dict[int, int]:
        """Return the milliseconds since each primary's last answer, by checksum."""
        now = self._servers.clock()
        found = {}
        for group in self._servers.configured_groups:
            primary = group.primary(now)
            if primary is None:
                continue
            heard_at = primary.last_answer_at
            if self._judges_statements:
                heard_at = primary.last_success_at
            if now - heard_at > MAX_HEARD_AGE_S:
                continue
            age_ms = round((now - heard_at) * 1000)
            found[_checksum(group.name, primary.id)] = age_ms
        return found

    def primary_heard_s(self, group: str, server_id: str) -> dict[str, float]:
        """Return the seconds since a primary answered other instances, by instance.

        Args:
            group: The group's name.
            server_id: The primary's id.
        """
        now = self._servers.clock()
        return dict(self._heard_by_peers(group, server_id, now))

    @property
    def watched_groups(self) -> Collection[str]:
        """The groups whose primaries are monitored."""
        return self._watches.keys()

    def is_primary_unreachable(self, group: str) -> bool:
        """Whether a group's primary is unreachable from here but not from elsewhere."""
        now = self._servers.clock()
        primary = self._servers.group(group).find_primary(now)
        if primary is None or primary.failing_since is None or primary.is_evacuated:
            return False
        reach = Reachability(
            silent_s=now - primary.failing_since,
            failures=primary.failures,
            peer_heard_s=self._peer_heard_s(group, primary.id, now),
        )
        return is_unreachable_here(reach, majority=self._peers.has_majority)

    def _check_groups(self, *, is_controller: bool) -> None:
        known = self._deployment()
        if known is None:
            return
        self._claims.observe()
        if self._is_stopping() and self._peers.serving:
            return
        must_wait = is_controller and bool(self._reason_to_wait())
        for name in known.groups:
            group = self._servers.group(name)
            if not group.servers:
                continue
            watch = self._watches.setdefault(name, _GroupWatch())
            if must_wait:
                # What was observed of a primary that may have been replaced counts for
                # nothing.
                watch.vacant_since = watch.reason_since = None
            elif is_controller and not watch.is_replacing:
                self._check_group(group, watch)

    def _check_group(self, group: GroupState, watch: _GroupWatch) -> None:
        now = self._servers.clock()
        primary = group.primary(now)
        if primary is not None and self._is_healthy(primary):
            watch.vacant_since = watch.reason_since = None
            return
        evidence = self._evidence(group, watch, now)
        reason = reason_to_promote(evidence)
        if primary is not None and evidence.failures and not reason:
            self._probe(primary, watch, now)
        if not reason:
            watch.reason_since = None
            return
        if watch.reason_since is None:
            watch.reason_since = now
        has_priority = now < watch.priority_until
        wait_s = 0.0 if has_priority else RANK_DELAY_S * self._rank(group.name)
        if now < watch.hold_until or now - watch.reason_since < wait_s:
            return
        if primary is not None and primary.is_evacuated and not group.replicas(now):
            # All servers are evacuated; the claim in the store need not be read.
            watch.hold_until = now + SETTLE_S
            return
        watch.is_replacing = True
        self._spawn(self._replace(group, watch, _replacement(primary), reason), watch)

    def _reason_to_wait(self) -> str:
        now = self._servers.clock()
        return reason_to_wait(
            Knowledge(
                peers_know_more=self._peers_know_more(),
                since_pause_s=self._pauses.since_pause_s(now),
                report_s=self._peers.report_interval_s,
            )
        )

    def _evidence(self, group: GroupState, watch: _GroupWatch, now: float) -> Evidence:
        """Collect what this instance and its peers know of a group's primary."""
        primary = group.primary(now)
        majority = self._peers.has_majority
        if primary is None:
            if watch.vacant_since is None:
                watch.vacant_since = now
            return Evidence(
                is_known=False,
                vacant_s=now - watch.vacant_since,
                has_majority=majority,
            )
        watch.vacant_since = None
        since = primary.failing_since
        return Evidence(
            is_known=True,
            is_draining=primary.endpoint.is_draining,
            is_evacuated=primary.is_evacuated,
            is_listed=primary.unlisted_at is None,
            silent_s=now - since if since is not None else 0.0,
            failures=primary.failures,
            peer_heard_s=self._peer_heard_s(group.name, primary.id, now),
            statements_failing_s=self._statements_failing_s(primary, now),
            report_s=self._peers.report_interval_s,
            has_majority=majority,
        )

    def _statements_failing_s(self, primary: Server, now: float) -> float:
        since = primary.statements_failing_since
        if not self._judges_statements or since is None or not primary.fails_statements:
            return 0.0
        return now - since

    def _is_healthy(self, primary: Server) -> bool:
        fails = self._judges_statements and primary.fails_statements
        is_answering = primary.failing_since is None and not fails
        is_leaving = primary.endpoint.is_draining or primary.is_evacuated
        return is_answering and not is_leaving

    def _peer_heard_s(self, group: str, server_id: str, now: float) -> float:
        heard = self._heard_by_peers(group, server_id, now)
        return min((age_s for _, age_s in heard), default=float("inf"))

    def _heard_by_peers(
        self, group: str, server_id: str, now: float
    ) -> Iterator[tuple[str, float]]:
        """Yield each live peer that reported an answer of a primary, and its age."""
        checksum = _checksum(group, server_id)
        for name in self._peers.live_instances:
            peer = self._peers.peers.get(name)
            if peer is None or peer.report.heard is None:
                continue
            age_ms = peer.report.heard.get(checksum)
            if age_ms is not None:
                yield name, now - peer.heard_received_at + age_ms / 1000

    def _is_away(self, instance: str) -> bool:
        """Whether an instance is silent or stopping, so that others do its duties."""
        if instance == self._name:
            return False
        is_live = instance in self._peers.live_instances
        return not is_live or instance not in self._peers.serving

    def _rank(self, group: str) -> int:
        order = rendezvous_order(group, self._peers.controllers)
        return order.index(self._name) if self._name in order else len(order)

    def _probe(self, primary: Server, watch: _GroupWatch, now: float) -> None:
        if now - watch.probed_at < PROBE_INTERVAL_S or now < primary.retry_at:
            return
        watch.probed_at = now
        self._spawn(self._try_connect(primary), None)

    async def _try_connect(self, server: Server) -> None:
        customer = self._any_customer()
        endpoint = server.endpoint
        try:
            conn = await self._servers.connector.open(
                endpoint.id, endpoint.group, endpoint.address, customer
            )
        except OpenRefusedError as exc:
            now = self._servers.clock()
            if exc.refusal is None:
                server.record_failure(now, str(exc))
            else:
                self._record_accepted(server, now)
            return
        self._record_accepted(server, self._servers.clock())
        conn.close()

    def _record_accepted(self, server: Server, now: float) -> None:
        if self._judges_statements:
            server.record_accepted(now)
        else:
            server.record_answer(now)

    def _any_customer(self) -> str:
        known = self._deployment()
        return next(iter(known.customers), "-") if known is not None else "-"

    async def _replace(
        self, group: GroupState, watch: _GroupWatch, decided: Replacement, reason: str
    ) -> None:
        """Claim the replacement of a primary and have the platform carry it out.

        Each step may take seconds, in which another instance acts, the primary returns
        or this process is paused; so the decision is checked after each.
        """
        stored = await self._claims.read(group.name)
        if stored is None:
            return
        if stored.claim is not None:
            group.history.merge(Position(*pair) for pair in stored.claim.terms)
        wait_s = self._claims.wait_s(stored, decided)
        if stored.claim is not None and wait_s > 0:
            holder = stored.claim.holder
            emit(PROMOTION_SKIPPED, group=group.name, holder=holder, wait_s=wait_s)
            watch.hold_until = self._servers.clock() + min(wait_s, RECHECK_INTERVAL_S)
            return
        successor = await self._choose_successor(group, decided.former)
        stop_reason = self._reason_to_stop(group, watch, decided)
        if successor is None:
            stop_reason = stop_reason or "no server is eligible"
            watch.hold_until = self._servers.clock() + SETTLE_S
        if stop_reason or successor is None:
            emit(PROMOTION_SKIPPED, group=group.name, reason=stop_reason)
            return
        if successor.is_primary:
            # Another instance was quicker, or the registry comes from an old copy.
            emit(
                PROMOTION_SKIPPED,
                group=group.name,
                reason=f"{successor.id} is the primary already",
            )
            group.record_promotion(successor.id, decided.since.next())
            watch.hold_until = self._servers.clock() + SETTLE_S
            return
        held = await self._claims.make(
            stored, decided, successor.id, _term_pairs(group)
        )
        if held is None:
            return
        emit(
            PROMOTION_CLAIMED,
            group=group.name,
            reason=reason,
            former=decided.former,
            successor=successor.id,
            received=f"{successor.received.term}.{successor.received.offset}",
            token=held.claim.token,
        )
        _record_claim(watch, decided, held)
        await self._request_promotion(group, watch, held, successor.started_ms)

    def _reason_to_stop(
        self,
        group: GroupState,
        watch: _GroupWatch,
        decided: Replacement,
        successor: str = "",
        started_ms: int = 0,
    ) -> str:
        """Return why a replacement must not go on, empty if it may.

        Args:
            group: The group.
            watch: The progress of its failover.
            decided: The replacement.
            successor: The id of the server to promote, empty if none is chosen yet.
            started_ms: When that server had started when it was chosen.
        """
        found = _replacement(group.find_primary(self._servers.clock()))
        return reason_to_stop(
            decided,
            Situation(
                primary=found.former,
                since=found.since,
                is_due=self._is_due(group, watch),
                wait_reason=self._reason_to_wait(),
                successor_fault=(
                    _successor_fault(group, successor, started_ms) if successor else ""
                ),
            ),
        )

    def _is_due(self, group: GroupState, watch: _GroupWatch) -> bool:
        now = self._servers.clock()
        primary = group.primary(now)
        if primary is not None and self._is_healthy(primary):
            return False
        return bool(reason_to_promote(self._evidence(group, watch, now)))

    async def _request_promotion(
        self, group: GroupState, watch: _GroupWatch, held: HeldClaim, started_ms: int
    ) -> None:
        claim = held.claim
        result = await self._call_platform(group, watch, held, started_ms)
        emit(
            PROMOTION_ENDED,
            group=group.name,
            successor=claim.successor,
            token=claim.token,
            outcome=result.outcome,
            reason=result.stop_reason,
        )
        now = self._servers.clock()
        primary = group.find_primary(now)
        if result.outcome is PromotionOutcome.ACCEPTED:
            group.record_promotion(claim.successor, claim.primary_since.next())
            watch.hold_until = now + SETTLE_S
            self._spawn(self._record_term(group, claim), None)
        elif primary is not None and primary.id == claim.successor:
            # The answer was lost, but the registry shows the promotion.
            self._spawn(self._record_term(group, claim), None)
        elif result.is_unsent:
            # Others wait for the lease's length after an earlier call of this instance.
            is_unused = now - watch.called_at >= LEASE_S
            terms = _term_pairs(group)
            await self._claims.end(group.name, claim, terms, is_unused=is_unused)
            if is_unused and not result.stop_reason:
                self._let_others_try(watch, HAND_OVER_S)
        elif not result.is_answered and watch.claims_in_a_row >= MAX_CLAIMS_IN_A_ROW:
            watch.claims_in_a_row = 0
            self._let_others_try(watch, LEASE_S + HAND_OVER_S)

    def _let_others_try(self, watch: _GroupWatch, hold_s: float) -> None:
        if len(self._peers.controllers) > 1:
            watch.hold_until = self._servers.clock() + hold_s

    async def _call_platform(
        self, group: GroupState, watch: _GroupWatch, held: HeldClaim, started_ms: int
    ) -> _CallResult:
        """Request a promotion until there is an answer or the right to it ends."""
        claim, clock = held.claim, self._servers.clock
        stop_reason = ""

        def time_left() -> float:
            nonlocal stop_reason
            stop_reason = self._reason_to_stop(
                group, watch, claim.replacement, claim.successor, started_ms
            )
            now = clock()
            may_call = not stop_reason and held.tenure.may_call(now)
            return held.tenure.left_s(now) if may_call else 0.0

        began_at = clock()
        is_unsent = True
        while True:
            outcome = await self._promotion_client.promote(
                group.name,
                claim.successor,
                holder=self._name,
                token=claim.token,
                time_left=time_left,
            )
            if outcome is not PromotionOutcome.NOT_SENT:
                is_unsent = False
                watch.called_at = clock()
            result = _CallResult(outcome, is_unsent, stop_reason)
            if result.is_answered:
                return result
            await asyncio.sleep(CHECK_INTERVAL_S)
            is_handing_over = is_unsent and clock() - began_at >= HAND_OVER_S
            if is_handing_over or time_left() <= 0:
                return _CallResult(outcome, is_unsent, stop_reason)

    async def _record_term(self, group: GroupState, claim: Claim) -> None:
        """Keep in the store at which position the new primary's term has begun.

        An instance that starts later needs it to recognize a discarded log.
        """
        server = group.servers.get(claim.successor)
        status = await self._await_leader(server) if server is not None else None
        if status is None:
            emit(TERM_UNKNOWN, group=group.name, successor=claim.successor)
        else:
            group.history.record_start(status.term, status.received)
        await self._claims.end(group.name, claim, _term_pairs(group), is_unused=False)

    async def _await_leader(self, server: Server) -> ServerStatus | None:
        """Query a promoted server until it leads; None if it does not in time.

        The platform answers before that, and the first commits follow at once.
        """
        until = self._servers.clock() + TERM_WAIT_S
        while self._servers.clock() < until:
            conn = await self._open(server)
            try:
                while conn is not None and self._servers.clock() < until:
                    status = await self._servers.connector.fetch_status(conn)
                    if status is None:
                        break
                    if status.is_primary:
                        return status
                    await asyncio.sleep(TERM_CHECK_INTERVAL_S)
            finally:
                if conn is not None:
                    conn.close()
            await asyncio.sleep(TERM_CHECK_INTERVAL_S)
        return None

    async def _choose_successor(
        self, group: GroupState, former_id: str
    ) -> Successor | None:
        now = self._servers.clock()
        former = group.servers.get(former_id)
        servers = [s for s in group.replicas(now) if s is not former]
        found = await asyncio.gather(
            *(self._query_candidate(s, former) for s in servers)
        )
        return choose_successor(
            (
                s
                for s in found
                if s is not None and not _successor_fault(group, s.id, s.started_ms)
            ),
            group.history,
        )

    async def _query_candidate(
        self, server: Server, former: Server | None
    ) -> Successor | None:
        status = await self._fetch_status(server)
        if status is None:
            return None
        endpoint = server.endpoint
        is_same_domain = (
            former is not None
            and former.endpoint.failure_domain == endpoint.failure_domain
        )
        return Successor(
            server.id,
            status.received,
            is_same_domain,
            status.is_primary,
            endpoint.started_ms,
        )

    async def _fetch_status(self, server: Server) -> ServerStatus | None:
        conn = await self._open(server)
        if conn is None:
            return None
        try:
            return await self._servers.connector.fetch_status(conn)
        finally:
            conn.close()

    async def _open(self, server: Server) -> ServerConnection | None:
        endpoint = server.endpoint
        try:
            conn = await self._servers.connector.open(
                endpoint.id, endpoint.group, endpoint.address, self._any_customer()
            )
        except OpenRefusedError as exc:
            emit(CONNECTION_REFUSED, server=server.id, reason=str(exc))
            return None
        if server.is_evacuated:
            conn.close()
            return None
        return conn

    def _spawn(self, coro: object, watch: _GroupWatch | None) -> None:
        task = asyncio.ensure_future(coro)  # type: ignore[call-overload]
        self._tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if watch is not None:
                watch.is_replacing = False

        task.add_done_callback(done)


def _replacement(primary: Server | None) -> Replacement:
    if primary is None:
        return Replacement("")
    return Replacement(primary.id, primary.primary_since)


def _record_claim(watch: _GroupWatch, decided: Replacement, held: HeldClaim) -> None:
    """Record an own claim, for which the others wait."""
    is_next = watch.claimed == decided
    watch.claims_in_a_row = watch.claims_in_a_row + 1 if is_next else 1
    watch.claimed = decided
    watch.priority_until = held.tenure.began_at + TENURE_S + LEASE_S


def _successor_fault(group: GroupState, server_id: str, started_ms: int) -> str:
    """Return why a chosen server cannot be promoted any more, empty if it can."""
    server = group.servers.get(server_id)
    if server is None or server.unlisted_at is not None:
        return f"{server_id} has left"
    if server.endpoint.started_ms != started_ms:
        return f"{server_id} has restarted without its log"
    if server.is_evacuated:
        return f"the failure domain of {server_id} is being evacuated"
    return f"{server_id} is about to leave" if server.endpoint.is_draining else ""


def _term_pairs(group: GroupState) -> tuple[tuple[int, int], ...]:
    return tuple((p.term, p.offset) for p in group.history.positions)


def _checksum(group: str, server_id: str) -> int:
    return zlib.crc32(f"{group}\0{server_id}".encode())
