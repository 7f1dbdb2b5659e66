"""Runs commands on a server's connection, in a session's values and names."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..control.group import GroupState, Server
from ..errors import Code, Step
from ..events import Event, emit
from ..sessions.session import Session
from ..sessions.statement import Execute, Read, Write
from .command import (
    Answer,
    AnswerTimeoutError,
    Command,
    ConnectionLostError,
    NotSentError,
    Refusal,
)
from .homes import Homes
from .lease import (
    LEAST_S,
    HomeLostError,
    Image,
    Lease,
    LocalLease,
    RemoteLease,
    ServerUnreachedError,
)
from .operation import BACK_SOON_S, Operation, over_rate, refused
from .pool import NoConnectionError, Urgency
from .servers import Servers

WAIT_S = 0.05  # for a change of the group before its state is looked at again
TELLING_S = 0.2  # a server that works answers within that time as a rule


class Executor:
    """Takes connections and runs batches on them.

    Args:
        servers: The servers.
        is_lost: Tells whether a group's primary is out of reach here only.
        homes: The homes of connections, None if all are held here.
        admit: Takes an operation, by its customer and its first statement's id, from
            the customer's limits; tells the seconds to wait if it is beyond them.
    """

    def __init__(
        self,
        servers: Servers,
        is_lost: Callable[[str], bool] = lambda group: False,
        homes: Homes | None = None,
        admit: Callable[[str, str], float] = lambda customer, request_id: 0.0,
    ) -> None:
        self.servers = servers
        self._take_ticket = admit
        self._homes = homes
        self.clock = servers.clock
        self._is_lost = is_lost

    @property
    def has_own_connections(self) -> bool:
        """Whether this process holds the connections that its callers need."""
        return self._homes is None or self._homes.is_direct

    async def take(self, op: Operation, server: Server, *, most_s: float) -> Lease:
        """Take a connection to a server, here or at its home.

        Args:
            op: The operation that needs it.
            server: The server.
            most_s: Seconds to wait at most.

        Raises:
            NoConnectionError: There is none in time; nothing was sent.
        """
        now = self.clock()
        # A connection that comes too late for an answer is of no use.
        left = min(most_s, op.deadline - now - server.latency_s)
        urgency = Urgency(op.route.priority, op.due_at - now, left)
        home = self._homes.of(op.customer) if self._homes else None
        if home is not None and self._homes is not None:
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
            conn = await pool.acquire(op.customer, urgency)
        except NoConnectionError as exc:
            if not exc.is_reachable:
                server.record_failure(self.clock(), str(exc))
            raise
        return LocalLease(server, conn, op.customer, pool)

    async def try_to_take(
        self, op: Operation, server: Server, *, most_s: float, retried: Event
    ) -> Lease | None:
        """Take a connection; pause and tell why if there is none.

        Args:
            op: The operation that needs it.
            server: The server.
            most_s: Seconds to wait at most.
            retried: The event that tells that the operation is tried again.
        """
        try:
            return await self.take(op, server, most_s=most_s)
        except NoConnectionError as exc:
            await self.pause(op, server, str(exc), retried, wait_s=exc.wait_s)
            return None

    async def pause(
        self,
        op: Operation,
        server: Server,
        reason: str,
        retried: Event,
        *,
        wait_s: float = 0.0,
    ) -> None:
        """Wait a moment before an operation that did not run is tried again.

        Args:
            op: The operation.
            server: The server that did not run it.
            reason: Why.
            retried: The event that tells that the operation is tried again.
            wait_s: Seconds until the server might run it, 0 if that is not known.

        Raises:
            FaultError: That is too late for it.
        """
        if wait_s > op.deadline - self.clock():
            raise refused(
                Code.OVERLOADED,
                reason,
                Step.QUEUE,
                peer=server.id,
                retry_after_s=wait_s,
            )
        emit(retried, id=op.request_id, server=server.id, reason=reason)
        await self.rest(op)

    async def rest(self, op: Operation) -> None:
        """Let a moment pass before an operation is tried again."""
        await asyncio.sleep(op.pauses.next_pause_s())

    def _admit(self, op: Operation) -> None:
        if op.ticket.is_taken:
            return
        wait_s = self._take_ticket(op.customer, op.ticket.request_id)
        if wait_s > 0:
            raise over_rate(wait_s)
        op.ticket.is_taken = True

    async def run(
        self,
        lease: Lease,
        session: Session,
        commands: tuple[Command, ...],
        *,
        timeout_s: float,
    ) -> tuple[Answer, ...]:
        """Run commands in a session's values and prepared statements.

        Args:
            lease: The connection.
            session: Whose values and prepared statements are in force.
            commands: The commands.
            timeout_s: Seconds for all answers.

        Returns:
            The answers to the commands.

        Raises:
            ConnectionLostError: The connection is closed; what it ran is not known,
                but for a ``NotSentError``.
        """
        if timeout_s < LEAST_S:
            raise NotSentError("no time is left")
        server = lease.server
        started = self.clock()
        server.busy += 1
        image = Image(session.values, session.shapes)
        try:
            answers = await lease.run(image, commands, timeout_s=timeout_s)
        except ServerUnreachedError as exc:
            server.record_failure(self.clock(), str(exc))
            raise
        except HomeLostError:
            # It says nothing of the server.
            raise
        except NotSentError:
            raise
        except AnswerTimeoutError as exc:
            # A statement that had hardly any time left says nothing of its server.
            if timeout_s >= TELLING_S:
                server.record_failure(self.clock(), str(exc))
            raise
        except ConnectionLostError as exc:
            server.record_failure(self.clock(), str(exc))
            raise
        finally:
            server.busy -= 1
        now = self.clock()
        server.record_answer(now, now - started)
        for answer in answers:
            if answer.position is not None:
                server.last_position = answer.position
        return answers

    async def primary(self, op: Operation) -> Server:
        """Wait for a primary that answers.

        Raises:
            FaultError: There is none in time; nothing was sent.
        """
        group = self.servers.group(op.route.group)
        while True:
            now = self.clock()
            self.check_time(op, group)
            server = group.primary(now)
            if server is not None and self._is_usable(server, op.customer, now):
                return server
            if self._is_lost(group.name):
                raise refused(
                    Code.NO_SERVER,
                    "the primary is out of reach of this instance",
                    Step.ROUTE,
                    peer=server.id if server is not None else group.name,
                    retry_after_s=BACK_SOON_S,
                )
            await group.wait_for_change(min(WAIT_S, op.deadline - now))

    def check_time(self, op: Operation, group: GroupState) -> None:
        """Give up on an operation whose time is over or whose caller has left.

        Raises:
            FaultError: It is given up; it has not run.
        """
        if op.session.is_left:
            raise refused(
                Code.TIMEOUT,
                "the caller is gone",
                Step.QUEUE,
                retry_after_s=BACK_SOON_S,
            )
        if op.deadline - self.clock() < LEAST_S:
            raise refused(
                Code.OVERLOADED,
                "no server could run it in time",
                Step.ROUTE,
                peer=group.name,
                retry_after_s=BACK_SOON_S,
            )

    def _is_usable(self, server: Server, customer: str, now: float) -> bool:
        if not server.is_suspect(now):
            return True
        return self.servers.pool(server).has_idle(customer) and server.failures < 2


def writes(session: Session, statement: Read | Write | Execute) -> bool:
    """Whether a statement writes."""
    if isinstance(statement, Execute):
        return session.shapes[statement.name].writes
    return isinstance(statement, Write)


RETRIED_REFUSALS = frozenset(
    {
        Refusal.BUSY,
        Refusal.BEHIND,
        Refusal.NOT_PRIMARY,
        Refusal.WRONG_SERVER,
        Refusal.TOO_MANY_CONNECTIONS,
        Refusal.STATEMENT_UNKNOWN,
    }
)
"""Refusals after which the statement has certainly not run."""
