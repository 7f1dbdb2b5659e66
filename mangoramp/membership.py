"""This instance's place in its failure domain, and what it knows of the others."""

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
from .policy.domain import FORGET_S, DomainPart
from .policy.lease import LeaseRecord, candidates
from .policy.membership import BEATS_PER_GRANT, View, lease_ttl
from .policy.survey import Survey
from .proxies.links import Links
from .proxies.messages import Granted, Heartbeat, Message, Refused
from .settings import ProxySettings

KIND_LEASE = "lease"
POLLS_PER_TTL = 4
BEAT_TIMEOUT_S = 1.0
MIN_BEAT_S = 0.05
HELLO_S = 0.2
SURVEY_S = 1.0
JITTER = 0.1
LAG_S = 3.0
LEAVE_S = 5.0
STAMP_BITS = 32


class Membership:
    """Takes part in the failure domain: beats, grants, and the relay's lease.

    Args:
        cfg: The proxy's settings.
        client: The platform.
        catalog: What is known from the platform.
        links: The way to the other proxies, for control only.
        distribution: Told where changes are to come from.
        rng: Source of the jitter.
        clock: Tells the time in seconds.

    Attributes:
        on_change: Called when homes may have moved.
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
        self.part = DomainPart(cfg.name, incarnation, cfg.peer_address, now=now)
        self.on_change: Callable[[], None] = lambda: None
        self._cfg = cfg
        self._client = client
        self._catalog = catalog
        self._links = links
        self._distribution = distribution
        self._rng = rng or random.Random()
        self._clock = clock
        self._lease_name = f"relay.{cfg.failure_domain}"
        self._granted_at = float("-inf")
        self._led_since = now
        self._suspected = ""
        self._leaving = False
        self._left = asyncio.Event()
        self._released = asyncio.Event()
        self._settled = asyncio.Event()
        self._nudge = asyncio.Event()
        self._renew = asyncio.Event()
        self._place: tuple[View, bool, bool] | None = None
        self._survey = Survey()
        self._lost: tuple[str, ...] = ()
        self._lag_since: dict[str, float] = {}
        distribution.relay_stamp = self._stamp
        distribution.on_stamp = self._nudge.set

    @property
    def view(self) -> View:
        """The live members of this failure domain."""
        return self.part.view

    @property
    def relay(self) -> str:
        """The relay of this failure domain, empty if none is known."""
        rec = self.part.lease.record
        return rec.holder if rec is not None else ""

    @property
    def relay_address(self) -> str:
        """Where the relay is reached, as a pynng URL."""
        rec = self.part.lease.record
        return rec.address if rec is not None else ""

    def holds(self, group: str, now: float) -> bool:
        """Whether this process is home of a group now."""
        return self.part.holds(group, now)

    def live_in(self, domain: str) -> tuple[str, ...]:
        """The live instances of one failure domain."""
        if domain == self._cfg.failure_domain and self.view.members:
            return self.view.members
        if domain in self._lost:
            return ()
        known = self._catalog.domains.get(domain)
        if known is not None:
            return known.members
        return tuple(
            instance.name
            for instance in self._catalog.instances.values()
            if instance.failure_domain == domain and not instance.leaving
        )

    def has_moved(self) -> bool:
        """Whether homes may have moved since this was last asked."""
        member, before = self.part.member, self._place
        self._place = (member.view, member.settled, member.holds_any(self._clock()))
        return self._place != before

    async def ready(self) -> None:
        """Wait until a settled view of the failure domain is known."""
        await self._settled.wait()

    async def run(self) -> None:
        """Take part until cancelled."""
        await asyncio.gather(self._lead(), self._beat(), self._look_around())

    async def leave(self) -> bool:
        """Hand the homes over, and the relay's lease if it is held.

        Returns:
            Whether others are known to have taken over.
        """
        self._leaving = True
        self._nudge.set()
        try:
            async with asyncio.timeout(LEAVE_S):
                await self._left.wait()
                await self._released.wait()
        except TimeoutError:
            return False
        emit(HOMES_TRANSFERRED, view=self.view.number, members=self.view.members)
        return True

    async def hear(self, req: Heartbeat) -> Message:
        """Answer a member's beat, if this process is the relay."""
        known = self._stamp()
        grant = self.part.hear(req.beat, self._clock())
        if self._stamp() != known:
            self._nudge.set()
            self._catalog.wake()
        if req.beat.sender not in self.part.lease.recorded:
            self._renew.set()
        if grant is None:
            message = "this proxy is not the relay of its failure domain"
            fault = Fault(Code.NO_HOME, message, Step.FORWARD, retry_after_s=0.5)
            return Refused(fault=fault)
        return Granted(grant=grant, lost=self._lost)

    def _stamp(self) -> int:
        relay, now = self.part.relay, self._clock()
        if relay is None:
            return 0
        view = relay.view
        return (view.token << STAMP_BITS | view.number) * 2 + relay.is_settled(now)

    async def _lead(self) -> None:
        while True:
            self._renew.clear()
            if self._needs_lease():
                await self._hold_lease()
            leaving = self._left.is_set()
            await _wait(self._renew, HELLO_S if leaving else self._poll_interval())

    def _needs_lease(self) -> bool:
        rec = self.part.lease.record
        if self._left.is_set():
            return not self._released.is_set()
        if rec is None or self._cfg.name in rec.candidates:
            return True
        if self._cfg.name in candidates(self.relay, self.view.members):
            return True
        silent_s = self._clock() - self._granted_at
        return silent_s > 2 * self._beat_interval() + self._rng.uniform(0, 1)

    async def _hold_lease(self) -> None:
        if not await self._read_lease():
            return
        if self._left.is_set():
            await self._release()
            return
        listed = self._catalog.instances
        wanted = self.part.wanted(self._clock(), listed=listed)
        if wanted is None:
            return
        await self._write_lease(wanted)
        await self._read_lease()

    async def _read_lease(self) -> bool:
        found = await self._client.get(KIND_LEASE, self._lease_name, LeaseRecord)
        if not isinstance(found, Success):
            return False
        led, relay = self.part.relay is not None, self.relay
        read = found.unwrap()
        if self.part.observe(read.version, read.value, self._clock()):
            self._led_since = self._clock()
            emit(
                RELAY_LEASE_ACQUIRED,
                domain=self._cfg.failure_domain,
                version=read.version,
            )
        if led and self.part.relay is None:
            emit(RELAY_LEASE_LOST, domain=self._cfg.failure_domain, holder=self.relay)
        if self.relay != relay:
            self._suspected = ""
            self._nudge.set()
            self._assign_sources()
        return True

    async def _write_lease(self, record: LeaseRecord) -> None:
        version = self.part.lease.version
        await self._client.put(KIND_LEASE, self._lease_name, record, version=version)

    async def _release(self) -> None:
        relay = self.part.relay
        if relay is None:
            self._released.set()
            return
        if not relay.is_told():
            return
        released = self.part.release(self._clock())
        if released is not None:
            await self._write_lease(released)
            self._renew.set()

    async def _beat(self) -> None:
        while True:
            self._nudge.clear()
            has_left = self._left.is_set() and self.part.relay is None
            if self.relay and not has_left:
                await self._beat_once(self.relay)
            else:
                await _wait(self._nudge, HELLO_S)
                continue
            if not self.part.member.settled:
                await asyncio.sleep(MIN_BEAT_S)
                await _wait(self._nudge, HELLO_S)
                continue
            await _wait(self._nudge, self._beat_interval())

    async def _beat_once(self, relay: str) -> None:
        asked_at = self._clock()
        in_force = self._catalog.cache.newest_version
        beat = self.part.beat(leaving=self._leaving, in_force=in_force)
        req = Heartbeat(beat=beat)
        mine = relay == self._cfg.name
        if mine:
            answer = await self.hear(req)
        else:
            answer = await self._call_relay(relay, req)
        if not isinstance(answer, Granted):
            self._suspect(relay)
            return
        self._granted_at = self._clock()
        if self._suspected:
            self._suspected = ""
            self._assign_sources()
        if not mine:
            self._take_lost(answer.lost)
        now = self._clock()
        if self.part.take(answer.grant, asked_at=asked_at, now=now, mine=mine):
            self._take_view()
        self._note_settled()
        self.on_change()

    async def _call_relay(self, relay: str, req: Heartbeat) -> Message:
        called = await self._links.call(relay, req, timeout_s=BEAT_TIMEOUT_S)
        if isinstance(called, Success):
            answer: Message = called.unwrap()
            return answer
        fault = called.failure()
        if fault.code is Code.TIMEOUT:
            # The connection may be silent for good while a new one works.
            self._links.reset(relay)
        return Refused(fault=fault)

    def _take_view(self) -> None:
        view = self.view
        emit(
            VIEW_CHANGED,
            domain=self._cfg.failure_domain,
            relay=self.relay,
            token=view.token,
            number=view.number,
            members=view.members,
        )
        self._nudge.set()
        self._assign_sources()

    def _note_settled(self) -> None:
        if not self.part.member.settled:
            return
        self._settled.set()
        if self._leaving and self._cfg.name not in self.view.members:
            self._left.set()
            self._renew.set()

    def _suspect(self, relay: str) -> None:
        if self._suspected != relay:
            self._suspected = relay
            self._assign_sources()

    def _assign_sources(self) -> None:
        me, relay = self._cfg.name, self.relay
        others = [name for name in self.view.members if name != relay]
        standby = rendezvous(self._cfg.failure_domain, others) or ""
        if relay == me:
            sources = self._foreign_sources()
        elif self._suspected == relay:
            sources = (standby, relay)
        else:
            sources = (relay, standby)
        self._distribution.assign(
            watch=me in (relay, standby),
            sources=tuple(name for name in sources if name and name != me),
        )

    def _foreign_sources(self) -> tuple[str, ...]:
        me = self._cfg.name
        domains = {i.failure_domain for i in self._catalog.instances.values()}
        domains.discard(self._cfg.failure_domain)
        picks = (rendezvous(me, self.live_in(domain)) for domain in sorted(domains))
        found = [name for name in picks if name is not None]
        first = rendezvous(me, found)
        others = [name for name in found if name != first]
        second = rendezvous(me, others)
        return tuple(name for name in (first, second) if name is not None)

    async def _look_around(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * SURVEY_S)
            if self.part.relay is None:
                continue
            self._assign_sources()
            await self._publish_view()
            self._note_lag()
            await self._survey_next()
            await self._drop_dead()

    async def _publish_view(self) -> None:
        view, name = self.view, self._cfg.failure_domain
        if not view.number or not self.part.leads(self._clock()):
            return
        mine = DomainObject(self._cfg.name, view.token, view.number, view.members)
        if self._catalog.domains.get(name) == mine:
            return
        found = await self._client.get(KIND_DOMAIN, name, DomainObject)
        if not isinstance(found, Success):
            return
        known = found.unwrap()
        if known.value == mine or (known.value and known.value.token > mine.token):
            return
        await self._client.put(KIND_DOMAIN, name, mine, version=known.version)

    def _note_lag(self) -> None:
        relay, now = self.part.relay, self._clock()
        newest = self._catalog.cache.newest_version
        if relay is None:
            return
        for name, in_force in relay.in_force.items():
            if in_force >= newest:
                self._lag_since.pop(name, None)
            elif now - self._lag_since.setdefault(name, now) > LAG_S:
                emit(MEMBER_LAGGING, member=name, in_force=in_force, newest=newest)

    async def _drop_dead(self) -> None:
        relay, now = self.part.relay, self._clock()
        if relay is None or now - self._led_since < FORGET_S:
            return
        for instance in list(self._catalog.instances.values()):
            mine = instance.failure_domain == self._cfg.failure_domain
            if mine and instance.name not in relay.members:
                await withdraw_instance(self._client, instance.name)
                return

    async def _survey_next(self) -> None:
        domains = {i.failure_domain for i in self._catalog.instances.values()}
        name = self._survey.next(domains - {self._cfg.failure_domain})
        if name is None:
            return
        found = await self._client.get(KIND_LEASE, f"relay.{name}", LeaseRecord)
        if isinstance(found, Success):
            read = found.unwrap()
            ttl_s = read.value.ttl_s if read.value is not None else 0.0
            self._survey.saw(name, read.version, ttl_s, self._clock())
        self._take_lost(self._survey.lost)

    def _take_lost(self, lost: tuple[str, ...]) -> None:
        for name in set(lost) - set(self._lost):
            emit(FAILURE_DOMAIN_SILENT, domain=name)
        self._lost = lost

    def _beat_interval(self) -> float:
        interval = self.part.member.grant_s / BEATS_PER_GRANT
        return interval * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _poll_interval(self) -> float:
        ttl_s = lease_ttl(max(1, len(self.view.members)))
        return ttl_s / POLLS_PER_TTL * self._rng.uniform(1 - JITTER, 1 + JITTER)


async def _wait(event: asyncio.Event, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


async def withdraw_instance(client: PlatformClient, name: str) -> None:
    """Take an instance out of the platform's list, if the platform answers."""
    found = await client.get(KIND_INSTANCE, name, InstanceObject)
    if isinstance(found, Success) and found.unwrap().value is not None:
        version = found.unwrap().version
        await client.put(KIND_INSTANCE, name, None, version=version)
