"""Exchanges status reports between instances over UDP.

A report contains the sender's whole state, so the next report makes up for a lost one.
Datagrams avoid the head-of-line blocking of a stalled connection.

A few instances report to each other directly. In a large fleet the reports go through
the hubs of each failure domain (``policy/hubs.py``).
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from ..decoding import msgpack_decoder
from ..events import (
    PEER_REACHABLE,
    PEER_SILENT,
    REPORT_NOT_SENT,
    REPORT_TOO_LARGE,
    REPORT_UNREADABLE,
    emit,
)
from ..policy import hubs
from ..policy._rendezvous import rendezvous_order
from ..policy.hubs import HubMembership, Listed, Member
from ..policy.isolation import has_majority, is_isolated
from ..policy.revision import Revision
from ..policy.watchers import WATCHERS_PER_DOMAIN, is_watcher
from .endpoint import is_address
from .reports import KnownState, Report, merge_reports
from .settings import Address

URGENT_INTERVAL_S = 0.1  # while a customer is near its rate limit
MIN_INTERVAL_S = 0.25  # between other reports
INTERVAL_PER_PEER_S = 0.02  # keeps the total rate constant as peers are added
LIVENESS_INTERVALS = 3.2  # tolerates two lost reports
MAX_FLAT_INSTANCES = 12  # up to this many, hubs would save few messages
MAX_STAMP = 2**30
MAX_COUNT_GAP_S = 1.0  # between two counts of a customer; longer than lost reports
SNAPSHOT_TTL_S = 0.05  # half of URGENT_INTERVAL_S
MAX_REPORT_BYTES = 60_000  # below the maximum size of a UDP datagram
MAX_DATAGRAM_BYTES = 65_536
MAX_DATAGRAMS_AT_ONCE = 500  # more than a socket's buffer usually holds


_decode_report = msgpack_decoder(Report)


@dataclass(slots=True)
class Peer:
    """Another instance.

    Attributes:
        report: Its latest report.
        address: The address it reports from.
        last_report_at: When that report arrived, in seconds.
        heard_received_at: When its last report with ``heard`` arrived, in seconds.
        spent_received_at: When each customer's count last arrived, in seconds.
        is_silent: Whether it was logged as silent.
        knows_hubs: Whether a report of its process showed that its build has hubs.
    """

    report: Report
    address: Address
    last_report_at: float
    heard_received_at: float
    spent_received_at: dict[str, float] = field(default_factory=dict)
    is_silent: bool = False
    knows_hubs: bool = False


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """What the choice of homes needs to know of an instance.

    Attributes:
        strength: Its relative capacity.
        failure_domain: The failure domain it runs in, empty if unknown.
    """

    strength: int
    failure_domain: str


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """The instances that are known and live at one time."""

    at: float
    live_instances: list[str]
    known_instances: list[str]
    serving: dict[str, InstanceInfo]
    addresses: dict[str, Address]
    has_majority: bool
    is_watcher: bool
    is_preferred_watcher: bool
    is_first_watcher: bool


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
        on_spent: Called with a peer, a customer, the number of operations that the peer
            admitted since it last reported the customer, and whether that was a short
            time ago.
        on_report: Called with each report accepted.
        has_news: Whether new revisions have to be sent to nearby peers soon.
        is_direct: Returns whether every instance needs the counts of all others.
        stood_in_for: Returns the homes whose customers' operations this instance
            admits, though they are live.
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
        self.on_spent: Callable[[str, str, int, bool], None] = (
            lambda peer, customer, n, is_recent: None
        )
        self.on_report: Callable[[Report], None] = lambda report: None
        self.has_news = False
        self.is_direct: Callable[[], bool] = lambda: False
        self.stood_in_for: Callable[[], Collection[str]] = lambda: ()
        self._failure_domain = failure_domain
        self._urgent = urgent
        self._name = name
        self._report = report
        self._clock = clock
        self._incarnation = rng.getrandbits(48)
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self._addresses: dict[str, Address] = {}
        self._seeds: tuple[Address, ...] = ()
        self._own_address: Address = ("", 0)
        self._urgent_sent: dict[str, int] = {}
        self._sent_at = float("-inf")
        self._departed: set[tuple[str, int]] = set()
        self._others_heard_at: float | None = None
        self._was_isolated = False
        self._cached_snapshot = _Snapshot(
            float("-inf"), [], [], {}, {}, True, True, True, True
        )
        self._listed: dict[str, Listed] = {}
        self._rosters = HubMembership(
            name, failure_domain, first_stamp=rng.randrange(1, MAX_STAMP)
        )

    async def listen(self, address: Address, seeds: Iterable[Address]) -> None:
        """Open the socket.

        Args:
            address: The local address.
            seeds: Addresses of instances to report to before they are known.
        """
        self._seeds = tuple(seeds)
        self._own_address = address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=self._socket
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
    def is_flat(self) -> bool:
        """Whether the instances report to each other directly, without hubs."""
        if self.is_direct():
            return True
        known = {self._name, *self._listed, *self.peers}
        # Without a list, the reports of others show that the fleet is large.
        return len(known) <= MAX_FLAT_INSTANCES and not any(
            peer.report.hub is not None for peer in self.peers.values()
        )

    @property
    def report_interval_s(self) -> float:
        """Seconds between two regular reports of a peer."""
        if not self.is_flat:
            return hubs.REPORT_INTERVAL_S
        return self._flat_interval_s

    @property
    def _flat_interval_s(self) -> float:
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * (1 + len(self.peers)))

    @property
    def liveness_timeout_s(self) -> float:
        """Seconds without a report after which a peer is no longer live."""
        if not self.is_flat:
            return hubs.REMOTE_TIMEOUT_S
        return LIVENESS_INTERVALS * self._flat_interval_s

    @property
    def serving(self) -> dict[str, InstanceInfo]:
        """Each other instance that is live and not draining."""
        return self._snapshot.serving

    @property
    def is_hub(self) -> bool:
        """Whether this instance relays the reports of its failure domain."""
        return not self.is_flat and self._rosters.is_hub(self._clock())

    @property
    def controllers(self) -> list[str]:
        """The live instances that may replace a primary."""
        if self.is_flat:
            return self.live_instances
        found = self._hubs_by_domain(self._clock())
        return [name for members in found.values() for name in members]

    @property
    def source(self) -> str:
        """The hub that this instance learns of the others from, empty for none."""
        return "" if self.is_flat else self._rosters.source

    def set_hubs_per_domain(self, count: int) -> None:
        """Set how many hubs each failure domain has."""
        self._rosters.hubs_per_domain = count

    def has_newer(self, known: KnownState) -> bool:
        """Return whether a live peer has reported more than is known here."""
        return bool(self.newer_peers(known))

    def knows_newer_registry(self, revision: Revision) -> bool:
        """Return whether a live peer has reported a registry newer than a revision."""
        oldest = self._clock() - self.liveness_timeout_s
        return any(
            peer.last_report_at > oldest and peer.report.registry_at > revision
            for peer in self.peers.values()
        )

    def newer_peers(self, known: KnownState) -> list[str]:
        """Return the live peers that have reported more, in the order to ask them.

        Peers in this failure domain come first, and instances ask different peers to
        spread the load.

        Args:
            known: What is known here.
        """
        oldest = self._clock() - self.liveness_timeout_s
        found = {
            name: peer
            for name, peer in self.peers.items()
            if peer.last_report_at > oldest and known.is_behind(peer.report)
        }
        nearby = {name for name, peer in found.items() if self._is_nearby(peer)}
        return [
            *rendezvous_order(self._name, nearby),
            *rendezvous_order(self._name, found.keys() - nearby),
        ]

    def other_sources(self) -> list[str]:
        """Return the live peers that hear of changes first, in the order to ask them.

        They need not have reported anything to this instance.
        """
        domain, now = self._failure_domain, self._clock()
        members = self._flat_members(now) if self.is_flat else self._hubs_by_domain(now)
        nearby = members.get(domain, {}).keys() - {self._name}
        remote = {n for d, found in members.items() if d != domain for n in found}
        return [
            *rendezvous_order(self._name, nearby),
            *rendezvous_order(self._name, remote),
        ]

    def _hubs_by_domain(self, now: float) -> hubs.Domains:
        return {
            domain: {m.name: m for m in self._rosters.hubs(domain, now)}
            for domain in {*self._rosters.live_domains(now), self._failure_domain}
        }

    def last_report_at(self, name: str) -> float:
        """Return the time of a peer's last report, in seconds."""
        peer = self.peers.get(name)
        if peer is not None:
            return peer.last_report_at
        # A hub hears an instance that is listed in its latest roster.
        is_live = name in self._snapshot.addresses and name in self.live_instances
        return self._snapshot.at if is_live else float("-inf")

    def last_reports(self) -> dict[str, float]:
        """Return the time of the last report of each live instance, in seconds."""
        snapshot, peers = self._snapshot, self.peers
        return {
            name: peers[name].last_report_at if name in peers else snapshot.at
            for name in snapshot.live_instances
        }

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches the store instead of relying on its peers."""
        return self._snapshot.is_watcher

    @property
    def is_preferred_watcher(self) -> bool:
        """Whether it would watch the store if the store answered every instance."""
        return self._snapshot.is_preferred_watcher

    @property
    def is_first_watcher(self) -> bool:
        """Whether it checks first, of its failure domain, that nothing is newer."""
        return self._snapshot.is_first_watcher

    def address_of(self, name: str) -> Address | None:
        """Return the address of an instance, None if unknown."""
        peer = self.peers.get(name)
        if peer is not None:
            return peer.address
        address = self._snapshot.addresses.get(name) or self._addresses.get(name)
        if address is not None and not is_address(address):
            return None  # a former build lists instances at any address
        return address

    @property
    def has_majority(self) -> bool:
        """Whether the live instances are a majority of the known ones."""
        return self._snapshot.has_majority

    @property
    def is_isolated(self) -> bool:
        """Whether this failure domain has probably lost all others.

        Followers hear no other domain themselves; their source tells them. A process
        that has started since relies on the others of its domain, too.
        """
        is_listener = self.is_flat or self.is_hub
        if is_listener and self._others_heard_at is not None:
            return is_isolated(self._clock(), self._others_heard_at)
        if not is_listener:
            source = self.peers.get(self._rosters.source)
            return source is not None and source.report.is_isolated
        live = set(self.live_instances)
        return any(
            peer.report.is_isolated and self._is_nearby(peer)
            for name, peer in self.peers.items()
            if name in live
        )

    @property
    def _snapshot(self) -> _Snapshot:
        now = self._clock()
        if now - self._cached_snapshot.at >= SNAPSHOT_TTL_S:
            self._cached_snapshot = self._take_snapshot(now)
        return self._cached_snapshot

    def _take_snapshot(self, now: float) -> _Snapshot:
        if self.is_flat:
            members: hubs.Domains = self._flat_members(now)
            presumed = members
        else:
            if not self._rosters.has_own:
                self._update_own(self._next_report())
            members = self._rosters.live_domains(now)
            presumed = self._rosters.presumed_domains(now)
        live = [self._name, *hubs.merge_members(members)]
        known_instances = [
            self._name,
            *({*self._addresses, *self.peers, *live} - {self._name}),
        ]
        nearby = presumed.get(self._failure_domain, {})
        answered = {name: m for name, m in nearby.items() if m.is_current}
        return _Snapshot(
            now,
            live,
            known_instances,
            {
                m.name: InstanceInfo(m.strength, domain)
                for domain, found in presumed.items()
                for m in found.values()
                if not m.is_draining
            },
            {
                m.name: (m.host, m.port)
                for found in presumed.values()
                for m in found.values()
            },
            has_majority(live, known_instances),
            self._is_among_watchers(answered, len(known_instances)),
            self._is_among_watchers(nearby, len(known_instances)),
            self.is_flat or self._rosters.ranks_among(1, answered.values()),
        )

    def _is_among_watchers(self, nearby: Mapping[str, Member], instances: int) -> bool:
        if self.is_flat:
            return is_watcher(self._name, nearby, instances=instances)
        # The hubs pass changes on, so they watch if the store answers them.
        return self._rosters.ranks_among(WATCHERS_PER_DOMAIN, nearby.values())

    def _flat_members(self, now: float) -> hubs.Domains:
        liveness_timeout_s = self.liveness_timeout_s
        found: dict[str, dict[str, Member]] = {}
        for name, peer in self.peers.items():
            if now - peer.last_report_at < liveness_timeout_s:
                members = found.setdefault(peer.report.failure_domain, {})
                members[name] = _member(peer.report, peer.address)
        return found

    def update_addresses(self, listed: Mapping[str, Listed]) -> None:
        """Replace the instances that are listed in the store."""
        known = self._addresses
        self._listed = dict(listed)
        self._rosters.update_listed(listed)
        self._addresses = {
            n: (i.member.host, i.member.port)
            for n, i in listed.items()
            if n != self._name
        }
        if self._addresses.keys() - known.keys():
            # Report to new instances before they divide up the connections.
            self._sent_at = float("-inf")
        self._cached_snapshot = self._take_snapshot(self._clock())
        now = self._clock()
        for name, peer in list(self.peers.items()):
            if (
                name not in listed
                and now - peer.last_report_at > self.liveness_timeout_s
            ):
                del self.peers[name]

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.send()
            # A follower has nothing to send between its regular reports.
            is_idle = not self._rosters.has_duties and not self.stood_in_for()
            is_follower = not self.is_flat and is_idle
            await asyncio.sleep(
                hubs.REPORT_INTERVAL_S if is_follower else URGENT_INTERVAL_S
            )

    def send(self, *, force: bool = False) -> None:
        """Send the reports that are due, and those with changes to send early.

        Args:
            force: Whether to send full reports even if none is due.
        """
        now = self._clock()
        if self.is_isolated != self._was_isolated:
            self._was_isolated = not self._was_isolated
            self.has_news |= self.is_hub
        if self.is_flat:
            self._send_flat(now, self._all_addresses(), force=force)
        else:
            self._send_to_hubs(now, force=force)
            former_builds = self._former_builds()
            if former_builds:
                self._send_flat(now, former_builds, force=force)
        self._log_silent_peers(now)

    def _send_to_hubs(self, now: float, *, force: bool) -> None:
        report = self._next_report()
        self._update_own(report)
        messages = self._rosters.tick(now, force=force or self.has_news)
        if self.has_news:
            messages += self._rosters.announce(now)
            self.has_news = False
        # Of those that admit operations, the others need only what may exceed a limit.
        report = msgspec.structs.replace(report, spent=self._urgent())
        for message in messages:
            self._send_report(report, message.to.name, message.fields)
        self._send_to_homes(report, {message.to.name for message in messages})

    def _send_to_homes(self, report: Report, told: Collection[str]) -> None:
        """Tell homes, which may have other hubs, what is admitted in their place."""
        if not report.spent:
            return
        for name in self.stood_in_for():
            if name not in told:
                self._send_report(report, name, self._rosters.fields_for(name))

    def _next_report(self) -> Report:
        report = self._report(self._incarnation, self._number + 1)
        return msgspec.structs.replace(report, knows_hubs=True)

    def _update_own(self, report: Report) -> None:
        self._rosters.update_own(_member(report, self._own_address))

    def _send_report(self, report: Report, to: str, fields: hubs.HubFields) -> None:
        self._number += 1
        is_from_member = not fields.is_hub
        is_to_hub = fields.is_hub and not fields.stamps
        report = msgspec.structs.replace(
            report.with_own_proofs() if is_to_hub else report,
            number=self._number,
            heard=None if is_from_member else report.heard,
            hub=fields,
        )
        address = self.address_of(to)
        if address is not None:
            self._send_datagrams(report, (address,))

    def _send_flat(
        self, now: float, addresses: Collection[Address], *, force: bool
    ) -> None:
        is_due = force or now - self._sent_at >= self._flat_interval_s
        urgent = self._urgent()
        is_urgent = bool(urgent) and urgent != self._urgent_sent
        if not is_due and not is_urgent and not self.has_news:
            return
        # Other failure domains learn of a change from watchers of their own.
        is_nearby_only = not is_due and not is_urgent
        self.has_news = False
        report = self._next_report().with_own_proofs()
        if not is_due:
            # The rest is sent with the next regular report.
            report = msgspec.structs.replace(report, spent=urgent, heard=None)
        self._number += 1
        self._urgent_sent = urgent
        if is_due:
            self._sent_at = now
        if is_nearby_only:
            addresses = self._nearby_addresses().intersection(addresses)
        self._send_datagrams(report, addresses)

    def _send_datagrams(self, report: Report, addresses: Iterable[Address]) -> None:
        data = msgspec.msgpack.encode(report)
        if len(data) > MAX_REPORT_BYTES:
            emit(REPORT_TOO_LARGE, size=len(data), limit=MAX_REPORT_BYTES)
            return
        if self._transport is None:
            return
        for address in addresses:
            try:
                self._transport.sendto(data, address)
            except (OSError, OverflowError, ValueError) as exc:
                # An address of another's report or record must not stop the others'.
                emit(REPORT_NOT_SENT, address=str(address), reason=str(exc))

    def _former_builds(self) -> set[Address]:
        """Return the addresses of instances whose build knows no hubs."""
        listed = {n: i for n, i in self._listed.items() if n != self._name}
        heard = {
            peer.address
            for name, peer in self.peers.items()
            if not peer.knows_hubs and not (name in listed and listed[name].domain)
        }
        unheard = {
            (i.member.host, i.member.port)
            for name, i in listed.items()
            if not i.domain and name not in self.peers
        }
        return heard | unheard

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process a peer's report, and those that wait behind it.

        A busy process gets to each socket seldom; of the reports that have queued up
        meanwhile, only the latest tell what is known now.
        """
        self._process(data, addr)
        if self._socket is None:
            return
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            try:
                data, addr = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return  # none is waiting, or a peer's port was closed
            self._process(data, addr)

    def _process(self, data: bytes, addr: Address) -> None:
        try:
            report = _decode_report(data)
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
            self._record_spent(known if is_same_process else None, report, now)
        if report.is_leaving:
            self._departed.add(sender)
            self._rosters.record_departure(report.name, report.incarnation)
            self.peers.pop(report.name, None)
            self._addresses.pop(report.name, None)
            return
        self._store_report(known if is_same_process else None, report, addr, now)
        if not self.is_flat:
            self._reply(report, now)
        self.on_report(report)

    def _store_report(
        self, known: Peer | None, report: Report, addr: Address, now: float
    ) -> None:
        """Store an accepted report.

        Args:
            known: What the same process reported before, None if nothing.
            report: The report.
            addr: The address of its sender.
            now: The current time, in seconds.
        """
        knows_hubs = report.knows_hubs or report.hub is not None
        heard_received_at = now
        spent_received_at = dict.fromkeys(report.spent, now)
        if known is not None:
            knows_hubs |= known.knows_hubs
            spent_received_at = known.spent_received_at | spent_received_at
            if report.heard is None:
                heard_received_at = known.heard_received_at
            report = merge_reports(report, known.report)
        if report.failure_domain != self._failure_domain:
            self._others_heard_at = now
        address = (addr[0], addr[1])
        self.peers[report.name] = Peer(
            report,
            address,
            now,
            heard_received_at,
            spent_received_at,
            knows_hubs=knows_hubs,
        )
        self._rosters.record_report(
            _member(report, address),
            report.failure_domain,
            report.hub,
            now,
        )

    def _reply(self, report: Report, now: float) -> None:
        message = self._rosters.reply_to(report.name, now)
        if message is None and report.hub is None:
            # It takes the fleet for a small one until it gets a report like this.
            message = self._rosters.introduce(report.name)
        if message is not None:
            self._send_report(self._next_report(), message.to.name, message.fields)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; a peer that does not listen times out."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _record_spent(self, known: Peer | None, report: Report, now: float) -> None:
        # The first report of an unknown instance may include operations that were
        # admitted long ago.
        if known is None and report.name not in self.peers:
            return
        previous = known.report.spent if known is not None else {}
        for customer, count in report.spent.items():
            increase = count - previous.get(customer, 0)
            if increase <= 0:
                continue
            # Homes report a customer only while it is near its limit.
            is_recent = (
                known is None
                or now - known.spent_received_at.get(customer, float("-inf"))
                <= MAX_COUNT_GAP_S
            )
            self.on_spent(report.name, customer, increase, is_recent)

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
        live = set(self.live_instances)
        for name, peer in self.peers.items():
            if (
                not peer.is_silent
                and name not in live
                and now - peer.last_report_at >= self.liveness_timeout_s
            ):
                peer.is_silent = True
                emit(
                    PEER_SILENT, peer=name, silent_s=round(now - peer.last_report_at, 2)
                )


def _member(report: Report, address: Address) -> Member:
    host, port = address
    return Member(
        report.name,
        report.incarnation,
        host,
        port,
        report.strength,
        report.is_draining,
        report.is_current,
    )
