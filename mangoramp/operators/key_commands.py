"""The commands ``mangoramp keys give|withdraw|list|rotate-signing``."""

from __future__ import annotations

import argparse
import sys
from datetime import UTC, datetime

from returns.result import Success

from .keys import (
    DEFAULT_SIGNING_KEY_COUNT,
    ListedKey,
    give_key,
    list_keys,
    rotate_signing_key,
    withdraw_key,
)
from .output import ExitCode, call_platform, print_json, print_table, report_fault


def add_key_commands(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands of ``mangoramp keys``."""
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    give = _add_action(actions, "give", "give a customer a new key; it is shown once")
    give.add_argument("--customer", required=True)
    give.set_defaults(run=_give)
    withdraw = _add_action(actions, "withdraw", "withdraw a key")
    withdraw.add_argument("--key-id", required=True)
    withdraw.set_defaults(run=_withdraw)
    show = _add_action(actions, "list", "list the keys in force")
    show.add_argument("--customer", default="")
    show.add_argument("--json", action="store_true", help="print JSON")
    show.set_defaults(run=_list)
    rotate = _add_action(
        actions, "rotate-signing", "replace the key that signs session tokens"
    )
    rotate.add_argument("--keep", type=int, default=DEFAULT_SIGNING_KEY_COUNT)
    rotate.set_defaults(run=_rotate)


def _add_action(
    actions: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    summary: str,
) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=summary)
    parser.add_argument("--platform", required=True, metavar="URL")
    return parser


def _give(args: argparse.Namespace) -> ExitCode:
    if not args.customer.strip():
        print("mangoramp: --customer is empty", file=sys.stderr)
        return ExitCode.USAGE
    new_key = call_platform(
        args.platform, lambda client: give_key(client, args.customer)
    )
    if not isinstance(new_key, Success):
        return report_fault(new_key.failure())
    print_json(new_key.unwrap())
    return ExitCode.OK


def _withdraw(args: argparse.Namespace) -> ExitCode:
    withdrawn = call_platform(
        args.platform, lambda client: withdraw_key(client, args.key_id)
    )
    if not isinstance(withdrawn, Success):
        return report_fault(withdrawn.failure())
    if not withdrawn.unwrap():
        print(f"mangoramp: no key {args.key_id} is in force", file=sys.stderr)
        return ExitCode.USAGE
    print(f"key {args.key_id} withdrawn")
    return ExitCode.OK


def _list(args: argparse.Namespace) -> ExitCode:
    keys = call_platform(args.platform, lambda client: list_keys(client, args.customer))
    if not isinstance(keys, Success):
        return report_fault(keys.failure())
    if args.json:
        print_json(keys.unwrap())
    else:
        rows = [
            (key.key_id, key.customer, _format_created(key)) for key in keys.unwrap()
        ]
        print_table(("KEY ID", "CUSTOMER", "GIVEN"), rows)
    return ExitCode.OK


def _rotate(args: argparse.Namespace) -> ExitCode:
    if args.keep < 1:
        print("mangoramp: --keep must be 1 or more", file=sys.stderr)
        return ExitCode.USAGE
    withdrawn_ids = call_platform(
        args.platform, lambda c: rotate_signing_key(c, keep=args.keep)
    )
    if not isinstance(withdrawn_ids, Success):
        return report_fault(withdrawn_ids.failure())
    print(f"new signing key; withdrawn: {', '.join(withdrawn_ids.unwrap()) or 'none'}")
    return ExitCode.OK


def _format_created(key: ListedKey) -> str:
    if not key.created_s:
        return "-"
    return datetime.fromtimestamp(key.created_s, UTC).isoformat(timespec="seconds")
