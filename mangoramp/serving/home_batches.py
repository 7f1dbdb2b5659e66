"""Runs the batches of other instances on the connections that this home holds."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Success

from ..policy.memory_budget import Claim
from ..proxies.envelope import Envelope
from .admission import AdmissionControl
from .batches import (
    BatchLost,
    BatchMessage,
    BatchNotSent,
    BatchOverRate,
    BatchRun,
    DropPinned,
    PinnedDropped,
    RunBatch,
)
from .command import (
    CommitFor,
    ConnectionLostError,
    NotSentError,
    RollBack,
    statement_bytes,
)
from .lease import MIN_ROUND_TRIP_S, LocalLease, SessionContext
from .memory import Memory
from .pinned_leases import PinnedLease, PinnedLeases
from .pool import NoConnectionError, Urgency
from .primary_samples import PrimarySampleReport, record_primary_samples
from .server_health import record_no_connection, recording_outcome
from .servers import Servers
from .workload import workload_of

SMALL_STATEMENT_BYTES = 4096  # held without asking for memory
# The received message, the decoded text, and its encoding for the server.
COPIES = 3
MAX_SAMPLE_AGE_S = 2.0  # older samples rarely serve reads of data seconds old


class HomeBatches:
    """Runs batches for other instances, and keeps the connections that these pin.

    Args:
        servers: The known servers and their pools.
        admit: Charges an operation, given its customer and the id of its first
            statement, to the customer's limits; returns the seconds to wait if the
            operation exceeds them, else 0.
        admission: Reports the load of the servers.
        may_hedge: Returns whether a customer's limits allow a hedged read.
        memory: The memory for large statements.
        find_detour: Returns the home that reaches a server which this one does not,
            given customer, group and server id; empty if none is known.
    """

    def __init__(
        self,
        servers: Servers,
        *,
        admit: Callable[[str, str], float],
        admission: AdmissionControl,
        may_hedge: Callable[[str], bool],
        memory: Memory,
        find_detour: Callable[[str, str, str], str],
    ) -> None:
        self._servers = servers
        self._clock = servers.clock
        self._admit = admit
        self._admission = admission
        self._may_hedge = may_hedge
        self._memory = memory
        self._find_detour = find_detour
        self._pinned = PinnedLeases(self._clock)
        self._running = 0
        self._is_ending = False

    @property
    def is_idle(self) -> bool:
        """Whether no batch runs and no connection is pinned for other instances."""
        return not self._running and not len(self._pinned)

    @property
    def process(self) -> str:
        """The id of this process, with which its handles of connections begin."""
        return self._pinned.process

    def evict_expired_pins(self) -> None:
        """Close pinned connections that were unused for too long."""
        self._pinned.evict_expired()

    def end_transactions(self) -> None:
        """Close all pinned connections that run no statement, and run no new batches.

        A transaction that runs a statement may only be ended after it.
        """
        self._is_ending = True
        self._pinned.close_idle("this home is stopping")

    async def answer(self, message: Envelope) -> BatchMessage:
        """Handle a request from another instance."""
        if isinstance(message, DropPinned):
            self._pinned.close(message.handle, "its caller's instance dropped it")
            return PinnedDropped()
        if not isinstance(message, RunBatch):
            return BatchNotSent(reason="this message asks for nothing")
        if self._is_ending and not _ends_transaction(message):
            return BatchNotSent(
                reason="this home is stopping", is_charged=not message.ticket
            )
        refused = self._refuse(message)
        if refused is not None:
            return refused
        claim = self._claim_memory(message)
        if isinstance(claim, BatchNotSent):
            return claim
        self._running += 1
        try:
            return await self._run(message)
        finally:
            self._running -= 1
            if claim is not None:
                self._memory.release(claim)

    def _claim_memory(self, message: RunBatch) -> Claim | BatchNotSent | None:
        """Claim the memory for a batch, None for one that is small."""
        size = statement_bytes(message.commands)
        if message.values:
            size += sum(map(len, message.values.values()))
        if size <= SMALL_STATEMENT_BYTES:
            return None
        claimed = self._memory.try_claim(message.customer, COPIES * size)
        if isinstance(claimed, Success):
            claim: Claim = claimed.unwrap()
            return claim
        fault = claimed.failure()
        return BatchNotSent(reason=fault.message, wait_s=fault.retry_after_s or 0.0)

    def _refuse(self, message: RunBatch) -> BatchMessage | None:
        """Charge a batch to its customer's limits, or return why it may not run."""
        if message.is_hedge and not self._has_room_to_hedge(message):
            return BatchNotSent(
                reason="no capacity for a hedged read", is_charged=not message.ticket
            )
        if message.ticket:
            wait_s = self._admit(message.customer, message.ticket)
            if wait_s > 0:
                return BatchOverRate(wait_s=wait_s)
        return None

    async def _run(self, message: RunBatch) -> BatchMessage:
        started = self._clock()
        found = await self._find_lease(message)
        if isinstance(found, BatchNotSent):
            return found
        lease, pinned = found
        left = message.timeout_s - (self._clock() - started)
        admitted = await self._admit_batch(message, lease, pinned, left)
        if isinstance(admitted, BatchNotSent):
            return admitted
        left = admitted
        values = message.values
        asked_at = self._clock()
        context = None if values is None else SessionContext(values, message.shapes)
        try:
            with recording_outcome(lease.server, self._clock, left) as outcome:
                answers = await lease.run(
                    context, message.commands, timeout_s=max(0.0, left)
                )
                outcome.answers = answers
        except NotSentError as exc:
            # The server has been evacuated meanwhile; an open transaction is over.
            self._pinned.forget(message.handle)
            lease.release()
            return BatchNotSent(reason=str(exc))
        except ConnectionLostError as exc:
            self._pinned.forget(message.handle)
            lease.release()
            return BatchLost(reason=str(exc), answers=exc.answers)
        except BaseException:
            self._pinned.forget(message.handle)
            lease.release()
            raise
        group = self._servers.group(message.group)
        record_primary_samples(
            group, asked_at, message.commands, answers, message.shapes
        )
        return BatchRun(
            answers=answers,
            handle=self._pin_or_release(message.handle, lease),
            samples=self._latest_samples(),
            load=self._admission.hint(message.group),
            server_s=self._clock() - asked_at,
        )

    async def _find_lease(
        self, message: RunBatch
    ) -> tuple[LocalLease, PinnedLease | None] | BatchNotSent:
        if not message.handle:
            acquired = await self._acquire(message)
            return acquired if isinstance(acquired, BatchNotSent) else (acquired, None)
        pinned = self._pinned.find(
            message.handle,
            customer=message.customer,
            group=message.group,
            server=message.server,
        )
        if pinned is None:
            # The server has rolled the transaction back with its connection.
            return BatchNotSent(reason="the connection is not pinned any more")
        return pinned.lease, pinned

    async def _admit_batch(
        self,
        message: RunBatch,
        lease: LocalLease,
        pinned: PinnedLease | None,
        left: float,
    ) -> float | BatchNotSent:
        """Wait until a batch may be sent, and return the seconds that are left then."""
        if pinned is not None:
            pinned.is_busy = True
        elif left < MIN_ROUND_TRIP_S:
            lease.release()
            return BatchNotSent(reason="the time was over before a connection was free")
        try:
            return await lease.admit(message.commands, timeout_s=left)
        except NotSentError as exc:
            if pinned is None:
                lease.release()
            else:
                self._pinned.keep(message.handle)
            return BatchNotSent(reason=str(exc), wait_s=exc.wait_s)

    def _has_room_to_hedge(self, message: RunBatch) -> bool:
        server = self._servers.group(message.group).servers.get(message.server)
        if server is None or not self._may_hedge(message.customer):
            return False
        return self._servers.pool(server).has_capacity(message.customer)

    async def _acquire(self, message: RunBatch) -> LocalLease | BatchNotSent:
        server = self._servers.group(message.group).servers.get(message.server)
        if server is None:
            return BatchNotSent(reason="the home does not know the server")
        pool = self._servers.pool(server)
        if pool.limit == 0:
            # The caller's instance knows of other homes than this one; the reserve of
            # the server's connections covers one until both know the same.
            pool.resize(1)
        try:
            urgency = Urgency(
                message.priority,
                message.due_s,
                min(message.wait_s, message.timeout_s),
                message.is_deferrable,
            )
            work = workload_of(message.commands)
            conn = await pool.acquire(message.customer, urgency, work)
        except NoConnectionError as exc:
            record_no_connection(server, exc, self._clock())
            detour = ""
            if not exc.is_reachable:
                detour = self._find_detour(message.customer, message.group, server.id)
            return BatchNotSent(
                reason=str(exc),
                is_reachable=exc.is_reachable,
                wait_s=exc.wait_s,
                load=self._admission.hint(message.group),
                reachable_from=detour,
            )
        return LocalLease(server, conn, message.customer, pool)

    def _pin_or_release(self, handle: int, lease: LocalLease) -> int:
        if not lease.in_transaction:
            self._pinned.forget(handle)
            lease.release()
            return 0
        if not handle:
            return self._pinned.pin(lease)
        self._pinned.keep(handle)
        return handle

    def _latest_samples(self) -> tuple[PrimarySampleReport, ...]:
        now = self._clock()
        latest = ((g.name, g.samples.latest) for g in self._servers.groups.values())
        return tuple(
            PrimarySampleReport(
                name,
                now - sample.asked_at,
                sample.position.term,
                sample.position.offset,
            )
            for name, sample in latest
            if sample is not None and now - sample.asked_at < MAX_SAMPLE_AGE_S
        )


def _ends_transaction(message: RunBatch) -> bool:
    is_end = all(isinstance(c, (CommitFor, RollBack)) for c in message.commands)
    return bool(message.handle) and is_end
