"""Exchanges the homes' load at each server over UDP.

A report contains the sender's whole load, so the next report makes up for a lost one.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

import msgspec

from ..decoding import msgpack_decoder
from ..events import REPORT_NOT_SENT, REPORT_UNREADABLE, emit
from .settings import Address

MAX_DATAGRAM_BYTES = 1_200  # fits into one packet on every usual network
FRESH_S = 1.0  # five reports; an older one says nothing of the present demand
SILENT_S = 2.0  # a home that is silent for longer has no part any more


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """A home's load at one server.

    Numbers are integers, which take fewer bytes than floats.

    Attributes:
        server: The checksum of the server's id.
        in_flight: Statements in flight.
        waiting: Statements that wait for a connection, by priority class.
        rates: Answers per ten seconds, by priority class.
        statement_us: Mean time of a statement in microseconds.
    """

    server: int
    in_flight: int
    waiting: dict[int, int]
    rates: dict[int, int]
    statement_us: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A home's load; servers that are left out have none.

    Attributes:
        name: The home's name.
        incarnation: Random id of its process.
        number: Sequence number within the process, the same for all parts of a report.
        servers: The load at each server.
    """

    name: str
    incarnation: int
    number: int
    servers: tuple[ServerLoad, ...]


_decode_report = msgpack_decoder(LoadReport)


@dataclass(slots=True)
class _Sender:
    incarnation: int
    number: int
    received_at: float
    loads: dict[int, ServerLoad] = field(default_factory=dict)


class LoadReports(asyncio.DatagramProtocol):
    """Sends this home's load and keeps the latest of the other homes.

    Args:
        name: This instance's name.
        address_of: Returns the address of an instance's load reports, None if unknown.
        clock: Returns the time in seconds.
        rng: Random source for the incarnation.
    """

    def __init__(
        self,
        name: str,
        address_of: Callable[[str], Address | None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._address_of = address_of
        self._clock = clock
        self._incarnation = rng.getrandbits(32)
        self._number = 0
        self._senders: dict[str, _Sender] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: Address) -> None:
        """Open the socket.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, homes: Collection[str], loads: Sequence[ServerLoad]) -> None:
        """Send this home's load to the other homes.

        Args:
            homes: The names of the homes.
            loads: The load at each server.
        """
        self._number += 1
        if self._transport is None:
            return
        datagrams = self._encode(tuple(loads))
        for home in homes:
            address = None if home == self._name else self._address_of(home)
            if address is not None:
                self._send(datagrams, address)

    def _send(self, datagrams: list[bytes], address: Address) -> None:
        assert self._transport is not None
        try:
            for data in datagrams:
                self._transport.sendto(data, address)
        except (OSError, OverflowError, ValueError) as exc:
            # An address of another's report must not stop the others'.
            emit(REPORT_NOT_SENT, address=str(address), reason=str(exc))

    def loads(
        self, homes: Collection[str], server: int
    ) -> tuple[list[ServerLoad], int]:
        """Return the load of the other homes at a server.

        Args:
            homes: The names of the homes.
            server: The checksum of the server's id.

        Returns:
            The loads of the homes with recent reports, and the number of homes whose
            last report is overdue by up to a second.
        """
        now = self._clock()
        found, silent = [], 0
        for home in homes:
            sender = self._senders.get(home)
            if home == self._name or sender is None:
                continue
            age_s = now - sender.received_at
            if age_s <= FRESH_S:
                found.append(sender.loads.get(server) or _no_load(server))
            elif age_s <= SILENT_S:
                silent += 1
        return found, silent

    def expire(self) -> None:
        """Forget the homes that have been silent for too long."""
        oldest = self._clock() - SILENT_S
        for name, sender in list(self._senders.items()):
            if sender.received_at < oldest:
                del self._senders[name]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process a report."""
        try:
            report = _decode_report(data)
        except msgspec.DecodeError as exc:
            emit(REPORT_UNREADABLE, address=addr[0], reason=str(exc))
            return
        self.apply(report)

    def error_received(self, exc: Exception) -> None:
        """Log that a report could not be sent; the next one makes up for it."""
        emit(REPORT_NOT_SENT, reason=str(exc))

    def apply(self, report: LoadReport) -> None:
        """Apply a report, unless a later one of the same process was applied."""
        known = self._senders.get(report.name)
        is_restarted = known is None or known.incarnation != report.incarnation
        if known is None or is_restarted or report.number > known.number:
            known = _Sender(report.incarnation, report.number, self._clock())
            self._senders[report.name] = known
        elif report.number < known.number:
            return
        known.received_at = self._clock()
        known.loads.update({load.server: load for load in report.servers})

    def _encode(self, loads: tuple[ServerLoad, ...]) -> list[bytes]:
        report = LoadReport(self._name, self._incarnation, self._number, loads)
        data = msgspec.msgpack.encode(report)
        if len(data) <= MAX_DATAGRAM_BYTES or len(loads) < 2:
            return [data]
        middle = len(loads) // 2
        return self._encode(loads[:middle]) + self._encode(loads[middle:])


def server_checksum(server_id: str) -> int:
    """Return the number that stands for a server in reports."""
    return zlib.crc32(server_id.encode())


def _no_load(server: int) -> ServerLoad:
    return ServerLoad(server, 0, {}, {}, 0)
