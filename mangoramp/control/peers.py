"""Exchanges status reports between instances over UDP.

A report contains the sender's whole state, so the next report makes up for a lost one.
Datagrams avoid the head-of-line blocking of a stalled connection.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import msgspec

from ..events import (
    PEER_REACHABLE,
    PEER_SILENT,
    REPORT_TOO_LARGE,
    REPORT_UNREADABLE,
    emit,
)
from ..policy._rendezvous import rendezvous
from ..policy.isolation import has_majority
from ..policy.watchers import is_watcher
from .settings import Address

URGENT_INTERVAL_S = 0.1  # while a customer is near its rate limit
MIN_INTERVAL_S = 0.25  # between other reports
INTERVAL_PER_PEER_S = 0.02  # keeps the total rate constant as peers are added
LIVENESS_INTERVALS = 3.2  # tolerates two lost reports
SNAPSHOT_TTL_S = 0.05  # half of URGENT_INTERVAL_S
MAX_REPORT_BYTES = 60_000  # below the maximum size of a UDP datagram


class Report(msgspec.Struct, frozen=True, array_like=True):
    """The status of one instance.

    Attributes:
        name: The instance's name.
        incarnation: Random id of its process.
        number: Sequence number within the process.
        is_leaving: Whether the process is about to exit.
        is_draining: Whether it accepts no new work.
        revision: The revision of the configuration that it has in force.
        registry_revision: The latest registry revision that it knows.
        spent: Operations admitted since its start, by customer; counts of missing
            customers are unchanged.
        heard: Milliseconds since each primary last answered it, by the checksum of
            group and primary; None if left out of this report.
        strength: Its relative capacity.
        failure_domain: The failure domain it runs in.
        is_current: Whether its calls to the store, if any, are answered.
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
        address: The address it reports from.
        last_report_at: When that report arrived, in seconds.
        heard_received_at: When its last report with ``heard`` arrived, in seconds.
        is_silent: Whether it was logged as silent.
    """

    report: Report
    address: Address
    last_report_at: float
    heard_received_at: float
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """The instances that are known and live at one time."""

    at: float
    live_instances: list[str]
    known_instances: list[str]
    serving: dict[str, int]
    has_majority: bool
    is_watcher: bool
    is_preferred_watcher: bool


class Peers(asyncio.DatagramProtocol):
    """Sends this instance's reports and processes those of the others.

    Args:
        name: This instance's name.
        report: Builds a report from an incarnation and a sequence number.
        urgent: Returns the operations admitted, by customer near its rate limit.
        clock: Returns the time in seconds.
        rng: Random source for the incarnation.
        failure_domain: The failure domain this instance runs in.

    Attributes:
        on_spent: Called with a peer, a customer and the number of operations that the
            peer admitted since its last report.
        on_report: Called with each report accepted.
        has_news: Whether new revisions have to be sent to nearby peers soon.
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
        self._urgent_sent: dict[str, int] = {}
        self._sent_at = float("-inf")
        self._departed: set[tuple[str, int]] = set()
        self._cached_snapshot = _Snapshot(float("-inf"), [], [], {}, True, True, True)

    async def listen(self, address: Address, seeds: Iterable[Address]) -> None:
        """Open the socket.

        Args:
            address: The local address.
            seeds: Addresses of instances to report to before they are known.
        """
        self._seeds = tuple(seeds)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    @property
    def now(self) -> float:
        """The current time of the clock for reports, in seconds."""
        return self._clock()

    @property
    def live_instances(self) -> list[str]:
        """The instances with a recent report, and this instance."""
        return self._snapshot.live_instances

    @property
    def known_instances(self) -> list[str]:
        """All known instances, live or not, and this instance."""
        return self._snapshot.known_instances

    @property
    def report_interval_s(self) -> float:
        """Seconds between two regular reports."""
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * (1 + len(self.peers)))

    @property
    def liveness_timeout_s(self) -> float:
        """Seconds without a report after which a peer is no longer live."""
        return LIVENESS_INTERVALS * self.report_interval_s

    @property
    def serving(self) -> dict[str, int]:
        """The relative capacity of each other instance that is live, not draining."""
        return self._snapshot.serving

    @property
    def newest_revisions(self) -> tuple[int, int]:
        """The highest configuration and registry revisions that any peer reported."""
        reports = [peer.report for peer in self.peers.values()]
        return (
            max((report.revision for report in reports), default=0),
            max((report.registry_revision for report in reports), default=0),
        )

    def choose_newer_peer(
        self, revision: int, registry_revision: int, excluded: Collection[str]
    ) -> str | None:
        """Choose a live peer that has newer revisions, None if there is none.

        Peers in this failure domain are preferred, and instances choose different
        peers to spread the load.

        Args:
            revision: The configuration revision known here.
            registry_revision: The registry revision known here.
            excluded: Peers to exclude.
        """
        candidates = [
            name
            for name, peer in self.peers.items()
            if name not in excluded
            and (
                peer.report.revision > revision
                or peer.report.registry_revision > registry_revision
            )
            and self._clock() - peer.last_report_at < self.liveness_timeout_s
        ]
        nearby = [n for n in candidates if self._is_nearby(self.peers[n])]
        return rendezvous(self._name, nearby or candidates)

    def last_report_at(self, name: str) -> float:
        """Return the time of a peer's last report, in seconds."""
        peer = self.peers.get(name)
        return peer.last_report_at if peer is not None else float("-inf")

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches the store instead of relying on its peers."""
        return self._snapshot.is_watcher

    @property
    def is_preferred_watcher(self) -> bool:
        """Whether it would watch the store if the store answered every instance."""
        return self._snapshot.is_preferred_watcher

    def address_of(self, name: str) -> Address | None:
        """Return the address of an instance, None if unknown."""
        peer = self.peers.get(name)
        return peer.address if peer is not None else self._addresses.get(name)

    @property
    def has_majority(self) -> bool:
        """Whether the live instances are a majority of the known ones."""
        return self._snapshot.has_majority

    @property
    def _snapshot(self) -> _Snapshot:
        now = self._clock()
        if now - self._cached_snapshot.at >= SNAPSHOT_TTL_S:
            self._cached_snapshot = self._take_snapshot(now)
        return self._cached_snapshot

    def _take_snapshot(self, now: float) -> _Snapshot:
        liveness_timeout_s = self.liveness_timeout_s
        peers = {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.last_report_at < liveness_timeout_s
        }
        live = [self._name, *peers]
        known_instances = [
            self._name,
            *({*self._addresses, *self.peers} - {self._name}),
        ]
        serving = {
            name: peer.report.strength
            for name, peer in peers.items()
            if not peer.report.is_draining
        }
        nearby = [name for name, peer in peers.items() if self._is_nearby(peer)]
        answered = [name for name in nearby if peers[name].report.is_current]
        return _Snapshot(
            now,
            live,
            known_instances,
            serving,
            has_majority(live, known_instances),
            is_watcher(self._name, answered, instances=len(known_instances)),
            is_watcher(self._name, nearby, instances=len(known_instances)),
        )

    def update_addresses(self, addresses: dict[str, Address]) -> None:
        """Replace the addresses with those of the instances listed in the store."""
        known = self._addresses
        self._addresses = {n: a for n, a in addresses.items() if n != self._name}
        if self._addresses.keys() - known.keys():
            # Report to new instances before they divide up the connections.
            self._sent_at = float("-inf")
        self._cached_snapshot = self._take_snapshot(self._clock())
        now = self._clock()
        for name, peer in list(self.peers.items()):
            if (
                name not in addresses
                and now - peer.last_report_at > self.liveness_timeout_s
            ):
                del self.peers[name]

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(URGENT_INTERVAL_S)

    def send(self, *, force: bool = False) -> None:
        """Send a report if one is due, or if there are changes to send early.

        Args:
            force: Whether to send a full report even if none is due.
        """
        now = self._clock()
        is_due = force or now - self._sent_at >= self.report_interval_s
        urgent = self._urgent()
        is_urgent = bool(urgent) and urgent != self._urgent_sent
        if not is_due and not is_urgent and not self.has_news:
            return
        # Other failure domains learn of a change from watchers of their own.
        is_nearby_only = not is_due and not is_urgent
        self.has_news = False
        report = self._report(self._incarnation, self._number + 1)
        if not is_due:
            # The rest is sent with the next regular report.
            report = msgspec.structs.replace(report, spent=urgent, heard=None)
        self._number += 1
        self._urgent_sent = urgent
        if is_due:
            self._sent_at = now
        data = msgspec.msgpack.encode(report)
        if len(data) > MAX_REPORT_BYTES:
            emit(REPORT_TOO_LARGE, size=len(data), limit=MAX_REPORT_BYTES)
            return
        if self._transport is None:
            return
        for address in (
            self._nearby_addresses() if is_nearby_only else self._all_addresses()
        ):
            self._transport.sendto(data, address)
        self._log_silent_peers(now)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process a peer's report."""
        try:
            report = msgspec.msgpack.decode(data, type=Report)
        except msgspec.DecodeError as exc:
            emit(REPORT_UNREADABLE, address=addr[0], reason=str(exc))
            return
        sender = (report.name, report.incarnation)
        if report.name == self._name or sender in self._departed:
            return
        now = self._clock()
        known = self.peers.get(report.name)
        is_same_process = (
            known is not None and known.report.incarnation == report.incarnation
        )
        if (
            known is not None
            and is_same_process
            and report.number <= known.report.number
        ):
            return
        was_silent = (
            known is not None and now - known.last_report_at >= self.liveness_timeout_s
        )
        if known is None or known.is_silent:
            emit(PEER_REACHABLE, peer=report.name, address=addr[0])
        # A silent peer was limited to the part of the rate that was reserved for it.
        if not was_silent:
            self._record_spent(known if is_same_process else None, report)
        if report.is_leaving:
            self._departed.add(sender)
            self.peers.pop(report.name, None)
            self._addresses.pop(report.name, None)
            return
        heard_received_at = now
        if is_same_process and known is not None:
            if report.heard is None:
                heard_received_at = known.heard_received_at
            report = _merge_reports(report, known.report)
        address = (addr[0], addr[1])
        self.peers[report.name] = Peer(report, address, now, heard_received_at)
        self.on_report(report)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; a peer that does not listen times out."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _record_spent(self, known: Peer | None, report: Report) -> None:
        # The first report of an unknown instance may include operations that were
        # admitted long ago.
        if known is None and report.name not in self.peers:
            return
        previous = known.report.spent if known is not None else {}
        for customer, count in report.spent.items():
            increase = count - previous.get(customer, 0)
            if increase > 0:
                self.on_spent(report.name, customer, increase)

    def _is_nearby(self, peer: Peer) -> bool:
        return peer.report.failure_domain == self._failure_domain

    def _nearby_addresses(self) -> set[Address]:
        return {peer.address for peer in self.peers.values() if self._is_nearby(peer)}

    def _all_addresses(self) -> set[Address]:
        return {
            *self._addresses.values(),
            *(peer.address for peer in self.peers.values()),
            *self._seeds,
        }

    def _log_silent_peers(self, now: float) -> None:
        for name, peer in self.peers.items():
            if (
                not peer.is_silent
                and now - peer.last_report_at >= self.liveness_timeout_s
            ):
                peer.is_silent = True
                emit(
                    PEER_SILENT, peer=name, silent_s=round(now - peer.last_report_at, 2)
                )


def _merge_reports(report: Report, previous: Report) -> Report:
    heard = previous.heard if report.heard is None else report.heard
    return msgspec.structs.replace(
        report, spent=previous.spent | report.spent, heard=heard
    )
