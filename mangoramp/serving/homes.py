"""Homes of connections: which one to use, and serving the others as one."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result, Success

from ..errors import Fault
from ..events import HOME_SUSPECTED, PINNED_EXPIRED, emit
from ..policy.homes import choose_homes, connections_per_holder, home_for, is_direct
from ..policy.position import Position
from ..proxies.links import Links
from ..proxies.messages import Envelope
from .batches import (
    BatchLost,
    BatchMessage,
    BatchNotSent,
    BatchOverRate,
    BatchRun,
    DropPinned,
    PinnedDropped,
    RunBatch,
)
from .command import Answer, ConnectionLostError
from .lease import LEAST_S, Image, LocalLease, needs_pin
from .pool import NoConnectionError, Urgency
from .proofs import Proof, note_proofs
from .servers import Servers

SUSPECT_S = 0.5  # a link is opened anew meanwhile
MOST_SUSPECT_S = 10.0  # one that is not heard for so long is out of touch anyway
SILENCES = 2  # calls in a row without an answer show that the link is dead
CHOICE_S = 0.1  # a home that leaves says so, or is passed over, meanwhile
PROOF_KEEP_S = 2.0  # older ones hardly help reads of an age of seconds
PINNED_S = 10.0  # longer than a transaction may idle and a statement may take


@dataclass(slots=True)
class _Pinned:
    lease: LocalLease
    used_at: float
    is_busy: bool = False


class Homes:
    """The homes of customers' connections.

    Args:
        name: This instance.
        servers: The servers.
        instances: Tells the instances in touch that are not leaving, and how much
            each can carry; this one is always among them.
        admit: Takes an operation, by its customer and its first statement's id, from
            the customer's limits; tells the seconds to wait if it is beyond them.
        links: The ways to the other instances.
        heard_at: Tells when an instance was last heard, in seconds.
    """

    def __init__(
        self,
        name: str,
        servers: Servers,
        *,
        instances: Callable[[], dict[str, int]],
        admit: Callable[[str, str], float],
        links: Links,
        heard_at: Callable[[str], float],
    ) -> None:
        self._name = name
        self._servers = servers
        self._clock = servers.clock
        self._instances = instances
        self._admit = admit
        self._links = links
        self._heard_at = heard_at
        self._suspects: dict[str, float] = {}
        self._silences: dict[str, int] = {}
        self._chosen: list[str] = []
        self._chosen_at = float("-inf")
        self._pinned: dict[int, _Pinned] = {}
        self._handles = itertools.count(1)
        self._running = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or is pinned here for other instances."""
        return not self._running and not self._pinned

    @property
    def is_direct(self) -> bool:
        """Whether every instance holds connections of its own."""
        servers = self._servers
        if not servers.instances:
            return True
        return is_direct(
            servers.fewest_connections, servers.instances, servers.customers
        )

    @property
    def names(self) -> list[str]:
        """The instances that hold connections for the others."""
        now = self._clock()
        if now - self._chosen_at >= CHOICE_S:
            self._chosen_at = now
            self._chosen = choose_homes(
                self._live(),
                self._servers.fewest_connections,
                self._servers.fewest_slots,
            )
        return self._chosen

    def of(self, customer: str) -> str | None:
        """The home of a customer's connections; None for this instance itself."""
        if self.is_direct:
            return None
        home = home_for(customer, self.names)
        return None if home == self._name else home

    def limit(self, group: str) -> int | None:
        """The connections to each of a group's servers that this instance may hold.

        Returns:
            None while too little is known to tell.
        """
        servers = self._servers
        if not servers.instances:
            return None
        most = servers.max_connections(group)
        if self.is_direct:
            return connections_per_holder(most, servers.instances)
        homes = self.names
        if self._name not in homes:
            return 0
        # Those out of touch may have homes of their own.
        in_touch = len(self._instances()) / servers.instances
        return max(
            1, int(connections_per_holder(most, len(homes)) * min(1.0, in_touch))
        )

    async def call(
        self, home: str, message: RunBatch | DropPinned, *, timeout_s: float
    ) -> Result[BatchMessage, Fault]:
        """Ask a home.

        Args:
            home: The instance.
            message: What to do.
            timeout_s: Seconds to wait.
        """
        asked_at = self._clock()
        result = await self._links.call(home, message, timeout_s=timeout_s)
        if isinstance(result, Success):
            self._silences.pop(home, None)
            self._learn(result.unwrap(), asked_at)
            return result
        self._silences[home] = self._silences.get(home, 0) + 1
        if self._silences[home] >= SILENCES:
            # It may be the connection alone that is dead.
            self._links.reset(home)
            self._silences.pop(home, None)
        return result

    def _learn(self, answer: BatchMessage, asked_at: float) -> None:
        if not isinstance(answer, BatchRun):
            return
        for proof in answer.proofs:
            # The home told the age after it was asked, whatever its clock shows.
            position = Position(proof.term, proof.offset)
            self._servers.group(proof.group).record_position(
                asked_at - proof.age_s, position
            )

    def _proofs(self) -> tuple[Proof, ...]:
        now = self._clock()
        latest = ((g.name, g.samples.latest) for g in self._servers.groups.values())
        return tuple(
            Proof(
                name,
                now - sample.asked_at,
                sample.position.term,
                sample.position.offset,
            )
            for name, sample in latest
            if sample is not None and now - sample.asked_at < PROOF_KEEP_S
        )

    def suspect(self, home: str) -> None:
        """Pass a home over for a while, and until it is heard again."""
        self._suspects[home] = self._clock()
        self._chosen_at = float("-inf")
        emit(HOME_SUSPECTED, home=home)

    def tidy(self) -> None:
        """Drop the connections that stayed pinned for too long."""
        oldest = self._clock() - PINNED_S
        for handle, pinned in list(self._pinned.items()):
            if not pinned.is_busy and pinned.used_at < oldest:
                emit(PINNED_EXPIRED, server=pinned.lease.server.id)
                self._drop(handle)

    def drop_pinned(self) -> None:
        """Drop all pinned connections that wait."""
        for handle, pinned in list(self._pinned.items()):
            if not pinned.is_busy:
                self._drop(handle)

    def _live(self) -> dict[str, int]:
        return {
            name: strength
            for name, strength in self._instances().items()
            if name == self._name or not self._is_suspect(name)
        }

    def _is_suspect(self, name: str) -> bool:
        since = self._suspects.get(name)
        if since is None:
            return False
        passed_s = self._clock() - since
        is_heard = self._heard_at(name) > since
        if passed_s < SUSPECT_S or (not is_heard and passed_s < MOST_SUSPECT_S):
            return True
        del self._suspects[name]
        return False

    async def answer(self, message: Envelope) -> BatchMessage:
        """Answer another instance."""
        if isinstance(message, DropPinned):
            self._drop(message.handle)
            return PinnedDropped()
        if not isinstance(message, RunBatch):
            return BatchNotSent(reason="this message asks for nothing")
        self._running += 1
        try:
            return await self._run(message)
        finally:
            self._running -= 1

    async def _run(self, message: RunBatch) -> BatchMessage:
        started = self._clock()
        if message.ticket:
            wait_s = self._admit(message.customer, message.ticket)
            if wait_s > 0:
                return BatchOverRate(wait_s=wait_s)
        if message.handle:
            pinned = self._pinned.get(message.handle)
            if pinned is None:
                return BatchLost(reason="the connection is not pinned any more")
            lease = pinned.lease
        else:
            taken = await self._take(message)
            if isinstance(taken, BatchNotSent):
                return taken
            lease = taken
            pinned = None
        left = message.timeout_s - (self._clock() - started)
        if left < LEAST_S and pinned is None:
            lease.give_back()
            return BatchNotSent(reason="the time was over before a connection was free")
        if pinned is not None:
            pinned.is_busy = True
        values = message.values
        asked_at = self._clock()
        try:
            answers = await lease.run(
                None if values is None else Image(values, message.shapes),
                message.commands,
                timeout_s=max(0.0, left),
            )
        except ConnectionLostError as exc:
            self._pinned.pop(message.handle, None)
            lease.give_back()
            return BatchLost(reason=str(exc), answers=exc.answers)
        group = self._servers.group(message.group)
        note_proofs(group, asked_at, message.commands, answers, message.shapes)
        return BatchRun(
            answers=answers,
            handle=self._keep(message.handle, lease, answers),
            proofs=self._proofs(),
        )

    async def _take(self, message: RunBatch) -> LocalLease | BatchNotSent:
        server = self._servers.group(message.group).servers.get(message.server)
        if server is None:
            return BatchNotSent(reason="the home does not know the server")
        pool = self._servers.pool(server)
        try:
            urgency = Urgency(
                message.priority,
                message.due_s,
                min(message.wait_s, message.timeout_s),
            )
            conn = await pool.acquire(message.customer, urgency)
        except NoConnectionError as exc:
            return BatchNotSent(
                reason=str(exc), is_reachable=exc.is_reachable, wait_s=exc.wait_s
            )
        return LocalLease(server, conn, message.customer, pool)

    def _keep(self, handle: int, lease: LocalLease, answers: tuple[Answer, ...]) -> int:
        if not needs_pin(answers):
            self._pinned.pop(handle, None)
            lease.give_back()
            return 0
        handle = handle or next(self._handles)
        self._pinned[handle] = _Pinned(lease, self._clock())
        return handle

    def _drop(self, handle: int) -> None:
        pinned = self._pinned.pop(handle, None)
        if pinned is not None:
            pinned.lease.discard()
            pinned.lease.give_back()
