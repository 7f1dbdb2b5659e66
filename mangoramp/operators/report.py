"""What a proxy says of itself: the answer of ``GET /v1/status``."""

from __future__ import annotations

import time

import msgspec

from ..catalog import Catalog
from ..endpoints.group import Group
from ..homes import Homes
from ..objects import GroupObject, ServerState
from ..policy.view import MAX_STATUS_AGE_S
from ..settings import ProxySettings


class ServerReport(msgspec.Struct, frozen=True):
    """A database server as a home sees it.

    Attributes:
        name: The server's name.
        failure_domain: Where it runs.
        live: Whether it has answered lately.
        primary: Whether it takes writes in its term.
        leaving: Whether it gets no new work.
        term: The highest term it was moved to; 0 if it never answered.
        position: How many entries of the log it holds.
        lag: How many of the primary's entries its answers do not show yet.
        busy: Statements running or waiting there.
        slots: Statements that it runs at the same time.
    """

    name: str
    failure_domain: str
    live: bool
    primary: bool
    leaving: bool
    term: int
    position: int
    lag: int
    busy: int
    slots: int


class GroupReport(msgspec.Struct, frozen=True):
    """A database group as a proxy sees it.

    Attributes:
        name: The group's name.
        term: The term that the proxy knows.
        primary: The primary that it knows, empty while a failover runs.
        home: The instance that is the group's home in its failure domain.
        servers: The group's servers, if the home is here.
    """

    name: str
    term: int
    primary: str
    home: str
    servers: tuple[ServerReport, ...] = ()


class ProxyReport(msgspec.Struct, frozen=True):
    """A proxy as it sees itself.

    Attributes:
        name: The instance's name.
        failure_domain: Where it runs.
        ready: Whether it takes requests.
        table_version: The version of the table that is in force.
        table_rows: How many rows the table has.
        keys: How many keys are in force.
        platform_heard_s: Seconds since the platform last answered, None if never.
        groups: The database groups.
    """

    name: str
    failure_domain: str
    ready: bool
    table_version: int
    table_rows: int
    keys: int
    platform_heard_s: float | None
    groups: tuple[GroupReport, ...]


def report(
    cfg: ProxySettings, catalog: Catalog, homes: Homes, *, ready: bool
) -> ProxyReport:
    """Collect what a proxy knows."""
    heard_at = catalog.platform_heard_at
    heard_s = None if heard_at is None else time.monotonic() - heard_at
    running = homes.running_groups
    return ProxyReport(
        name=cfg.name,
        failure_domain=cfg.failure_domain,
        ready=ready,
        table_version=catalog.table_version,
        table_rows=len(catalog.rows()),
        keys=len(catalog.keys),
        platform_heard_s=heard_s,
        groups=tuple(
            _group(spec, homes, running.get(name))
            for name, spec in sorted(catalog.groups.items())
        ),
    )


def _group(spec: GroupObject, homes: Homes, group: Group | None) -> GroupReport:
    servers = () if group is None else tuple(_server(s, group) for s in spec.servers)
    home = homes.owner(spec.name) or ""
    return GroupReport(spec.name, spec.term, spec.primary, home, servers)


def _server(server: ServerState, group: Group) -> ServerReport:
    status = group.statuses.get(server.name)
    primary = group.statuses.get(group.spec.primary)
    pool = group.pools.get(server.name)
    lag = 0
    if status is not None and primary is not None:
        lag = max(0, primary.held - status.applied)
    return ServerReport(
        name=server.name,
        failure_domain=server.failure_domain,
        live=status is not None
        and time.monotonic() - status.asked_at < MAX_STATUS_AGE_S,
        primary=status is not None and status.is_primary,
        leaving=server.leaving,
        term=0 if status is None else status.term,
        position=0 if status is None else status.held,
        lag=lag,
        busy=0 if pool is None else pool.busy,
        slots=server.slots,
    )
