"""Decodes the operators' configuration, as stored on the platform."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..control.deployment import Customer, Deployment, Group, ReadRule, Route
from ..decoding import MAX_INTEGER, decode_json

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
UNLIMITED_AGE_S = float("inf")

_RULES = {
    "primary": ReadRule.PRIMARY,
    "bounded_staleness": ReadRule.BOUNDED_AGE,
    "read_your_writes": ReadRule.OWN_WRITES,
}


_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Route(msgspec.Struct):
    database_name: str
    service: str  # name of a database group
    type: str = "primary"
    timeout_ms: float = 1000  # for one statement
    target_latency_ms: float = 200  # for the whole operation
    priority: _Count = 1
    max_staleness_ms: float | None = None
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    max_connections: _Count = 16  # to each server of the group, across all callers
    cold_start_s: float = 0  # after a server's start
    cold_per_s: float = 0  # requests that a cold server can take; 0 for no limit


class _Limits(msgspec.Struct):
    tx_idle_ms: float = 3000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    rate_per_s: float | None = None
    burst: float = 0


class _Configuration(msgspec.Struct):
    version: _Count
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_deployment(raw: bytes) -> Deployment:
    """Decode a stored configuration into a deployment.

    Args:
        raw: The ``spec`` of the stored object, as JSON.

    Raises:
        msgspec.ValidationError: A field is missing or has the wrong type; the
            message names the field.
    """
    found = decode_json(raw, _Configuration)
    routes: dict[str, Route] = {}
    for route in found.routes:
        routes.setdefault(route.database_name, _route(route))
    return Deployment(
        version=found.version,
        routes=routes,
        groups={s.name: _group(s) for s in found.services},
        customers={
            t.name: Customer(t.name, t.rate_per_s, t.burst) for t in found.tenants
        },
        customer_by_key={key: t.name for t in found.tenants for key in t.api_keys},
        transaction_idle_s=found.limits.tx_idle_ms / 1000,
    )


def _group(raw: _Service) -> Group:
    return Group(
        name=raw.name,
        max_connections=raw.max_connections,
        cold_start_s=raw.cold_start_s,
        cold_rate=raw.cold_per_s,
    )


def _route(raw: _Route) -> Route:
    age_ms = raw.max_staleness_ms
    return Route(
        database=raw.database_name,
        group=raw.service,
        rule=_RULES.get(raw.type, ReadRule.PRIMARY),
        max_age_s=UNLIMITED_AGE_S if age_ms is None else age_ms / 1000,
        timeout_s=raw.timeout_ms / 1000,
        objective_s=raw.target_latency_ms / 1000,
        priority=raw.priority,
        open_to_all=raw.public,
    )
