"""Steady traffic of callers, as in a small deployment."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .callers import CLOSED, Reply, Session
from .world import TENANTS, World, key_of

Seen = Callable[[str, str, Reply], None]
REOPEN_S = 0.05


async def run_caller(
    world: World,
    number: int,
    database: str,
    *,
    until: float,
    pause_s: float,
    write_part: float,
    seen: Seen,
) -> None:
    """Send single statements, one after the other, and open lost sessions again.

    Args:
        world: The deployment.
        number: The caller's number.
        database: The database of its sessions.
        until: When it stops, in seconds of the record.
        pause_s: Mean pause between two statements.
        write_part: The part of the statements that write.
        seen: Called with the request's id, its text and its reply.
    """
    rng = random.Random(f"{database}-{number}")
    sessions = 0
    session: Session | None = None
    while world.record.now < until:
        if session is None or not session.is_open:
            sessions += 1
            session = Session(f"{database}{number}.{sessions}", world.record)
            instance = rng.choice(world.instances)
            key = key_of(number % TENANTS)
            if not await session.open(instance.front, database, key):
                await asyncio.sleep(REOPEN_S)
                continue
        item = f"{rng.randrange(2000):x}"
        if rng.random() < write_part:
            text = f"WRITE {item} {database}{number}.{sessions}"
        else:
            text = f"READ {item}"
        request_id, reply = await session.ask(text)
        seen(request_id, text, reply)
        if reply.word == CLOSED:
            continue
        await asyncio.sleep(rng.expovariate(1 / pause_s))
    if session is not None:
        session.close()
