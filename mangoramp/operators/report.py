"""The proxy status report: the body of ``GET /v1/status``."""

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
    """A database server as seen by a home.

    Attributes:
        name: The server's name.
        failure_domain: The failure domain in which it runs.
        live: Whether it has answered recently.
        primary: Whether it accepts writes in its term.
        leaving: Whether it is assigned no new work.
        term: The highest term that it has adopted; 0 if it never answered.
        position: Number of log entries that it holds.
        lag: Number of the primary's log entries that it has not applied yet.
        busy: Number of statements that run or wait there.
        slots: Maximum number of statements that it runs concurrently.
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
    """A database group as seen by a proxy.

    Attributes:
        name: The group's name.
        term: The term known to the proxy.
        primary: The primary known to the proxy, empty during a failover.
        home: The instance that is the group's home in the proxy's failure domain.
        servers: The group's servers, if this proxy is the home.
    """

    name: str
    term: int
    primary: str
    home: str
    servers: tuple[ServerReport, ...] = ()


class ProxyReport(msgspec.Struct, frozen=True):
    """The state of a proxy.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain in which it runs.
        ready: Whether it accepts requests.
        table_version: The version of the table in force.
        table_rows: Number of rows in the table.
        keys: Number of keys in force.
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


def build_report(
    cfg: ProxySettings, catalog: Catalog, homes: Homes, *, ready: bool
) -> ProxyReport:
    """Build the status report of a proxy."""
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
            _group_report(spec, homes, running.get(name))
            for name, spec in sorted(catalog.groups.items())
        ),
    )


def _group_report(spec: GroupObject, homes: Homes, group: Group | None) -> GroupReport:
    servers = (
        () if group is None else tuple(_server_report(s, group) for s in spec.servers)
    )
    home = homes.owner(spec.name) or ""
    return GroupReport(spec.name, spec.term, spec.primary, home, servers)


def _server_report(server: ServerState, group: Group) -> ServerReport:
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
