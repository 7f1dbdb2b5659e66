"""The commands ``mangoramp table export|check|import|set``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Collection
from pathlib import Path

from returns.result import Failure, Result, Success

from ..errors import Fault
from ..policy.sheet import (
    Mistake,
    Sheet,
    format_number,
    format_sheet,
    parse_number,
    parse_sheet,
)
from ..policy.table import NUMBERS, Difference, Row
from .output import Exit, call, fail, print_json
from .table import (
    Conflict,
    Imported,
    export_table,
    group_names,
    import_table,
    set_row,
)


def add_table_commands(parser: argparse.ArgumentParser) -> None:
    """Add the actions on the table."""
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    export = actions.add_parser("export", help="write the table as CSV")
    _add_platform(export)
    export.add_argument("--file", type=Path, help="where to, else standard output")
    export.set_defaults(run=_export)
    check = actions.add_parser("check", help="find the mistakes in a CSV file")
    check.add_argument("--platform", help="check the groups' names there too")
    check.add_argument("--file", type=Path, required=True)
    check.set_defaults(run=_check)
    load = actions.add_parser("import", help="replace the table by a CSV file")
    _add_platform(load)
    load.add_argument("--file", type=Path, required=True)
    load.add_argument("--json", action="store_true", help="answer in JSON")
    load.set_defaults(run=_import)
    change = actions.add_parser("set", help="change numbers of one row")
    _add_platform(change)
    change.add_argument("customer")
    change.add_argument("group")
    change.add_argument("values", nargs="+", metavar="column=value")
    change.add_argument("--json", action="store_true", help="answer in JSON")
    change.set_defaults(run=_set)


def _add_platform(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--platform", required=True, metavar="URL")


def _export(args: argparse.Namespace) -> Exit:
    found = call(args.platform, export_table)
    if not isinstance(found, Success):
        return fail(found.failure())
    text = format_sheet(found.unwrap())
    if args.file is None:
        print(text, end="")
    else:
        args.file.write_text(text, encoding="utf-8")
    return Exit.OK


def _check(args: argparse.Namespace) -> Exit:
    groups: Collection[str] | None = None
    if args.platform is not None:
        found = call(args.platform, group_names)
        if not isinstance(found, Success):
            return fail(found.failure())
        groups = found.unwrap()
    sheet = _read(args.file, groups)
    if not isinstance(sheet, Success):
        return _print_mistakes(args.file, sheet.failure())
    checked = "" if args.platform else "; the groups' names were not checked"
    print(f"{len(sheet.unwrap().rows)} rows, no mistakes{checked}")
    return Exit.OK


def _import(args: argparse.Namespace) -> Exit:
    groups = call(args.platform, group_names)
    if not isinstance(groups, Success):
        return fail(groups.failure())
    sheet = _read(args.file, groups.unwrap())
    if not isinstance(sheet, Success):
        return _print_mistakes(args.file, sheet.failure())
    done = call(args.platform, lambda client: import_table(client, sheet.unwrap()))
    if not isinstance(done, Success):
        return fail(done.failure())
    answer = done.unwrap()
    if args.json:
        print_json(answer)
    if isinstance(answer, Conflict):
        _print_conflict(answer)
        return Exit.CONFLICT
    return _print_imported(answer, quiet=args.json)


def _set(args: argparse.Namespace) -> Exit:
    values = _values(args.values)
    if isinstance(values, str):
        print(f"mangoramp: {values}", file=sys.stderr)
        return Exit.USAGE
    name = (args.customer, args.group)
    done: Result[Row | Conflict, Fault]
    done = call(args.platform, lambda client: set_row(client, name, values))
    if not isinstance(done, Success):
        return fail(done.failure())
    answer = done.unwrap()
    if args.json:
        print_json(answer)
    if isinstance(answer, Conflict):
        _print_conflict(answer)
        return Exit.CONFLICT
    if not args.json:
        print(_shown(answer))
    return Exit.OK


def _read(
    path: Path, groups: Collection[str] | None
) -> Result[Sheet, tuple[Mistake, ...]]:
    try:
        return parse_sheet(path.read_text(encoding="utf-8"), groups)
    except OSError as exc:
        return Failure((Mistake(0, "", str(exc), "a file that can be read"),))
    except UnicodeDecodeError as exc:
        return Failure((Mistake(0, "", str(exc), "text in UTF-8"),))


def _values(texts: list[str]) -> dict[str, float] | str:
    columns = {column.name: column for column in NUMBERS}
    values: dict[str, float] = {}
    for text in texts:
        name, _, number = text.partition("=")
        if name not in columns:
            return f"found {text!r}, allowed: column=value with " + ", ".join(columns)
        value = parse_number(number.strip(), columns[name])
        if value is None:
            return f"{name}: found {number!r}, allowed: {columns[name].allowed}"
        values[name] = value
    return values


def _print_mistakes(path: Path, mistakes: tuple[Mistake, ...]) -> Exit:
    for mistake in mistakes:
        print(f"{path}: {mistake}", file=sys.stderr)
    print(f"{len(mistakes)} mistakes; nothing was changed", file=sys.stderr)
    return Exit.USAGE


def _print_imported(answer: Imported, *, quiet: bool) -> Exit:
    if not quiet:
        print(f"version {answer.version}, {len(answer.changed)} rows changed")
    if not answer.missing:
        return Exit.OK
    print(f"the import is not whole: {answer.reason}", file=sys.stderr)
    print(f"{len(answer.missing)} rows are not as in the file:", file=sys.stderr)
    _print_differences(answer.missing)
    return Exit.UNKNOWN


def _print_conflict(answer: Conflict) -> None:
    print(
        f"conflict: the file began from version {answer.edited}, version"
        f" {answer.version} is in force; nothing was changed",
        file=sys.stderr,
    )
    _print_differences(answer.rows)
    print("export the table again, and make your changes in it", file=sys.stderr)


def _print_differences(rows: tuple[Difference, ...]) -> None:
    for row in rows:
        print(f"{row.customer}, {row.group}:", file=sys.stderr)
        print(f"  yours:    {_shown(row.mine)}", file=sys.stderr)
        print(f"  in force: {_shown(row.theirs)}", file=sys.stderr)


def _shown(row: Row | None) -> str:
    if row is None:
        return "no such row"
    return " ".join(f"{c.name}={format_number(getattr(row, c.name))}" for c in NUMBERS)
