"""Probes the paths to the primaries while most of the other instances are silent."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable

from ..events import PATH_LOST, PATH_RECOVERED, TASK_FAILED, emit, place_of
from ..policy.isolation import PROBE_INTERVAL_S, PathEvidence, is_cut_off
from ..serving.servers import Servers
from .group import Server
from .settings import Address

CHECK_INTERVAL_S = 0.1
FOLLOWER_CHECK_INTERVAL_S = 0.3  # between two reports of a large fleet

Probe = Callable[[Address, float], Awaitable[bool]]


class PathProber:
    """Finds out which primaries are out of reach, also without callers' statements.

    Args:
        servers: The servers.
        has_majority: Returns whether most of the instances are reachable.
        is_isolated: Returns whether this failure domain has probably lost all others.
        is_follower: Returns whether this instance is one of many without duties.
        probe: Returns whether the server at an address accepts a connection within a
            timeout in seconds.
    """

    def __init__(
        self,
        servers: Servers,
        has_majority: Callable[[], bool],
        is_isolated: Callable[[], bool],
        is_follower: Callable[[], bool],
        probe: Probe,
    ) -> None:
        self._servers = servers
        self._has_majority = has_majority
        self._is_isolated = is_isolated
        self._is_follower = is_follower
        self._probe = probe
        self._paths: defaultdict[str, PathEvidence] = defaultdict(PathEvidence)
        self._lost: set[str] = set()
        self._had_majority = False
        self._has_lost_majority = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                self.check()
                await asyncio.sleep(
                    FOLLOWER_CHECK_INTERVAL_S
                    if self._is_follower()
                    else CHECK_INTERVAL_S
                )
        finally:
            for task in self._tasks:
                task.cancel()

    def check(self) -> None:
        """Send the probes that are due."""
        now = self._servers.clock()
        majority = self._has_majority()
        self._had_majority |= majority
        # A process that has just started has not lost the others; after a restart of
        # all, probes would compete for the servers' few connections.
        has_lost_others = self._had_majority and not majority
        self._has_lost_majority = has_lost_others or self._is_isolated()
        primaries = self._primaries(now)
        for server_id in self._paths.keys() - primaries.keys():
            del self._paths[server_id]
            self._lost.discard(server_id)
        for server_id, server in primaries.items():
            path = self._paths[server_id]
            heard_s = now - server.last_answer_at
            if path.must_probe(
                now, heard_s=heard_s, majority=not self._has_lost_majority
            ):
                path.record_start(now)
                task = asyncio.ensure_future(self._run_probe(server, path, now))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    @property
    def is_in_doubt(self) -> bool:
        """Whether this instance may be cut off from half of the primaries.

        It is so until probes have shown that it reaches them. The balancer removes an
        instance only after two failed checks, so that a short doubt costs little, while
        after a cut the callers are sent elsewhere sooner.
        """
        if not self._has_lost_majority:
            return False
        now = self._servers.clock()
        return is_cut_off(
            [
                self._paths[server_id].is_unconfirmed(
                    now, heard_s=now - server.last_answer_at
                )
                for server_id, server in self._primaries(now).items()
            ]
        )

    def is_primary_lost(self, group: str) -> bool:
        """Whether probes show that a group's primary is out of reach."""
        now = self._servers.clock()
        primary = self._servers.group(group).find_primary(now)
        path = self._paths.get(primary.id) if primary is not None else None
        return path is not None and path.is_lost(now)

    def _primaries(self, now: float) -> dict[str, Server]:
        found = (group.find_primary(now) for group in self._servers.configured_groups)
        return {server.id: server for server in found if server is not None}

    async def _run_probe(self, server: Server, path: PathEvidence, now: float) -> None:
        try:
            is_reached = await self._probe(server.endpoint.address, PROBE_INTERVAL_S)
        except Exception as exc:
            emit(
                TASK_FAILED,
                task="probe of a path",
                reason=repr(exc),
                place=place_of(exc),
            )
            return
        path.record_result(now, is_reached=is_reached)
        is_lost = path.is_lost(self._servers.clock())
        if is_lost and server.id not in self._lost:
            self._lost.add(server.id)
            emit(PATH_LOST, server=server.id, group=server.endpoint.group)
        elif is_reached and server.id in self._lost:
            self._lost.remove(server.id)
            emit(PATH_RECOVERED, server=server.id, group=server.endpoint.group)
