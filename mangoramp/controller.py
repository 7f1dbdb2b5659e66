"""The failover controller of one group, which executes the policy's decisions."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

import msgspec
from returns.result import Success

from .catalog import KIND_GROUP
from .endpoints.failover_commands import send_command
from .endpoints.group import Group, to_configuration
from .events import FAILOVER_COMMAND, FAILOVER_STEP, PRIMARY_SUSPECTED, emit
from .objects import GroupObject, TermStart
from .platform.client import PlatformClient
from .policy.failover import (
    Action,
    AskViews,
    Failover,
    Fence,
    Follow,
    GroupState,
    Promote,
    ReadGroup,
    UpdateGroup,
)
from .policy.failure_detector import PrimaryView

DECISION_INTERVAL_S = 0.1
PLATFORM_TIMEOUT_S = 1.0

RequestView = Callable[[str, str], Awaitable[PrimaryView | None]]


class FailoverController:
    """Controls the failover of one group at its home in this failure domain.

    Args:
        group: The group's servers.
        failure_domain: The failure domain of this controller.
        client: Client of the platform.
        request_view: Requests another failure domain's view of a group's primary.
        on_failover: Called with the group's name after a completed failover.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self,
        group: Group,
        failure_domain: str,
        client: PlatformClient,
        request_view: RequestView,
        *,
        on_failover: Callable[[str], None] = lambda group: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = group.spec.name
        self.group = group
        self._client = client
        self._request_view = request_view
        self._on_failover = on_failover
        self._clock = clock
        self._spec = group.spec
        self._voters: tuple[str, ...] = ()
        self._running: dict[Action, asyncio.Task[None]] = {}
        rng = random.Random(f"{self.name} {failure_domain}")
        self._policy = Failover(self.name, failure_domain, now=clock(), rng=rng)
        self._tick_task = asyncio.ensure_future(self._tick())

    def update(self, version: int, spec: GroupObject, voters: tuple[str, ...]) -> None:
        """Apply a group object.

        Args:
            version: The object's version on the platform.
            spec: The object.
            voters: The failure domains whose views count, by rank.
        """
        self._voters = voters
        self._apply_group(version, spec)
        self._decide()

    def view(self) -> PrimaryView:
        """Return this failure domain's view of the group's primary."""
        self._record_statuses()
        return self._policy.view(self._clock())

    def close(self) -> None:
        """Stop; the next controller resumes a failover from the group object."""
        self._tick_task.cancel()
        for task in self._running.values():
            task.cancel()

    async def _tick(self) -> None:
        while True:
            self._decide()
            await asyncio.sleep(DECISION_INTERVAL_S)

    def _record_statuses(self) -> None:
        now = self._clock()
        for status in self.group.statuses.values():
            self._policy.record_status(now, status)

    def _decide(self) -> None:
        self._record_statuses()
        for action in self._policy.decide(self._clock()):
            if action not in self._running:
                self._running[action] = asyncio.ensure_future(self._run(action))

    async def _run(self, action: Action) -> None:
        try:
            await self._execute(action)
        finally:
            self._running.pop(action, None)

    def _apply_group(self, version: int, spec: GroupObject) -> None:
        known = self._policy.state
        if known is None or version > known.version:
            self._spec = spec
        self._policy.apply_group(
            self._clock(), group_state(version, spec), self._voters
        )

    @singledispatchmethod
    async def _execute(self, action: Action) -> None:
        raise TypeError(f"unknown action: {action!r}")

    @_execute.register
    async def _(self, action: AskViews) -> None:
        emit(
            PRIMARY_SUSPECTED,
            group=self.name,
            term=action.term,
            primary=self._spec.primary,
            asked=action.failure_domains,
        )
        await asyncio.gather(*(self._collect_view(d) for d in action.failure_domains))

    @_execute.register
    async def _(self, action: ReadGroup) -> None:
        await self._refresh_group()

    @_execute.register
    async def _(self, action: UpdateGroup) -> None:
        new = action.state
        if self._policy.state is None or new.version != self._policy.state.version:
            return
        spec = msgspec.structs.replace(
            self._spec,
            term=new.term,
            primary=new.primary,
            candidate=new.candidate,
            starts=tuple(
                TermStart(origin.term, origin.offset, origin.previous)
                for origin in new.origins
            ),
        )
        outcome = await self._put_group(spec, new.version)
        emit(
            FAILOVER_STEP,
            group=self.name,
            term=new.term,
            primary=new.primary,
            candidate=new.candidate,
            reason=action.reason,
            outcome=outcome,
        )
        if new.primary and outcome == "done":
            self._on_failover(self.name)
        await self._refresh_group()

    @_execute.register(Fence)
    @_execute.register(Promote)
    @_execute.register(Follow)
    async def _(self, action: Fence | Promote | Follow) -> None:
        servers = {server.name: server for server in self._spec.servers}
        if not isinstance(action, Follow) and action.server not in servers:
            return
        asked_at = self._clock()
        answer = await send_command(action, servers, asked_at=asked_at)
        done = isinstance(answer, Success)
        emit(
            FAILOVER_COMMAND,
            group=self.name,
            command=str(action),
            outcome="done" if done else answer.failure().message,
        )
        if not isinstance(answer, Success):
            return
        status = answer.unwrap()
        if isinstance(action, Follow):
            self._policy.record_follow(action, status)
        self._policy.record_status(self._clock(), status)
        self._decide()

    async def _collect_view(self, failure_domain: str) -> None:
        view = await self._request_view(failure_domain, self.name)
        if view is not None:
            self._policy.record_view(self._clock(), view)
            self._decide()

    async def _put_group(self, spec: GroupObject, version: int) -> str:
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_S):
                answer = await self._client.put(
                    KIND_GROUP, self.name, spec, version=version
                )
        except TimeoutError:
            return "unknown: no answer in time"
        if not isinstance(answer, Success):
            return f"unknown: {answer.failure().message}"
        return "done" if answer.unwrap() else "refused: changed by another"

    async def _refresh_group(self) -> None:
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_S):
                answer = await self._client.get(KIND_GROUP, self.name, GroupObject)
        except TimeoutError:
            return
        if not isinstance(answer, Success):
            return
        found = answer.unwrap()
        if found.value is not None:
            self._apply_group(found.version, found.value)
            self._decide()


def group_state(version: int, spec: GroupObject) -> GroupState:
    """Convert a group object to the state that the failover policy uses."""
    cfg = to_configuration(spec)
    return GroupState(
        version,
        cfg.term,
        cfg.primary,
        spec.candidate,
        cfg.members,
        cfg.lineage.origins,
    )
