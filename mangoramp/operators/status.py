"""Collects the state of the whole fleet from the platform and from each proxy."""

from __future__ import annotations

import asyncio

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from ..catalog import KIND_GROUP, KIND_INSTANCE
from ..errors import Fault
from ..objects import GroupObject, InstanceObject
from ..platform.client import PlatformClient
from .report import ProxyReport
from .table import export_table

ASK_TIMEOUT_S = 2.0
ASKED_AT_ONCE = 50


class InstanceReport(msgspec.Struct, frozen=True):
    """An instance: what the platform lists, and what it says itself.

    Attributes:
        name: The instance's name.
        failure_domain: Where it runs.
        leaving: Whether the platform lists it as shutting down.
        says: What the proxy says, None if it does not answer.
        reason: Why it does not answer.
    """

    name: str
    failure_domain: str
    leaving: bool
    says: ProxyReport | None
    reason: str = ""


class FleetReport(msgspec.Struct, frozen=True):
    """The state of the whole fleet.

    Attributes:
        table_version: The table's version on the platform.
        table_rows: How many rows it has.
        groups: The database groups on the platform.
        instances: The instances.
    """

    table_version: int
    table_rows: int
    groups: tuple[GroupObject, ...]
    instances: tuple[InstanceReport, ...]


async def fleet_status(client: PlatformClient) -> Result[FleetReport, Fault]:
    """Ask the platform, then each proxy that it lists.

    Args:
        client: The platform.
    """
    table = await export_table(client)
    groups = await client.fetch_changes(KIND_GROUP, GroupObject)
    listed = await client.fetch_changes(KIND_INSTANCE, InstanceObject)
    if not isinstance(table, Success):
        return Failure(table.failure())
    if not isinstance(groups, Success):
        return Failure(groups.failure())
    if not isinstance(listed, Success):
        return Failure(listed.failure())
    found = [o.value for o in listed.unwrap().objects if o.value is not None]
    return Success(
        FleetReport(
            table_version=table.unwrap().version,
            table_rows=len(table.unwrap().rows),
            groups=tuple(g.value for g in groups.unwrap().objects if g.value),
            instances=await _ask_all(sorted(found, key=lambda i: i.name)),
        )
    )


async def _ask_all(instances: list[InstanceObject]) -> tuple[InstanceReport, ...]:
    http = AsyncHTTPClient(force_instance=True, max_clients=ASKED_AT_ONCE)
    room = asyncio.Semaphore(ASKED_AT_ONCE)
    try:
        asked = (_ask(http, room, instance) for instance in instances)
        return tuple(await asyncio.gather(*asked))
    finally:
        http.close()


async def _ask(
    http: AsyncHTTPClient, room: asyncio.Semaphore, instance: InstanceObject
) -> InstanceReport:
    says: ProxyReport | None = None
    reason = "" if instance.admin else "it has told no address"
    if instance.admin:
        try:
            async with room:
                resp = await http.fetch(
                    f"{instance.admin}/v1/status", request_timeout=ASK_TIMEOUT_S
                )
            says = msgspec.json.decode(resp.body, type=ProxyReport)
        except (OSError, HTTPClientError, msgspec.DecodeError) as exc:
            reason = str(exc)
    return InstanceReport(
        name=instance.name,
        failure_domain=instance.failure_domain,
        leaving=instance.leaving,
        says=says,
        reason=reason,
    )
