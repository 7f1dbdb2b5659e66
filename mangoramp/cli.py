"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from returns.result import Result, Success
from tornado.httpserver import HTTPServer

from . import events
from .demo import demo
from .errors import Fault
from .operators.keys import give_key
from .operators.table import import_table, parse_table
from .platform.client import PlatformClient
from .proxy import Proxy, run_until_stopped
from .settings import ProxySettings, load_settings
from .standins.endpoint import Endpoint, EndpointOptions, control_application
from .standins.platform import Platform
from .standins.seed import seed

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Args:
        argv: The arguments, the process's own if None.

    Returns:
        The exit code: 0 done, 1 failed, 2 wrong usage or settings.
    """
    args = _parser().parse_args(argv)
    code: int = args.run(args)
    return code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="mangoramp", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    proxy = commands.add_parser("proxy", help="run a proxy")
    proxy.add_argument("--settings", type=Path, required=True)
    proxy.set_defaults(run=_proxy)
    check = commands.add_parser("check", help="check a settings file")
    check.add_argument("--settings", type=Path, required=True)
    check.set_defaults(run=_check)
    _add_table(commands.add_parser("table", help="the operators' table"))
    _add_keys(commands.add_parser("keys", help="customers' keys"))
    show = commands.add_parser("demo", help="run a small fleet in this process")
    show.set_defaults(run=_demo)
    _add_standins(commands.add_parser("standin", help="run a stand-in"))
    return parser


def _add_table(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    load = actions.add_parser("import", help="replace the table by a CSV file")
    load.add_argument("--platform", required=True)
    load.add_argument("--file", type=Path, required=True)
    load.set_defaults(run=_table_import)


def _add_keys(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    give = actions.add_parser("give", help="give a customer a new key")
    give.add_argument("--platform", required=True)
    give.add_argument("--customer", required=True)
    give.set_defaults(run=_keys_give)


def _add_standins(parser: argparse.ArgumentParser) -> None:
    kinds = parser.add_subparsers(required=True, metavar="KIND")
    platform = kinds.add_parser("platform", help="the platform's object API")
    platform.add_argument("--port", type=int, required=True)
    platform.set_defaults(run=_standin_platform)
    fill = kinds.add_parser("seed", help="fill the platform's stand-in from a file")
    fill.add_argument("--platform", required=True)
    fill.add_argument("--file", type=Path, required=True)
    fill.set_defaults(run=_standin_seed)
    endpoint = kinds.add_parser("endpoint", help="a database server")
    endpoint.add_argument("--name", required=True)
    endpoint.add_argument("--path", type=Path, required=True)
    endpoint.add_argument("--port", type=int, required=True)
    endpoint.add_argument("--control-port", type=int, required=True)
    endpoint.add_argument("--slots", type=int, default=2)
    endpoint.add_argument("--connections", type=int, default=16)
    endpoint.add_argument("--connect-s", type=float, default=0.0)
    endpoint.add_argument("--statement-s", type=float, default=0.0)
    endpoint.add_argument("--primary", action="store_true")
    endpoint.add_argument("--follow", type=int, metavar="PORT")
    endpoint.set_defaults(run=_standin_endpoint)


def _proxy(args: argparse.Namespace) -> int:
    loaded = load_settings(args.settings)
    if not isinstance(loaded, Success):
        return _print_mistakes(loaded.failure())
    cfg = loaded.unwrap()
    events.configure(level=cfg.log.level, json=cfg.log.json)
    asyncio.run(_run_proxy(cfg))
    return EXIT_OK


def _check(args: argparse.Namespace) -> int:
    loaded = load_settings(args.settings)
    if not isinstance(loaded, Success):
        return _print_mistakes(loaded.failure())
    print("ok")
    return EXIT_OK


def _table_import(args: argparse.Namespace) -> int:
    rows = parse_table(args.file.read_text())
    return asyncio.run(_call(args.platform, lambda c: import_table(c, rows)))


def _keys_give(args: argparse.Namespace) -> int:
    return asyncio.run(_call(args.platform, lambda c: give_key(c, args.customer)))


async def _call(
    url: str, action: Callable[[PlatformClient], Awaitable[Result[object, Fault]]]
) -> int:
    client = PlatformClient(url)
    done = await action(client)
    client.close()
    if not isinstance(done, Success):
        print(done.failure().message, file=sys.stderr)
        return EXIT_FAILED
    print(msgspec.json.encode(done.unwrap()).decode())
    return EXIT_OK


def _print_mistakes(mistakes: tuple[str, ...]) -> int:
    for mistake in mistakes:
        print(mistake, file=sys.stderr)
    return EXIT_USAGE


def _demo(args: argparse.Namespace) -> int:
    events.configure(level="WARNING", json=False)
    asyncio.run(demo())
    return EXIT_OK


def _standin_platform(args: argparse.Namespace) -> int:
    asyncio.run(_run_platform(args.port))
    return EXIT_OK


def _standin_seed(args: argparse.Namespace) -> int:
    return asyncio.run(_call(args.platform, lambda c: seed(c, args.file)))


def _standin_endpoint(args: argparse.Namespace) -> int:
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
    asyncio.run(_run_endpoint(options, args.control_port, args.follow))
    return EXIT_OK


def _stop_signal() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def _stop_signals() -> tuple[asyncio.Event, asyncio.Event]:
    first, second = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop() -> None:
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    return first, second


async def _run_proxy(cfg: ProxySettings) -> None:
    proxy = Proxy(cfg)
    stopped, hurry = _stop_signals()
    await run_until_stopped(proxy, stopped, hurry)


async def _run_platform(port: int) -> None:
    server = HTTPServer(Platform().application())
    server.listen(port, address="127.0.0.1")
    await _stop_signal().wait()


async def _run_endpoint(
    options: EndpointOptions, control_port: int, follow: int | None
) -> None:
    endpoint = Endpoint(options)
    await endpoint.start()
    if follow is not None:
        endpoint.follow(1, (options.host, follow))
    control = HTTPServer(control_application(endpoint))
    control.listen(control_port, address=options.host)
    await _stop_signal().wait()
    await endpoint.stop()
