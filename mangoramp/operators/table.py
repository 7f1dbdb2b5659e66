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
from .change import change_object, conflict_fault

MAX_SHARD_BYTES = 1_000_000
MAX_SET_ATTEMPTS = 10

Shards = Mapping[str, Versioned[TableShard]]


@dataclass(frozen=True, slots=True)
class ImportResult:
    """The result of an import.

    Attributes:
        version: The table's version after the import.
        changed: The rows that the import changed.
        missing: The rows that it did not change because it was interrupted.
        reason: Why it was interrupted, empty if it is complete.
    """

    version: int
    changed: tuple[Difference, ...] = ()
    missing: tuple[Difference, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Conflict:
    """The table was changed first by another operator; this change was not applied.

    Attributes:
        edited: The version from which the operator's file was exported.
        version: The version in force.
        rows: The rows that differ between the file and the table in force.
    """

    edited: int
    version: int
    rows: tuple[Difference, ...]


async def export_table(client: PlatformClient) -> Result[Sheet, Fault]:
    """Fetch the table with its version."""
    return (await _fetch_shards(client)).map(_build_sheet)


async def fetch_group_names(client: PlatformClient) -> Result[frozenset[str], Fault]:
    """Fetch the names of the database groups."""
    fetched = await client.fetch_changes(KIND_GROUP, GroupObject)
    return fetched.map(lambda changes: frozenset(o.name for o in changes.objects))


async def import_table(
    client: PlatformClient, sheet: Sheet
) -> Result[ImportResult | Conflict, Fault]:
    """Replace the table if its version is still that of the sheet.

    The shards are replaced one by one, each only if its version is still the one that
    was read. If an import is interrupted between shards, its result lists the rows
    that it has changed.

    Args:
        client: Client of the platform.
        sheet: The new rows and the version at which they were exported.
    """
    fetched = await _fetch_shards(client)
    if not isinstance(fetched, Success):
        return Failure(fetched.failure())
    shards = fetched.unwrap()
    current = _build_sheet(shards)
    if current.version != sheet.version:
        return Success(_conflict(sheet, shards))
    changed_shards = _changed_shards(sheet, shards)
    too_large = [
        n for n, s in changed_shards.items() if _encoded_size(s) > MAX_SHARD_BYTES
    ]
    if too_large:
        message = f"shard {too_large[0]} would be over {MAX_SHARD_BYTES} bytes"
        return Failure(Fault(Code.BODY_TOO_LARGE, message, Step.PLATFORM))
    return await _write_shards(client, sheet, shards, changed_shards)


async def set_row(
    client: PlatformClient, name: tuple[str, str], values: Mapping[str, float]
) -> Result[Row | Conflict, Fault]:
    """Change numbers of one row.

    If another operator changes the table at the same time, the change is retried
    unless the other change was to this row.

    Args:
        client: Client of the platform.
        name: The row's customer and group.
        values: The new numbers by column.

    Returns:
        The row now in force, or the conflict.
    """
    original: Row | None = None
    for _ in range(MAX_SET_ATTEMPTS):
        fetched = await _fetch_shards(client)
        if not isinstance(fetched, Success):
            return Failure(fetched.failure())
        shards = fetched.unwrap()
        shard = _find_shard(shards, name)
        if shard is None or shard.value is None:
            message = f"the table has no row for {name[0]} and {name[1]}"
            return Failure(Fault(Code.BAD_REQUEST, message, Step.PLATFORM))
        row = next(row for row in shard.value.rows if row.name == name)
        original = original or row
        updated = msgspec.structs.replace(original, **values)
        if row == updated:
            return Success(row)
        if row != original:
            version = _build_sheet(shards).version
            return Success(Conflict(version, version, differences([updated], [row])))
        rows = tuple(updated if row.name == name else row for row in shard.value.rows)
        put_result = await _put_shard(client, shard.name, rows, shard.version)
        if put_result == Success(True):
            return Success(updated)
        if (
            isinstance(put_result, Failure)
            and put_result.failure().code is not Code.CONFLICT
        ):
            return Failure(put_result.failure())
    return Failure(conflict_fault("the table is changed too often by others"))


async def _fetch_shards(client: PlatformClient) -> Result[Shards, Fault]:
    fetched = await client.fetch_changes(KIND_TABLE, TableShard)
    return fetched.map(lambda changes: {shard.name: shard for shard in changes.objects})


def _build_sheet(shards: Shards) -> Sheet:
    version = max((shard.version for shard in shards.values()), default=0)
    rows = [r for s in shards.values() if s.value is not None for r in s.value.rows]
    return Sheet(version, tuple(sorted(rows, key=lambda row: row.name)))


def _changed_shards(sheet: Sheet, shards: Shards) -> dict[str, tuple[Row, ...]]:
    new_shards = split(sheet.rows)
    return {
        name: new_shards.get(name, ())
        for name in sorted(new_shards.keys() | shards.keys())
        if new_shards.get(name, ()) != _shard_rows(shards, name)
    }


def _shard_rows(shards: Shards, name: str) -> tuple[Row, ...]:
    shard = shards.get(name)
    return () if shard is None or shard.value is None else shard.value.rows


def _encoded_size(rows: tuple[Row, ...]) -> int:
    return len(msgspec.json.encode(TableShard(rows)))


def _find_shard(shards: Shards, name: tuple[str, str]) -> Versioned[TableShard] | None:
    for shard in shards.values():
        if name in {row.name for row in _shard_rows(shards, shard.name)}:
            return shard
    return None


async def _write_shards(
    client: PlatformClient,
    sheet: Sheet,
    shards: Shards,
    changed_shards: Mapping[str, tuple[Row, ...]],
) -> Result[ImportResult | Conflict, Fault]:
    for number, (name, rows) in enumerate(changed_shards.items()):
        version = shards[name].version if name in shards else 0
        put_result = await _put_shard(client, name, rows, version)
        if put_result == Success(True):
            continue
        is_unknown = (
            isinstance(put_result, Failure)
            and put_result.failure().outcome is Outcome.UNKNOWN
        )
        if number == 0 and not is_unknown:
            return (await _fetch_shards(client)).map(
                lambda latest: _conflict(sheet, latest)
            )
        reason = "another operator changed the table at the same time"
        if isinstance(put_result, Failure):
            reason = put_result.failure().message
        return await _partial_result(client, sheet, shards, reason)
    after = await _fetch_shards(client)
    if not isinstance(after, Success):
        return Failure(after.failure())
    changed = differences(sheet.rows, _build_sheet(shards).rows)
    return Success(ImportResult(_build_sheet(after.unwrap()).version, changed))


async def _partial_result(
    client: PlatformClient, sheet: Sheet, previous: Shards, reason: str
) -> Result[ImportResult | Conflict, Fault]:
    after = await _fetch_shards(client)
    if not isinstance(after, Success):
        message = f"the import broke off ({reason}) and can't be read back"
        unknown = Outcome.UNKNOWN
        fault = Fault(Code.TIMEOUT, message, Step.PLATFORM, outcome=unknown)
        return Failure(fault)
    current = _build_sheet(after.unwrap())
    requested = differences(sheet.rows, _build_sheet(previous).rows)
    missing = differences(sheet.rows, current.rows)
    missing_names = {(row.customer, row.group) for row in missing}
    changed = tuple(
        row for row in requested if (row.customer, row.group) not in missing_names
    )
    return Success(
        ImportResult(current.version, changed, missing, reason if missing else "")
    )


def _conflict(sheet: Sheet, shards: Shards) -> Conflict:
    current = _build_sheet(shards)
    return Conflict(
        sheet.version, current.version, differences(sheet.rows, current.rows)
    )


async def _put_shard(
    client: PlatformClient, name: str, rows: tuple[Row, ...], version: int
) -> Result[bool, Fault]:
    shard = TableShard(rows)
    return await change_object(
        client, KIND_TABLE, name, shard, type_=TableShard, version=version
    )
