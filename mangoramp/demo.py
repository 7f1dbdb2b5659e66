"""The demo: a fleet in one process, and what a caller sees of it."""

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
SHEETS = 4
TRY_S = 2.0
GIVE_UP_S = 20.0
PAUSE_S = 0.2


async def demo() -> None:
    """Start a fleet, write and read through it, kill the primary, and go on."""
    fleet = Fleet(FleetOptions(proxies=2))
    await fleet.start()
    customer, key = next(iter(fleet.keys.items()))
    domains = len(fleet.options.domains)
    proxies = len(fleet.proxies)
    print(f"{domains} database servers, {proxies} proxies; the caller is {customer}.\n")
    # Without retries of the client's own, so that each refusal is seen.
    budget = RetryBudget(share=0.0, most=0.0)
    first, second = list(fleet.proxies)[:2]
    client = Client(
        [_address(fleet, first), _address(fleet, second)], key, budget=budget
    )
    try:
        await _show(fleet, client.session())
    finally:
        client.close()
        await fleet.stop()


async def _show(fleet: Fleet, session: Session) -> None:
    group = fleet.options.group
    _say("create", await session.run(group, CREATE))
    for number in range(SHEETS):
        sheet = f"A-{number:03}"
        _say(f"issue {sheet}", await session.run(group, ISSUE, sheet, number))
        _say(f"search {sheet}", await session.run(group, SEARCH, sheet))
    print("\nThe primary is cut off.")
    started = time.monotonic()
    next(iter(fleet.endpoints.values())).set_faults(Faults(cut=True))
    last = f"A-{SHEETS - 1:03}"
    _say(f"search {last}", await session.run(group, SEARCH, last, timeout_s=TRY_S))
    await _issue_again(session, group, started)


async def _issue_again(session: Session, group: str, started: float) -> None:
    """Send one write with one idempotency key until it is done."""
    sheet = "B-000"
    while time.monotonic() - started < GIVE_UP_S:
        answer = await session.run(
            group, ISSUE, sheet, 0, idempotency_key="demo-B-000", timeout_s=TRY_S
        )
        after_s = time.monotonic() - started
        _say(f"issue {sheet} after {after_s:.1f} s", answer)
        if isinstance(answer, Success):
            found = await session.run(group, SEARCH, sheet, timeout_s=TRY_S)
            _say(f"search {sheet}", found)
            return
        await asyncio.sleep(answer.failure().retry_after_s or PAUSE_S)
    print(f"Writes were refused for {GIVE_UP_S:g} s: no other server took over.")


def _say(what: str, answer: Result[Answer, Fault]) -> None:
    if not isinstance(answer, Success):
        fault = answer.failure()
        print(f"{what:<28} {fault.outcome}: {fault.code}: {fault.message}")
        return
    found = answer.unwrap()
    kind = "replica" if found.replica else "primary"
    print(f"{what:<28} done at {found.server} ({kind}) {found.rows or ''}")


def _address(fleet: Fleet, proxy: str) -> str:
    return f"http://127.0.0.1:{fleet.proxies[proxy].cfg.listen_port}"
