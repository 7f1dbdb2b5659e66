"""Creates database groups from a YAML file, and a signing key, in the platform."""

from __future__ import annotations

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from ..catalog import KIND_GROUP
from ..errors import Fault
from ..objects import GroupObject
from ..operators.keys import make_signing_key
from ..platform.client import PlatformClient


class SeedFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a seed file.

    Attributes:
        groups: The database groups.
        connect_s: Time to connect to a stand-in server, in seconds.
    """

    groups: tuple[GroupObject, ...]
    connect_s: float = 0.0


def read_seed(path: Path) -> SeedFile:
    """Read a seed file."""
    return msgspec.yaml.decode(path.read_bytes(), type=SeedFile)


async def seed_platform(client: PlatformClient, path: Path) -> Result[int, Fault]:
    """Create the groups of a file that do not exist on the platform yet.

    Args:
        client: The client of the platform.
        path: The YAML file.

    Returns:
        The number of groups created.
    """
    seed_file = read_seed(path)
    created = 0
    for group in seed_file.groups:
        result = await client.put(KIND_GROUP, group.name, group, version=0)
        if not isinstance(result, Success):
            return Failure(result.failure())
        created += result.unwrap()
    signing = await make_signing_key(client)
    return signing.map(lambda _: created)
