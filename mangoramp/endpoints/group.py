"""The state of one database group at its home: server statuses, pools and positions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

import asyncpg

from ..errors import FaultError
from ..events import SERVER_LOST, SERVER_RECOVERED, emit
from ..objects import GroupObject, ServerState
from ..policy.position import Lineage, Origin, Position
from ..policy.quorum import ServerStatus
from ..policy.routing import Candidate
from ..policy.view import Configuration, GroupServer, GroupView
from .connection import Pool, connect
from .run import read_status, wait_for_status

STATUS_WAIT_S = 0.1
IDLE_STATUS_WAIT_S = 0.4
IDLE_AFTER_S = 2.0
STATUS_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1


class Group:
    """Tracks the servers of one group and holds a connection pool for each.

    Args:
        spec: The platform's object of the group.
        pool_size: Maximum number of work connections to each server.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self,
        spec: GroupObject,
        *,
        pool_size: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.spec = spec
        self.view = GroupView(to_configuration(spec))
        self.pools: dict[str, Pool] = {}
        self.pool_size = pool_size
        self._clock = clock
        self._changed = asyncio.Event()
        self._last_read_at = float("-inf")
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self.update(spec)

    @property
    def lineage(self) -> Lineage:
        """The positions at which the group's terms began."""
        return self.view.cfg.lineage

    @property
    def statuses(self) -> dict[str, ServerStatus]:
        """The last status received from each server, by name."""
        return self.view.statuses

    @property
    def primary(self) -> ServerStatus | None:
        """The primary's status, if it is live and reports itself as primary."""
        return self.view.primary(self._clock())

    def update(self, spec: GroupObject) -> None:
        """Apply the platform's current object of the group."""
        if not self.view.configure(to_configuration(spec)):
            return
        self.spec = spec
        current = {server.name: server for server in spec.servers}
        for name in [n for n in self.pools if self.pools[n].server != current.get(n)]:
            self._remove_server(name)
        for server in spec.servers:
            if server.name not in self.pools:
                self._add_server(server)
        self._notify_changed()

    def close(self) -> None:
        """Stop polling the servers and close the connections."""
        for name in list(self.pools):
            self._remove_server(name)

    def close_idle_connections(self) -> None:
        """Close the idle connections of all pools."""
        for pool in self.pools.values():
            pool.close_idle_connections()

    def candidates(self) -> list[Candidate]:
        """The servers that are eligible for reads."""
        self._last_read_at = self._clock()
        busy = {name: pool.busy for name, pool in self.pools.items()}
        return self.view.candidates(self._clock(), busy)

    def as_of(self, position: Position) -> float | None:
        """The latest known time at which a position held all commits, in seconds."""
        return self.view.as_of(position)

    async def wait_for_change(self, deadline: float) -> bool:
        """Wait for the next status or configuration change.

        Args:
            deadline: Time at which to stop waiting, on this group's clock.

        Returns:
            False if the deadline passed first.
        """
        remaining_s = deadline - self._clock()
        if remaining_s <= 0:
            return False
        try:
            async with asyncio.timeout(remaining_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _add_server(self, server: ServerState) -> None:
        self.pools[server.name] = Pool(server, size=self.pool_size, clock=self._clock)
        self._watchers[server.name] = asyncio.ensure_future(self._watch_server(server))

    def _remove_server(self, name: str) -> None:
        self._watchers.pop(name).cancel()
        self.pools.pop(name).close()
        self.view.statuses.pop(name, None)

    async def _watch_server(self, server: ServerState) -> None:
        is_lost = False
        while True:
            try:
                conn = await connect(server, role="status")
            except FaultError as exc:
                if not is_lost:
                    emit(SERVER_LOST, server=server.name, reason=exc.fault.message)
                is_lost = True
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            if is_lost:
                emit(SERVER_RECOVERED, server=server.name)
            is_lost = False
            await self._poll_statuses(conn, server.name)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _poll_statuses(self, conn: asyncpg.Connection, name: str) -> None:
        try:
            now = self._clock()
            last = await read_status(conn, asked_at=now, timeout_s=STATUS_TIMEOUT_S)
            self._record_status(replace(last, name=name))
            while True:
                now = self._clock()
                last = await wait_for_status(
                    conn, last, asked_at=now, wait_s=self._status_wait_s(now)
                )
                self._record_status(replace(last, name=name))
        except (OSError, TimeoutError, asyncpg.PostgresError, asyncpg.InterfaceError):
            return
        finally:
            conn.terminate()

    def _status_wait_s(self, now: float) -> float:
        """The maximum wait for a status, in seconds.

        Groups with recent reads poll more often, as proofs of data age need recent
        statuses.
        """
        if now - self._last_read_at < IDLE_AFTER_S:
            return STATUS_WAIT_S
        return IDLE_STATUS_WAIT_S

    def _record_status(self, status: ServerStatus) -> None:
        self.view.record_status(status)
        self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def to_configuration(spec: GroupObject) -> Configuration:
    """Convert a group's platform object to its configuration."""
    members = tuple(
        GroupServer(s.name, s.failure_domain, s.slots, s.leaving) for s in spec.servers
    )
    origins = tuple(Origin(s.term, s.previous, s.position) for s in spec.starts)
    return Configuration(spec.term, spec.primary, members, Lineage(origins))
