"""Single reads: at a replica that shows enough, else at the primary."""

from __future__ import annotations

from dataclasses import dataclass

from ..control.deployment import ReadRule
from ..control.group import GroupState, Server
from ..errors import Code
from ..events import READ_RETRIED, READ_ROUTED, emit
from ..policy.placement import Replica, choose_replica, preferred_replica
from ..policy.position import Position
from ..sessions.statement import Execute, Read
from .command import (
    Answer,
    ConnectionLostError,
    NotSentError,
    OpenTransaction,
    Refusal,
    RollBack,
    RunFor,
)
from .executor import Executor
from .operation import Operation, unknown

LEAST_PATIENCE_S = 0.25  # the longest statement of usual work
PATIENCE = 8.0  # times the usual latency, before a read is tried elsewhere
CONNECTION_WAIT_S = 0.1  # for a replica's connection, before another server is tried


@dataclass(frozen=True, slots=True)
class Need:
    """What a read must show.

    Attributes:
        position: The position that the answering log must hold.
        age_s: Seconds for which the primary has held it at least.
    """

    position: Position
    age_s: float


class Reader:
    """Runs reads that stand alone.

    Args:
        executor: Takes connections and runs commands.
        failure_domain: Where this process runs.
    """

    def __init__(self, executor: Executor, failure_domain: str) -> None:
        self._executor = executor
        self._servers = executor.servers
        self._clock = executor.clock
        self._failure_domain = failure_domain

    async def run(self, op: Operation, statement: Read | Execute) -> Answer:
        """Run a read; it is tried again until its time is over.

        Raises:
            FaultError: It was not answered.
        """
        group = self._servers.group(op.route.group)
        tried: set[str] = set()
        while True:
            self._executor.check_time(op, group)
            answer = await self._at_any(op, statement, group, tried)
            if answer is not None:
                return answer

    def choose(
        self, op: Operation, passed_over: set[str]
    ) -> tuple[Server, Need] | None:
        """Choose the replica for a read; None if it needs the primary.

        Args:
            op: The read, or the transaction's first statement.
            passed_over: Servers that are not to be chosen.
        """
        group = self._servers.group(op.route.group)
        now = self._clock()
        need = self.need(op, group)
        if need is None:
            return None
        replicas = group.replicas(now)
        preferred = preferred_replica(op.customer, [s.id for s in replicas])
        servers = {s.id: s for s in replicas if s.id not in passed_over}
        found = choose_replica(
            (
                self._candidate(s, op.customer, s.id == preferred, now)
                for s in servers.values()
            ),
            need.position,
            need.age_s,
        )
        return (servers[found.id], need) if found is not None else None

    def need(self, op: Operation, group: GroupState) -> Need | None:
        """What a read must show; None if only the primary can tell."""
        route, session = op.route, op.session
        if route.rule is ReadRule.PRIMARY:
            return None
        sample = group.samples.earliest_since(op.fresh_since - route.max_age_s)
        if sample is None:
            return None
        now = self._clock()
        need = Need(sample.position, now - sample.asked_at)
        seen = session.seen if route.rule is ReadRule.OWN_WRITES else None
        if seen is not None and seen > need.position:
            return Need(seen, now - session.seen_at)
        return need

    def _candidate(
        self, server: Server, customer: str, is_preferred: bool, now: float
    ) -> Replica:
        pool = self._servers.pool(server)
        # Which connections a home has is not known here.
        is_own = self._executor.has_own_connections
        has_connection = pool.has_idle(customer) if is_own else is_preferred
        return Replica(
            id=server.id,
            last_position=server.last_position,
            lag_s=server.lag_s,
            latency_s=server.latency_s,
            busy=server.busy + pool.waiting,
            slots=server.endpoint.slots,
            is_near=server.endpoint.failure_domain == self._failure_domain,
            has_connection=has_connection,
            is_preferred=is_preferred,
            is_suspect=server.is_suspect(now),
        )

    async def _at_any(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        tried: set[str],
    ) -> Answer | None:
        chosen = self.choose(op, tried)
        if chosen is not None:
            server, need = chosen
            tried.add(server.id)
            return await self._at_replica(op, statement, server, need)
        tried.clear()
        server = await self._executor.primary(op)
        return await self._at_primary(op, statement, group, server)

    async def _at_replica(
        self, op: Operation, statement: Read | Execute, server: Server, need: Need
    ) -> Answer | None:
        command = RunFor(op.request_id, statement, after=need.position)
        answers = await self._attempt(op, server, (command,), CONNECTION_WAIT_S)
        if answers is None:
            return None
        (answer,) = answers
        if answer.refusal is None:
            server.record_applied(need.age_s)
        elif answer.refusal is Refusal.BEHIND:
            server.record_lag(need.age_s)
        return await self._final(op, server, answer)

    async def _at_primary(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        server: Server,
    ) -> Answer | None:
        # A server that has lost the lead refuses to open a transaction that may write;
        # a bare read it would answer with what it had.
        asked_at = self._clock()
        commands = (
            OpenTransaction(read_only=False),
            RunFor(op.request_id, statement),
            RollBack(),
        )
        left = op.deadline - asked_at
        answers = await self._attempt(op, server, commands, left)
        if answers is None:
            return None
        opened, answer, _ = answers
        if opened.refusal is not None:
            if opened.refusal is Refusal.NOT_PRIMARY:
                server.not_primary_at = self._clock()
            await self._executor.rest(op)
            return None
        group.record_position(asked_at, opened.position)
        if answer.refusal is Refusal.NOT_PRIMARY:
            server.not_primary_at = self._clock()
        return await self._final(op, server, answer)

    async def _attempt(
        self,
        op: Operation,
        server: Server,
        commands: tuple[OpenTransaction | RunFor | RollBack, ...],
        connection_s: float,
    ) -> tuple[Answer, ...] | None:
        lease = await self._executor.try_to_take(
            op, server, most_s=connection_s, retried=READ_RETRIED
        )
        if lease is None:
            return None
        now = self._clock()
        left = op.deadline - now
        patience = max(LEAST_PATIENCE_S, PATIENCE * server.latency_s)
        emit(
            READ_ROUTED,
            id=op.request_id,
            server=server.id,
            customer=op.customer,
            home=lease.held_by,
            primary=len(commands) > 1,
            after=str(getattr(commands[0], "after", None) or "-"),
            shows=str(server.last_position or "-"),
            heard_s=round(now - server.last_answer_at, 3),
            busy=server.busy,
            left_s=round(left, 3),
        )
        try:
            return await self._executor.run(
                lease, op.session, commands, timeout_s=min(left, patience)
            )
        except NotSentError as exc:
            await self._executor.pause(
                op, server, str(exc), READ_RETRIED, wait_s=exc.wait_s
            )
            return None
        except ConnectionLostError as exc:
            emit(READ_RETRIED, id=op.request_id, server=server.id, reason=str(exc))
            return None
        finally:
            lease.give_back()

    async def _final(
        self, op: Operation, server: Server, answer: Answer
    ) -> Answer | None:
        if answer.refusal is None:
            if answer.signature:
                return answer
            raise unknown(Code.STATEMENT_FAILED, "no signature", peer=server.id)
        emit(
            READ_RETRIED,
            id=op.request_id,
            server=server.id,
            reason=answer.refusal.value,
        )
        if answer.refusal in (Refusal.FAILED, Refusal.OTHER):
            raise unknown(Code.STATEMENT_FAILED, answer.detail, peer=server.id)
        if answer.refusal is not Refusal.BEHIND:
            await self._executor.rest(op)
        return None
