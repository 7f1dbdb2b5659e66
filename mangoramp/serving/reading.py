"""Runs reads outside transactions, on a fresh enough replica or else on the primary."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ..control.group import GroupState, Server
from ..errors import Code, FaultError
from ..events import READ_HEDGED, READ_RETRIED, READ_ROUTED, emit
from ..sessions.statement import Execute, Read
from .command import (
    Answer,
    AnswerTimeoutError,
    ConnectionLostError,
    NotSentError,
    OpenTransaction,
    Refusal,
    RollBack,
    RunFor,
)
from .executor import Executor
from .hedged_reads import Attempt, Hedger
from .lease import (
    MIN_CONCLUSIVE_TIMEOUT_S,
    HomeLostError,
    ServerUnreachableError,
)
from .operation import Operation, Ticket, outcome_unknown_error
from .pool import NoConnectionError
from .replica_choice import ReadNeed, ReplicaChooser, ReplicaPrediction
from .server_health import ServerHealth
from .workload import workload_of

MIN_ATTEMPT_TIMEOUT_S = 0.25  # the longest statement under normal load
ATTEMPT_TIMEOUT_FACTOR = 8.0  # multiple of the server's usual latency
REPLICA_CONNECTION_WAIT_S = 0.1  # then another server is tried
MAX_FAILURES = 3  # a statement that failed as often is likely to fail everywhere


@dataclass(slots=True)
class _Progress:
    """The attempts of one read so far.

    Attributes:
        tried: The ids of the replicas that did not answer it in this round.
        failed: The ids of the servers that failed it; replicas do not get it again.
        failures: How often it failed.
        failure: The error of the last failure, None if there was none.
        is_settled: Whether the read has ended, so that no further attempt is sent.
    """

    tried: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    failures: int = 0
    failure: FaultError | None = None
    is_settled: bool = False

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
        self._hedger = Hedger()
        self._servers = executor.servers
        self._clock = executor.clock
        self._chooser = ReplicaChooser(
            executor, failure_domain, judges_answers=health is not None
        )

    async def run(self, op: Operation, statement: Read | Execute) -> Answer:
        """Run a read, retrying on other servers until the operation times out.

        Raises:
            FaultError: The read failed or timed out.
        """
        group = self._servers.group(op.route.group)
        progress = _Progress()
        if self._health is not None:
            self._health.record_read(group)
        try:
            while True:
                self._executor.check_time(op, group)
                failures = progress.failures
                answer = await self._try_next(op, statement, group, progress)
                if answer is not None:
                    self._record_failures(group, progress)
                    return answer
                if progress.failures > failures:
                    # A server ran it, so that the next run counts against the limits.
                    op = replace(op, ticket=Ticket(op.request_id))
        except FaultError as exc:
            if len(progress.failed) == 1:
                self._record_failures(group, progress)
            # A server ran the read, so that "not run" would not be true.
            raise progress.failure or exc from None
        finally:
            progress.is_settled = True

    def choose(
        self, op: Operation, excluded: set[str]
    ) -> tuple[Server, ReadNeed] | None:
        """Choose a replica for a read; None if the read needs the primary."""
        return self._chooser.choose(op, excluded)

    def predict(self, op: Operation) -> ReplicaPrediction:
        """Choose the replica for the first attempt of a read, without any effect."""
        return self._chooser.predict(op)

    def is_deferrable(self, op: Operation, tried: set[str]) -> bool:
        """Return whether a read is to leave the primary to work that only it can run.

        Args:
            op: The read, or the first statement of a read-only transaction.
            tried: The ids of the replicas that could not serve it so far; one of them
                may be able to soon.
        """
        if not self._executor.reserves_primaries or not tried:
            return False
        return self.choose(op, set()) is not None

    async def _try_next(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        progress: _Progress,
    ) -> Answer | None:
        chosen = self._chooser.choose(
            op,
            progress.tried | progress.failed,
            is_probe_allowed=not progress.failures,
        )
        if chosen is not None:
            server, need = chosen
            progress.tried.add(server.id)
            first = self._read_from_replica(op, statement, server, need, progress)
            if self._health is None:
                return await first
            return await self._run_hedged(op, statement, group, server, progress, first)
        is_deferrable = self.is_deferrable(op, progress.tried)
        progress.tried.clear()
        primary = await self._executor.primary_for_read(op, is_deferrable=is_deferrable)
        if primary is None:
            return None
        return await self._read_from_primary(
            op, statement, group, primary, progress, is_deferrable=is_deferrable
        )

    async def _run_hedged(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        server: Server,
        progress: _Progress,
        first: Attempt,
    ) -> Answer | None:
        assert self._health is not None
        delay_s = self._health.hedge_delay_s(group, server, op.route.objective_s)
        answer, outcome = await self._hedger.run(
            first,
            delay_s,
            lambda: self._start_hedge(op, statement, group, server, progress),
        )
        if outcome is not None:
            self._health.record_hedge(outcome.value)
        return answer

    def _start_hedge(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        first: Server,
        progress: _Progress,
    ) -> Attempt | None:
        """Return a second attempt of an overdue read, None if there is to be none."""
        assert self._health is not None
        is_local = self._executor.has_own_connections
        if is_local and not self._health.may_hedge(op.customer):
            return None
        hedge = replace(op, ticket=Ticket(op.request_id, is_hedge=True))
        excluded = progress.tried | progress.failed
        chosen = self._chooser.choose(hedge, excluded)
        server = chosen[0] if chosen else self._free_primary(op, group)
        if server is None or not self._chooser.has_capacity(server, op.customer):
            return None
        if not self._health.try_acquire_hedge(group.name):
            return None
        emit(READ_HEDGED, id=op.request_id, first=first.id, server=server.id)
        progress.tried.add(server.id)
        if chosen is None:
            return self._read_from_primary(hedge, statement, group, server, progress)
        return self._read_from_replica(hedge, statement, server, chosen[1], progress)

    def _free_primary(self, op: Operation, group: GroupState) -> Server | None:
        """Return the primary if it is free and the group has no second replica."""
        now = self._clock()
        is_avoided = self._chooser.avoids_primary(group, op.customer, now)
        return (
            None if len(group.replicas(now)) > 1 or is_avoided else group.primary(now)
        )

    async def _read_from_replica(
        self,
        op: Operation,
        statement: Read | Execute,
        server: Server,
        need: ReadNeed,
        progress: _Progress,
    ) -> Answer | None:
        command = RunFor(op.request_id, statement, after=need.position)
        answers = await self._attempt(
            op, server, (command,), REPLICA_CONNECTION_WAIT_S, progress
        )
        if answers is None:
            return None
        (answer,) = answers
        if answer.refusal is None:
            server.record_applied(need.age_s)
        elif answer.refusal is Refusal.BEHIND:
            server.record_lag(need.age_s, self._clock())
        return await self._check_answer(op, server, answer, progress)

    async def _read_from_primary(
        self,
        op: Operation,
        statement: Read | Execute,
        group: GroupState,
        server: Server,
        progress: _Progress,
        *,
        is_deferrable: bool = False,
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
        answers = await self._attempt(
            op, server, commands, left, progress, is_deferrable=is_deferrable
        )
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
        progress: _Progress,
        *,
        is_deferrable: bool = False,
    ) -> tuple[Answer, ...] | None:
        group = self._servers.group(op.route.group)
        started = self._clock()
        try:
            lease = await self._executor.acquire(
                op,
                server,
                max_wait_s=0.0 if op.ticket.is_hedge else connection_s,
                work=workload_of(commands),
                is_deferrable=is_deferrable,
            )
        except NoConnectionError as exc:
            if not exc.is_reachable and exc.is_observed:
                self._record_unreachable(group, server)
            await self._executor.delay_retry(
                op, server, str(exc), READ_RETRIED, wait_s=exc.wait_s
            )
            return None
        if progress.is_settled:
            # Another attempt has answered the read in the meantime.
            lease.release()
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
        timeout_s = min(left, attempt_timeout_s)
        try:
            answers = await self._executor.run(
                lease, op.session, commands, timeout_s=timeout_s
            )
        except NotSentError as exc:
            if isinstance(exc, ServerUnreachableError):
                self._record_unreachable(group, server)
            await self._executor.delay_retry(
                op, server, str(exc), READ_RETRIED, wait_s=exc.wait_s
            )
            return None
        except ConnectionLostError as exc:
            is_early = (
                isinstance(exc, AnswerTimeoutError)
                and timeout_s < MIN_CONCLUSIVE_TIMEOUT_S
            )
            if not is_early and not isinstance(exc, HomeLostError):
                self._record_unreachable(group, server)
            emit(READ_RETRIED, id=op.request_id, server=server.id, reason=str(exc))
            return None
        finally:
            lease.release()
        ended = self._clock()
        answer = answers[-2] if len(commands) > 1 else answers[0]
        if self._health is not None and answer.refusal is None and answer.signature:
            self._health.record_answer(
                group,
                server,
                took_s=ended - started,
                server_s=lease.server_s or ended - now,
                objective_s=op.route.objective_s,
            )
        return answers

    def _record_unreachable(self, group: GroupState, server: Server) -> None:
        if self._health is not None:
            self._health.record_failure(group, server, is_reachable=False)

    def _record_failures(self, group: GroupState, progress: _Progress) -> None:
        """Record which servers failed a read.

        A statement that several servers failed says nothing about any of them.
        """
        for server_id in progress.failed:
            server = group.servers.get(server_id)
            if self._health is not None and server is not None:
                self._health.record_failure(group, server, is_reachable=True)

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
            if answer.refusal is Refusal.OTHER:
                raise error
            progress.record_failure(server.id, error)
            if not self._may_retry(op, progress):
                raise error
        elif answer.refusal is not Refusal.BEHIND:
            await self._executor.back_off(op)
        return None

    def _may_retry(self, op: Operation, progress: _Progress) -> bool:
        """Return whether a read that a server failed may run again, and count it."""
        if self._health is None or progress.failures >= MAX_FAILURES:
            return False
        return self._health.try_acquire_retry(op.route.group)
