"""The commands ``mangoramp keys give|withdraw|list|rotate-signing``."""

from __future__ import annotations

import argparse
import sys
from datetime import UTC, datetime

from returns.result import Success

from .keys import (
    SIGNING_KEYS_KEPT,
    ListedKey,
    give_key,
    list_keys,
    rotate_signing_key,
    withdraw_key,
)
from .output import Exit, call, fail, print_json, print_table


def add_key_commands(parser: argparse.ArgumentParser) -> None:
    """Add the actions on keys."""
    actions = parser.add_subparsers(required=True, metavar="ACTION")
    give = _add(actions, "give", "give a customer a new key; it is shown once")
    give.add_argument("--customer", required=True)
    give.set_defaults(run=_give)
    withdraw = _add(actions, "withdraw", "withdraw a key")
    withdraw.add_argument("--key-id", required=True)
    withdraw.set_defaults(run=_withdraw)
    show = _add(actions, "list", "list the keys in force")
    show.add_argument("--customer", default="")
    show.add_argument("--json", action="store_true", help="answer in JSON")
    show.set_defaults(run=_list)
    rotate = _add(actions, "rotate-signing", "change the key of session tokens")
    rotate.add_argument("--keep", type=int, default=SIGNING_KEYS_KEPT)
    rotate.set_defaults(run=_rotate)


def _add(
    actions: argparse._SubParsersAction[argparse.ArgumentParser], name: str, what: str
) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=what)
    parser.add_argument("--platform", required=True, metavar="URL")
    return parser


def _give(args: argparse.Namespace) -> Exit:
    if not args.customer.strip():
        print("mangoramp: --customer is empty", file=sys.stderr)
        return Exit.USAGE
    given = call(args.platform, lambda client: give_key(client, args.customer))
    if not isinstance(given, Success):
        return fail(given.failure())
    print_json(given.unwrap())
    return Exit.OK


def _withdraw(args: argparse.Namespace) -> Exit:
    gone = call(args.platform, lambda client: withdraw_key(client, args.key_id))
    if not isinstance(gone, Success):
        return fail(gone.failure())
    if not gone.unwrap():
        print(f"mangoramp: no key {args.key_id} is in force", file=sys.stderr)
        return Exit.USAGE
    print(f"key {args.key_id} withdrawn")
    return Exit.OK


def _list(args: argparse.Namespace) -> Exit:
    found = call(args.platform, lambda client: list_keys(client, args.customer))
    if not isinstance(found, Success):
        return fail(found.failure())
    if args.json:
        print_json(found.unwrap())
    else:
        rows = [(key.key_id, key.customer, _given(key)) for key in found.unwrap()]
        print_table(("KEY ID", "CUSTOMER", "GIVEN"), rows)
    return Exit.OK


def _rotate(args: argparse.Namespace) -> Exit:
    if args.keep < 1:
        print("mangoramp: --keep must be 1 or more", file=sys.stderr)
        return Exit.USAGE
    done = call(args.platform, lambda c: rotate_signing_key(c, keep=args.keep))
    if not isinstance(done, Success):
        return fail(done.failure())
    print(f"new signing key; withdrawn: {', '.join(done.unwrap()) or 'none'}")
    return Exit.OK


def _given(key: ListedKey) -> str:
    if not key.created_s:
        return "-"
    return datetime.fromtimestamp(key.created_s, UTC).isoformat(timespec="seconds")
