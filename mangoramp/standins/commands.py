"""Implements the commands ``mangoramp standin platform|seed|endpoint``."""

from __future__ import annotations

import argparse
import asyncio
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success
from tornado.httpserver import HTTPServer

from ..operators.output import ExitCode, call_platform, report_fault
from ..signals import install_stop_handler
from .platform import Platform
from .seed import SeedFile, read_seed, seed_platform

# Imported lazily: pg_mimic is large and only the endpoint stand-in needs it.
if TYPE_CHECKING:
    from .endpoint import EndpointOptions


def add_standin_commands(parser: argparse.ArgumentParser) -> None:
    """Add a subcommand for each kind of stand-in."""
    kinds = parser.add_subparsers(required=True, metavar="KIND")
    platform = kinds.add_parser(
        "platform", help="run a stand-in for the platform's object API"
    )
    platform.add_argument("--port", type=int, required=True)
    platform.set_defaults(run=_platform)
    seed_parser = kinds.add_parser(
        "seed", help="create the database groups of a file on the platform"
    )
    seed_parser.add_argument("--platform", required=True)
    seed_parser.add_argument("--file", type=Path, required=True)
    seed_parser.set_defaults(run=_seed)
    endpoint = kinds.add_parser("endpoint", help="run a stand-in database server")
    endpoint.add_argument("--name", required=True)
    endpoint.add_argument("--path", type=Path, required=True)
    endpoint.add_argument(
        "--seed", type=Path, help="seed file that provides all other options"
    )
    endpoint.add_argument("--port", type=int, default=0)
    endpoint.add_argument("--control-port", type=int, required=True)
    endpoint.add_argument("--slots", type=int, default=2)
    endpoint.add_argument("--connections", type=int, default=16)
    endpoint.add_argument("--connect-s", type=float, default=0.0)
    endpoint.add_argument("--statement-s", type=float, default=0.0)
    endpoint.add_argument("--primary", action="store_true")
    endpoint.add_argument("--follow", type=int, metavar="PORT")
    endpoint.set_defaults(run=_endpoint)


def _platform(args: argparse.Namespace) -> ExitCode:
    asyncio.run(_run_platform(args.port))
    return ExitCode.OK


def _seed(args: argparse.Namespace) -> ExitCode:
    if _load_seed(args.file) is None:
        return ExitCode.USAGE
    created = call_platform(
        args.platform, lambda client: seed_platform(client, args.file)
    )
    if not isinstance(created, Success):
        return report_fault(created.failure())
    print(f"{created.unwrap()} groups created")
    return ExitCode.OK


def _endpoint(args: argparse.Namespace) -> ExitCode:
    from .endpoint import EndpointOptions

    options = EndpointOptions(
        name=args.name,
        path=args.path,
        port=args.port,
        slots=args.slots,
        connections=args.connections,
        connect_s=args.connect_s,
        statement_s=args.statement_s,
        primary=args.primary,
    )
    follow = args.follow
    if args.seed is not None:
        seed_file = _load_seed(args.seed)
        if seed_file is None:
            return ExitCode.USAGE
        resolved = _apply_seed(seed_file, options)
        if resolved is None:
            print(f"mangoramp: no server {args.name} in {args.seed}", file=sys.stderr)
            return ExitCode.USAGE
        options, follow = resolved
    asyncio.run(_run_endpoint(options, args.control_port, follow))
    return ExitCode.OK


def _load_seed(path: Path) -> SeedFile | None:
    try:
        return read_seed(path)
    except (OSError, msgspec.DecodeError) as exc:
        print(f"mangoramp: {path}: {exc}", file=sys.stderr)
        return None


def _apply_seed(
    seed_file: SeedFile, options: EndpointOptions
) -> tuple[EndpointOptions, int | None] | None:
    for group in seed_file.groups:
        ports = {server.name: server.port for server in group.servers}
        for server in group.servers:
            if server.name != options.name:
                continue
            primary = server.name == group.primary
            seeded = replace(
                options,
                host=server.host,
                port=server.port,
                slots=server.slots,
                connections=server.connections,
                connect_s=seed_file.connect_s,
                primary=primary,
            )
            return seeded, None if primary else ports.get(group.primary)
    return None


async def _run_platform(port: int) -> None:
    server = HTTPServer(Platform().application())
    server.listen(port, address="127.0.0.1")
    await install_stop_handler().wait()


async def _run_endpoint(
    options: EndpointOptions, control_port: int, follow: int | None
) -> None:
    from .endpoint import Endpoint, control_application

    endpoint = Endpoint(options)
    await endpoint.start()
    if follow is not None:
        endpoint.follow(1, (options.host, follow))
    control = HTTPServer(control_application(endpoint))
    control.listen(control_port, address=options.host)
    await install_stop_handler().wait()
    await endpoint.stop()
