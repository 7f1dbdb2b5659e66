"""A small deployment: the platform, one database service and the instances."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .fleet import ZONES, Instance, start_all
from .platform import Cloud, Store
from .record import Record
from .servers import Service

SERVICE = "register-db"
EXIT_BROKEN_SETUP = 2
TENANTS = 8
RATE_PER_S = 72.0

Play = Callable[["World"], Awaitable[None]]


class World:
    """A deployment with its stand-ins.

    Args:
        folder: The temporary folder of the run.
        record: The record of the run.
        instances: How many instances there are.
        service: Settings of the database service.
    """

    def __init__(
        self, folder: Path, record: Record, instances: int, service: dict[str, Any]
    ) -> None:
        self.record = record
        self.rng = random.Random(1)
        self.store = Store(record)
        self.service = Service(SERVICE, self.store, record, **service)
        self.cloud = Cloud(self._promote, record)
        self.instances: list[Instance] = []
        self._folder = folder
        self._count = instances
        self._version = 0

    async def _promote(self, service: str, server_id: str) -> bool:
        return service == SERVICE and await self.service.promote(server_id)

    async def start(self) -> bool:
        """Start everything; returns False if the case cannot run."""
        await self.store.http.start()
        await self.cloud.http.start()
        self.configure()
        await self.service.start(ZONES)
        self.instances = [
            Instance(self._folder, n, self.store.http.port, self.cloud.http.port)
            for n in range(self._count)
        ]
        return await start_all(self.instances, self.record)

    def close(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.kill()
        self.service.close()
        self.store.http.close()
        self.cloud.http.close()

    def configure(self, **route: Any) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        kinds = (
            ("issue", "primary", 1, 100, 800, None),
            ("search", "bounded_staleness", 2, 300, 1200, 1500),
            ("transmit", "read_your_writes", 2, 200, 800, 2500),
        )
        routes = [
            {
                "name": f"r-{database}",
                "database_name": database,
                "path_prefix": "/",
                "type": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": aim_ms,
                "priority": priority,
                "service": SERVICE,
                "max_attempts": 2,
                "public": False,
            }
            | ({} if stale_ms is None else {"max_staleness_ms": stale_ms})
            | route
            for database, kind, priority, aim_ms, timeout_ms, stale_ms in kinds
        ]
        tenants = [
            {
                "name": f"tenant-{n}",
                "api_keys": [key_of(n)],
                "priority": 1,
                "rate_per_s": RATE_PER_S,
                "burst": RATE_PER_S,
            }
            for n in range(TENANTS)
        ]
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "max_connections": self.service.connections,
            "sync_replicas": self.service.sync,
        }
        self.store.write(
            "config",
            "main",
            {
                "version": self._version,
                "routes": routes,
                "services": [service],
                "limits": {"tx_idle_ms": 3000},
                "tenants": tenants,
            },
        )


def key_of(tenant: int) -> str:
    """Return a tenant's API key."""
    return f"key-of-tenant-{tenant}"


def run_case(folder: Path, play: Play, *, instances: int = 6, **service: Any) -> int:
    """Play one case and return its exit code.

    Args:
        folder: The case's folder, for its record.
        play: Plays the case in a running deployment.
        instances: How many instances there are.
        service: Settings of the database service.
    """
    return asyncio.run(_run_case(folder, play, instances, service))


async def _run_case(
    folder: Path, play: Play, instances: int, service: dict[str, Any]
) -> int:
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        world = World(Path(temporary), record, instances, service)
        try:
            if not await world.start():
                record.close()
                return EXIT_BROKEN_SETUP
            await play(world)
        except (OSError, RuntimeError) as exc:
            record.say(f"the case could not run: {exc}")
            record.close()
            return EXIT_BROKEN_SETUP
        finally:
            world.close()
    return record.close()
