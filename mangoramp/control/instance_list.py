"""Registers this instance in the store and lists the others."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
from returns.result import Success

from ..decoding import MAX_INTEGER, decode_json, log_unreadable
from ..events import PLATFORM_LOST, emit
from ..platform.client import PlatformClient, Versioned
from ..policy.hubs import Listed, Member
from .endpoint import is_address
from .peers import Peers
from .settings import InstanceSettings

INSTANCE_KIND = "mangoramp-instance"
REFRESH_INTERVAL_S = 5.0  # only finds lost records; new instances send reports
FOLLOWER_REFRESH_INTERVAL_S = 60.0  # the hubs report the instances of their domains
FIRST_REFRESH_DELAY_S = 0.7  # all instances of a deployment start within 0.3 s
ERA_JITTER_S = 1.0  # all instances write their records again after a restoration
REGISTER_RETRY_S = 0.5
SILENT_TTL_S = 20.0  # longer than any outage that an instance recovers from by itself
DEREGISTER_TIMEOUT_S = 1.0


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance's record in the store.

    Attributes:
        host: The host of its address for peers.
        port: The port of that address.
        incarnation: Not used by this build.
        failure_domain: The failure domain it runs in, empty for a former build.
        strength: Its relative capacity.
    """

    host: str
    port: int
    incarnation: int = 0
    failure_domain: str = ""
    strength: int = 1


class InstanceList:
    """Keeps this instance registered and the list of the others up to date.

    Args:
        cfg: This instance's settings.
        client: The client of the store.
        peers: The other instances.
        rng: Random source for jitter.

    Attributes:
        on_refreshed: Called after each successful refresh.
        has_refreshed: Set after the first attempt to list the instances.
        has_settled: Set once the instances that started together are listed, or the
            store did not answer.
    """

    def __init__(
        self,
        cfg: InstanceSettings,
        client: PlatformClient,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._client = client
        self._peers = peers
        self._rng = rng
        self._silent_since: dict[str, float] = {}
        self._listed: dict[str, Listed] = {}
        self._listed_era = 0
        self._is_restored = asyncio.Event()
        self.has_refreshed = asyncio.Event()
        self.has_settled = asyncio.Event()
        self.on_refreshed: Callable[[], None] = lambda: None

    def on_store_restored(self) -> None:
        """Check soon that the restored store has the record of this instance."""
        self._is_restored.set()

    async def run(self) -> None:
        """Register this instance and refresh the list until cancelled."""
        # First, as the number of instances limits the resources that this one may use.
        is_listed = await self._refresh()
        self.has_refreshed.set()
        if self._listed.get(self._cfg.name) != self._own_entry():
            await self._register()
        await asyncio.sleep(FIRST_REFRESH_DELAY_S)
        if is_listed is None or len(self._peers.live_instances) == 1:
            # The store did not answer, or its list lacked the instances that started at
            # the same time. Too small a number of instances gives each too large a part
            # of the limits.
            while await self._refresh(allow_stale=False) is None:
                self.has_settled.set()
                await asyncio.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))
        self.has_settled.set()
        while True:
            await self._wait_for_refresh()
            is_listed = await self._refresh()
            if is_listed is False:
                await self._register()

    async def _wait_for_refresh(self) -> None:
        is_follower = not self._peers.is_flat and not self._peers.is_hub
        interval_s = FOLLOWER_REFRESH_INTERVAL_S if is_follower else REFRESH_INTERVAL_S
        try:
            async with asyncio.timeout(interval_s * self._rng.uniform(0.8, 1.2)):
                await self._is_restored.wait()
        except TimeoutError:
            return
        self._is_restored.clear()
        await asyncio.sleep(self._rng.uniform(0.0, ERA_JITTER_S))

    async def deregister(self) -> None:
        """Remove this instance's record from the store."""
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                found = await self._client.get(
                    INSTANCE_KIND, self._cfg.name, msgspec.Raw
                )
                if isinstance(found, Success) and found.unwrap().version:
                    version = found.unwrap().version
                    await self._client.put(
                        INSTANCE_KIND, self._cfg.name, None, version=version
                    )
        except TimeoutError:
            # The other instances remove the record after SILENT_TTL_S.
            emit(
                PLATFORM_LOST, kind=INSTANCE_KIND, reason="timeout while deregistering"
            )

    def _own_record(self) -> InstanceRecord:
        host, port = self._cfg.peers
        return InstanceRecord(
            host,
            port,
            failure_domain=self._cfg.failure_domain,
            strength=self._cfg.strength,
        )

    def _own_entry(self) -> Listed:
        return _to_listed(self._cfg.name, self._own_record())

    async def _register(self) -> None:
        own = self._own_record()
        # At a first start there is no record yet, and one call is enough.
        put = await self._client.put(INSTANCE_KIND, self._cfg.name, own, version=0)
        if isinstance(put, Success) and put.unwrap():
            return
        while True:
            found = await self._client.get(INSTANCE_KIND, self._cfg.name, msgspec.Raw)
            if isinstance(found, Success):
                known = found.unwrap()
                if _decode_record(known) == own:
                    return
                put = await self._client.put(
                    INSTANCE_KIND, self._cfg.name, own, version=known.version
                )
                if isinstance(put, Success) and put.unwrap():
                    return
            await asyncio.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _refresh(self, *, allow_stale: bool = True) -> bool | None:
        found = await self._client.list_objects(
            INSTANCE_KIND, msgspec.Raw, allow_stale=allow_stale
        )
        if not isinstance(found, Success):
            emit(PLATFORM_LOST, kind=INSTANCE_KIND, reason=found.failure().message)
            return None
        listed: dict[str, Listed] = {}
        for record in found.unwrap().objects:
            instance = _decode_record(record)
            if instance is None:
                continue
            if await self._remove_if_expired(record):
                continue
            listed[record.name] = _to_listed(record.name, instance)
        era = found.unwrap().era
        is_listed = self._cfg.name in listed
        if era > self._listed_era > 0:
            # The others write their records again; until then the former ones count.
            listed = self._listed | listed
        self._listed, self._listed_era = listed, max(era, self._listed_era)
        self._peers.update_addresses(listed)
        self.on_refreshed()
        return is_listed

    async def _remove_if_expired(self, record: Versioned[msgspec.Raw]) -> bool:
        if not self._peers.is_flat and not self._peers.is_hub:
            return False
        name, now = record.name, self._peers.now
        if name in self._peers.live_instances:
            self._silent_since.pop(name, None)
            return False
        since = self._silent_since.setdefault(name, now)
        if now - since < SILENT_TTL_S or len(self._peers.live_instances) < 2:
            return False
        # The first instance to write wins; the version check fails for the others.
        await self._client.put(
            INSTANCE_KIND, name, None, version=record.version, era=record.era
        )
        return True


def _decode_record(record: Versioned[msgspec.Raw]) -> InstanceRecord | None:
    if record.value is None:
        return None
    try:
        found = decode_json(record.value, InstanceRecord)
        if not is_address((found.host, found.port)):
            raise ValueError(f"{found.host}:{found.port} is not an IPv4 address")
        if not 0 <= found.strength <= MAX_INTEGER:
            raise ValueError("its strength is out of range")
    except ValueError as exc:
        log_unreadable(INSTANCE_KIND, record.name, record.version, exc)
        return None
    return found


def _to_listed(name: str, record: InstanceRecord) -> Listed:
    member = Member(name, 0, record.host, record.port, record.strength)
    return Listed(record.failure_domain, member)
