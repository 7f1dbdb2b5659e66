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
from .output import ExitCode, call_platform, print_json, report_fault
from .table import (
    Conflict,
    ImportResult,
    export_table,
    fetch_group_names,
    import_table,
    set_row,
)


def add_table_commands(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands of ``mangoramp table``."""
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    export = actions.add_parser("export", help="write the table as CSV")
    _add_platform_option(export)
    export.add_argument(
        "--file", type=Path, help="output file; default: standard output"
    )
    export.set_defaults(run=_run_export)
    check = actions.add_parser("check", help="check a CSV file for mistakes")
    check.add_argument(
        "--platform", help="also check the names of the groups against this platform"
    )
    check.add_argument("--file", type=Path, required=True)
    check.set_defaults(run=_run_check)
    load = actions.add_parser("import", help="replace the table with a CSV file")
    _add_platform_option(load)
    load.add_argument("--file", type=Path, required=True)
    load.add_argument("--json", action="store_true", help="print JSON")
    load.set_defaults(run=_run_import)
    change = actions.add_parser("set", help="change numbers of one row")
    _add_platform_option(change)
    change.add_argument("customer")
    change.add_argument("group")
    change.add_argument("values", nargs="+", metavar="column=value")
    change.add_argument("--json", action="store_true", help="print JSON")
    change.set_defaults(run=_run_set)


def _add_platform_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--platform", required=True, metavar="URL")


def _run_export(args: argparse.Namespace) -> ExitCode:
    sheet = call_platform(args.platform, export_table)
    if not isinstance(sheet, Success):
        return report_fault(sheet.failure())
    text = format_sheet(sheet.unwrap())
    if args.file is None:
        print(text, end="")
    else:
        args.file.write_text(text, encoding="utf-8")
    return ExitCode.OK


def _run_check(args: argparse.Namespace) -> ExitCode:
    groups: Collection[str] | None = None
    if args.platform is not None:
        names = call_platform(args.platform, fetch_group_names)
        if not isinstance(names, Success):
            return report_fault(names.failure())
        groups = names.unwrap()
    sheet = _read_sheet(args.file, groups)
    if not isinstance(sheet, Success):
        return _print_mistakes(args.file, sheet.failure())
    note = "" if args.platform else "; the groups' names were not checked"
    print(f"{len(sheet.unwrap().rows)} rows, no mistakes{note}")
    return ExitCode.OK


def _run_import(args: argparse.Namespace) -> ExitCode:
    groups = call_platform(args.platform, fetch_group_names)
    if not isinstance(groups, Success):
        return report_fault(groups.failure())
    sheet = _read_sheet(args.file, groups.unwrap())
    if not isinstance(sheet, Success):
        return _print_mistakes(args.file, sheet.failure())
    result = call_platform(
        args.platform, lambda client: import_table(client, sheet.unwrap())
    )
    if not isinstance(result, Success):
        return report_fault(result.failure())
    outcome = result.unwrap()
    if args.json:
        print_json(outcome)
    if isinstance(outcome, Conflict):
        _print_conflict(outcome)
        return ExitCode.CONFLICT
    return _print_import_result(outcome, quiet=args.json)


def _run_set(args: argparse.Namespace) -> ExitCode:
    values = _parse_values(args.values)
    if isinstance(values, str):
        print(f"mangoramp: {values}", file=sys.stderr)
        return ExitCode.USAGE
    name = (args.customer, args.group)
    result: Result[Row | Conflict, Fault]
    result = call_platform(args.platform, lambda client: set_row(client, name, values))
    if not isinstance(result, Success):
        return report_fault(result.failure())
    outcome = result.unwrap()
    if args.json:
        print_json(outcome)
    if isinstance(outcome, Conflict):
        _print_conflict(outcome)
        return ExitCode.CONFLICT
    if not args.json:
        print(_format_row(outcome))
    return ExitCode.OK


def _read_sheet(
    path: Path, groups: Collection[str] | None
) -> Result[Sheet, tuple[Mistake, ...]]:
    try:
        return parse_sheet(path.read_text(encoding="utf-8"), groups)
    except OSError as exc:
        return Failure((Mistake(0, "", str(exc), "a file that can be read"),))
    except UnicodeDecodeError as exc:
        return Failure((Mistake(0, "", str(exc), "text in UTF-8"),))


def _parse_values(arguments: list[str]) -> dict[str, float] | str:
    columns = {column.name: column for column in NUMBERS}
    values: dict[str, float] = {}
    for text in arguments:
        name, _, number = text.partition("=")
        if name not in columns:
            return f"found {text!r}, allowed: column=value with " + ", ".join(columns)
        value = parse_number(number.strip(), columns[name])
        if value is None:
            return f"{name}: found {number!r}, allowed: {columns[name].allowed}"
        values[name] = value
    return values


def _print_mistakes(path: Path, mistakes: tuple[Mistake, ...]) -> ExitCode:
    for mistake in mistakes:
        print(f"{path}: {mistake}", file=sys.stderr)
    print(f"{len(mistakes)} mistakes; nothing was changed", file=sys.stderr)
    return ExitCode.USAGE


def _print_import_result(outcome: ImportResult, *, quiet: bool) -> ExitCode:
    if not quiet:
        print(f"version {outcome.version}, {len(outcome.changed)} rows changed")
    if not outcome.missing:
        return ExitCode.OK
    print(f"the import is incomplete: {outcome.reason}", file=sys.stderr)
    print(f"{len(outcome.missing)} rows differ from the file:", file=sys.stderr)
    _print_differences(outcome.missing)
    return ExitCode.UNKNOWN


def _print_conflict(outcome: Conflict) -> None:
    print(
        f"conflict: the file was exported from version {outcome.edited}, version"
        f" {outcome.version} is in force; nothing was changed",
        file=sys.stderr,
    )
    _print_differences(outcome.rows)
    print(
        "export the table again and repeat your changes in the new file",
        file=sys.stderr,
    )


def _print_differences(rows: tuple[Difference, ...]) -> None:
    for row in rows:
        print(f"{row.customer}, {row.group}:", file=sys.stderr)
        print(f"  yours:    {_format_row(row.mine)}", file=sys.stderr)
        print(f"  in force: {_format_row(row.theirs)}", file=sys.stderr)


def _format_row(row: Row | None) -> str:
    if row is None:
        return "no such row"
    return " ".join(f"{c.name}={format_number(getattr(row, c.name))}" for c in NUMBERS)
