"""After a restart, an instance mixes up the open transactions of two callers."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.callers import Session  # noqa: E402
from standins.fleet import Instance  # noqa: E402
from standins.record import has_trouble  # noqa: E402
from standins.servers import lognormal  # noqa: E402
from standins.world import TENANTS, World, key_of, run_case  # noqa: E402

INSTANCES = 9
WARM_UP_S = 5.0
RESTART_DELAY_S = 0.2
PAUSE_S = 0.3
TRANSACTIONS = 4  # of each kind of caller
HOME_POLLS = 40  # the first caller pauses for at most 2 s


async def ask_homes(world: World, instance: Instance, turn: int) -> dict[int, str]:
    """Return which instance holds each tenant's connections for another's callers.

    The log of the callers' instance names it; the answer is empty where the instance
    holds some of them itself.
    """
    ids = {}
    for tenant in range(TENANTS):
        session = Session(f"probe{turn}.{instance.name}.{tenant}", world.record)
        await session.open(instance.front, "transmit", key_of(tenant))
        request_id, _ = await session.ask("READ 1")
        ids[request_id] = tenant
        session.close()
    await asyncio.sleep(0.1)
    homes = {}
    for line in instance.log.splitlines():
        fields = json.loads(line) if line.startswith("{") else {}
        if fields.get("id") in ids and fields.get("home"):
            homes[ids[fields["id"]]] = fields["home"]
    return homes if len(homes) == TENANTS else {}


async def choose(world: World) -> tuple[Instance, list[Instance], int, int]:
    """Choose the parts of the instances and of the tenants.

    Returns:
        An instance that holds the connections of two tenants, the instances that
        agree on it, and the two tenants.
    """
    for turn in range(10):
        callers: list[Instance] = []
        agreed: dict[int, str] = {}
        for instance in world.instances:
            homes = await ask_homes(world, instance, turn)
            if homes and (not agreed or homes == agreed):
                agreed = homes
                callers.append(instance)
        for home in world.instances:
            tenants = [t for t, name in agreed.items() if name == home.name]
            if len(callers) >= 2 and len(tenants) >= 2:
                return home, callers, tenants[0], tenants[1]
        await asyncio.sleep(0.5)
    raise RuntimeError("no instance holds the connections of two tenants")


async def wait_for_home(
    world: World, home: Instance, caller: Instance, tenant: int
) -> None:
    """Wait until a caller's instance uses a home again, for a part of the pause."""
    session = Session("probe", world.record)
    await session.open(caller.front, "transmit", key_of(tenant))
    for _ in range(HOME_POLLS):
        request_id, _ = await session.ask("READ 1")
        lines = [line for line in caller.log.splitlines() if request_id in line]
        if any(f'"home":"{home.name}"' in line for line in lines):
            break
        await asyncio.sleep(0.02)
    session.close()


async def begin(
    world: World, kind: str, callers: list[Instance], tenant: int
) -> list[Session]:
    """Open transactions of a tenant that have each written once."""
    sessions = []
    for number in range(TRANSACTIONS):
        session = Session(f"{kind}{number}", world.record)
        instance = callers[number % len(callers)]
        await session.open(instance.front, "issue", key_of(tenant))
        await session.ask("BEGIN")
        await session.ask(f"WRITE {number}a of-{kind}")
        sessions.append(session)
    return sessions


async def end(world: World, kind: str, sessions: list[Session], how: str) -> None:
    """Write once more in each transaction and end it."""
    for number, session in enumerate(sessions):
        await session.ask(f"WRITE {number}b of-{kind}")
        _, ended = await session.ask(how)
        world.record.say(f"{session.name}'s {how} got {ended.word}")
        session.close()


async def play(world: World) -> None:
    """Restart an instance between two statements of some transactions."""
    record = world.record
    await asyncio.sleep(WARM_UP_S)
    home, callers, one, other = await choose(world)
    record.say(
        f"{home.name} holds the connections of tenant-{one} and tenant-{other};"
        f" the callers are at {', '.join(c.name for c in callers)}"
    )
    firsts = await begin(world, "first", callers, one)
    if has_trouble():
        record.say(f"SIGKILL to {home.name}, which starts again")
        home.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        home.start()
        while not await home.is_ready():
            await asyncio.sleep(0.02)
        record.say(f"{home.name} is ready again")
        await wait_for_home(world, home, callers[0], other)
    seconds = await begin(world, "second", callers, other)
    await asyncio.sleep(PAUSE_S)
    await end(world, "first", firsts, "COMMIT")
    await end(world, "second", seconds, "ROLLBACK")
    for stranger in world.service.strangers:
        record.find(
            f"PINNED: {stranger.request_id} ({stranger.word}) ran on a connection of"
            f" {stranger.server} for {stranger.customer}, inside the transaction of the"
            f" caller {stranger.owner}"
        )
    for ack in world.service.acks:
        if any(data == "of-second" for _, data in ack.commit.items):
            record.find(
                f"UNASKED: {ack.commit.request_id} committed {ack.commit.items};"
                " no second caller has ever asked for a commit"
            )


if __name__ == "__main__":
    work_s = lognormal(0.0045, 0.7, 0.033)
    folder = Path(__file__).parent
    sys.exit(run_case(folder, play, instances=INSTANCES, work_s=work_s))
