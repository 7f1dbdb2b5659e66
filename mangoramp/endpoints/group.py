"""One database group as its home sees it: statuses, pools and positions."""

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
from .run import read_status, wait_status

STATUS_WAIT_S = 0.1
IDLE_STATUS_WAIT_S = 0.4
IDLE_AFTER_S = 2.0
STATUS_TIMEOUT_S = 1.0
RETRY_S = 0.1


class Group:
    """Follows the servers of one group.

    Args:
        spec: The group as the platform has it.
        pool_size: The most work connections to each server.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        spec: GroupObject,
        *,
        pool_size: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.spec = spec
        self.view = GroupView(configuration(spec))
        self.pools: dict[str, Pool] = {}
        self.pool_size = pool_size
        self._clock = clock
        self._changed = asyncio.Event()
        self._used_at = float("-inf")
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self.update(spec)

    @property
    def lineage(self) -> Lineage:
        """Where the group's terms began."""
        return self.view.cfg.lineage

    @property
    def statuses(self) -> dict[str, ServerStatus]:
        """What each server last said."""
        return self.view.statuses

    @property
    def primary(self) -> ServerStatus | None:
        """The primary, if it answers and says that it is one in the group's term."""
        return self.view.primary(self._clock())

    def update(self, spec: GroupObject) -> None:
        """Take over the group as the platform has it now."""
        if not self.view.configure(configuration(spec)):
            return
        self.spec = spec
        known = {server.name: server for server in spec.servers}
        for name in [n for n in self.pools if self.pools[n].server != known.get(n)]:
            self._drop(name)
        for server in spec.servers:
            if server.name not in self.pools:
                self._add(server)
        self._touch()

    def close(self) -> None:
        """Stop following and close the connections."""
        for name in list(self.pools):
            self._drop(name)

    def close_idle(self) -> None:
        """Close the connections that no request uses now."""
        for pool in self.pools.values():
            pool.close_idle()

    def candidates(self) -> list[Candidate]:
        """The servers that may get reads now."""
        self._used_at = self._clock()
        busy = {name: pool.busy for name, pool in self.pools.items()}
        return self.view.candidates(self._clock(), busy)

    def as_of(self, position: Position) -> float | None:
        """The moment up to which a position is known to be complete, in seconds."""
        return self.view.as_of(position)

    async def changed(self, deadline: float) -> bool:
        """Wait for the next news of a server.

        Args:
            deadline: When to stop waiting, on this group's clock.

        Returns:
            False if the deadline came first.
        """
        left = deadline - self._clock()
        if left <= 0:
            return False
        try:
            async with asyncio.timeout(left):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _add(self, server: ServerState) -> None:
        self.pools[server.name] = Pool(server, size=self.pool_size)
        self._watchers[server.name] = asyncio.ensure_future(self._watch(server))

    def _drop(self, name: str) -> None:
        self._watchers.pop(name).cancel()
        self.pools.pop(name).close()
        self.view.statuses.pop(name, None)

    async def _watch(self, server: ServerState) -> None:
        lost = False
        while True:
            try:
                conn = await connect(server, role="status")
            except FaultError as exc:
                if not lost:
                    emit(SERVER_LOST, server=server.name, reason=exc.fault.message)
                lost = True
                await asyncio.sleep(RETRY_S)
                continue
            if lost:
                emit(SERVER_RECOVERED, server=server.name)
            lost = False
            await self._watch_on(conn, server.name)
            await asyncio.sleep(RETRY_S)

    async def _watch_on(self, conn: asyncpg.Connection, name: str) -> None:
        try:
            now = self._clock()
            last = await read_status(conn, asked_at=now, timeout_s=STATUS_TIMEOUT_S)
            self._take(replace(last, name=name))
            while True:
                now = self._clock()
                last = await wait_status(
                    conn, last, asked_at=now, wait_s=self._wait_s(now)
                )
                self._take(replace(last, name=name))
        except (OSError, TimeoutError, asyncpg.PostgresError, asyncpg.InterfaceError):
            return
        finally:
            conn.terminate()

    def _wait_s(self, now: float) -> float:
        """Seconds between statuses without news; proofs of age need them often."""
        if now - self._used_at < IDLE_AFTER_S:
            return STATUS_WAIT_S
        return IDLE_STATUS_WAIT_S

    def _take(self, status: ServerStatus) -> None:
        self.view.record_status(status)
        self._touch()

    def _touch(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def configuration(spec: GroupObject) -> Configuration:
    """Read a group's configuration from its platform object."""
    members = tuple(
        GroupServer(s.name, s.failure_domain, s.slots, s.leaving) for s in spec.servers
    )
    origins = tuple(Origin(s.term, s.previous, s.position) for s in spec.starts)
    return Configuration(spec.term, spec.primary, members, Lineage(origins))
