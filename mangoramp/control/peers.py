"""What the instances tell one another, by datagrams.

A report holds the sender's whole state, so that a lost one is made good by the next,
and none waits behind another on a connection that has gone silent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import msgspec

from ..events import (
    PEER_HEARD,
    PEER_SILENT,
    REPORT_TOO_LARGE,
    REPORT_UNREADABLE,
    emit,
)
from ..policy._rendezvous import rendezvous
from ..policy.isolation import has_majority
from ..policy.watchers import is_watcher
from .settings import Address

TICK_S = 0.1  # between reports while a customer is near its limits
QUIET_S = 0.25  # between other reports, at the least
QUIET_S_A_PEER = 0.02  # so that all peers together cost the same at any size
HEARD_REPORTS = 3.2  # two reports may be lost
STANDING_S = 0.05  # half of the time between two urgent reports
MAX_REPORT_BYTES = 60_000  # a datagram's


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one instance says of itself.

    Attributes:
        name: Its name.
        incarnation: Its process.
        number: Rises with each report of a process.
        is_leaving: Whether the process is about to end.
        is_draining: Whether it takes no new work.
        revision: The revision of the configuration that it has in force.
        registry_revision: The latest revision of a server's entry that it knows.
        spent: Operations admitted since its start, by customer; those that are
            missing are as they were.
        heard: By the checksum of a group and its primary, the milliseconds since it
            heard that primary; None if the report says nothing of it.
        strength: How much it can carry.
        failure_domain: Where it runs.
        is_current: Whether the store answers it, as far as it asks.
    """

    name: str
    incarnation: int
    number: int
    is_leaving: bool = False
    is_draining: bool = False
    revision: int = 0
    registry_revision: int = 0
    spent: dict[str, int] = {}
    heard: dict[int, int] | None = None
    strength: int = 1
    failure_domain: str = ""
    is_current: bool = True


@dataclass(slots=True)
class Peer:
    """Another instance.

    Attributes:
        report: Its latest report.
        address: Where it reports from.
        heard_at: When that came, in seconds.
        primaries_at: When a report came that said which primaries it hears.
        is_silent: Whether it was reported as silent.
    """

    report: Report
    address: Address
    heard_at: float
    primaries_at: float
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class _Standing:
    """Who is in touch, at a moment."""

    at: float
    heard: list[str]
    everyone: list[str]
    serving: dict[str, int]
    has_majority: bool
    is_watcher: bool
    is_first_watcher: bool


class Peers(asyncio.DatagramProtocol):
    """Sends this instance's reports and takes over the others'.

    Args:
        name: This instance.
        report: Builds the report, but for its number.
        urgent: Tells what was spent of customers that are near their limits.
        clock: Tells the time in seconds.
        rng: Makes the incarnation.
        failure_domain: Where this instance runs.

    Attributes:
        on_spent: Called with a peer, a customer and how many more operations it
            admitted.
        on_report: Called with each report that is taken over.
        has_news: Whether peers nearby are to be told soon what this instance knows.
    """

    def __init__(
        self,
        name: str,
        report: Callable[[int, int], Report],
        urgent: Callable[[], dict[str, int]],
        clock: Callable[[], float],
        rng: random.Random,
        failure_domain: str = "",
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.on_spent: Callable[[str, str, int], None] = lambda peer, customer, n: None
        self.on_report: Callable[[Report], None] = lambda report: None
        self.has_news = False
        self._failure_domain = failure_domain
        self._urgent = urgent
        self._name = name
        self._report = report
        self._clock = clock
        self._incarnation = rng.getrandbits(48)
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[str, Address] = {}
        self._seeds: tuple[Address, ...] = ()
        self._urgent_said: dict[str, int] = {}
        self._said_at = float("-inf")
        self._gone: set[tuple[str, int]] = set()
        self._standing = _Standing(float("-inf"), [], [], {}, True, True, True)

    async def listen(self, address: Address, seeds: Iterable[Address]) -> None:
        """Begin to send and to receive."""
        self._seeds = tuple(seeds)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    @property
    def now(self) -> float:
        """The time by which reports are judged, in seconds."""
        return self._clock()

    @property
    def heard(self) -> list[str]:
        """The instances in touch with this one, itself included."""
        return self._current.heard

    @property
    def everyone(self) -> list[str]:
        """All instances that are known, in touch or not."""
        return self._current.everyone

    @property
    def quiet_s(self) -> float:
        """Seconds between two reports that nobody waits for."""
        return max(QUIET_S, QUIET_S_A_PEER * (1 + len(self.peers)))

    @property
    def silence_s(self) -> float:
        """Seconds after which a peer that was not heard is out of touch."""
        return HEARD_REPORTS * self.quiet_s

    @property
    def serving(self) -> dict[str, int]:
        """The instances in touch that take new work, and how much each can carry."""
        return self._current.serving

    @property
    def newest(self) -> tuple[int, int]:
        """The latest revisions of configuration and registry that a peer knows."""
        reports = [peer.report for peer in self.peers.values()]
        return (
            max((report.revision for report in reports), default=0),
            max((report.registry_revision for report in reports), default=0),
        )

    def better_informed(
        self, revision: int, registry_revision: int, passed_over: Collection[str]
    ) -> str | None:
        """A peer in touch that knows later revisions, None if there is none.

        One in this failure domain goes first; instances choose different ones.

        Args:
            revision: The revision of the configuration that is known here.
            registry_revision: The latest revision of a server's entry.
            passed_over: Peers that are not to be chosen.
        """
        fit = [
            name
            for name, peer in self.peers.items()
            if name not in passed_over
            and (
                peer.report.revision > revision
                or peer.report.registry_revision > registry_revision
            )
            and self._clock() - peer.heard_at < self.silence_s
        ]
        near = [n for n in fit if self._is_near(self.peers[n])]
        return rendezvous(self._name, near or fit)

    def heard_at(self, name: str) -> float:
        """When a peer was last heard, in seconds."""
        peer = self.peers.get(name)
        return peer.heard_at if peer is not None else float("-inf")

    @property
    def is_watcher(self) -> bool:
        """Whether this instance follows the store itself, not through its peers."""
        return self._current.is_watcher

    @property
    def is_first_watcher(self) -> bool:
        """Whether it would follow the store if the store answered all instances."""
        return self._current.is_first_watcher

    def address_of(self, name: str) -> Address | None:
        """Where an instance is reached, None if it is not known."""
        peer = self.peers.get(name)
        return peer.address if peer is not None else self._addresses.get(name)

    @property
    def has_majority(self) -> bool:
        """Whether the instances in touch outnumber the rest."""
        return self._current.has_majority

    @property
    def _current(self) -> _Standing:
        now = self._clock()
        if now - self._standing.at >= STANDING_S:
            self._standing = self._look(now)
        return self._standing

    def _look(self, now: float) -> _Standing:
        silence_s = self.silence_s
        peers = {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.heard_at < silence_s
        }
        heard = [self._name, *peers]
        everyone = [self._name, *({*self._addresses, *self.peers} - {self._name})]
        serving = {
            name: peer.report.strength
            for name, peer in peers.items()
            if not peer.report.is_draining
        }
        near = [name for name, peer in peers.items() if self._is_near(peer)]
        current = [name for name in near if peers[name].report.is_current]
        return _Standing(
            now,
            heard,
            everyone,
            serving,
            has_majority(heard, everyone),
            is_watcher(self._name, current, instances=len(everyone)),
            is_watcher(self._name, near, instances=len(everyone)),
        )

    def know(self, addresses: dict[str, Address]) -> None:
        """Take over where the instances are that the store lists."""
        known = self._addresses
        self._addresses = {n: a for n, a in addresses.items() if n != self._name}
        if self._addresses.keys() - known.keys():
            # They are to hear of this instance before they share out connections.
            self._said_at = float("-inf")
        self._standing = self._look(self._clock())
        now = self._clock()
        for name, peer in list(self.peers.items()):
            if name not in addresses and now - peer.heard_at > self.silence_s:
                del self.peers[name]

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.tell()
            await asyncio.sleep(TICK_S)

    def tell(self, *, at_once: bool = False) -> None:
        """Send a report if there is urgent news, or the last one is old."""
        now = self._clock()
        is_due = at_once or now - self._said_at >= self.quiet_s
        urgent = self._urgent()
        is_urgent = bool(urgent) and urgent != self._urgent_said
        if not is_due and not is_urgent and not self.has_news:
            return
        # All of a failure domain's instances learn of a change from its own watchers.
        near_only = not is_due and not is_urgent
        self.has_news = False
        report = self._report(self._incarnation, self._number + 1)
        if not is_due:
            # What nobody waits for goes with the next report that is due.
            report = msgspec.structs.replace(report, spent=urgent, heard=None)
        self._number += 1
        self._urgent_said = urgent
        if is_due:
            self._said_at = now
        data = msgspec.msgpack.encode(report)
        if len(data) > MAX_REPORT_BYTES:
            emit(REPORT_TOO_LARGE, size=len(data), limit=MAX_REPORT_BYTES)
            return
        if self._transport is None:
            return
        for address in self._near_targets() if near_only else self._targets():
            self._transport.sendto(data, address)
        self._note_silent(now)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take over a peer's report."""
        try:
            report = msgspec.msgpack.decode(data, type=Report)
        except msgspec.DecodeError as exc:
            emit(REPORT_UNREADABLE, address=addr[0], reason=str(exc))
            return
        sender = (report.name, report.incarnation)
        if report.name == self._name or sender in self._gone:
            return
        now = self._clock()
        known = self.peers.get(report.name)
        is_same = known is not None and known.report.incarnation == report.incarnation
        if known is not None and is_same and report.number <= known.report.number:
            return
        is_back = known is not None and now - known.heard_at >= self.silence_s
        if known is None or known.is_silent:
            emit(PEER_HEARD, peer=report.name, address=addr[0])
        # What a silent peer admitted came out of the part that was left to it.
        if not is_back:
            self._take_spent(known if is_same else None, report)
        if report.is_leaving:
            self._gone.add(sender)
            self.peers.pop(report.name, None)
            self._addresses.pop(report.name, None)
            return
        primaries_at = now
        if is_same and known is not None:
            if report.heard is None:
                primaries_at = known.primaries_at
            report = _completed(report, known.report)
        address = (addr[0], addr[1])
        self.peers[report.name] = Peer(report, address, now, primaries_at)
        self.on_report(report)

    def error_received(self, exc: Exception) -> None:
        """Pass over a peer that does not listen; its silence tells."""

    def close(self) -> None:
        """Send and receive no more."""
        if self._transport is not None:
            self._transport.close()

    def _take_spent(self, known: Peer | None, report: Report) -> None:
        # The first report of a process that was not followed from its start on says
        # nothing of when its operations were admitted.
        if known is None and report.name not in self.peers:
            return
        before = known.report.spent if known is not None else {}
        for customer, count in report.spent.items():
            more = count - before.get(customer, 0)
            if more > 0:
                self.on_spent(report.name, customer, more)

    def _is_near(self, peer: Peer) -> bool:
        return peer.report.failure_domain == self._failure_domain

    def _near_targets(self) -> set[Address]:
        return {peer.address for peer in self.peers.values() if self._is_near(peer)}

    def _targets(self) -> set[Address]:
        return {
            *self._addresses.values(),
            *(peer.address for peer in self.peers.values()),
            *self._seeds,
        }

    def _note_silent(self, now: float) -> None:
        for name, peer in self.peers.items():
            if not peer.is_silent and now - peer.heard_at >= self.silence_s:
                peer.is_silent = True
                emit(PEER_SILENT, peer=name, silent_s=round(now - peer.heard_at, 2))


def _completed(report: Report, before: Report) -> Report:
    heard = before.heard if report.heard is None else report.heard
    return msgspec.structs.replace(
        report, spent=before.spent | report.spent, heard=heard
    )
