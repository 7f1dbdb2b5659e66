"""Runs reads outside transactions, on a fresh enough replica or else on the primary."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..control.deployment import ReadRule
from ..control.group import GroupState, Server
from ..errors import Code, FaultError
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
from .operation import Operation, outcome_unknown_error
from .server_health import ServerHealth

MIN_ATTEMPT_TIMEOUT_S = 0.25  # the longest statement under normal load
ATTEMPT_TIMEOUT_FACTOR = 8.0  # multiple of the server's usual latency
REPLICA_CONNECTION_WAIT_S = 0.1  # then another server is tried
MAX_FAILURES = 3  # a statement that failed as often is likely to fail everywhere


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """The freshness that a read requires.

    Attributes:
        position: The position that the server must have applied.
        age_s: Seconds for which the primary has held this position, at least.
    """

    position: Position
    age_s: float


@dataclass(slots=True)
class _Progress:
    """The attempts of one read so far.

    Attributes:
        tried: The ids of the replicas that did not answer it in this round.
        failed: The ids of the servers that failed it; replicas do not get it again.
        failures: How often it failed.
        failure: The error of the last failure, None if there was none.
    """

    tried: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    failures: int = 0
    failure: FaultError | None = None

    def record_failure(self, server_id: str, error: FaultError) -> None:
        """Record that a server failed the read."""
        self.failed.add(server_id)
        self.failures += 1
        self.failure = error


class Reader:
    """Runs reads outside transactions.

    Args:
        executor: Acquires connections and runs commands.
        failure_domain: The failure domain of this process.
        health: Grants additional attempts; None if a read that a server failed is not
            run again.
    """

    def __init__(
        self,
        executor: Executor,
        failure_domain: str,
        health: ServerHealth | None = None,
    ) -> None:
        self._executor = executor
        self._health = health
        self._servers = executor.servers
        self._clock = executor.clock
        self._failure_domain = failure_domain

    async def run(self, op: Operation, statement: Read | Execute) -> Answer:
        """Run a read, retrying on other servers until the operation times out.

        Raises:
            FaultError: The read failed or timed out.
        """
        group = self._servers.group(op.route.group)
        progress = _Progress()
        if self._health is not None:
            self._health.record_read(group.name)
        try:
            while True:
                self._executor.check_time(op, group)
                answer = await self._try_next(op, statement, group, progress)
                if answer is not None:
                    return answer
        except FaultError as exc:
            # A server ran the read, so that "not run" would not be true.
            raise progress.failure or exc from None

    def choose(
        self, op: Operation, excluded: set[str]
    ) -> tuple[Server, ReadNeed] | None:
        """Choose a replica for a read; None if the read needs the primary.

        Args:
            op: The read, or the first statement of a read-only transaction.
            excluded: The ids of servers to exclude.
        """
        group = self._servers.group(op.route.group)
        now = self._clock()
        need = self.need(op, group)
        if need is None:
            return None
        replicas = group.replicas(now)
        preferred = preferred_replica(op.customer, [s.id for s in replicas])
        servers = {s.id: s for s in replicas if s.id not in excluded}
        found = choose_replica(
            (
                self._candidate(s, op.customer, s.id == preferred, now)
                for s in servers.values()
            ),
            need.position,
            need.age_s,
        )
        return (servers[found.id], need) if found is not None else None

    def need(self, op: Operation, group: GroupState) -> ReadNeed | None:
        """Return the freshness that a read needs; None if only the primary has it."""
        route, session = op.route, op.session
        if route.rule is ReadRule.PRIMARY:
            return None
        sample = group.samples.earliest_since(op.fresh_since - route.max_age_s)
        if sample is None:
            return None
        now = self._clock()
        need = ReadNeed(sample.position, now - sample.asked_at)
        committed_position = (
            session.committed_position if route.rule is ReadRule.OWN_WRITES else None
        )
        if committed_position is not None and committed_position > need.position:
            return ReadNeed(committed_position, now - session.committed_at)
        return need

    def _candidate(
        self, server: Server, customer: str, is_preferred: bool, now: float
    ) -> Replica:
        pool = self._servers.pool(server)
        # The connections of a home are unknown here; the preferred replica is assumed
        # to have one.
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

    async def _try_next(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        progress: _Progress,
    ) -> Answer | None:
        chosen = self.choose(op, progress.tried | progress.failed)
        if chosen is not None:
            server, need = chosen
            progress.tried.add(server.id)
            return await self._read_from_replica(op, statement, server, need, progress)
        progress.tried.clear()
        server = await self._executor.primary(op)
        return await self._read_from_primary(op, statement, group, server, progress)

    async def _read_from_replica(
        self,
        op: Operation,
        statement: Read | Execute,
        server: Server,
        need: ReadNeed,
        progress: _Progress,
    ) -> Answer | None:
        command = RunFor(op.request_id, statement, after=need.position)
        answers = await self._attempt(op, server, (command,), REPLICA_CONNECTION_WAIT_S)
        if answers is None:
            return None
        (answer,) = answers
        if answer.refusal is None:
            server.record_applied(need.age_s)
        elif answer.refusal is Refusal.BEHIND:
            server.record_lag(need.age_s)
        return await self._check_answer(op, server, answer, progress)

    async def _read_from_primary(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        server: Server,
        progress: _Progress,
    ) -> Answer | None:
        # A former primary refuses to open a read-write transaction, but it would answer
        # a plain read with stale data.
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
            await self._executor.back_off(op)
            return None
        group.record_position(asked_at, opened.position)
        if answer.refusal is Refusal.NOT_PRIMARY:
            server.not_primary_at = self._clock()
        return await self._check_answer(op, server, answer, progress)

    async def _attempt(
        self,
        op: Operation,
        server: Server,
        commands: tuple[OpenTransaction | RunFor | RollBack, ...],
        connection_s: float,
    ) -> tuple[Answer, ...] | None:
        lease = await self._executor.try_acquire(
            op, server, max_wait_s=connection_s, retry_event=READ_RETRIED
        )
        if lease is None:
            return None
        now = self._clock()
        left = op.deadline - now
        attempt_timeout_s = max(
            MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * server.latency_s
        )
        emit(
            READ_ROUTED,
            id=op.request_id,
            server=server.id,
            customer=op.customer,
            home=lease.home_name,
            primary=len(commands) > 1,
            after=str(getattr(commands[0], "after", None) or "-"),
            shows=str(server.last_position or "-"),
            heard_s=round(now - server.last_answer_at, 3),
            busy=server.busy,
            left_s=round(left, 3),
        )
        try:
            return await self._executor.run(
                lease, op.session, commands, timeout_s=min(left, attempt_timeout_s)
            )
        except NotSentError as exc:
            await self._executor.delay_retry(
                op, server, str(exc), READ_RETRIED, wait_s=exc.wait_s
            )
            return None
        except ConnectionLostError as exc:
            emit(READ_RETRIED, id=op.request_id, server=server.id, reason=str(exc))
            return None
        finally:
            lease.release()

    async def _check_answer(
        self, op: Operation, server: Server, answer: Answer, progress: _Progress
    ) -> Answer | None:
        if answer.refusal is None and answer.signature:
            return answer
        if answer.refusal is not None:
            emit(
                READ_RETRIED,
                id=op.request_id,
                server=server.id,
                reason=answer.refusal.value,
            )
        if answer.refusal in (None, Refusal.FAILED, Refusal.OTHER):
            error = outcome_unknown_error(
                Code.STATEMENT_FAILED, answer.detail or "no signature", peer=server.id
            )
            if answer.refusal is Refusal.OTHER or not self._may_retry(op, progress):
                raise error
            progress.record_failure(server.id, error)
        elif answer.refusal is not Refusal.BEHIND:
            await self._executor.back_off(op)
        return None

    def _may_retry(self, op: Operation, progress: _Progress) -> bool:
        """Return whether a read that a server failed may run again, and count it."""
        if self._health is None or progress.failures + 1 >= MAX_FAILURES:
            return False
        return self._health.try_acquire_retry(op.route.group)
