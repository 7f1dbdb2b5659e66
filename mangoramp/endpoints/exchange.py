"""One exchange with a database server: in time, or the connection is closed."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import asyncpg

Answer = TypeVar("Answer")


async def exchange(
    conn: asyncpg.Connection,
    work: Coroutine[Any, Any, Answer],
    timeout_s: float | None,
) -> Answer:
    """Await a server's answer.

    A connection whose answer is given up is closed before the waiting ends: asyncpg
    would else send a cancel request, which can reach whatever runs there by then.

    Args:
        conn: The connection.
        work: The exchange on it.
        timeout_s: Seconds to wait; None waits for ever.

    Raises:
        TimeoutError: The time is over and the connection closed.
    """
    task = asyncio.ensure_future(work)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
        if task.done():
            return task.result()
    finally:
        if not task.done():
            conn.terminate()
            task.add_done_callback(_forget)
    raise TimeoutError


def _forget(task: asyncio.Future[Any]) -> None:
    if not task.cancelled():
        task.exception()
