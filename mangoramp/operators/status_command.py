"""The command ``mangoramp status``."""

from __future__ import annotations

import argparse
from collections.abc import Iterator

from returns.result import Success

from .output import Exit, call, fail, print_json, print_table
from .status import FleetReport, InstanceReport, fleet_status

PROXY_HEAD = ("PROXY", "FAILURE DOMAIN", "STATE", "TABLE", "PLATFORM HEARD")
SERVER_HEAD = (
    *("GROUP", "SERVER", "SEEN BY", "STATE", "TERM", "POSITION", "LAG", "BUSY"),
)


def add_status_command(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("--platform", required=True, metavar="URL")
    parser.add_argument("--json", action="store_true", help="answer in JSON")
    parser.set_defaults(run=_status)


def _status(args: argparse.Namespace) -> Exit:
    found = call(args.platform, fleet_status)
    if not isinstance(found, Success):
        return fail(found.failure())
    if args.json:
        print_json(found.unwrap())
    else:
        _print(found.unwrap())
    return Exit.OK


def _print(fleet: FleetReport) -> None:
    print(f"table: version {fleet.table_version}, {fleet.table_rows} rows\n")
    rows = [_proxy(instance, fleet.table_version) for instance in fleet.instances]
    print_table(PROXY_HEAD, rows)
    print()
    groups = [(g.name, g.term, g.primary or "none") for g in fleet.groups]
    print_table(("GROUP", "TERM", "PRIMARY"), groups)
    print()
    print_table(SERVER_HEAD, _servers(fleet))


def _proxy(instance: InstanceReport, version: int) -> tuple[str, ...]:
    says = instance.says
    if says is None:
        state, table, heard = "no answer", "-", "-"
    else:
        state = "ready" if says.ready else "not ready"
        behind = "" if says.table_version == version else " (not in force)"
        table = f"{says.table_version}{behind}"
        age_s = says.platform_heard_s
        heard = "never" if age_s is None else f"{age_s:.1f} s ago"
    if instance.leaving:
        state = f"{state}, leaving"
    return (instance.name, instance.failure_domain, state, table, heard)


def _servers(fleet: FleetReport) -> Iterator[tuple[object, ...]]:
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
