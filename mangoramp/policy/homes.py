"""Which instance holds a customer's connections to a group's servers.

It answers many instances before servers that take few connections, each of which is for
one customer: where an equal part for every instance would be too small to keep a
connection open, a few instances hold them all and the others go through these.
"""

from __future__ import annotations

from collections.abc import Sequence

from ._rendezvous import ranked, rendezvous

RESERVE = 0.1  # of a server's connections, for instances that are not counted yet
LEAST_PART = 5  # connections to a server with which a home rarely has to open one


def home_count(max_connections: int, instances: int) -> int:
    """How many instances hold connections to each server of a group.

    Args:
        max_connections: Connections that each server takes, from all instances.
        instances: How many instances there are.
    """
    sustained = int(max_connections * (1 - RESERVE) / LEAST_PART)
    return max(1, min(instances, sustained))


def homes_of(group: str, instances: Sequence[str], max_connections: int) -> list[str]:
    """The instances that hold the connections to a group's servers.

    Args:
        group: The group.
        instances: The instances in touch; never empty.
        max_connections: Connections that each server takes.
    """
    count = home_count(max_connections, len(instances))
    if count == len(instances):
        return list(instances)
    return ranked(group, instances)[:count]


def home_for(group: str, customer: str, homes: Sequence[str]) -> str | None:
    """The home of a customer's connections.

    Args:
        group: The group.
        customer: The customer.
        homes: The group's homes.

    Returns:
        The home, None if there is none.
    """
    return rendezvous(f"{group}\0{customer}", homes)


def part_of(max_connections: int, homes: int) -> int:
    """The connections to a server that one home may hold."""
    return int(max_connections * (1 - RESERVE) / homes)
