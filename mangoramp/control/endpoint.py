"""The registry entry of a database server."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

from ..decoding import MAX_INTEGER
from .settings import Address

MAX_PORT = 65_535
MAX_SLOTS = 65_535  # more statements at once than a server has connections
MAX_COLD_S = 7 * 24 * 3600.0
MAX_WORD_CHARS = 256


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The registry entry of one database server.

    Attributes:
        id: The server's id.
        group: The database group it belongs to.
        address: Its host and port.
        failure_domain: The failure domain it runs in.
        slots: Statements it can run concurrently.
        is_draining: Whether it is being drained before shutdown.
        is_primary: Whether it reports itself as its group's primary.
        started_ms: Start time in Unix milliseconds; 0 if not reported.
        sequence: The number of reports of its process up to this entry.
        cold_left_s: Seconds that it stayed cold when it wrote this entry.
    """

    id: str
    group: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_draining: bool
    is_primary: bool
    started_ms: int = 0
    sequence: int = 0
    cold_left_s: float = 0.0

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders the entries of one server, independent of the store's revisions."""
        return (self.started_ms, self.sequence)


def find_problem(endpoint: Endpoint) -> str:
    """Return why an entry names no server that can be used, empty if it does.

    Entries also come from other writers and from peers, so their values may be any that
    their types allow.
    """
    checks = {
        "its id is not a word": _is_word(endpoint.id),
        "its group is not a word": _is_word(endpoint.group),
        "its address is not an IPv4 address and a port": is_address(endpoint.address),
        f"its slots are not 1 to {MAX_SLOTS}": 1 <= endpoint.slots <= MAX_SLOTS,
        "its start is out of range": 0 <= endpoint.started_ms <= MAX_INTEGER,
        "its sequence is out of range": 0 <= endpoint.sequence <= MAX_INTEGER,
        "its cold time is out of range": endpoint.cold_left_s <= MAX_COLD_S,
    }
    return next((problem for problem, is_good in checks.items() if not is_good), "")


def is_address(address: Address) -> bool:
    """Return whether an address is an IPv4 address and a port.

    A host name would be looked up, which blocks the process.
    """
    host, port = address
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 1 <= port <= MAX_PORT


def _is_word(text: str) -> bool:
    """Return whether a text can be a field of a message to a server."""
    is_short = 0 < len(text) <= MAX_WORD_CHARS
    return is_short and text.isascii() and text.isprintable() and " " not in text
