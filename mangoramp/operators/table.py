"""Reads and changes the operators' table on the platform."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from ..catalog import KIND_GROUP, KIND_TABLE
from ..errors import Code, Fault, Outcome, Step
from ..objects import GroupObject, Row, TableShard
from ..platform.client import PlatformClient, Versioned
from ..policy.sheet import Sheet
from ..policy.table import Difference, differences, split
from .change import change, conflict

MAX_SHARD_BYTES = 1_000_000
SET_TRIES = 10

Shards = Mapping[str, Versioned[TableShard]]


@dataclass(frozen=True, slots=True)
class Imported:
    """What became of an import.

    Attributes:
        version: The table's version after it.
        changed: The rows that it changed.
        missing: The rows that it was to change and did not, where it broke off.
        reason: Why it broke off, empty if it is whole.
    """

    version: int
    changed: tuple[Difference, ...] = ()
    missing: tuple[Difference, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Conflict:
    """Somebody else changed the table first; nothing was changed here.

    Attributes:
        edited: The version that the operator's file began from.
        version: The version in force.
        rows: The rows that differ between the file and the table in force.
    """

    edited: int
    version: int
    rows: tuple[Difference, ...]


async def export_table(client: PlatformClient) -> Result[Sheet, Fault]:
    """Read the table with its version."""
    return (await _read(client)).map(_sheet)


async def group_names(client: PlatformClient) -> Result[frozenset[str], Fault]:
    """Read the names of the database groups."""
    found = await client.fetch_changes(KIND_GROUP, GroupObject)
    return found.map(lambda changes: frozenset(o.name for o in changes.objects))


async def import_table(
    client: PlatformClient, sheet: Sheet
) -> Result[Imported | Conflict, Fault]:
    """Replace the table if it still has the version that the sheet began from.

    The shards are changed one after the other, each on the version that was read; an
    import that breaks off between two says which rows it has changed.

    Args:
        client: The platform.
        sheet: The new rows and the version at which they were exported.
    """
    read = await _read(client)
    if not isinstance(read, Success):
        return Failure(read.failure())
    shards = read.unwrap()
    now = _sheet(shards)
    if now.version != sheet.version:
        return Success(_conflict(sheet, shards))
    wanted = _wanted(sheet, shards)
    too_large = [n for n, s in wanted.items() if _size(s) > MAX_SHARD_BYTES]
    if too_large:
        message = f"shard {too_large[0]} would be over {MAX_SHARD_BYTES} bytes"
        return Failure(Fault(Code.BODY_TOO_LARGE, message, Step.PLATFORM))
    return await _write(client, sheet, shards, wanted)


async def set_row(
    client: PlatformClient, name: tuple[str, str], values: Mapping[str, float]
) -> Result[Row | Conflict, Fault]:
    """Change numbers of one row.

    The change is tried again after another operator's, as long as that one left this
    row alone.

    Args:
        client: The platform.
        name: The row's customer and group.
        values: The new numbers by column.

    Returns:
        The row now in force, or the conflict.
    """
    original: Row | None = None
    for _ in range(SET_TRIES):
        read = await _read(client)
        if not isinstance(read, Success):
            return Failure(read.failure())
        shards = read.unwrap()
        shard = _shard_with(shards, name)
        if shard is None or shard.value is None:
            message = f"the table has no row for {name[0]} and {name[1]}"
            return Failure(Fault(Code.BAD_REQUEST, message, Step.PLATFORM))
        row = next(row for row in shard.value.rows if row.name == name)
        original = original or row
        wanted = msgspec.structs.replace(original, **values)
        if row == wanted:
            return Success(row)
        if row != original:
            version = _sheet(shards).version
            return Success(Conflict(version, version, differences([wanted], [row])))
        rows = tuple(wanted if row.name == name else row for row in shard.value.rows)
        made = await _put(client, shard.name, rows, shard.version)
        if made == Success(True):
            return Success(wanted)
        if isinstance(made, Failure) and made.failure().code is not Code.CONFLICT:
            return Failure(made.failure())
    return Failure(conflict("the table is changed too often by others"))


async def _read(client: PlatformClient) -> Result[Shards, Fault]:
    found = await client.fetch_changes(KIND_TABLE, TableShard)
    return found.map(lambda changes: {shard.name: shard for shard in changes.objects})


def _sheet(shards: Shards) -> Sheet:
    version = max((shard.version for shard in shards.values()), default=0)
    rows = [r for s in shards.values() if s.value is not None for r in s.value.rows]
    return Sheet(version, tuple(sorted(rows, key=lambda row: row.name)))


def _wanted(sheet: Sheet, shards: Shards) -> dict[str, tuple[Row, ...]]:
    wanted = split(sheet.rows)
    return {
        name: wanted.get(name, ())
        for name in sorted(wanted.keys() | shards.keys())
        if wanted.get(name, ()) != _rows(shards, name)
    }


def _rows(shards: Shards, name: str) -> tuple[Row, ...]:
    shard = shards.get(name)
    return () if shard is None or shard.value is None else shard.value.rows


def _size(rows: tuple[Row, ...]) -> int:
    return len(msgspec.json.encode(TableShard(rows)))


def _shard_with(shards: Shards, name: tuple[str, str]) -> Versioned[TableShard] | None:
    for shard in shards.values():
        if name in {row.name for row in _rows(shards, shard.name)}:
            return shard
    return None


async def _write(
    client: PlatformClient,
    sheet: Sheet,
    shards: Shards,
    wanted: Mapping[str, tuple[Row, ...]],
) -> Result[Imported | Conflict, Fault]:
    for number, (name, rows) in enumerate(wanted.items()):
        version = shards[name].version if name in shards else 0
        made = await _put(client, name, rows, version)
        if made == Success(True):
            continue
        unsure = isinstance(made, Failure) and made.failure().outcome is Outcome.UNKNOWN
        if number == 0 and not unsure:
            return (await _read(client)).map(lambda now: _conflict(sheet, now))
        reason = "another operator changed the table at the same time"
        if isinstance(made, Failure):
            reason = made.failure().message
        return await _partial(client, sheet, shards, reason)
    after = await _read(client)
    if not isinstance(after, Success):
        return Failure(after.failure())
    changed = differences(sheet.rows, _sheet(shards).rows)
    return Success(Imported(_sheet(after.unwrap()).version, changed))


async def _partial(
    client: PlatformClient, sheet: Sheet, before: Shards, reason: str
) -> Result[Imported | Conflict, Fault]:
    after = await _read(client)
    if not isinstance(after, Success):
        message = f"the import broke off ({reason}) and can't be read back"
        unknown = Outcome.UNKNOWN
        fault = Fault(Code.TIMEOUT, message, Step.PLATFORM, outcome=unknown)
        return Failure(fault)
    now = _sheet(after.unwrap())
    wanted = differences(sheet.rows, _sheet(before).rows)
    missing = differences(sheet.rows, now.rows)
    names = {(row.customer, row.group) for row in missing}
    changed = tuple(row for row in wanted if (row.customer, row.group) not in names)
    return Success(Imported(now.version, changed, missing, reason if missing else ""))


def _conflict(sheet: Sheet, shards: Shards) -> Conflict:
    now = _sheet(shards)
    return Conflict(sheet.version, now.version, differences(sheet.rows, now.rows))


async def _put(
    client: PlatformClient, name: str, rows: tuple[Row, ...], version: int
) -> Result[bool, Fault]:
    shard = TableShard(rows)
    return await change(
        client, KIND_TABLE, name, shard, type_=TableShard, version=version
    )
