"""Drives the failover of one group: carries out what its policy decides."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

import msgspec
from returns.result import Success

from .catalog import KIND_GROUP
from .endpoints.control import command
from .endpoints.group import Group, configuration
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
from .policy.suspicion import View

TICK_S = 0.1
UPDATE_TIMEOUT_S = 1.0

AskView = Callable[[str, str], Awaitable[View | None]]


class Controller:
    """The controller of one group at its home in this failure domain.

    Args:
        group: The group's servers.
        failure_domain: Where it runs.
        client: The platform.
        ask_view: Asks a failure domain for its view of a group.
        on_failover: Called with the group's name when a failover is over.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        group: Group,
        failure_domain: str,
        client: PlatformClient,
        ask_view: AskView,
        *,
        on_failover: Callable[[str], None] = lambda group: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = group.spec.name
        self.group = group
        self._client = client
        self._ask_view = ask_view
        self._on_failover = on_failover
        self._clock = clock
        self._spec = group.spec
        self._voters: tuple[str, ...] = ()
        self._running: dict[Action, asyncio.Task[None]] = {}
        rng = random.Random(f"{self.name} {failure_domain}")
        self._policy = Failover(self.name, failure_domain, now=clock(), rng=rng)
        self._ticker = asyncio.ensure_future(self._tick())

    def update(self, version: int, spec: GroupObject, voters: tuple[str, ...]) -> None:
        """Take over the group object.

        Args:
            version: The platform's version of it.
            spec: The object.
            voters: The failure domains whose views count, by rank.
        """
        self._voters = voters
        self._take(version, spec)
        self._decide()

    def view(self) -> View:
        """What is seen of the group's primary here."""
        self._hear()
        return self._policy.view(self._clock())

    def close(self) -> None:
        """Stop; another controller goes on from what is on the platform."""
        self._ticker.cancel()
        for task in self._running.values():
            task.cancel()

    async def _tick(self) -> None:
        while True:
            self._decide()
            await asyncio.sleep(TICK_S)

    def _hear(self) -> None:
        now = self._clock()
        for status in self.group.statuses.values():
            self._policy.take_status(now, status)

    def _decide(self) -> None:
        self._hear()
        for action in self._policy.decide(self._clock()):
            if action not in self._running:
                self._running[action] = asyncio.ensure_future(self._run(action))

    async def _run(self, action: Action) -> None:
        try:
            await self._carry_out(action)
        finally:
            self._running.pop(action, None)

    def _take(self, version: int, spec: GroupObject) -> None:
        known = self._policy.state
        if known is None or version > known.version:
            self._spec = spec
        self._policy.take_group(self._clock(), group_state(version, spec), self._voters)

    @singledispatchmethod
    async def _carry_out(self, action: Action) -> None:
        raise TypeError(f"no action: {action!r}")

    @_carry_out.register
    async def _(self, action: AskViews) -> None:
        emit(
            PRIMARY_SUSPECTED,
            group=self.name,
            term=action.term,
            primary=self._spec.primary,
            asked=action.failure_domains,
        )
        await asyncio.gather(*(self._ask(d) for d in action.failure_domains))

    @_carry_out.register
    async def _(self, action: ReadGroup) -> None:
        await self._read_back()

    @_carry_out.register
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
        outcome = await self._put(spec, new.version)
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
        await self._read_back()

    @_carry_out.register(Fence)
    @_carry_out.register(Promote)
    @_carry_out.register(Follow)
    async def _(self, action: Fence | Promote | Follow) -> None:
        servers = {server.name: server for server in self._spec.servers}
        if not isinstance(action, Follow) and action.server not in servers:
            return
        asked_at = self._clock()
        answer = await command(action, servers, asked_at=asked_at)
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
            self._policy.take_followed(action, status)
        self._policy.take_status(self._clock(), status)
        self._decide()

    async def _ask(self, failure_domain: str) -> None:
        view = await self._ask_view(failure_domain, self.name)
        if view is not None:
            self._policy.take_view(self._clock(), view)
            self._decide()

    async def _put(self, spec: GroupObject, version: int) -> str:
        try:
            async with asyncio.timeout(UPDATE_TIMEOUT_S):
                answer = await self._client.put(
                    KIND_GROUP, self.name, spec, version=version
                )
        except TimeoutError:
            return "unknown: no answer in time"
        if not isinstance(answer, Success):
            return f"unknown: {answer.failure().message}"
        return "done" if answer.unwrap() else "refused: changed by another"

    async def _read_back(self) -> None:
        try:
            async with asyncio.timeout(UPDATE_TIMEOUT_S):
                answer = await self._client.get(KIND_GROUP, self.name, GroupObject)
        except TimeoutError:
            return
        if not isinstance(answer, Success):
            return
        found = answer.unwrap()
        if found.value is not None:
            self._take(found.version, found.value)
            self._decide()


def group_state(version: int, spec: GroupObject) -> GroupState:
    """Read what a failover needs from a group object."""
    cfg = configuration(spec)
    return GroupState(
        version,
        cfg.term,
        cfg.primary,
        spec.candidate,
        cfg.members,
        cfg.lineage.origins,
    )
