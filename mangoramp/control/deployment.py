"""The operators' configuration, as this process has it in force."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class ReadRule(StrEnum):
    """What reads of a route must show."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True)
class Route:
    """Where a database's statements go.

    Attributes:
        database: The name that callers use.
        group: The database group that serves it.
        rule: What its reads must show.
        max_age_s: The oldest data that a read may show, in seconds.
        timeout_s: The longest that a single statement may take, in seconds.
        objective_s: The latency that its callers expect of an operation, in seconds.
        priority: Its class, 0 for the most urgent.
        open_to_all: Whether callers need no key.
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
        name: Its name.
        max_connections: Connections that each of its servers takes, from all callers.
    """

    name: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its limits.

    Attributes:
        name: Its name, as servers are told it.
        rate: Operations a second, over all instances; None without a limit.
        burst: Operations that it may save up.
    """

    name: str
    rate: float | None
    burst: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration.

    Attributes:
        version: The operators' number of it.
        routes: The routes by database.
        groups: The groups by name.
        customers: The customers by name.
        customer_by_key: Whose each key is.
        transaction_idle_s: Seconds after which an idle transaction may be ended.
    """

    version: int
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[str, Group] = field(default_factory=dict)
    customers: Mapping[str, Customer] = field(default_factory=dict)
    customer_by_key: Mapping[str, str] = field(default_factory=dict, repr=False)
    transaction_idle_s: float = 3.0
