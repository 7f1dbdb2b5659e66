"""Time limits for exchanges with a database server."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import asyncpg

Answer = TypeVar("Answer")


async def exchange(
    conn: asyncpg.Connection,
    coro: Coroutine[Any, Any, Answer],
    timeout_s: float | None,
) -> Answer:
    """Await a server's answer, and close the connection on timeout or cancellation.

    The connection is closed before the wait ends. Otherwise asyncpg would send a cancel
    request, which can hit a later statement on the same connection.

    Args:
        conn: The connection.
        coro: The exchange on the connection.
        timeout_s: Time limit in seconds; None sets no limit.

    Raises:
        TimeoutError: No answer within the time limit; the connection is closed.
    """
    task = asyncio.ensure_future(coro)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
        if task.done():
            return task.result()
    finally:
        if not task.done():
            conn.terminate()
            task.add_done_callback(_consume_exception)
    raise TimeoutError


def _consume_exception(task: asyncio.Future[Any]) -> None:
    if not task.cancelled():
        task.exception()
