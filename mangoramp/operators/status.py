"""Collects the status of the fleet from the platform and from each proxy."""

from __future__ import annotations

import asyncio

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from ..catalog import KIND_GROUP, KIND_INSTANCE
from ..decoding import decode_json
from ..errors import Fault
from ..objects import GroupObject, InstanceObject
from ..platform.client import PlatformClient
from .report import ProxyReport
from .table import export_table

QUERY_TIMEOUT_S = 2.0
MAX_CONCURRENT_QUERIES = 50


class InstanceReport(msgspec.Struct, frozen=True):
    """An instance as listed by the platform, with its own status report.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain in which it runs.
        leaving: Whether the platform lists it as shutting down.
        says: The proxy's status report, None if it does not answer.
        reason: Why it does not answer.
    """

    name: str
    failure_domain: str
    leaving: bool
    says: ProxyReport | None
    reason: str = ""


class FleetReport(msgspec.Struct, frozen=True):
    """The status of the fleet.

    Attributes:
        table_version: The version of the table on the platform.
        table_rows: Number of rows in the table.
        groups: The database groups on the platform.
        instances: The instances.
    """

    table_version: int
    table_rows: int
    groups: tuple[GroupObject, ...]
    instances: tuple[InstanceReport, ...]


async def fetch_fleet_status(client: PlatformClient) -> Result[FleetReport, Fault]:
    """Query the platform, then each proxy that it lists.

    Args:
        client: Client of the platform.
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
    instances = [o.value for o in listed.unwrap().objects if o.value is not None]
    return Success(
        FleetReport(
            table_version=table.unwrap().version,
            table_rows=len(table.unwrap().rows),
            groups=tuple(g.value for g in groups.unwrap().objects if g.value),
            instances=await _query_instances(sorted(instances, key=lambda i: i.name)),
        )
    )


async def _query_instances(
    instances: list[InstanceObject],
) -> tuple[InstanceReport, ...]:
    http = AsyncHTTPClient(force_instance=True, max_clients=MAX_CONCURRENT_QUERIES)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    try:
        queries = (_query_instance(http, semaphore, instance) for instance in instances)
        return tuple(await asyncio.gather(*queries))
    finally:
        http.close()


async def _query_instance(
    http: AsyncHTTPClient, semaphore: asyncio.Semaphore, instance: InstanceObject
) -> InstanceReport:
    report: ProxyReport | None = None
    reason = "" if instance.admin else "it has told no address"
    if instance.admin:
        try:
            async with semaphore:
                resp = await http.fetch(
                    f"{instance.admin}/v1/status", request_timeout=QUERY_TIMEOUT_S
                )
            report = decode_json(resp.body, ProxyReport)
        except (OSError, HTTPClientError, msgspec.DecodeError) as exc:
            reason = str(exc)
    return InstanceReport(
        name=instance.name,
        failure_domain=instance.failure_domain,
        leaving=instance.leaving,
        says=report,
        reason=reason,
    )
