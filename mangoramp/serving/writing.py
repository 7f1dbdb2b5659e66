"""Runs writes outside transactions, retrying only those that certainly did not run."""

from __future__ import annotations

from ..control.group import Server
from ..errors import Code
from ..events import WRITE_OUTCOME_UNKNOWN, WRITE_RETRIED, WRITE_ROUTED, emit
from ..sessions.session import Commit
from ..sessions.statement import Execute, Write
from .command import Answer, ConnectionLostError, NotSentError, Refusal, RunFor
from .executor import RETRYABLE_REFUSALS, Executor
from .operation import Operation, outcome_unknown_error


class Writer:
    """Runs writes outside transactions on the primary.

    Args:
        executor: Acquires connections and runs commands.
    """

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._clock = executor.clock

    async def run(self, op: Operation, statement: Write | Execute) -> Answer:
        """Run a write.

        Raises:
            FaultError: The write did not run, or the outcome is unknown.
        """
        while True:
            server = await self._executor.primary(op)
            asked_at = self._clock()
            answer = await self._attempt(op, statement, server)
            if answer is not None:
                group = server.endpoint.group
                if answer.position is not None:
                    op.session.commits[group] = Commit(answer.position, self._clock())
                self._executor.servers.group(group).record_position(
                    asked_at, answer.position
                )
                return answer

    async def _attempt(
        self, op: Operation, statement: Write | Execute, server: Server
    ) -> Answer | None:
        left = op.deadline - self._clock()
        lease = await self._executor.try_acquire(
            op, server, max_wait_s=left, retry_event=WRITE_RETRIED
        )
        if lease is None:
            return None
        left = op.deadline - self._clock()
        emit(
            WRITE_ROUTED,
            id=op.request_id,
            server=server.id,
            customer=op.customer,
            home=lease.home_name,
            leads_since=str(server.primary_since),
            heard_s=round(self._clock() - server.last_answer_at, 3),
            left_s=round(left, 3),
        )
        try:
            (answer,) = await self._executor.run(
                lease,
                op.session,
                (RunFor(op.request_id, statement),),
                timeout_s=max(0.0, left),
            )
        except NotSentError as exc:
            await self._executor.delay_retry(
                op, server, str(exc), WRITE_RETRIED, wait_s=exc.wait_s
            )
            return None
        except ConnectionLostError as exc:
            emit(
                WRITE_OUTCOME_UNKNOWN,
                id=op.request_id,
                server=server.id,
                reason=str(exc),
            )
            raise outcome_unknown_error(
                Code.CONNECTION_LOST, str(exc), peer=server.id
            ) from exc
        finally:
            lease.release()
        return await self._check_answer(op, server, answer)

    async def _check_answer(
        self, op: Operation, server: Server, answer: Answer
    ) -> Answer | None:
        if answer.refusal is None and answer.signature:
            return answer
        if answer.refusal in RETRYABLE_REFUSALS:
            if answer.refusal is Refusal.NOT_PRIMARY:
                server.not_primary_at = self._clock()
            reason = answer.refusal.value
            await self._executor.delay_retry(op, server, reason, WRITE_RETRIED)
            return None
        timed_out = answer.refusal is Refusal.TIMEOUT
        code = Code.TIMEOUT if timed_out else Code.STATEMENT_FAILED
        raise outcome_unknown_error(code, answer.detail, peer=server.id)
