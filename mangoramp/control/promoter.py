"""Replaces primaries, one instance at a time under a fencing token."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from returns.result import Success

from ..events import (
    CONNECTION_REFUSED,
    PROMOTION_CLAIMED,
    PROMOTION_ENDED,
    PROMOTION_LEFT,
    emit,
)
from ..platform.client import PlatformClient
from ..platform.promotion import PromotionClient, PromotionOutcome
from ..policy._rendezvous import ranked
from ..policy.isolation import Reach, is_cut_off, is_lost
from ..policy.succession import (
    Evidence,
    Successor,
    choose_successor,
    reason_to_promote,
)
from ..serving.command import OpenRefusedError
from ..serving.servers import Servers
from .deployment import Deployment
from .group import GroupState, Server
from .peers import Peers

KIND = "mangoramp-promotion"
TICK_S = 0.1  # a tenth of the shortest silence that counts
RANK_S = 0.2  # an order and its answer; lower ranks wait for the higher ones' claims
CLAIM_S = 3.0  # an order, its repetitions and the server's change of role
ORDERS = 3  # an order whose answer was lost is repeated, it changes nothing twice
SETTLE_S = 1.0  # after an order, until the server shows its new role
HEARD_KEEP_S = 30.0  # an older answer proves nothing to a peer
PROBE_S = 0.4  # between two attempts at a silent primary without callers


class Claim(msgspec.Struct, frozen=True):
    """Who replaces a group's primary, as the store holds it.

    Attributes:
        holder: The instance.
        token: Its fencing token; rises with each claim.
        former: The server that is replaced, empty if there was none.
        former_since: The registry's revision at which that server began to lead.
        successor: The server that is to lead.
    """

    holder: str
    token: int
    former: str
    former_since: int
    successor: str


@dataclass(slots=True)
class _Watchfulness:
    """What one group's replacement has come to."""

    vacant_since: float | None = None
    reason_since: float | None = None
    claim_seen: tuple[int, float] = (0, float("-inf"))
    quiet_until: float = float("-inf")
    probed_at: float = float("-inf")
    working: bool = False


class Promoter:
    """Watches the primaries of all groups.

    Args:
        name: This instance.
        servers: The servers.
        peers: The other instances.
        client: The store.
        orders: Orders promotions.
        deployment: Tells the configuration in force.
    """

    def __init__(
        self,
        name: str,
        servers: Servers,
        peers: Peers,
        client: PlatformClient,
        orders: PromotionClient,
        deployment: Callable[[], Deployment | None],
    ) -> None:
        self._name = name
        self._servers = servers
        self._peers = peers
        self._client = client
        self._orders = orders
        self._deployment = deployment
        self._watched: dict[str, _Watchfulness] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._tasks:
                task.cancel()

    def heard(self) -> dict[int, int]:
        """By the checksum of group and primary, the milliseconds since it was heard."""
        now = self._servers.clock()
        found = {}
        for group in self._servers.groups.values():
            primary = group.primary(now)
            if primary is None or now - primary.heard_at > HEARD_KEEP_S:
                continue
            age_ms = round((now - primary.heard_at) * 1000)
            found[_checksum(group.name, primary.id)] = age_ms
        return found

    @property
    def is_cut_off(self) -> bool:
        """Whether callers are better off at other instances."""
        return is_cut_off([self.is_lost(g) for g in self._watched])

    def is_lost(self, group: str) -> bool:
        """Whether a group's primary is out of reach here, though not for others."""
        now = self._servers.clock()
        primary = self._servers.group(group).primary(now)
        if primary is None or primary.failing_since is None:
            return False
        reach = Reach(
            silent_s=now - primary.failing_since,
            failures=primary.failures,
            peer_heard_s=self._peer_heard_s(group, primary.id, now),
        )
        return is_lost(reach, majority=self._peers.has_majority)

    def _tick(self) -> None:
        known = self._deployment()
        if known is None:
            return
        for name in known.groups:
            group = self._servers.group(name)
            if not group.servers:
                continue
            watched = self._watched.setdefault(name, _Watchfulness())
            if not watched.working:
                self._look(group, watched)

    def _look(self, group: GroupState, watched: _Watchfulness) -> None:
        now = self._servers.clock()
        primary = group.primary(now)
        if primary is not None and _is_well(primary):
            watched.vacant_since = watched.reason_since = None
            return
        evidence = self.evidence(group, watched, now)
        reason = reason_to_promote(evidence)
        if primary is not None and evidence.failures and not reason:
            self._probe(primary, watched, now)
        if not reason:
            watched.reason_since = None
            return
        if watched.reason_since is None:
            watched.reason_since = now
        wait_s = RANK_S * self._rank(group.name)
        if now < watched.quiet_until or now - watched.reason_since < wait_s:
            return
        watched.working = True
        self._start(self._replace(group, watched, primary, reason), watched)

    def evidence(
        self, group: GroupState, watched: _Watchfulness, now: float
    ) -> Evidence:
        """What is known of a group's primary."""
        primary = group.primary(now)
        majority = self._peers.has_majority
        if primary is None:
            if watched.vacant_since is None:
                watched.vacant_since = now
            return Evidence(
                is_known=False,
                vacant_s=now - watched.vacant_since,
                has_majority=majority,
            )
        watched.vacant_since = None
        since = primary.failing_since
        return Evidence(
            is_known=True,
            is_draining=primary.endpoint.is_draining,
            is_listed=primary.unlisted_at is None,
            silent_s=now - since if since is not None else 0.0,
            failures=primary.failures,
            peer_heard_s=self._peer_heard_s(group.name, primary.id, now),
            report_s=self._peers.quiet_s,
            has_majority=majority,
        )

    def _peer_heard_s(self, group: str, server_id: str, now: float) -> float:
        ages = [float("inf")]
        for name in self._peers.heard:
            peer = self._peers.peers.get(name)
            if peer is None or peer.report.heard is None:
                continue
            age_ms = peer.report.heard.get(_checksum(group, server_id))
            if age_ms is not None:
                ages.append(now - peer.primaries_at + age_ms / 1000)
        return min(ages)

    def _rank(self, group: str) -> int:
        return ranked(group, self._peers.heard).index(self._name)

    def _probe(self, primary: Server, watched: _Watchfulness, now: float) -> None:
        if now - watched.probed_at < PROBE_S or now < primary.retry_at:
            return
        watched.probed_at = now
        self._start(self._try(primary), None)

    async def _try(self, server: Server) -> None:
        customer = self._any_customer()
        endpoint = server.endpoint
        try:
            conn = await self._servers.connector.open(
                endpoint.id, endpoint.group, endpoint.address, customer
            )
        except OpenRefusedError as exc:
            now = self._servers.clock()
            if exc.refusal is None:
                server.failed(now, str(exc))
            else:
                server.answered(now)
            return
        server.answered(self._servers.clock())
        conn.close()

    def _any_customer(self) -> str:
        known = self._deployment()
        return next(iter(known.customers), "-") if known is not None else "-"

    async def _replace(
        self,
        group: GroupState,
        watched: _Watchfulness,
        former: Server | None,
        reason: str,
    ) -> None:
        found = await self._client.get(KIND, group.name, Claim)
        if not isinstance(found, Success):
            reason = found.failure().message
            emit(PROMOTION_LEFT, group=group.name, reason=reason)
            return
        known = found.unwrap()
        now = self._servers.clock()
        since = former.leads_since if former is not None else 0
        former_id = former.id if former is not None else ""
        claim = known.value
        if claim is not None and self._is_under_way(
            claim, known.version, watched, former_id, since, now
        ):
            emit(PROMOTION_LEFT, group=group.name, holder=claim.holder)
            return
        successor = await self._successor(group, former)
        if successor is None:
            emit(PROMOTION_LEFT, group=group.name, reason="no server may succeed")
            watched.quiet_until = self._servers.clock() + SETTLE_S
            return
        mine = Claim(
            holder=self._name,
            token=claim.token + 1 if claim is not None else 1,
            former=former_id,
            former_since=since,
            successor=successor.id,
        )
        put = await self._client.put(KIND, group.name, mine, version=known.version)
        if not isinstance(put, Success) or not put.unwrap():
            # A lost answer is found out by the next look at the claim.
            emit(PROMOTION_LEFT, group=group.name, reason="the claim was not made")
            return
        emit(
            PROMOTION_CLAIMED,
            group=group.name,
            reason=reason,
            former=former_id,
            successor=successor.id,
            received=f"{successor.received.term}.{successor.received.offset}",
            token=mine.token,
        )
        await self._order(group, watched, mine)

    def _is_under_way(
        self,
        claim: Claim,
        version: int,
        watched: _Watchfulness,
        former: str,
        since: int,
        now: float,
    ) -> bool:
        if (claim.former, claim.former_since) != (former, since):
            return False
        if watched.claim_seen[0] != version:
            watched.claim_seen = (version, now)
        watched.quiet_until = now + TICK_S
        return now - watched.claim_seen[1] < CLAIM_S

    async def _order(
        self, group: GroupState, watched: _Watchfulness, claim: Claim
    ) -> None:
        outcome = PromotionOutcome.UNKNOWN
        for _ in range(ORDERS):
            outcome = await self._orders.promote(
                group.name, claim.successor, holder=self._name, token=claim.token
            )
            if outcome in (PromotionOutcome.ACCEPTED, PromotionOutcome.REFUSED):
                break
            await asyncio.sleep(TICK_S)
        emit(
            PROMOTION_ENDED,
            group=group.name,
            successor=claim.successor,
            token=claim.token,
            outcome=outcome,
        )
        if outcome is PromotionOutcome.ACCEPTED:
            group.promoted(claim.successor, claim.former_since + 1)
            watched.quiet_until = self._servers.clock() + SETTLE_S

    async def _successor(
        self, group: GroupState, former: Server | None
    ) -> Successor | None:
        now = self._servers.clock()
        servers = [s for s in group.replicas(now) if s is not former]
        found = await asyncio.gather(*(self._received(s, former) for s in servers))
        return choose_successor(s for s in found if s is not None)

    async def _received(
        self, server: Server, former: Server | None
    ) -> Successor | None:
        endpoint = server.endpoint
        try:
            conn = await self._servers.connector.open(
                endpoint.id, endpoint.group, endpoint.address, self._any_customer()
            )
        except OpenRefusedError as exc:
            emit(CONNECTION_REFUSED, server=server.id, reason=str(exc))
            return None
        try:
            status = await self._servers.connector.fetch_status(conn)
        finally:
            conn.close()
        if status is None:
            return None
        near = (
            former is not None
            and former.endpoint.failure_domain == endpoint.failure_domain
        )
        return Successor(server.id, status.received, near)

    def _start(self, work: object, watched: _Watchfulness | None) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if watched is not None:
                watched.working = False

        task.add_done_callback(done)


def _checksum(group: str, server_id: str) -> int:
    return zlib.crc32(f"{group}\0{server_id}".encode())


def _is_well(primary: Server) -> bool:
    return primary.failing_since is None and not primary.endpoint.is_draining
