"""The home of a database group: where its requests meet its servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from .endpoints.group import Group
from .endpoints.run import RowSet, read_status, run
from .errors import Code, Fault, FaultError, Outcome, Step
from .events import REQUEST_ROUTED, WRITE_CONFIRMED, emit
from .policy.position import Position
from .policy.quorum import ServerStatus
from .policy.rate import Bucket
from .policy.routing import Chosen, NoneFit, ReadNeed, choose_reader
from .policy.statement import Kind
from .proxies.messages import Message, Refused, Rows, RunStatement

STATUS_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class Limits:
    """A customer's rate and burst at one home."""

    rate: float
    burst: float


class Home:
    """Runs the requests of one group within one failure domain.

    Args:
        group: The group's servers.
        limits: Tells a customer's rate and burst here, None if it has no row.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        group: Group,
        limits: Callable[[str], Limits | None],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.group = group
        self._limits = limits
        self._clock = clock
        self._buckets: dict[str, Bucket] = {}

    async def serve(self, req: RunStatement) -> Message:
        """Run one request and answer it, with rows or with a fault."""
        deadline = self._clock() + req.timeout_s
        try:
            self._admit(req)
            async with asyncio.timeout(req.timeout_s):
                return await self._run(req, deadline)
        except FaultError as exc:
            return Refused(fault=exc.fault)
        except TimeoutError:
            return Refused(fault=self._timeout())

    def close(self) -> None:
        """Close the connections to the servers."""
        self.group.close()

    def _admit(self, req: RunStatement) -> None:
        limits = self._limits(req.customer)
        if limits is None:
            message = f"the table has no row for this customer and {req.group}"
            raise FaultError(Fault(Code.FORBIDDEN, message, Step.ADMIT))
        now = self._clock()
        bucket = self._buckets.get(req.customer)
        if bucket is None:
            bucket = Bucket(limits.rate, limits.burst, now=now, level=limits.burst)
            self._buckets[req.customer] = bucket
        if (bucket.rate, bucket.burst) != (limits.rate, limits.burst):
            bucket.resize(limits.rate, limits.burst, now)
        wait_s = bucket.take(now)
        if wait_s > 0:
            message = "the customer's rate is used up"
            fault = Fault(Code.OVER_RATE, message, Step.ADMIT, retry_after_s=wait_s)
            raise FaultError(fault)

    async def _run(self, req: RunStatement, deadline: float) -> Rows:
        if req.kind is Kind.READ:
            return await self._read(req, deadline)
        return await self._write(req, deadline)

    async def _read(self, req: RunStatement, deadline: float) -> Rows:
        arrived = self._clock()
        need = ReadNeed(req.seen, arrived - req.max_age_s, req.failure_domain)
        chosen = await self._choose(need, req, deadline)
        rows, status = await self._read_at(chosen.server, req)
        if not self.group.lineage.covers(status.position, req.seen):
            raise self._unproven("the server fell behind the session", chosen.server)
        as_of = await self._proven(status.position, need.as_of, deadline)
        return self._rows(rows, status, age_s=max(0.0, self._clock() - as_of))

    async def _choose(
        self, need: ReadNeed, req: RunStatement, deadline: float
    ) -> Chosen:
        while True:
            group = self.group
            choice = choose_reader(need, group.candidates(), group.lineage)
            emit(
                REQUEST_ROUTED,
                group=req.group,
                customer=req.customer,
                choice=str(choice),
            )
            if isinstance(choice, Chosen):
                return choice
            if not await group.changed(deadline):
                raise self._none_fit(choice)

    async def _read_at(
        self, name: str, req: RunStatement
    ) -> tuple[RowSet, ServerStatus]:
        async with self.group.pools[name].lease() as conn:
            rows = await run(conn, req.sql, req.params, server=name)
            now = self._clock()
            status = await read_status(conn, asked_at=now, timeout_s=STATUS_TIMEOUT_S)
        return rows, status

    async def _proven(self, seen: Position, need: float, deadline: float) -> float:
        while True:
            as_of = self.group.as_of(seen)
            if as_of is not None and as_of >= need:
                return as_of
            if not await self.group.changed(deadline):
                raise self._unproven("the age of the answer was not proven in time")

    async def _write(self, req: RunStatement, deadline: float) -> Rows:
        primary = await self._wait_primary(deadline)
        emit(
            REQUEST_ROUTED,
            group=req.group,
            customer=req.customer,
            choice=f"{primary.name}: primary of term {primary.term}",
        )
        async with self.group.pools[primary.name].lease() as conn:
            rows = await run(conn, req.sql, req.params, server=primary.name)
            now = self._clock()
            status = await read_status(conn, asked_at=now, timeout_s=STATUS_TIMEOUT_S)
        if (status.term, status.log_term) != (primary.term, primary.term):
            raise self._unconfirmed(primary.name, "the term ended during the write")
        await self._confirm(status, deadline)
        return self._rows(rows, status, age_s=0.0)

    async def _wait_primary(self, deadline: float) -> ServerStatus:
        while True:
            primary = self.group.primary
            if primary is not None:
                return primary
            if not await self.group.changed(deadline):
                raise self._no_server("the group has no primary now")

    async def _confirm(self, status: ServerStatus, deadline: float) -> None:
        while not self.group.acknowledged(status.tail):
            if await self.group.changed(deadline):
                continue
            raise self._unconfirmed(status.name, "no majority confirmed it in time")
        emit(WRITE_CONFIRMED, server=status.name, position=status.held)

    def _rows(self, rows: RowSet, status: ServerStatus, *, age_s: float) -> Rows:
        return Rows(
            columns=rows.columns,
            rows=rows.rows,
            count=rows.count,
            position=status.position,
            server=status.name,
            replica=not status.is_primary,
            age_s=age_s,
        )

    def _none_fit(self, choice: NoneFit) -> FaultError:
        return self._no_server("; ".join(choice.reasons) or "no server answers")

    def _no_server(self, why: str, peer: str = "") -> FaultError:
        fault = Fault(
            Code.NO_SERVER, why, Step.ROUTE, peer, retry_after_s=RETRY_AFTER_S
        )
        return FaultError(fault)

    def _unproven(self, why: str, peer: str = "") -> FaultError:
        unknown = Outcome.UNKNOWN
        return FaultError(
            Fault(Code.NO_SERVER, why, Step.CONFIRM, peer, unknown, RETRY_AFTER_S)
        )

    def _unconfirmed(self, peer: str, why: str) -> FaultError:
        message = f"the write may have been made: {why}"
        unknown = Outcome.UNKNOWN
        return FaultError(
            Fault(Code.TIMEOUT, message, Step.CONFIRM, peer, unknown, RETRY_AFTER_S)
        )

    def _timeout(self) -> Fault:
        message = "the request ran out of time"
        unknown = Outcome.UNKNOWN
        return Fault(Code.TIMEOUT, message, Step.RUN, "", unknown, RETRY_AFTER_S)
