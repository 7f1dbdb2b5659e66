"""The command line interface."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from returns.result import Success

from . import events
from .load import add_load_command
from .operators.explain import add_explain_command
from .operators.key_commands import add_key_commands
from .operators.losses import add_losses_command
from .operators.output import ExitCode
from .operators.status_command import add_status_command
from .operators.table_commands import add_table_commands
from .operators.where_command import add_where_command
from .proxy import Proxy, run_until_stopped
from .settings import ProxySettings, load_settings
from .signals import install_two_stage_stop_handlers
from .standins.commands import add_standin_commands

EXIT_CODES = """exit codes: 0 done; 1 failed; 2 wrong usage, settings or table;
3 conflict, nothing was changed; 4 partial or unknown: read the state again"""


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Args:
        argv: The arguments; the process's arguments if None.

    Returns:
        The exit code, one of :class:`.operators.output.ExitCode`.
    """
    args = _parser().parse_args(argv)
    code: int = args.run(args)
    return code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mangoramp",
        description="A database proxy with session consistency.",
        epilog=EXIT_CODES,
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    proxy = commands.add_parser("proxy", help="run a proxy")
    proxy.add_argument("--settings", type=Path, required=True)
    proxy.set_defaults(run=_proxy)
    serve = commands.add_parser("serve", help="run an instance on the platform")
    serve.set_defaults(run=_serve)
    check = commands.add_parser("check", help="check a settings file")
    check.add_argument("--settings", type=Path, required=True)
    check.set_defaults(run=_check)
    add_table_commands(commands.add_parser("table", help="edit the operators' table"))
    add_key_commands(commands.add_parser("keys", help="manage customers' keys"))
    add_status_command(commands.add_parser("status", help="show the fleet's state"))
    add_explain_command(commands.add_parser("explain", help="trace a request in logs"))
    add_losses_command(
        commands.add_parser("losses", help="rank why statements were late or refused")
    )
    add_where_command(
        commands.add_parser("where", help="explain where a request would go")
    )
    add_load_command(commands.add_parser("load", help="send requests at a rate"))
    demo = commands.add_parser("demo", help="run a small fleet in this process")
    demo.set_defaults(run=_demo)
    add_standin_commands(commands.add_parser("standin", help="run a stand-in"))
    return parser


def _proxy(args: argparse.Namespace) -> ExitCode:
    loaded = load_settings(args.settings)
    if not isinstance(loaded, Success):
        return _print_errors(loaded.failure())
    cfg = loaded.unwrap()
    events.configure(level=cfg.log.level, json=cfg.log.json)
    asyncio.run(_run_proxy(cfg))
    return ExitCode.OK


def _serve(args: argparse.Namespace) -> ExitCode:
    # An instance is usually started by `python3 -m mangoramp.serve`, which avoids the
    # imports of this module.
    from .serve import serve

    return ExitCode(serve())


def _check(args: argparse.Namespace) -> ExitCode:
    loaded = load_settings(args.settings)
    if not isinstance(loaded, Success):
        return _print_errors(loaded.failure())
    print("ok")
    return ExitCode.OK


def _print_errors(errors: tuple[str, ...]) -> ExitCode:
    for error in errors:
        print(error, file=sys.stderr)
    return ExitCode.USAGE


def _demo(args: argparse.Namespace) -> ExitCode:
    # Imported here: the stand-ins' libraries are large, and a proxy doesn't need them.
    from .demo import demo

    events.configure(level="WARNING", json=False)
    asyncio.run(demo())
    return ExitCode.OK


async def _run_proxy(cfg: ProxySettings) -> None:
    proxy = Proxy(cfg)
    stopped, stop_now = install_two_stage_stop_handlers()
    await run_until_stopped(proxy, stopped, stop_now)
