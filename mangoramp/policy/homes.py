"""Assignment of customers' server connections to instances.

A server accepts few connections, and each is for one customer. With many instances, an
equal part for each would be too small to keep the customers' connections open, so a few
instances, the homes, hold all connections and the other instances forward to them. A
customer has the same home for all groups, which therefore sees all of its requests.
"""

from __future__ import annotations

from collections.abc import Mapping

from ._rendezvous import rendezvous, rendezvous_order

RESERVED_PART = 0.1  # of a server's connections, for instances not known yet
MIN_CONNECTIONS_PER_INSTANCE = 2  # an open transaction would block the only one
MAX_CUSTOMERS_PER_CONNECTION = 4  # a few large customers send most of the statements
MAX_HOMES_PER_SLOT = 3  # with more, servers refuse even one statement from each home
MIN_CONNECTIONS_PER_HOME = 5  # enough that a home rarely has to open a connection


def is_direct(max_connections: int, instances: int, customers: int) -> bool:
    """Return whether every instance holds connections of its own.

    Args:
        max_connections: Connections that each server accepts from all instances.
        instances: The number of instances.
        customers: The number of customers.
    """
    part = max_connections * (1 - RESERVED_PART) / instances
    return (
        part >= MIN_CONNECTIONS_PER_INSTANCE
        and part * MAX_CUSTOMERS_PER_CONNECTION >= customers
    )


def choose_homes(
    strengths: Mapping[str, int], max_connections: int, slots: int
) -> list[str]:
    """Choose the instances that hold the connections for all others.

    Args:
        strengths: The relative capacity of each reachable instance, by name.
        max_connections: Connections that each server accepts.
        slots: Statements that each server runs concurrently.
    """
    connection_limit = int(
        max_connections * (1 - RESERVED_PART) / MIN_CONNECTIONS_PER_HOME
    )
    home_limit = min(connection_limit, MAX_HOMES_PER_SLOT * slots)
    count = max(1, min(len(strengths), home_limit))
    order = rendezvous_order("homes", strengths)
    # Instances below the median strength are used only if there are too few others.
    order.sort(key=lambda name: strengths[name] < _median(strengths))
    return order[:count]


def home_for(customer: str, homes: list[str]) -> str | None:
    """Return the home of a customer's connections, None if there are no homes."""
    return rendezvous(customer, homes)


def connections_per_holder(max_connections: int, holders: int) -> int:
    """Return how many connections to a server each of several holders may have."""
    return int(max_connections * (1 - RESERVED_PART) / holders)


def _median(strengths: Mapping[str, int]) -> int:
    return sorted(strengths.values())[len(strengths) // 2]
