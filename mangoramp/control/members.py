"""The list of instances, which lives in the store."""

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

KIND = "mangoramp-instance"
RELIST_S = 5.0  # new instances make themselves heard; this only finds lost records
FIRST_RELIST_S = 0.5  # all instances of a deployment start within 0.3 s
RETRY_S = 0.5
FORGET_S = 20.0  # longer than any outage after which an instance comes back by itself
GOODBYE_S = 1.0


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance as the store lists it."""

    host: str
    port: int
    incarnation: int = 0


class Members:
    """Lists this instance, and learns of the others.

    Args:
        cfg: This instance's settings.
        client: The store.
        peers: The other instances.
        rng: Source of the jitter.

    Attributes:
        on_listed: Called when the list was read.
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
        self._unheard_since: dict[str, float] = {}
        self.on_listed: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Keep the list until cancelled."""
        # Listed first: how many others there are limits what this one may use.
        await self._relist()
        await self._register()
        if len(self._peers.everyone) == 1:
            # What is seconds old does not show those that start at the same moment.
            await asyncio.sleep(FIRST_RELIST_S)
            await self._relist(allow_stale=False)
        while True:
            await asyncio.sleep(RELIST_S * self._rng.uniform(0.8, 1.2))
            is_listed = await self._relist()
            if is_listed is False:
                await self._register()

    async def leave(self) -> None:
        """Take this instance off the list."""
        try:
            async with asyncio.timeout(GOODBYE_S):
                found = await self._client.get(KIND, self._cfg.name, InstanceRecord)
                if isinstance(found, Success) and found.unwrap().version:
                    version = found.unwrap().version
                    await self._client.put(KIND, self._cfg.name, None, version=version)
        except TimeoutError:
            # The others forget this instance once it is silent for long.
            emit(PLATFORM_LOST, kind=KIND, reason="no answer to the leave")

    async def _register(self) -> None:
        host, port = self._cfg.peers
        mine = InstanceRecord(host, port)
        # At a first start there is none yet, and one call is enough.
        put = await self._client.put(KIND, self._cfg.name, mine, version=0)
        if isinstance(put, Success) and put.unwrap():
            return
        while True:
            found = await self._client.get(KIND, self._cfg.name, InstanceRecord)
            if isinstance(found, Success):
                known = found.unwrap()
                if known.value == mine:
                    return
                put = await self._client.put(
                    KIND, self._cfg.name, mine, version=known.version
                )
                if isinstance(put, Success) and put.unwrap():
                    return
            await asyncio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _relist(self, *, allow_stale: bool = True) -> bool | None:
        found = await self._client.list_objects(
            KIND, InstanceRecord, allow_stale=allow_stale
        )
        if not isinstance(found, Success):
            emit(PLATFORM_LOST, kind=KIND, reason=found.failure().message)
            return None
        addresses: dict[str, Address] = {}
        for record in found.unwrap().objects:
            if record.value is None:
                continue
            if await self._is_forgotten(record.name, record.version):
                continue
            addresses[record.name] = (record.value.host, record.value.port)
        self._peers.know(addresses)
        self.on_listed()
        return self._cfg.name in addresses

    async def _is_forgotten(self, name: str, version: int) -> bool:
        now = self._peers.now
        if name in self._peers.heard:
            self._unheard_since.pop(name, None)
            return False
        since = self._unheard_since.setdefault(name, now)
        if now - since < FORGET_S or len(self._peers.heard) < 2:
            return False
        # Whoever is first does it; the others find the record gone.
        await self._client.put(KIND, name, None, version=version)
        return True
