"""Membership of this instance in its failure domain, and tracking of other domains."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time
from collections.abc import Callable

from returns.result import Success

from .catalog import KIND_DOMAIN, KIND_INSTANCE, Catalog
from .distribution import Distribution
from .errors import Code, Fault, Step
from .events import (
    FAILURE_DOMAIN_SILENT,
    HOMES_TRANSFERRED,
    MEMBER_LAGGING,
    RELAY_LEASE_ACQUIRED,
    RELAY_LEASE_LOST,
    VIEW_CHANGED,
    emit,
)
from .objects import DomainObject, InstanceObject
from .platform.client import PlatformClient
from .policy._rendezvous import rendezvous
from .policy.domain import MEMBER_EXPIRY_S, DomainParticipant
from .policy.domain_monitor import DomainMonitor
from .policy.lease import LeaseRecord, candidates
from .policy.membership import BEATS_PER_GRANT, MembershipView, lease_ttl
from .proxies.links import Links
from .proxies.messages import Granted, Heartbeat, Message, Refused
from .settings import ProxySettings

KIND_LEASE = "lease"
LEASE_POLLS_PER_TTL = 4
BEAT_TIMEOUT_S = 1.0
MIN_BEAT_INTERVAL_S = 0.05
UNSETTLED_POLL_S = 0.2
MONITOR_INTERVAL_S = 1.0
INTERVAL_JITTER = 0.1
LAG_WARNING_S = 3.0
LEAVE_TIMEOUT_S = 5.0
NUMBER_BITS = 32  # of a view's number within a stamp


class Membership:
    """Takes part in a failure domain: heartbeats, grants and the relay's lease.

    Args:
        cfg: The proxy's settings.
        client: Client of the platform.
        catalog: The objects known from the platform.
        links: Links to the other proxies, for control messages only.
        distribution: Receives the sources to follow for changes.
        rng: Random source of the jitter.
        clock: Returns the current time in seconds.

    Attributes:
        on_change: Called after each grant, as homes may have moved.
    """

    def __init__(
        self,
        cfg: ProxySettings,
        client: PlatformClient,
        catalog: Catalog,
        links: Links,
        distribution: Distribution,
        *,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        now = clock()
        incarnation = os.urandom(4).hex()
        self.participant = DomainParticipant(
            cfg.name, incarnation, cfg.peer_address, now=now
        )
        self.on_change: Callable[[], None] = lambda: None
        self._cfg = cfg
        self._client = client
        self._catalog = catalog
        self._links = links
        self._distribution = distribution
        self._rng = rng or random.Random()
        self._clock = clock
        self._lease_name = f"relay.{cfg.failure_domain}"
        self._last_grant_at = float("-inf")
        self._relay_since = now
        self._suspected_relay = ""
        self._leaving = False
        self._left = asyncio.Event()
        self._released = asyncio.Event()
        self._settled = asyncio.Event()
        self._beat_due = asyncio.Event()
        self._lease_due = asyncio.Event()
        self._placement: tuple[MembershipView, bool, bool] | None = None
        self._domain_monitor = DomainMonitor()
        self._lost_domains: tuple[str, ...] = ()
        self._lagging_since: dict[str, float] = {}
        distribution.relay_stamp = self._view_stamp
        distribution.on_stamp_change = self._beat_due.set

    @property
    def view(self) -> MembershipView:
        """The live members of this failure domain."""
        return self.participant.view

    @property
    def relay(self) -> str:
        """The name of this failure domain's relay, empty if none is known."""
        rec = self.participant.lease.record
        return rec.holder if rec is not None else ""

    @property
    def relay_address(self) -> str:
        """The relay's peer address as a pynng URL, empty if none is known."""
        rec = self.participant.lease.record
        return rec.address if rec is not None else ""

    def holds(self, group: str, now: float) -> bool:
        """Whether this process is the home of a group at a time."""
        return self.participant.holds(group, now)

    def live_instances(self, domain: str) -> tuple[str, ...]:
        """Return the live instances of one failure domain."""
        if domain == self._cfg.failure_domain and self.view.members:
            return self.view.members
        if domain in self._lost_domains:
            return ()
        known = self._catalog.domains.get(domain)
        if known is not None:
            return known.members
        return tuple(
            instance.name
            for instance in self._catalog.instances.values()
            if instance.failure_domain == domain and not instance.leaving
        )

    def check_placement_change(self) -> bool:
        """Return whether homes may have moved since the previous call."""
        member, before = self.participant.member, self._placement
        self._placement = (
            member.view,
            member.settled,
            member.has_active_grant(self._clock()),
        )
        return self._placement != before

    async def wait_until_settled(self) -> None:
        """Wait until this member has a settled view of the failure domain."""
        await self._settled.wait()

    async def run(self) -> None:
        """Run the lease, heartbeat and monitoring loops until cancelled."""
        await asyncio.gather(self._run_lease(), self._run_beats(), self._run_monitor())

    async def leave(self) -> bool:
        """Hand over the homes, and release the relay's lease if it is held.

        Returns:
            Whether the handover was confirmed before the timeout.
        """
        self._leaving = True
        self._beat_due.set()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._left.wait()
                await self._released.wait()
        except TimeoutError:
            return False
        emit(HOMES_TRANSFERRED, view=self.view.number, members=self.view.members)
        return True

    async def handle_heartbeat(self, req: Heartbeat) -> Message:
        """Answer a member's heartbeat with a grant; refuse it if not the relay."""
        known = self._view_stamp()
        grant = self.participant.handle_beat(req.beat, self._clock())
        if self._view_stamp() != known:
            self._beat_due.set()
            self._catalog.notify_change()
        if req.beat.sender not in self.participant.lease.recorded_members:
            self._lease_due.set()
        if grant is None:
            message = "this proxy is not the relay of its failure domain"
            fault = Fault(Code.NO_HOME, message, Step.FORWARD, retry_after_s=0.5)
            return Refused(fault=fault)
        return Granted(grant=grant, lost=self._lost_domains)

    def _view_stamp(self) -> int:
        relay, now = self.participant.relay, self._clock()
        if relay is None:
            return 0
        view = relay.view
        return (view.token << NUMBER_BITS | view.number) * 2 + relay.is_settled(now)

    async def _run_lease(self) -> None:
        while True:
            self._lease_due.clear()
            if self._should_poll_lease():
                await self._acquire_or_renew_lease()
            leaving = self._left.is_set()
            await _wait_for(
                self._lease_due, UNSETTLED_POLL_S if leaving else self._poll_interval()
            )

    def _should_poll_lease(self) -> bool:
        rec = self.participant.lease.record
        if self._left.is_set():
            return not self._released.is_set()
        if rec is None or self._cfg.name in rec.candidates:
            return True
        if self._cfg.name in candidates(self.relay, self.view.members):
            return True
        silent_s = self._clock() - self._last_grant_at
        return silent_s > 2 * self._beat_interval() + self._rng.uniform(0, 1)

    async def _acquire_or_renew_lease(self) -> None:
        if not await self._read_lease():
            return
        if self._left.is_set():
            await self._release_lease()
            return
        listed = self._catalog.instances
        lease_record = self.participant.next_lease_record(self._clock(), listed=listed)
        if lease_record is None:
            return
        await self._write_lease(lease_record)
        await self._read_lease()

    async def _read_lease(self) -> bool:
        found = await self._client.get(KIND_LEASE, self._lease_name, LeaseRecord)
        if not isinstance(found, Success):
            return False
        was_relay, relay = self.participant.relay is not None, self.relay
        read = found.unwrap()
        if self.participant.observe(read.version, read.value, self._clock()):
            self._relay_since = self._clock()
            emit(
                RELAY_LEASE_ACQUIRED,
                domain=self._cfg.failure_domain,
                version=read.version,
            )
        if was_relay and self.participant.relay is None:
            emit(RELAY_LEASE_LOST, domain=self._cfg.failure_domain, holder=self.relay)
        if self.relay != relay:
            self._suspected_relay = ""
            self._beat_due.set()
            self._assign_sources()
        return True

    async def _write_lease(self, record: LeaseRecord) -> None:
        version = self.participant.lease.version
        await self._client.put(KIND_LEASE, self._lease_name, record, version=version)

    async def _release_lease(self) -> None:
        relay = self.participant.relay
        if relay is None:
            self._released.set()
            return
        if not relay.has_notified_members():
            return
        released = self.participant.release(self._clock())
        if released is not None:
            await self._write_lease(released)
            self._lease_due.set()

    async def _run_beats(self) -> None:
        while True:
            self._beat_due.clear()
            has_left = self._left.is_set() and self.participant.relay is None
            if self.relay and not has_left:
                await self._beat_once(self.relay)
            else:
                await _wait_for(self._beat_due, UNSETTLED_POLL_S)
                continue
            if not self.participant.member.settled:
                await asyncio.sleep(MIN_BEAT_INTERVAL_S)
                await _wait_for(self._beat_due, UNSETTLED_POLL_S)
                continue
            await _wait_for(self._beat_due, self._beat_interval())

    async def _beat_once(self, relay: str) -> None:
        asked_at = self._clock()
        in_force = self._catalog.cache.newest_version
        beat = self.participant.beat(leaving=self._leaving, in_force=in_force)
        req = Heartbeat(beat=beat)
        is_own_relay = relay == self._cfg.name
        if is_own_relay:
            answer = await self.handle_heartbeat(req)
        else:
            answer = await self._call_relay(relay, req)
        if not isinstance(answer, Granted):
            self._suspect_relay(relay)
            return
        self._last_grant_at = self._clock()
        if self._suspected_relay:
            self._suspected_relay = ""
            self._assign_sources()
        if not is_own_relay:
            self._update_lost_domains(answer.lost)
        now = self._clock()
        if self.participant.apply_grant(
            answer.grant, asked_at=asked_at, now=now, mine=is_own_relay
        ):
            self._apply_view()
        self._record_settled()
        self.on_change()

    async def _call_relay(self, relay: str, req: Heartbeat) -> Message:
        called = await self._links.call(relay, req, timeout_s=BEAT_TIMEOUT_S)
        if isinstance(called, Success):
            answer: Message = called.unwrap()
            return answer
        fault = called.failure()
        if fault.code is Code.TIMEOUT:
            # A connection may stay silent forever although a new one would work.
            self._links.reset(relay)
        return Refused(fault=fault)

    def _apply_view(self) -> None:
        view = self.view
        emit(
            VIEW_CHANGED,
            domain=self._cfg.failure_domain,
            relay=self.relay,
            token=view.token,
            number=view.number,
            members=view.members,
        )
        self._beat_due.set()
        self._assign_sources()

    def _record_settled(self) -> None:
        if not self.participant.member.settled:
            return
        self._settled.set()
        if self._leaving and self._cfg.name not in self.view.members:
            self._left.set()
            self._lease_due.set()

    def _suspect_relay(self, relay: str) -> None:
        if self._suspected_relay != relay:
            self._suspected_relay = relay
            self._assign_sources()

    def _assign_sources(self) -> None:
        own_name, relay = self._cfg.name, self.relay
        others = [name for name in self.view.members if name != relay]
        standby = rendezvous(self._cfg.failure_domain, others) or ""
        if relay == own_name:
            sources = self._remote_sources()
        elif self._suspected_relay == relay:
            sources = (standby, relay)
        else:
            sources = (relay, standby)
        self._distribution.assign(
            watch=own_name in (relay, standby),
            sources=tuple(name for name in sources if name and name != own_name),
        )

    def _remote_sources(self) -> tuple[str, ...]:
        own_name = self._cfg.name
        domains = {i.failure_domain for i in self._catalog.instances.values()}
        domains.discard(self._cfg.failure_domain)
        picks = (
            rendezvous(own_name, self.live_instances(domain))
            for domain in sorted(domains)
        )
        found = [name for name in picks if name is not None]
        first = rendezvous(own_name, found)
        others = [name for name in found if name != first]
        second = rendezvous(own_name, others)
        return tuple(name for name in (first, second) if name is not None)

    async def _run_monitor(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * MONITOR_INTERVAL_S)
            if self.participant.relay is None:
                continue
            self._assign_sources()
            await self._publish_view()
            self._report_lag()
            await self._check_next_domain()
            await self._deregister_dead_member()

    async def _publish_view(self) -> None:
        view, name = self.view, self._cfg.failure_domain
        if not view.number or not self.participant.is_relay(self._clock()):
            return
        current = DomainObject(self._cfg.name, view.token, view.number, view.members)
        if self._catalog.domains.get(name) == current:
            return
        found = await self._client.get(KIND_DOMAIN, name, DomainObject)
        if not isinstance(found, Success):
            return
        known = found.unwrap()
        if known.value == current or (
            known.value and known.value.token > current.token
        ):
            return
        await self._client.put(KIND_DOMAIN, name, current, version=known.version)

    def _report_lag(self) -> None:
        relay, now = self.participant.relay, self._clock()
        newest = self._catalog.cache.newest_version
        if relay is None:
            return
        for name, in_force in relay.in_force.items():
            if in_force >= newest:
                self._lagging_since.pop(name, None)
            elif now - self._lagging_since.setdefault(name, now) > LAG_WARNING_S:
                emit(MEMBER_LAGGING, member=name, in_force=in_force, newest=newest)

    async def _deregister_dead_member(self) -> None:
        relay, now = self.participant.relay, self._clock()
        if relay is None or now - self._relay_since < MEMBER_EXPIRY_S:
            return
        for instance in list(self._catalog.instances.values()):
            is_local = instance.failure_domain == self._cfg.failure_domain
            if is_local and instance.name not in relay.members:
                await deregister_instance(self._client, instance.name)
                return

    async def _check_next_domain(self) -> None:
        domains = {i.failure_domain for i in self._catalog.instances.values()}
        name = self._domain_monitor.next(domains - {self._cfg.failure_domain})
        if name is None:
            return
        found = await self._client.get(KIND_LEASE, f"relay.{name}", LeaseRecord)
        if isinstance(found, Success):
            read = found.unwrap()
            ttl_s = read.value.ttl_s if read.value is not None else 0.0
            self._domain_monitor.record_lease(name, read.version, ttl_s, self._clock())
        self._update_lost_domains(self._domain_monitor.lost)

    def _update_lost_domains(self, lost: tuple[str, ...]) -> None:
        for name in set(lost) - set(self._lost_domains):
            emit(FAILURE_DOMAIN_SILENT, domain=name)
        self._lost_domains = lost

    def _beat_interval(self) -> float:
        interval = self.participant.member.grant_s / BEATS_PER_GRANT
        return interval * self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)

    def _poll_interval(self) -> float:
        ttl_s = lease_ttl(max(1, len(self.view.members)))
        return (
            ttl_s
            / LEASE_POLLS_PER_TTL
            * self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        )


async def _wait_for(event: asyncio.Event, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


async def deregister_instance(client: PlatformClient, name: str) -> None:
    """Delete an instance's object from the platform, if the platform answers."""
    found = await client.get(KIND_INSTANCE, name, InstanceObject)
    if isinstance(found, Success) and found.unwrap().value is not None:
        version = found.unwrap().version
        await client.put(KIND_INSTANCE, name, None, version=version)
