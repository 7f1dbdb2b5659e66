"""The command ``mangoramp where``: explains where a request would go."""

from __future__ import annotations

import argparse
import http.client
import urllib.parse

import msgspec
from returns.result import Failure, Result, Success

from ..control.settings import Address
from ..decoding import decode_json
from ..errors import Code, Fault, Step
from ..serving.explanation import Explanation, RequestClass, ServerFacts
from .output import ExitCode, print_json, print_table, report_fault

TIMEOUT_S = 5.0
HEADINGS = (
    *("SERVER", "ROLE", "DOMAIN", "LAG", "USUAL", "BUSY", "WAITING", "LIMIT"),
    *("HEARD", "REASONS"),
)


class _Refusal(msgspec.Struct, frozen=True):
    code: str
    message: str


def add_where_command(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument(
        "--instance",
        required=True,
        type=_address,
        metavar="HOST:PORT",
        help="the address that serves the instance's readiness and metrics",
    )
    parser.add_argument("--database", required=True, metavar="NAME")
    parser.add_argument("--customer", required=True, metavar="NAME")
    parser.add_argument(
        "--class",
        dest="request_class",
        choices=[c.value for c in RequestClass],
        default=RequestClass.READ.value,
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_run_where)


def fetch_explanation(
    address: Address, database: str, customer: str, request_class: str
) -> Result[Explanation, Fault]:
    """Ask an instance where a request would go.

    Args:
        address: The address that serves the instance's readiness and metrics.
        database: The name of the database.
        customer: The customer's name.
        request_class: The class of the request.
    """
    query = {"database": database, "customer": customer, "class": request_class}
    conn = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        conn.request("GET", f"/where?{urllib.parse.urlencode(query)}")
        answer = conn.getresponse()
        return _decode(answer.status, answer.read())
    except (OSError, http.client.HTTPException) as exc:
        message = f"{address[0]}:{address[1]} does not answer: {exc}"
        return Failure(Fault(Code.NO_SERVER, message, Step.CONNECT))
    except ValueError as exc:
        message = f"{address[0]}:{address[1]} gave an answer of another form: {exc}"
        return Failure(Fault(Code.INTERNAL, message, Step.CONNECT))
    finally:
        conn.close()


def _decode(status: int, body: bytes) -> Result[Explanation, Fault]:
    if status == http.HTTPStatus.OK:
        return Success(decode_json(body, Explanation))
    refusal = decode_json(body, _Refusal)
    return Failure(Fault(Code(refusal.code), refusal.message, Step.ROUTE))


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise argparse.ArgumentTypeError(f"{text} is not HOST:PORT")
    return host.strip("[]"), int(port)


def _run_where(args: argparse.Namespace) -> ExitCode:
    found = fetch_explanation(
        args.instance, args.database, args.customer, args.request_class
    )
    if not isinstance(found, Success):
        return report_fault(found.failure())
    if args.json:
        print_json(found.unwrap())
    else:
        _print_explanation(found.unwrap())
    return ExitCode.OK


def _print_explanation(found: Explanation) -> None:
    route, home = found.route, found.home
    ready = "" if found.accepts_callers else ", accepts no new callers"
    age = "" if route.max_age_s is None else f" of at most {route.max_age_s:g} s"
    print(f"instance   {found.instance}, configuration {found.version}{ready}")
    print(
        f"route      {route.database} -> {route.group}, {route.rule}{age}, "
        f"timeout {route.timeout_s:g} s, priority {route.priority}"
    )
    print(f"request    {found.request_class} of {found.customer}")
    if home.is_direct:
        print("home       none, each instance holds its own connections")
    else:
        others = ", ".join(home.runners_up) or "none"
        print(f"home       {home.home or 'none in reach'}, runners-up: {others}")
    print(f"verdict    {found.verdict}, server {found.server or 'none'}")
    if found.queue is not None:
        queue = found.queue
        print(f"queue      {queue.ahead} ahead, wait {queue.wait_s:.3f} s")
    elif found.rejection is None and home.home != found.instance:
        print(f"queue      kept by {home.home}")
    if found.rejection is not None:
        rejection = found.rejection
        print(f"rejected   {rejection.code} at {rejection.step}: {rejection.reason}")
        if rejection.retry_after_s is not None:
            print(f"           retry after {rejection.retry_after_s:.3f} s")
    print()
    print_table(HEADINGS, [_server_row(server) for server in found.candidates])
    print()
    print_table(("AGE", "OF"), [(_seconds(a.age_s), a.name) for a in found.ages])


def _server_row(server: ServerFacts) -> tuple[str, ...]:
    limit = server.limit or "known to the home"
    if server.limit_reason:
        limit = f"{limit} ({server.limit_reason})"
    return (
        f"{'>' if server.is_chosen else ' '} {server.id}",
        server.role,
        server.failure_domain,
        _seconds(server.lag_s),
        _seconds(server.latency_s),
        f"{server.busy}/{server.slots}",
        str(server.waiting),
        limit,
        _seconds(server.answer_age_s),
        "; ".join(server.reasons),
    )


def _seconds(value: float | None) -> str:
    return "unknown" if value is None else f"{value:.3f} s"
