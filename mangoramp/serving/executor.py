"""Acquires server connections and runs batches of commands in a session's context."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..control.group import GroupState, Server
from ..errors import Code, FaultError, Step
from ..events import Event, emit
from ..sessions.session import Session
from ..sessions.statement import Execute, Read, Write
from .admission import AdmissionControl
from .command import (
    Answer,
    Command,
    NotSentError,
    Refusal,
)
from .homes import Homes
from .lease import (
    MIN_ROUND_TRIP_S,
    Lease,
    LocalLease,
    RemoteLease,
    SessionContext,
)
from .operation import DEFAULT_RETRY_AFTER_S, Operation, over_rate_error, refused_error
from .pool import EVACUATED_REASON, NoConnectionError, ServerPool, Urgency
from .server_health import record_no_connection, recording_outcome
from .servers import Servers
from .workload import ONE_REQUEST, Workload

EVACUATED_RETRY_AFTER_S = 0.5  # a replacement that is late normally ends within this
GROUP_POLL_S = 0.05  # a server also becomes usable when its suspicion expires


class Executor:
    """Acquires connections and runs batches of commands on them.

    Args:
        servers: The known servers and their pools.
        is_primary_unreachable: Returns whether a group's primary is unreachable from
            this instance only.
        homes: The homes of connections, None if this process holds all connections.
        admit: Charges an operation, given its customer and the id of its first
            statement, to the customer's limits; returns the seconds to wait if the
            operation exceeds them, else 0.
        admission: Rejects what cannot be served in time, None for no such control.
    """

    def __init__(
        self,
        servers: Servers,
        is_primary_unreachable: Callable[[str], bool] = lambda group: False,
        homes: Homes | None = None,
        admit: Callable[[str, str], float] = lambda customer, request_id: 0.0,
        admission: AdmissionControl | None = None,
    ) -> None:
        self.servers = servers
        self.admission = admission or AdmissionControl(servers)
        self._charge = admit
        self._homes = homes
        self.clock = servers.clock
        self._is_primary_unreachable = is_primary_unreachable

    @property
    def reserves_primaries(self) -> bool:
        """Whether reads that replicas can serve leave the primary to other work."""
        return self.admission.is_enabled

    @property
    def has_own_connections(self) -> bool:
        """Whether this process holds its callers' connections itself."""
        return self._homes is None or self._homes.is_direct

    async def acquire(
        self,
        op: Operation,
        server: Server,
        *,
        max_wait_s: float,
        work: Workload = ONE_REQUEST,
        is_deferrable: bool = False,
    ) -> Lease:
        """Acquire a connection to a server, from the local pool or from its home.

        A home acquires the connection when the first commands are run.

        Args:
            op: The operation that needs the connection.
            server: The server.
            max_wait_s: Maximum wait for a connection in seconds.
            work: What the first batch asks of the server's capacity.
            is_deferrable: Whether this is a read at the primary that a replica can
                serve.

        Raises:
            NoConnectionError: No connection became available in time; nothing was sent.
            FaultError: No connection can become available in time.
        """
        now = self.clock()
        # Leaves the server's usual latency for the answer.
        left = min(max_wait_s, op.deadline - now - server.latency_s)
        urgency = Urgency(
            op.route.priority,
            op.due_at - now,
            left,
            is_deferrable,
        )
        if self._homes is not None and self._homes.is_out_of_reach:
            raise out_of_reach_error(server)
        admitted_for = server.id if op.ticket.is_admitted else ""
        home = self._homes.home_of(op.customer, admitted_for) if self._homes else None
        if home is not None and self._homes is not None:
            self.admission.check_backlog(op, server, home)
            return RemoteLease(
                server,
                home,
                op.customer,
                self._homes,
                urgency=urgency,
                ticket=op.ticket,
            )
        self._admit(op)
        pool = self.servers.pool(server)
        try:
            conn = await pool.acquire(op.customer, urgency, work)
        except NoConnectionError as exc:
            record_no_connection(server, exc, self.clock())
            if not exc.is_reachable and self._find_detour(op, server):
                raise NoConnectionError(str(exc), is_reachable=True) from None
            raise
        return LocalLease(server, conn, op.customer, pool)

    def _find_detour(self, op: Operation, server: Server) -> bool:
        """Return whether another home reaches a server, which runs the next attempt."""
        if self._homes is None:
            return False
        return bool(self._homes.find_detour(op.customer, op.route.group, server.id))

    def _has_detour(self, op: Operation, server: Server) -> bool:
        homes = self._homes
        return homes is not None and homes.has_detour(op.customer, server.id)

    async def try_acquire(
        self,
        op: Operation,
        server: Server,
        *,
        max_wait_s: float,
        retry_event: Event,
        work: Workload = ONE_REQUEST,
        is_deferrable: bool = False,
    ) -> Lease | None:
        """Acquire a connection; if none is available, delay the retry and return None.

        Args:
            op: The operation that needs the connection.
            server: The server.
            max_wait_s: Maximum wait for a connection in seconds.
            retry_event: The event to log for the retry.
            work: What the first batch asks of the server's capacity.
            is_deferrable: Whether this is a read at the primary that a replica can
                serve.
        """
        try:
            return await self.acquire(
                op,
                server,
                max_wait_s=max_wait_s,
                work=work,
                is_deferrable=is_deferrable,
            )
        except NoConnectionError as exc:
            await self.delay_retry(op, server, str(exc), retry_event, wait_s=exc.wait_s)
            return None

    async def delay_retry(
        self,
        op: Operation,
        server: Server,
        reason: str,
        retry_event: Event,
        *,
        wait_s: float = 0.0,
    ) -> None:
        """Log and delay the retry of an operation that did not run.

        Args:
            op: The operation.
            server: The server that did not run the operation.
            reason: Why the operation did not run.
            retry_event: The event to log for the retry.
            wait_s: Estimated seconds until the server can run the operation, 0 if
                unknown.

        Raises:
            FaultError: ``wait_s`` exceeds the time left for the operation.
        """
        if wait_s > op.deadline - self.clock():
            raise refused_error(
                Code.OVERLOADED,
                reason,
                Step.QUEUE,
                peer=server.id,
                retry_after_s=self.admission.record_late(op, server, reason, wait_s),
            )
        emit(retry_event, id=op.request_id, server=server.id, reason=reason)
        await self.back_off(op)

    async def back_off(self, op: Operation) -> None:
        """Sleep for the operation's next retry delay."""
        await asyncio.sleep(op.pauses.next_pause_s())

    def _admit(self, op: Operation) -> None:
        if op.ticket.is_admitted:
            return
        wait_s = self._charge(op.customer, op.ticket.request_id)
        if wait_s > 0:
            raise over_rate_error(wait_s)
        op.ticket.is_admitted = True

    async def run(
        self,
        lease: Lease,
        session: Session,
        commands: tuple[Command, ...],
        *,
        timeout_s: float,
    ) -> tuple[Answer, ...]:
        """Run commands with a session's variables and prepared statements.

        Args:
            lease: The leased connection.
            session: The session whose variables and prepared statements apply.
            commands: The commands.
            timeout_s: Timeout for all answers in seconds.

        Returns:
            The answers to the commands, in order.

        Raises:
            ConnectionLostError: The connection is closed and the outcome is unknown,
                except for the subclass ``NotSentError``: nothing was sent.
        """
        if timeout_s < MIN_ROUND_TRIP_S:
            raise NotSentError("no time is left")
        server = lease.server
        if not self.may_send(lease):
            lease.discard()
            raise NotSentError(EVACUATED_REASON)
        # Copied: if another attempt of a read wins meanwhile, the session goes on.
        session_context = SessionContext(dict(session.values), dict(session.shapes))
        timeout_s = await lease.admit(commands, timeout_s=timeout_s)
        with recording_outcome(server, self.clock, timeout_s) as outcome:
            answers = await lease.run(session_context, commands, timeout_s=timeout_s)
            outcome.answers = answers
        for answer in answers:
            if answer.position is not None:
                server.last_position = answer.position
        return answers

    def may_send(self, lease: Lease) -> bool:
        """Return whether an evacuation, if any, still allows to use a connection."""
        server = lease.server
        return not server.is_evacuated or server.may_send(
            self.clock(), in_transaction=lease.in_transaction
        )

    async def primary(self, op: Operation) -> Server:
        """Wait until a group's primary is usable and return it.

        Raises:
            FaultError: No primary became usable in time; nothing was sent.
        """
        group = self.servers.group(op.route.group)
        while True:
            now = self.clock()
            self.check_time(op, group)
            server = group.primary(now)
            if self._check_primary(server, op, group, self.servers.pool):
                assert server is not None
                return server
            self.admission.check_outage(op, group)
            await group.wait_for_change(min(GROUP_POLL_S, op.deadline - now))

    def predict_primary(self, op: Operation, group: GroupState) -> Server | None:
        """Return the primary that :meth:`primary` would return, without any effect.

        Returns:
            None if the operation would wait for a primary.

        Raises:
            FaultError: The operation would be rejected.
        """
        server = group.find_primary(self.clock())
        if self._check_primary(server, op, group, self.servers.find_pool):
            return server
        fault = self.admission.predict_outage(op, group)
        if fault is not None:
            raise FaultError(fault)
        return None

    def _check_primary(
        self,
        server: Server | None,
        op: Operation,
        group: GroupState,
        pool_of: Callable[[Server], ServerPool | None],
    ) -> bool:
        """Return whether a group's primary, if it has one, is usable.

        Raises:
            FaultError: It will not be usable from here in time.
        """
        now = self.clock()
        if server is not None and not server.may_send(now):
            raise refused_error(
                Code.NO_SERVER,
                "the primary's failure domain is being evacuated",
                Step.ROUTE,
                peer=server.id,
                retry_after_s=EVACUATED_RETRY_AFTER_S,
            )
        drain_s = self.servers.limits.bounds.draining_s
        if server is not None and server.has_drained(now, drain_s):
            raise refused_error(
                Code.NO_SERVER,
                "the primary is about to leave and has not been replaced",
                Step.ROUTE,
                peer=server.id,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        if server is not None and (
            _is_usable(server, op.customer, now, pool_of)
            or self._has_detour(op, server)
        ):
            return True
        if self._is_primary_unreachable(group.name):
            raise refused_error(
                Code.NO_SERVER,
                "the primary is out of reach of this instance",
                Step.ROUTE,
                peer=server.id if server is not None else group.name,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        return False

    async def primary_for_read(
        self, op: Operation, *, is_deferrable: bool
    ) -> Server | None:
        """Wait until a group's primary is usable for a read and return it.

        Args:
            op: The operation.
            is_deferrable: Whether a replica can serve the read, so that it does not
                wait for the primary.

        Returns:
            None, after a pause, if the replicas should be tried again instead.

        Raises:
            FaultError: No primary became usable in time; nothing was sent.
        """
        if is_deferrable:
            now = self.clock()
            server = self.servers.group(op.route.group).primary(now)
            pool_of = self.servers.pool
            if server is None or not _is_usable(server, op.customer, now, pool_of):
                await self.back_off(op)
                return None
        return await self.primary(op)

    def check_time(self, op: Operation, group: GroupState) -> None:
        """Abort an operation that has timed out or whose caller has disconnected.

        Raises:
            FaultError: The operation was aborted and has not run.
        """
        if op.session.is_disconnected:
            raise refused_error(
                Code.TIMEOUT,
                "the caller is gone",
                Step.QUEUE,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        if op.deadline - self.clock() < MIN_ROUND_TRIP_S:
            raise refused_error(
                Code.OVERLOADED,
                "no server could run it in time",
                Step.ROUTE,
                peer=group.name,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )


def _is_usable(
    server: Server,
    customer: str,
    now: float,
    pool_of: Callable[[Server], ServerPool | None],
) -> bool:
    if not server.is_suspect(now):
        return True
    pool = pool_of(server)
    return pool is not None and pool.has_idle(customer) and server.failures < 2


def out_of_reach_error(server: Server) -> FaultError:
    """Return the error for a statement whose customer has no home in reach."""
    return refused_error(
        Code.NO_SERVER,
        "no instance that holds connections is in reach",
        Step.ROUTE,
        peer=server.id,
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def writes(session: Session, statement: Read | Write | Execute) -> bool:
    """Return whether a statement writes, resolving prepared statements."""
    if isinstance(statement, Execute):
        return session.shapes[statement.name].writes
    return isinstance(statement, Write)


RETRYABLE_REFUSALS = frozenset(
    {
        Refusal.BUSY,
        Refusal.BEHIND,
        Refusal.NOT_PRIMARY,
        Refusal.WRONG_SERVER,
        Refusal.TOO_MANY_CONNECTIONS,
        Refusal.STATEMENT_UNKNOWN,
    }
)
"""Refusals that guarantee that the statement did not run, so that a retry is safe."""
