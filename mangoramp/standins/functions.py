"""Implements the SQL functions that each server of a database group provides."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from pg_mimic import PgError, ResultColumn
from pg_mimic.types import BOOL, BYTEA, INT8, TEXT

from .store import Params

if TYPE_CHECKING:
    from .endpoint import Endpoint

PULL_MAX_WAIT_MS = 500
MAX_PULL_ENTRIES = 200
FUNCTION_CALL = re.compile(r"^\s*SELECT \* FROM (mangoramp_\w+)\(([^)]*)\)\s*$")


async def _status(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    return [endpoint.status()]


async def _wait(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    term, held, applied, timeout_ms = (int(value or 0) for value in params)
    await endpoint.wait((term, held, applied), timeout_ms / 1000)
    return [endpoint.status()]


async def _fence(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    async with endpoint.write_lock:
        endpoint.fence(int(params[0] or 0))
    return [endpoint.status()]


async def _promote(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    async with endpoint.write_lock:
        endpoint.promote(int(params[0] or 0))
    return [endpoint.status()]


async def _follow(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    term, host, port = params
    endpoint.follow(int(term or 0), (host or "", int(port or 0)))
    return [endpoint.status()]


async def _log(endpoint: Endpoint, params: Params) -> list[tuple[Any, ...]]:
    term, log_term, after = (int(value or 0) for value in params)
    store = endpoint.store
    if term > store.term:
        endpoint.fence(term)
    if not endpoint.primary or term != store.term:
        raise PgError("55000", "not the primary of this term")
    if after > store.held or store.term_at(after) != log_term:
        return [(-1, store.term, b"")]
    if after == store.held:
        state = (store.term, store.held, store.applied)
        await endpoint.wait(state, PULL_MAX_WAIT_MS / 1000)
    if not endpoint.primary or term != store.term:
        raise PgError("55000", "not the primary of this term")
    entries = store.entries(after, MAX_PULL_ENTRIES)
    return [(entry.position, entry.term, entry.body) for entry in entries]


STATUS_COLUMNS = [
    ResultColumn("name", TEXT),
    ResultColumn("incarnation", TEXT),
    ResultColumn("term", INT8),
    ResultColumn("log_term", INT8),
    ResultColumn("held", INT8),
    ResultColumn("applied", INT8),
    ResultColumn("is_primary", BOOL),
    ResultColumn("term_start", INT8),
    ResultColumn("term_previous", INT8),
]
LOG_COLUMNS = [
    ResultColumn("position", INT8),
    ResultColumn("term", INT8),
    ResultColumn("body", BYTEA),
]
FUNCTION_COLUMNS = {
    "mangoramp_status": STATUS_COLUMNS,
    "mangoramp_wait": STATUS_COLUMNS,
    "mangoramp_fence": STATUS_COLUMNS,
    "mangoramp_promote": STATUS_COLUMNS,
    "mangoramp_follow": STATUS_COLUMNS,
    "mangoramp_log": LOG_COLUMNS,
}
Function = Callable[["Endpoint", Params], Awaitable[list[tuple[Any, ...]]]]
FUNCTIONS: dict[str, Function] = {
    "mangoramp_status": _status,
    "mangoramp_wait": _wait,
    "mangoramp_fence": _fence,
    "mangoramp_promote": _promote,
    "mangoramp_follow": _follow,
    "mangoramp_log": _log,
}
