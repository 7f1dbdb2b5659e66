"""Demo of a failover: a fleet in one process and a caller's requests to it."""

from __future__ import annotations

import asyncio
import time

from returns.result import Result, Success

from .client import Answer, Client, RetryBudget, Session
from .errors import Fault
from .standins.endpoint import Faults
from .standins.fleet import Fleet, FleetOptions

CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
ISSUE = "INSERT INTO sheet VALUES ($1, $2)"
SEARCH = "SELECT id, revision FROM sheet WHERE id = $1"
SHEET_COUNT = 4
REQUEST_TIMEOUT_S = 2.0
WRITE_DEADLINE_S = 20.0
RETRY_DELAY_S = 0.2


async def demo() -> None:
    """Start a fleet, write and read through it, cut the primary off, write again."""
    fleet = Fleet(FleetOptions(proxies=2))
    await fleet.start()
    customer, key = next(iter(fleet.keys.items()))
    domains = len(fleet.options.domains)
    proxies = len(fleet.proxies)
    print(f"{domains} database servers, {proxies} proxies; the caller is {customer}.\n")
    # No retries by the client, so that each refusal is printed.
    budget = RetryBudget(retry_ratio=0.0, capacity=0.0)
    first, second = list(fleet.proxies)[:2]
    client = Client(
        [_address(fleet, first), _address(fleet, second)], key, budget=budget
    )
    try:
        await _send_requests(fleet, client.session())
    finally:
        client.close()
        await fleet.stop()


async def _send_requests(fleet: Fleet, session: Session) -> None:
    group = fleet.options.group
    _print_answer("create", await session.run(group, CREATE))
    for number in range(SHEET_COUNT):
        sheet = f"A-{number:03}"
        _print_answer(f"issue {sheet}", await session.run(group, ISSUE, sheet, number))
        _print_answer(f"search {sheet}", await session.run(group, SEARCH, sheet))
    print("\nThe primary is cut off.")
    started = time.monotonic()
    next(iter(fleet.endpoints.values())).set_faults(Faults(cut=True))
    last = f"A-{SHEET_COUNT - 1:03}"
    _print_answer(
        f"search {last}",
        await session.run(group, SEARCH, last, timeout_s=REQUEST_TIMEOUT_S),
    )
    await _retry_write(session, group, started)


async def _retry_write(session: Session, group: str, started: float) -> None:
    """Retry one write with the same idempotency key until it succeeds."""
    sheet = "B-000"
    while time.monotonic() - started < WRITE_DEADLINE_S:
        answer = await session.run(
            group,
            ISSUE,
            sheet,
            0,
            idempotency_key="demo-B-000",
            timeout_s=REQUEST_TIMEOUT_S,
        )
        after_s = time.monotonic() - started
        _print_answer(f"issue {sheet} after {after_s:.1f} s", answer)
        if isinstance(answer, Success):
            found = await session.run(group, SEARCH, sheet, timeout_s=REQUEST_TIMEOUT_S)
            _print_answer(f"search {sheet}", found)
            return
        await asyncio.sleep(answer.failure().retry_after_s or RETRY_DELAY_S)
    print(f"Writes were refused for {WRITE_DEADLINE_S:g} s: no other server took over.")


def _print_answer(action: str, answer: Result[Answer, Fault]) -> None:
    if not isinstance(answer, Success):
        fault = answer.failure()
        print(f"{action:<28} {fault.outcome}: {fault.code}: {fault.message}")
        return
    found = answer.unwrap()
    kind = "replica" if found.replica else "primary"
    print(f"{action:<28} done at {found.server} ({kind}) {found.rows or ''}")


def _address(fleet: Fleet, proxy: str) -> str:
    return f"http://127.0.0.1:{fleet.proxies[proxy].cfg.listen_port}"
