"""The operators' table as CSV."""

from __future__ import annotations

import csv
import io

from returns.result import Failure, Result, Success

from ..catalog import KIND_TABLE
from ..errors import Fault
from ..platform.client import PlatformClient
from ..platform.objects import Row, TableShard

SHARD = "0"
COLUMNS = ("customer", "group", "weight", "rate", "burst", "read_age_s")


def parse_table(text: str) -> tuple[Row, ...]:
    """Read rows from CSV.

    Args:
        text: The table with its head line.
    """
    rows = csv.DictReader(io.StringIO(text))
    return tuple(
        Row(
            customer=row["customer"],
            group=row["group"],
            weight=float(row["weight"]),
            rate=float(row["rate"]),
            burst=float(row["burst"]),
            read_age_s=float(row["read_age_s"]),
        )
        for row in rows
    )


async def import_table(
    client: PlatformClient, rows: tuple[Row, ...]
) -> Result[bool, Fault]:
    """Replace the table.

    Args:
        client: The platform.
        rows: The new rows.

    Returns:
        False if somebody else changed the table at the same time.
    """
    found = await client.get(KIND_TABLE, SHARD, TableShard)
    if not isinstance(found, Success):
        return Failure(found.failure())
    version = found.unwrap().version
    return await client.put(KIND_TABLE, SHARD, TableShard(rows), version=version)
