"""What the instances tell one another, by datagrams.

A report holds the sender's whole state, so that a lost one is made good by the next,
and none waits behind another on a connection that has gone silent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ..events import PEER_HEARD, PEER_SILENT, emit
from ..policy.isolation import has_majority
from .settings import Address

NEWS_S = 0.1  # between reports that say something new
QUIET_S = 0.25  # between reports that say nothing new
HEARD_S = 0.8  # two quiet reports may be lost
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
        spent: Operations admitted since its start, by customer.
        heard: By group, the primary it hears and the milliseconds since it did.
    """

    name: str
    incarnation: int
    number: int
    is_leaving: bool = False
    is_draining: bool = False
    revision: int = 0
    spent: dict[str, int] = {}
    heard: dict[str, tuple[str, int]] = {}


@dataclass(slots=True)
class Peer:
    """Another instance.

    Attributes:
        report: Its latest report.
        address: Where it reports from.
        heard_at: When that came, in seconds.
        is_silent: Whether it was reported as silent.
    """

    report: Report
    address: Address
    heard_at: float
    is_silent: bool = False
    spent: dict[str, int] = field(default_factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Sends this instance's reports and takes over the others'.

    Args:
        name: This instance.
        report: Builds the report, but for its number.
        clock: Tells the time in seconds.
        rng: Makes the incarnation.

    Attributes:
        on_spent: Called with a peer, a customer and how many more operations it
            admitted.
    """

    def __init__(
        self,
        name: str,
        report: Callable[[int, int], Report],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.on_spent: Callable[[str, str, int], None] = lambda peer, customer, n: None
        self._name = name
        self._report = report
        self._clock = clock
        self._incarnation = rng.getrandbits(48)
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[str, Address] = {}
        self._seeds: tuple[Address, ...] = ()
        self._said: tuple[object, ...] = ()
        self._said_at = float("-inf")
        self._gone: set[tuple[str, int]] = set()

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
        now = self._clock()
        found = [n for n, p in self.peers.items() if now - p.heard_at < HEARD_S]
        return [self._name, *found]

    @property
    def everyone(self) -> list[str]:
        """All instances that are known, in touch or not."""
        return [self._name, *({*self._addresses, *self.peers} - {self._name})]

    @property
    def serving(self) -> list[str]:
        """The instances in touch that take new work, this one included."""
        return [
            name
            for name in self.heard
            if name == self._name or not self.peers[name].report.is_draining
        ]

    def address_of(self, name: str) -> Address | None:
        """Where an instance is reached, None if it is not known."""
        peer = self.peers.get(name)
        return peer.address if peer is not None else self._addresses.get(name)

    @property
    def has_majority(self) -> bool:
        """Whether the instances in touch outnumber the rest."""
        return has_majority(self.heard, self.everyone)

    def know(self, addresses: dict[str, Address]) -> None:
        """Take over where the instances are that the store lists."""
        self._addresses = {n: a for n, a in addresses.items() if n != self._name}
        now = self._clock()
        for name, peer in list(self.peers.items()):
            if name not in addresses and now - peer.heard_at > HEARD_S:
                del self.peers[name]

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.tell()
            await asyncio.sleep(NEWS_S)

    def tell(self, *, at_once: bool = False) -> None:
        """Send a report if there is news, or the last one is old."""
        now = self._clock()
        report = self._report(self._incarnation, self._number + 1)
        said = (report.spent, report.revision, report.is_leaving, report.is_draining)
        if not at_once and said == self._said and now - self._said_at < QUIET_S:
            return
        self._number += 1
        self._said, self._said_at = said, now
        data = msgspec.msgpack.encode(report)
        if self._transport is None or len(data) > MAX_REPORT_BYTES:
            return
        for address in self._targets():
            self._transport.sendto(data, address)
        self._note_silent(now)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take over a peer's report."""
        try:
            report = msgspec.msgpack.decode(data, type=Report)
        except msgspec.DecodeError:
            return
        sender = (report.name, report.incarnation)
        if report.name == self._name or sender in self._gone:
            return
        now = self._clock()
        known = self.peers.get(report.name)
        is_same = known is not None and known.report.incarnation == report.incarnation
        if known is not None and is_same and report.number <= known.report.number:
            return
        if known is None or known.is_silent:
            emit(PEER_HEARD, peer=report.name, address=addr[0])
        self._take_spent(known if is_same else None, report)
        if report.is_leaving:
            self._gone.add(sender)
            self.peers.pop(report.name, None)
            self._addresses.pop(report.name, None)
            return
        self.peers[report.name] = Peer(report, (addr[0], addr[1]), now)

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

    def _targets(self) -> set[Address]:
        return {
            *self._addresses.values(),
            *(peer.address for peer in self.peers.values()),
            *self._seeds,
        }

    def _note_silent(self, now: float) -> None:
        for name, peer in self.peers.items():
            if not peer.is_silent and now - peer.heard_at >= HEARD_S:
                peer.is_silent = True
                emit(PEER_SILENT, peer=name, silent_s=round(now - peer.heard_at, 2))
