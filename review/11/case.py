"""A primary crashes while one replica is deaf and the other one is being released."""

import asyncio
import os
import random
from pathlib import Path

from ..fleet3.servers import Group
from ..fleet3.world import KEY, Client, World, run

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
READERS = 6
WRITERS = 3
CALM_S = 6.0
DEAF_S = 3.0  # then the primary crashes; the largest of the site file is 6.5 s
ROUTES = [
    {
        "name": "r-1",
        "database_name": "orders",
        "path_prefix": "/",
        "type": "primary",
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": "pedidos",
        "max_attempts": 2,
        "public": False,
    },
    {
        "name": "r-2",
        "database_name": "lists",
        "path_prefix": "/",
        "type": "bounded_staleness",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 2,
        "service": "pedidos",
        "max_attempts": 2,
        "max_staleness_ms": 1500,
        "public": False,
    },
]


async def use(world, front, database, make_text, pause_s, acknowledged):
    """Send statements one after the other, in one session after the other."""
    client = Client(world, front, database, KEY)
    while True:
        if client.writer is None and not await client.open():
            await asyncio.sleep(0.3)
            continue
        text = make_text()
        lines = await client.ask(text)
        is_done = any(line.startswith("DONE ") for line in lines)
        if is_done and text.startswith("WRITE"):
            acknowledged.append(lines[0].split(".")[-1])
        await asyncio.sleep(pause_s if is_done else 0.1)


def judge(world, acknowledged):
    """Return 1 if a server was promoted without a commit that clients count on."""
    leads = [f for _, e, f in world.record.events if e == "lead"]
    for lead in leads:
        lost = [r for r in lead["acknowledged_but_not_held"] if r in acknowledged]
        print(f"{lead['server']} leads; {len(lost)} acknowledged commits not held")
        if lost:
            print("such as", *lost[:5])
            return 1
    if IS_TROUBLED and not leads:
        print("no server was promoted")
    return 0


def start_clients(world, acknowledged):
    """Start the clients' sessions."""
    rng = random.Random(11)

    def read():
        return f"READ k{rng.randrange(200)}"

    def write():
        return f"WRITE k{rng.randrange(200)} v{rng.randrange(10**9)}"

    fronts = world.fronts
    for n in range(READERS):
        world.spawn(use(world, fronts[n % 3], "lists", read, 0.01, acknowledged))
    for n in range(WRITERS):
        world.spawn(use(world, fronts[n % 3], "orders", write, 0.02, acknowledged))


async def play():
    """Play the case; return the exit code."""
    async with World(Path(__file__).parent, fronts=3) as world:
        group = Group(
            "pedidos",
            world.record,
            slots=3,
            queue=24,
            max_connections=34,
            sync=1,
            read_s=0.024,
            write_s=0.008,
            promote_s=0.6,
        )
        await world.add_group(group)
        world.configure(ROUTES)
        await world.start_fronts()
        acknowledged = []
        start_clients(world, acknowledged)
        await asyncio.sleep(CALM_S)
        if not acknowledged:
            print("nothing was served before the disruption")
            return 2
        primary, deaf, released = group.servers.values()
        # Planned work, also without the disruption.
        released.state = "draining"
        world.record.add("release", server=released.id)
        if IS_TROUBLED:
            deaf.is_deaf = True
            world.record.add("deaf", server=deaf.id)
        await asyncio.sleep(DEAF_S)
        if IS_TROUBLED:
            world.record.add("crash", server=primary.id, holds=len(primary.log))
            await primary.crash()
        await asyncio.sleep(6.0)
        if folder := os.environ.get("KEEP_LOGS"):
            world.copy_logs(Path(folder))
        print("acknowledged to clients:", len(acknowledged))
        return judge(world, acknowledged)


run(play)
