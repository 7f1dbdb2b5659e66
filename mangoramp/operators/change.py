"""Conditional changes of platform objects that tolerate lost responses."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from ..platform.client import PlatformClient

T = TypeVar("T")
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.25


async def change_object(
    client: PlatformClient,
    kind: str,
    name: str,
    value: T | None,
    *,
    type_: type[T],
    version: int,
) -> Result[bool, Fault]:
    """Change an object if its version is still the given one, and verify the outcome.

    If the response is lost, the object is read back. The change is sent again only
    while the object still has that version, so it takes effect at most once.

    Args:
        client: Client of the platform.
        kind: The object's kind.
        name: The object's name.
        value: The new value; None deletes it.
        type_: The type of the value.
        version: The version last read, 0 to create it.

    Returns:
        True if it was changed, False if it had another version. A fault means that
        the outcome could not be read from the platform.
    """
    put_result = await client.put(kind, name, value, version=version)
    for _ in range(MAX_ATTEMPTS):
        if isinstance(put_result, Success):
            return put_result
        get_result = await client.get(kind, name, type_)
        if not isinstance(get_result, Success):
            await asyncio.sleep(RETRY_DELAY_S)
            continue
        current = get_result.unwrap()
        if current.value == value:
            return Success(True)
        if current.version != version:
            return Failure(_changed_concurrently(kind, name))
        put_result = await client.put(kind, name, value, version=version)
    return (
        put_result
        if isinstance(put_result, Success)
        else Failure(_outcome_unknown(kind, name))
    )


def conflict_fault(message: str) -> Fault:
    """Return the fault for an object that was changed first by another client."""
    return Fault(Code.CONFLICT, message, Step.PLATFORM)


def _outcome_unknown(kind: str, name: str) -> Fault:
    message = (
        f"the platform does not answer: whether the {kind} {name} was changed is not"
        " known"
    )
    return Fault(Code.TIMEOUT, message, Step.PLATFORM, outcome=Outcome.UNKNOWN)


def _changed_concurrently(kind: str, name: str) -> Fault:
    message = (
        f"the platform's answer was lost, and the {kind} {name} has another version"
        " now: whether the change took effect in between is not known"
    )
    return Fault(Code.CONFLICT, message, Step.PLATFORM, outcome=Outcome.UNKNOWN)
