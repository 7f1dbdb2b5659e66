"""Promoters of several instances in virtual time, with stand-ins for all else."""

import asyncio
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import msgspec
from returns.result import Failure, Success

from mangoramp.control.deployment import Group
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.promoter import Promoter
from mangoramp.errors import Code, Fault, Outcome, Step
from mangoramp.platform.client import Versioned
from mangoramp.platform.promotion import (
    CONNECT_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    PromotionOutcome,
)
from mangoramp.policy.position import Position
from mangoramp.policy.revision import Revision
from mangoramp.serving.command import OpenRefusedError, ServerStatus
from mangoramp.serving.servers import Servers

GROUP = "register"
STABLE_S = 4.0  # an instance is in touch after this time without a disturbance


@dataclass(frozen=True)
class Call:
    """A call that an instance sent to the platform."""

    at: float
    holder: str
    token: int
    server: str
    in_touch: bool


@dataclass
class Machine:
    """What disturbs one instance.

    Attributes:
        paused_at: When its process was last paused.
        paused_until: When its process runs again.
        cut_until: When it reaches the promotion API again.
        calm_since: When the last disturbance ended.
    """

    name: str
    paused_at: float = float("-inf")
    paused_until: float = 0.0
    cut_until: float = 0.0
    calm_since: float = float("-inf")
    promoter: Promoter | None = None
    servers: Servers | None = None
    registry_at: Revision = field(default_factory=Revision)

    def is_in_touch(self, now):
        return now - self.calm_since >= STABLE_S


class Store:
    """The platform's store: one counter of revisions, conditional changes."""

    def __init__(self, world):
        self.world = world
        self.objects = {}
        self.revision = 100

    def change(self, kind, name, value, version):
        if self.objects.get((kind, name), (0, None))[0] != version:
            return False
        self.revision += 1
        self.objects[kind, name] = (self.revision, value)
        return True

    def read(self, kind, name):
        return self.objects.get((kind, name), (0, None))


class StoreClient:
    """One instance's connection to the store."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine

    async def get(self, kind, name, type_):
        await self.world.travel(self.machine)
        version, raw = self.world.store.read(kind, name)
        await self.world.travel(self.machine)
        self.world.after_step("read")
        value = msgspec.Raw(raw) if raw is not None else None
        return Success(Versioned(name, version, value, 1))

    async def put(self, kind, name, value, *, version, era=None):
        await self.world.travel(self.machine)
        rng, store = self.world.rng, self.world.store
        raw = msgspec.json.encode(value)
        fault = Fault(Code.NO_SERVER, "lost", Step.PLATFORM, outcome=Outcome.UNKNOWN)
        if rng.random() < self.world.lost_part:
            late_s = rng.choice((0.0, rng.uniform(0.0, 5.0)))
            asyncio.get_running_loop().call_later(
                late_s, store.change, kind, name, raw, version
            )
            await self.world.travel(self.machine, 3.0)
            return Failure(fault)
        done = store.change(kind, name, raw, version)
        await self.world.travel(self.machine)
        self.world.after_step("claim")
        return Success(done)


class PromotionApi:
    """One instance's connection to the platform's promotion API."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine

    async def promote(self, group, server_id, *, holder, token, time_left=lambda: 2.0):
        world, loop = self.world, asyncio.get_running_loop()
        connect_s = min(time_left(), CONNECT_TIMEOUT_S)
        opened_at = loop.time()
        if connect_s <= 0:
            return PromotionOutcome.NOT_SENT
        delay_s = world.rng.choice((0.002, 0.002, world.rng.uniform(0.0, 2.0)))
        await world.travel(self.machine, min(delay_s, connect_s))
        is_cut = loop.time() < self.machine.cut_until
        if is_cut or delay_s > connect_s:
            await world.travel(self.machine, opened_at + connect_s - loop.time())
            return PromotionOutcome.NOT_SENT
        world.after_step("connect")
        await world.wake(self.machine)
        left_s = min(time_left(), REQUEST_TIMEOUT_S)
        if left_s <= 0:
            return PromotionOutcome.NOT_SENT
        in_touch = self.machine.is_in_touch(loop.time())
        world.calls.append(Call(loop.time(), holder, token, server_id, in_touch))
        if world.rng.random() < world.lost_part:
            loop.call_later(world.rng.uniform(0.0, 3.0), world.promote, server_id)
            await world.travel(self.machine, left_s)
            return PromotionOutcome.UNKNOWN
        if world.rng.random() < world.lost_part:
            await world.travel(self.machine)
            return PromotionOutcome.NOT_DONE
        loop.call_later(world.promote_s, world.promote, server_id)
        await world.travel(self.machine, min(left_s, world.promote_s + 0.01))
        if left_s < world.promote_s + 0.01:
            return PromotionOutcome.UNKNOWN
        return PromotionOutcome.ACCEPTED


class Connector:
    """Connections to servers that only answer STATUS."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine

    async def open(self, server_id, group, address, customer):
        await self.world.travel(self.machine)
        if server_id not in self.world.endpoints:
            raise OpenRefusedError("it has left")
        return SimpleNamespace(server_id=server_id, close=lambda: None)

    async def fetch_status(self, conn):
        await self.world.travel(self.machine)
        is_primary = conn.server_id == self.world.primary
        self.world.after_step("status")
        return ServerStatus(is_primary, self.world.term, Position(self.world.term, 7))


class PeersView:
    """What one instance knows of the others."""

    peers = {}
    report_interval_s = 0.25
    has_majority = True

    def __init__(self, world):
        self.world = world

    @property
    def live_instances(self):
        now = self.world.now
        # A pause is noticed after three missing reports.
        return [
            m.name
            for m in self.world.machines
            if now >= m.paused_until or now < m.paused_at + 0.8
        ]

    def last_reports(self):
        now, live = self.world.now, self.live_instances
        return {
            m.name: m.paused_at if now < m.paused_until else now
            for m in self.world.machines
            if m.name in live
        }

    @property
    def controllers(self):
        return self.live_instances

    @property
    def serving(self):
        return self.live_instances


class PromotionWorld:
    """A group whose primary is released again and again.

    Args:
        seed: The seed of all that is random.
        instances: The number of instances.
        lost_part: The part of calls that are lost, late or refused.
        is_fenced: What the instances know of the platform.
    """

    def __init__(self, seed, *, instances=5, lost_part=0.0, is_fenced=False):
        self.rng = random.Random(seed)
        self.lost_part = lost_part
        self.promote_s = self.rng.choice((0.3, 0.6, 1.0))
        self.store = Store(self)
        self.calls = []
        self.term = 1
        self.primary = "s0"
        self.promotions = []  # which server led, and when
        self.endpoints = {}
        self._count = instances
        self._is_fenced = is_fenced
        self._next_server = 0
        self.machines = []
        self.after_step = lambda step: None  # called after each await of a promoter

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    async def travel(self, machine, delay_s=0.0):
        """Wait for a message, and until a paused process runs again."""
        await asyncio.sleep(max(0.0, delay_s) + self.rng.uniform(0.001, 0.03))
        await self.wake(machine)

    async def wake(self, machine):
        """Wait until a paused process runs again."""
        while self.now < machine.paused_until:
            await asyncio.sleep(machine.paused_until - self.now)

    def start(self):
        for number in range(self._count):
            self.machines.append(self._start_machine(f"i{number}"))
        for _ in range(3):
            self.add_server()
        self._tasks = [asyncio.ensure_future(m.promoter.run()) for m in self.machines]

    def stop(self):
        for task in self._tasks:
            task.cancel()

    def _start_machine(self, name):
        machine = Machine(name)
        loop = asyncio.get_running_loop()
        machine.servers = Servers(Connector(self, machine), loop.time, name=name)
        deployment = SimpleNamespace(groups={GROUP: Group(GROUP, 16)}, customers=["c"])
        machine.promoter = Promoter(
            name,
            machine.servers,
            PeersView(self),
            StoreClient(self, machine),
            PromotionApi(self, machine),
            lambda: deployment,
            registry_at=lambda: machine.registry_at,
            is_fenced=lambda: self._is_fenced,
        )
        check = machine.promoter._check_groups

        def check_unless_paused(**facts):
            if loop.time() >= machine.paused_until:
                check(**facts)

        machine.promoter._check_groups = check_unless_paused
        return machine

    def add_server(self):
        server_id = f"s{self._next_server}"
        self._next_server += 1
        self.list_server(server_id)
        return server_id

    def list_server(self, server_id, **changes):
        """Write a server's entry; each instance learns of it after a delay."""
        known = self.endpoints.get(server_id) or Endpoint(
            server_id, GROUP, ("127.0.0.1", 1), "a", 2, False, False, started_ms=5
        )
        changes = {"is_primary": server_id == self.primary} | changes
        endpoint = replace(known, sequence=known.sequence + 1, **changes)
        self.endpoints[server_id] = endpoint
        self.store.revision += 1
        revision = Revision(1, self.store.revision)
        for machine in self.machines:
            asyncio.ensure_future(self._tell(machine, endpoint, revision))

    async def _tell(self, machine, endpoint, revision):
        delay_s = self.rng.choice((0.0, 0.0, self.rng.uniform(0.0, 0.5)))
        await self.travel(machine, delay_s)
        self.apply_entry(machine, endpoint, revision)

    def apply_entry(self, machine, endpoint, revision):
        """Let an instance know a server's entry."""
        group = machine.servers.group(GROUP)
        known = group.servers.get(endpoint.id)
        if known is not None and known.endpoint.sequence > endpoint.sequence:
            return
        group.update_endpoint(endpoint, revision, self.now)
        machine.registry_at = max(machine.registry_at, revision)

    def remove_server(self, server_id):
        del self.endpoints[server_id]
        for machine in self.machines:
            machine.servers.group(GROUP).unlist_endpoint(server_id, self.now)

    def promote(self, server_id):
        """Carry out an order."""
        if server_id == self.primary or server_id not in self.endpoints:
            return
        former, self.primary = self.primary, server_id
        self.term += 1
        self.promotions.append((self.now, server_id))
        for changed in (server_id, former):
            if changed in self.endpoints:
                self.list_server(changed)

    async def release(self):
        """Replace the primary by a new server, as an operator plans it."""
        leaving = self.primary
        self.add_server()
        await asyncio.sleep(1.0)
        if leaving == self.primary:
            self.list_server(leaving, is_draining=True)
        return leaving

    def disturb(self, machine, *, pause_s=0.0, cut_s=0.0):
        machine.paused_at = self.now
        machine.paused_until = self.now + pause_s
        machine.cut_until = self.now + cut_s
        machine.calm_since = self.now + max(pause_s, cut_s)

    async def play_releases(self, count):
        """Release primaries, with disturbances if calls are lost, too.

        Returns:
            The seconds until each release was carried out.
        """
        self.start()
        await asyncio.sleep(2.0)
        durations = []
        for _ in range(count):
            if self.rng.random() < 2 * self.lost_part:
                self._disturb_one()
            leaving = await self.release()
            began_at = self.now
            while self.primary == leaving and self.now < began_at + 60.0:
                await asyncio.sleep(0.05)
            durations.append(self.now - began_at)
            await asyncio.sleep(self.rng.choice((0.3, 0.8, 1.5, 4.0)))
            if leaving != self.primary:
                self.remove_server(leaving)
        self.stop()
        return durations

    def _disturb_one(self):
        machine = self.rng.choice(self.machines)
        if self.calls and self.rng.random() < 0.6:
            name = self.calls[-1].holder
            machine = next(m for m in self.machines if m.name == name)
        if self.rng.random() < 0.5:
            self.disturb(machine, pause_s=self.rng.uniform(0.2, 6.0))
        else:
            self.disturb(machine, cut_s=self.rng.uniform(0.5, 6.0))

    def find_turns(self, lease_s):
        """Return the calls of two holders in touch within a lease."""
        return [
            (first, second)
            for n, second in enumerate(self.calls)
            for first in self.calls[:n]
            if second.at - first.at < lease_s
            and first.holder != second.holder
            and first.in_touch
            and second.in_touch
        ]

    def find_low_tokens(self):
        """Return the calls with a lower token than one before them."""
        return [
            call
            for n, call in enumerate(self.calls)
            if any(call.token < earlier.token for earlier in self.calls[:n])
        ]
