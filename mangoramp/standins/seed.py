"""Fills a platform stand-in from a YAML file: database groups and a signing key."""

from __future__ import annotations

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from ..catalog import KIND_GROUP
from ..errors import Fault
from ..objects import GroupObject
from ..operators.keys import make_signing_key
from ..platform.client import PlatformClient


class Seed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a seed file holds.

    Attributes:
        groups: The database groups.
        connect_s: Seconds that a new connection to a stand-in server takes.
    """

    groups: tuple[GroupObject, ...]
    connect_s: float = 0.0


def read_seed(path: Path) -> Seed:
    """Read a seed file."""
    return msgspec.yaml.decode(path.read_bytes(), type=Seed)


async def seed(client: PlatformClient, path: Path) -> Result[int, Fault]:
    """Create the groups of a file that the platform does not hold yet.

    Args:
        client: The platform.
        path: The YAML file.

    Returns:
        How many groups were created.
    """
    wanted = read_seed(path)
    created = 0
    for group in wanted.groups:
        made = await client.put(KIND_GROUP, group.name, group, version=0)
        if not isinstance(made, Success):
            return Failure(made.failure())
        created += made.unwrap()
    signing = await make_signing_key(client)
    return signing.map(lambda _: created)
