"""One planned release of a primary is carried out by two holders."""

from __future__ import annotations

import asyncio
import pathlib

from fleet import Fleet, configuration, run_case
from platform_api import Promotion
from servers import Profile, Server, Service

ZONES = ("zone-a", "zone-b", "zone-c")
SERVICES = ("first", "second", "third")
INSTANCES = 9
PROFILE = Profile(work_s=0.004, apply_s=0.008, promote_s=0.3)
RELEASES = 38  # of each service
GAPS_S = (0.9, 1.4)  # from the end of one to the start of the next one
START_S = 1.0  # the new server starts first
DRAIN_S = 7.5  # then the one that leaves ends
LEASE_S = 3.0  # what the bench's verdict on this rule names


async def release_all(service: Service, fleet: Fleet) -> None:
    """Replace the primary of a service several times."""
    for _ in range(RELEASES):
        await release(service, fleet)
        await asyncio.sleep(service.rng.uniform(*GAPS_S))


async def release(service: Service, fleet: Fleet) -> None:
    """Replace the primary: a new server starts, the old one drains and ends."""
    service.add_server(service.primary.zone, fleet.store)
    await asyncio.sleep(START_S)
    leaving = service.primary
    fleet.record.note(f"{leaving.id} reports draining")
    leaving.is_draining = True
    leaving.register()
    service.spawn(end_later(leaving, fleet))


async def end_later(leaving: Server, fleet: Fleet) -> None:
    """End a server that leaves, after the time for which it has to serve on."""
    await asyncio.sleep(DRAIN_S)
    leaving.crash()
    fleet.store.delete("servers", leaving.id)


async def play(fleet: Fleet) -> bool:
    """Release the primaries of three services again and again."""
    services = [Service(name, ZONES, PROFILE, fleet.record.note) for name in SERVICES]
    routes = [
        {
            "database_name": f"db-{name}",
            "service": name,
            "type": "primary",
            "timeout_ms": 800,
        }
        for name in SERVICES
    ]
    groups = [
        {"name": name, "max_connections": 16, "sync_replicas": 0} for name in SERVICES
    ]
    await fleet.start(services, configuration(1, routes, groups), INSTANCES)
    await asyncio.sleep(5.0)
    if fleet.has_trouble:
        await asyncio.gather(*(release_all(service, fleet) for service in services))
    await asyncio.sleep(3.0)
    return judge(fleet)


def judge(fleet: Fleet) -> bool:
    """Return whether no two holders took turns inside the lease."""
    turns = 0
    for name in SERVICES:
        calls = [c for c in fleet.cloud.calls if c.service == name]
        for number, call in enumerate(calls):
            other = _turn(calls[:number], call)
            fleet.record.note(
                f"{name} at {fleet.record.at(call.at)}: {call.holder} promotes "
                f"{call.server} with token {call.token}: {call.code}"
                + (f" (in turn with {other})" if other else "")
            )
            turns += bool(other)
    for line in fleet.log_lines("promotion claimed"):
        fleet.record.note(f"log: {line[:400]}")
    fleet.record.note(f"{turns} times, two holders took turns")
    return not turns


def _turn(earlier: list[Promotion], call: Promotion) -> str:
    """Return who acted between two calls of a holder inside the lease, if any."""
    recent = [c for c in earlier if call.at - c.at < LEASE_S]
    own = [n for n, c in enumerate(recent) if c.holder == call.holder]
    others = [c.holder for c in recent[own[0] :]] if own else []
    return next((holder for holder in others if holder != call.holder), "")


if __name__ == "__main__":
    run_case(play, str(pathlib.Path(__file__).parent))
