"""Applies this home's shares of the servers' concurrency to its pools."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..control.load_reports import LoadReports, ServerLoad, server_checksum
from ..events import SLOT_SHARE_CHANGED, emit
from ..policy.slot_shares import (
    MIN_MEAN_SHARE,
    Demand,
    DemandMeter,
    ShareLimit,
    demand_of,
    slot_share,
    urgent_class,
)
from .pool import ServerPool
from .servers import Servers

REPORT_INTERVAL_S = 0.2  # twice within the most urgent class's objective or longer ones
MIN_LOG_INTERVAL_S = 1.0


@dataclass(slots=True)
class _ServerShare:
    pool: ServerPool
    meter: DemandMeter
    limit: ShareLimit = field(default_factory=ShareLimit)
    logged_at: float = float("-inf")


class SlotShares:
    """Reports this home's load to the others and limits its pools to its shares.

    Args:
        servers: The known servers and their pools.
        reports: The exchange with the other homes.
        homes: Returns the names of the homes if this instance is one, else an empty
            list; also empty if every instance holds its own connections.
    """

    def __init__(
        self,
        servers: Servers,
        reports: LoadReports,
        homes: Callable[[], list[str]],
    ) -> None:
        self._servers = servers
        self._reports = reports
        self._homes = homes
        self._shares: dict[str, _ServerShare] = {}
        self._ticked_at: float | None = None

    async def run(self) -> None:
        """Exchange loads and apply shares until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def tick(self) -> None:
        """Report the load since the previous call and update the shares."""
        now = self._servers.clock()
        interval_s = now - self._ticked_at if self._ticked_at is not None else 0.0
        self._ticked_at = now
        homes = self._homes()
        if not homes:
            self._remove_limits()
            return
        if interval_s <= 0:
            return
        self._reports.expire()
        loads = self._measure(interval_s)
        self._reports.send(homes, [load for load in loads.values() if _is_loaded(load)])
        for server_id, load in loads.items():
            self._apply(self._shares[server_id], load, homes, now)

    def shares(self) -> Iterator[tuple[str, float]]:
        """Return each server's id with this home's share of its concurrency."""
        return ((server_id, s.limit.share) for server_id, s in self._shares.items())

    def _measure(self, interval_s: float) -> dict[str, ServerLoad]:
        known = self._shares
        self._shares = {}
        found = {}
        for pool in self._servers.pools():
            server_id = pool.server.id
            share = known.get(server_id)
            if share is None or share.pool is not pool:
                meter = DemandMeter(pool.handovers, pool.answers)
                share = _ServerShare(pool, meter)
            self._shares[server_id] = share
            share.meter.update(pool.handovers, pool.answers, interval_s)
            found[server_id] = ServerLoad(
                server=server_checksum(server_id),
                in_flight=pool.in_flight,
                waiting=pool.waiting_by_class(),
                rates={p: round(10 * r) for p, r in share.meter.rates.items()},
                statement_us=round(1e6 * pool.server.latency_s),
            )
        return found

    def _apply(
        self, share: _ServerShare, load: ServerLoad, homes: list[str], now: float
    ) -> None:
        others, silent = self._reports.loads(homes, load.server)
        server = share.pool.server
        own, demands = load_demand(load), [load_demand(other) for other in others]
        part = slot_share(own, demands, server.endpoint.slots, silent=silent)
        limit = share.limit.update(part)
        mean_share = max(MIN_MEAN_SHARE, share.limit.mean_share)
        urgent = urgent_class(own, demands)
        share.pool.set_share(limit, urgent, server.latency_s / mean_share)
        is_due = now - share.logged_at >= MIN_LOG_INTERVAL_S
        if is_due and share.limit.has_changed():
            share.logged_at = now
            emit(
                SLOT_SHARE_CHANGED,
                server=server.id,
                share=round(part, 2),
                in_flight=load.in_flight,
                waiting=sum(load.waiting.values()),
                homes=len(others) + 1,
                silent=silent,
            )

    def _remove_limits(self) -> None:
        for share in self._shares.values():
            share.pool.set_share(None)
        self._shares.clear()


def _is_loaded(load: ServerLoad) -> bool:
    return bool(load.in_flight or load.waiting or any(load.rates.values()))


def load_demand(load: ServerLoad) -> Demand:
    """Return the demand that a report shows, whatever numbers it contains."""
    rates = {priority: rate / 10 for priority, rate in load.rates.items()}
    return demand_of(rates, load.waiting, load.statement_us / 1e6)
