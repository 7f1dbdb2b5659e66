"""Types of the operators' configuration: routes, groups and customers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class ReadRule(StrEnum):
    """The consistency guarantee for reads of a route."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True)
class Route:
    """How the statements for one database are served.

    Attributes:
        database: The database name that callers use.
        group: The database group that serves it.
        rule: The consistency guarantee for its reads.
        max_age_s: The maximum staleness of the data a read returns, in seconds.
        timeout_s: Time limit for a single statement, in seconds.
        objective_s: Target latency of an operation, in seconds.
        priority: Priority class; 0 is the most urgent.
        open_to_all: Whether callers may connect without a key.
    """

    database: str
    group: str
    rule: ReadRule
    max_age_s: float
    timeout_s: float
    objective_s: float
    priority: int
    open_to_all: bool = False


@dataclass(frozen=True, slots=True)
class Group:
    """A database group.

    Attributes:
        name: The group's name.
        max_connections: Connections each of its servers accepts, from all instances.
        cold_start_s: Seconds that a server stays cold after its start.
        cold_rate: Requests per second that a cold server can take; 0 for no limit.
    """

    name: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its rate limit.

    Attributes:
        name: The customer's name, as passed to the servers.
        rate: Operations a second over all instances; None for no limit.
        burst: Bucket size: operations that may be made at once after idling.
    """

    name: str
    rate: float | None
    burst: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration.

    Attributes:
        version: Version number assigned by the operators.
        routes: The routes by database.
        groups: The groups by name.
        customers: The customers by name.
        customer_by_key: The customer that each key belongs to.
        transaction_idle_s: Seconds after which an idle transaction may be rolled back.
    """

    version: int
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[str, Group] = field(default_factory=dict)
    customers: Mapping[str, Customer] = field(default_factory=dict)
    customer_by_key: Mapping[str, str] = field(default_factory=dict, repr=False)
    transaction_idle_s: float = 3.0
