"""Which instance holds a customer's connections to the servers.

It answers many instances before servers that take few connections, each of which is for
one customer: where an equal part for every instance would be too small to keep the
customers' connections open, a few instances hold them all and the others go through
these. A customer has one home for all groups, which then knows all that it asks.
"""

from __future__ import annotations

from collections.abc import Mapping

from ._rendezvous import ranked, rendezvous

RESERVE = 0.1  # of a server's connections, for instances that are not counted yet
LEAST_PART = 2  # connections to a server, so that a transaction does not stop the rest
CUSTOMERS_A_CONNECTION = 4  # of which the few large ones send most of the statements
HOMES_A_SLOT = 3  # more would not keep a statement each at a server without refusals
HOME_PART = 5  # connections to a server with which a home rarely has to open one


def is_direct(max_connections: int, instances: int, customers: int) -> bool:
    """Whether every instance holds connections of its own.

    Args:
        max_connections: Connections that each server takes, from all instances.
        instances: How many instances there are.
        customers: How many customers there are.
    """
    part = max_connections * (1 - RESERVE) / instances
    return part >= LEAST_PART and part * CUSTOMERS_A_CONNECTION >= customers


def choose_homes(
    strengths: Mapping[str, int], max_connections: int, slots: int
) -> list[str]:
    """The instances that hold the connections, where not all do.

    Args:
        strengths: The instances in touch, and how much each can carry.
        max_connections: Connections that each server takes.
        slots: Statements that each server runs at the same time.
    """
    connected = int(max_connections * (1 - RESERVE) / HOME_PART)
    sustained = min(connected, HOMES_A_SLOT * slots)
    count = max(1, min(len(strengths), sustained))
    order = ranked("homes", strengths)
    # The weakest half only where there are not enough others.
    order.sort(key=lambda name: strengths[name] < _median(strengths))
    return order[:count]


def home_for(customer: str, homes: list[str]) -> str | None:
    """The home of a customer's connections, None if there are no homes."""
    return rendezvous(customer, homes)


def part_of(max_connections: int, homes: int) -> int:
    """The connections to a server that one of the homes may hold."""
    return int(max_connections * (1 - RESERVE) / homes)


def _median(strengths: Mapping[str, int]) -> int:
    return sorted(strengths.values())[len(strengths) // 2]
