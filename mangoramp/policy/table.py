"""The operators' table of customer settings: rows, column limits and shards."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

SHARD_COUNT = 64
MAX_NAME_CHARS = 100


class Row(msgspec.Struct, frozen=True):
    """A row of the operators' table.

    Attributes:
        customer: The customer to whom the row applies.
        group: The database group to which the row applies.
        weight: The customer's relative share when servers are busy.
        rate: The allowed requests per second over the whole fleet.
        burst: The allowed burst of requests over the whole fleet.
        read_age_s: The maximum age of data that reads accept, in seconds.
    """

    customer: str
    group: str
    weight: float
    rate: float
    burst: float
    read_age_s: float

    @property
    def name(self) -> tuple[str, str]:
        """The key of the row: its customer and group."""
        return (self.customer, self.group)


@dataclass(frozen=True, slots=True)
class Column:
    """A numeric column.

    Attributes:
        name: The column's name.
        low: The lowest allowed number.
        high: The highest allowed number.
        unit: The unit of the numbers.
    """

    name: str
    low: float
    high: float
    unit: str

    @property
    def allowed(self) -> str:
        """A description of the allowed numbers, for error messages."""
        return f"a number from {self.low:g} to {self.high:g} ({self.unit})"

    def allows(self, value: float) -> bool:
        """Return whether a number is in the column's range."""
        return self.low <= value <= self.high


NUMBERS: tuple[Column, ...] = (
    Column("weight", 0.01, 1_000, "share when servers are busy"),
    Column("rate", 0, 1_000_000, "requests a second"),
    Column("burst", 0, 1_000_000, "requests at once"),
    Column("read_age_s", 0, 86_400, "seconds"),
)
COLUMNS: tuple[str, ...] = ("customer", "group", *(c.name for c in NUMBERS))


@dataclass(frozen=True, slots=True)
class Difference:
    """A row that differs between two versions of the table.

    Attributes:
        customer: The row's customer.
        group: The row's group.
        mine: The row in the operator's version, None if the row is missing there.
        theirs: The row in force, None if the row is missing there.
    """

    customer: str
    group: str
    mine: Row | None
    theirs: Row | None


def differences(mine: Iterable[Row], theirs: Iterable[Row]) -> tuple[Difference, ...]:
    """Find the rows that differ between two versions of the table."""
    left = {row.name: row for row in mine}
    right = {row.name: row for row in theirs}
    return tuple(
        Difference(*name, left.get(name), right.get(name))
        for name in sorted(left.keys() | right.keys())
        if left.get(name) != right.get(name)
    )


def shard_of(customer: str) -> str:
    """Return the name of the shard that holds a customer's rows."""
    digest = hashlib.blake2b(customer.encode(), digest_size=8).digest()
    return str(int.from_bytes(digest, "big") % SHARD_COUNT)


def split(rows: Iterable[Row]) -> Mapping[str, tuple[Row, ...]]:
    """Split the table into shards, without the empty ones."""
    shards: dict[str, list[Row]] = {}
    for row in sorted(rows, key=lambda row: row.name):
        shards.setdefault(shard_of(row.customer), []).append(row)
    return {name: tuple(shard) for name, shard in shards.items()}
