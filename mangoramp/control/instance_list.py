"""Registers this instance in the store and lists the others."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
from returns.result import Success

from ..events import PLATFORM_LOST, emit
from ..platform.client import PlatformClient
from .peers import Peers
from .settings import Address, InstanceSettings

INSTANCE_KIND = "mangoramp-instance"
REFRESH_INTERVAL_S = 5.0  # only finds lost records; new instances send reports
FIRST_REFRESH_DELAY_S = 0.5  # all instances of a deployment start within 0.3 s
REGISTER_RETRY_S = 0.5
SILENT_TTL_S = 20.0  # longer than any outage that an instance recovers from by itself
DEREGISTER_TIMEOUT_S = 1.0


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance's record in the store."""

    host: str
    port: int
    incarnation: int = 0


class InstanceList:
    """Keeps this instance registered and the list of the others up to date.

    Args:
        cfg: This instance's settings.
        client: The client of the store.
        peers: The other instances.
        rng: Random source for jitter.

    Attributes:
        on_refreshed: Called after each successful refresh.
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
        self.on_refreshed: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Register this instance and refresh the list until cancelled."""
        # First, as the number of instances limits the resources that this one may use.
        await self._refresh()
        await self._register()
        if len(self._peers.known_instances) == 1:
            # A stale list would miss the instances that start at the same time.
            await asyncio.sleep(FIRST_REFRESH_DELAY_S)
            await self._refresh(allow_stale=False)
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            is_listed = await self._refresh()
            if is_listed is False:
                await self._register()

    async def deregister(self) -> None:
        """Remove this instance's record from the store."""
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                found = await self._client.get(
                    INSTANCE_KIND, self._cfg.name, InstanceRecord
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

    async def _register(self) -> None:
        host, port = self._cfg.peers
        own = InstanceRecord(host, port)
        # At a first start there is no record yet, and one call is enough.
        put = await self._client.put(INSTANCE_KIND, self._cfg.name, own, version=0)
        if isinstance(put, Success) and put.unwrap():
            return
        while True:
            found = await self._client.get(
                INSTANCE_KIND, self._cfg.name, InstanceRecord
            )
            if isinstance(found, Success):
                known = found.unwrap()
                if known.value == own:
                    return
                put = await self._client.put(
                    INSTANCE_KIND, self._cfg.name, own, version=known.version
                )
                if isinstance(put, Success) and put.unwrap():
                    return
            await asyncio.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _refresh(self, *, allow_stale: bool = True) -> bool | None:
        found = await self._client.list_objects(
            INSTANCE_KIND, InstanceRecord, allow_stale=allow_stale
        )
        if not isinstance(found, Success):
            emit(PLATFORM_LOST, kind=INSTANCE_KIND, reason=found.failure().message)
            return None
        addresses: dict[str, Address] = {}
        for record in found.unwrap().objects:
            if record.value is None:
                continue
            if await self._remove_if_expired(record.name, record.version):
                continue
            addresses[record.name] = (record.value.host, record.value.port)
        self._peers.update_addresses(addresses)
        self.on_refreshed()
        return self._cfg.name in addresses

    async def _remove_if_expired(self, name: str, version: int) -> bool:
        now = self._peers.now
        if name in self._peers.live_instances:
            self._silent_since.pop(name, None)
            return False
        since = self._silent_since.setdefault(name, now)
        if now - since < SILENT_TTL_S or len(self._peers.live_instances) < 2:
            return False
        # The first instance to write wins; the version check fails for the others.
        await self._client.put(INSTANCE_KIND, name, None, version=version)
        return True
