"""The command ``mangoramp status``."""

from __future__ import annotations

import argparse
from collections.abc import Iterator

from returns.result import Success

from .output import ExitCode, call_platform, print_json, print_table, report_fault
from .status import FleetReport, InstanceReport, fetch_fleet_status

PROXY_HEADINGS = ("PROXY", "FAILURE DOMAIN", "STATE", "TABLE", "PLATFORM HEARD")
SERVER_HEADINGS = (
    *("GROUP", "SERVER", "SEEN BY", "STATE", "TERM", "POSITION", "LAG", "BUSY"),
)


def add_status_command(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("--platform", required=True, metavar="URL")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_run_status)


def _run_status(args: argparse.Namespace) -> ExitCode:
    fleet = call_platform(args.platform, fetch_fleet_status)
    if not isinstance(fleet, Success):
        return report_fault(fleet.failure())
    if args.json:
        print_json(fleet.unwrap())
    else:
        _print_status(fleet.unwrap())
    return ExitCode.OK


def _print_status(fleet: FleetReport) -> None:
    print(f"table: version {fleet.table_version}, {fleet.table_rows} rows\n")
    rows = [_proxy_row(instance, fleet.table_version) for instance in fleet.instances]
    print_table(PROXY_HEADINGS, rows)
    print()
    groups = [(g.name, g.term, g.primary or "none") for g in fleet.groups]
    print_table(("GROUP", "TERM", "PRIMARY"), groups)
    print()
    print_table(SERVER_HEADINGS, _server_rows(fleet))


def _proxy_row(instance: InstanceReport, current_version: int) -> tuple[str, ...]:
    report = instance.says
    if report is None:
        state, table, heard = "no answer", "-", "-"
    else:
        state = "ready" if report.ready else "not ready"
        version_note = (
            "" if report.table_version == current_version else " (not in force)"
        )
        table = f"{report.table_version}{version_note}"
        age_s = report.platform_heard_s
        heard = "never" if age_s is None else f"{age_s:.1f} s ago"
    if instance.leaving:
        state = f"{state}, leaving"
    return (instance.name, instance.failure_domain, state, table, heard)


def _server_rows(fleet: FleetReport) -> Iterator[tuple[object, ...]]:
    for instance in fleet.instances:
        if instance.says is None:
            continue
        for group in instance.says.groups:
            for server in group.servers:
                state = "primary" if server.primary else "replica"
                state = state if server.live else "no answer"
                state = f"{state}, leaving" if server.leaving else state
                yield (
                    group.name,
                    server.name,
                    instance.name,
                    state,
                    server.term,
                    server.position,
                    server.lag,
                    f"{server.busy}/{server.slots}",
                )
