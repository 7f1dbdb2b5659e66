"""A holder that could not reach the promotion API orders again after its successor."""

from __future__ import annotations

import asyncio
import pathlib
import time

from fleet import Fleet, Instance, configuration, run_case
from servers import Profile, Server, Service

ZONES = ("zone-a", "zone-b", "zone-c", "zone-a")
SETTLE_S = 5.0
DRAIN_S = 7.5
CUT_BEFORE_S = 0.5
CUT_S = 4.5
WATCH_S = 10.0


async def release(service: Service, fleet: Fleet) -> Server:
    """Report the primary as draining; return it."""
    leaving = service.primary
    fleet.record.note(f"{leaving.id} reports draining")
    leaving.is_draining = True
    leaving.register()
    return leaving


async def play(fleet: Fleet) -> bool:
    """Cut the machine that did the duty last from the promotion API at a release."""
    note = fleet.record.note
    service = Service("register", ZONES, Profile(), note)
    routes = [
        {
            "database_name": "orders",
            "service": "register",
            "type": "primary",
            "timeout_ms": 800,
        }
    ]
    services = [{"name": "register", "max_connections": 16, "sync_replicas": 0}]
    await fleet.start([service], configuration(1, routes, services), 3)
    await asyncio.sleep(SETTLE_S)
    leaving = await release(service, fleet)
    await asyncio.sleep(DRAIN_S)
    if service.primary is leaving or not fleet.cloud.calls:
        raise RuntimeError("the first planned release was not carried out")
    leaving.crash()
    fleet.store.delete("servers", leaving.id)
    holder = fleet.cloud.calls[-1].holder
    leader = next(i for i in fleet.instances if i.name == holder)
    note(f"{holder} performed the duty last")
    await asyncio.sleep(3.0)
    await cut_and_release(fleet, service, leader)
    return judge(fleet)


async def cut_and_release(fleet: Fleet, service: Service, leader: Instance) -> None:
    """Release the primary again, with the leader cut from the promotion API."""
    if fleet.has_trouble:
        fleet.record.note(f"{leader.name} is cut from the promotion API")
        leader.cloud.is_silent = True
    heal_at = time.monotonic() + CUT_S
    await asyncio.sleep(CUT_BEFORE_S)
    await release(service, fleet)
    await asyncio.sleep(heal_at - time.monotonic())
    leader.cloud.is_silent = False
    fleet.record.note("the cut is over")
    await asyncio.sleep(WATCH_S)


def judge(fleet: Fleet) -> bool:
    """Return whether no call had a lower token than one before it."""
    seen = 0
    is_lower = False
    for call in fleet.cloud.calls:
        lower = call.token < seen
        is_lower |= lower
        seen = max(seen, call.token)
        fleet.record.note(
            f"call at {fleet.record.at(call.at)}: {call.holder} promotes "
            f"{call.server} with token {call.token}: {call.code}"
            + (" (lower than one seen before)" if lower else "")
        )
    for line in fleet.log_lines("promotion claimed", "promotion requested"):
        fleet.record.note(f"log: {line[:400]}")
    return not is_lower


if __name__ == "__main__":
    run_case(play, str(pathlib.Path(__file__).parent), requires_fencing=False)
