"""Changes an object of the platform, also when the platform's answer is lost."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from ..platform.client import PlatformClient

T = TypeVar("T")
TRIES = 6
RETRY_S = 0.25


async def change(
    client: PlatformClient,
    kind: str,
    name: str,
    value: T | None,
    *,
    type_: type[T],
    version: int,
) -> Result[bool, Fault]:
    """Change an object if it still has a version, and make sure of the outcome.

    A change whose answer is lost is read back. It is sent again only while the
    object still has the version, so it takes effect at most once.

    Args:
        client: The platform.
        kind: The object's kind.
        name: Its name.
        value: The new value; None deletes it.
        type_: The type of the value.
        version: The version last read, 0 to create it.

    Returns:
        True if it was changed, False if it had another version. A fault means that
        the platform could not be asked what became of it.
    """
    made = await client.put(kind, name, value, version=version)
    for _ in range(TRIES):
        if isinstance(made, Success):
            return made
        found = await client.get(kind, name, type_)
        if not isinstance(found, Success):
            await asyncio.sleep(RETRY_S)
            continue
        now = found.unwrap()
        if now.value == value:
            return Success(True)
        if now.version != version:
            return Failure(_overtaken(kind, name))
        made = await client.put(kind, name, value, version=version)
    return made if isinstance(made, Success) else Failure(_unsure(kind, name))


def conflict(message: str) -> Fault:
    """Somebody else changed the object first, and nothing was changed here."""
    return Fault(Code.CONFLICT, message, Step.PLATFORM)


def _unsure(kind: str, name: str) -> Fault:
    message = (
        f"the platform does not answer: whether the {kind} {name} was changed is not"
        " known"
    )
    return Fault(Code.TIMEOUT, message, Step.PLATFORM, outcome=Outcome.UNKNOWN)


def _overtaken(kind: str, name: str) -> Fault:
    message = (
        f"the platform's answer was lost, and the {kind} {name} has another version"
        " now: whether the change took effect in between is not known"
    )
    return Fault(Code.CONFLICT, message, Step.PLATFORM, outcome=Outcome.UNKNOWN)
