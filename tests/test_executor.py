import asyncio

import pytest

from mangoramp.control.deployment import ReadRule, Route
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.errors import FaultError, Outcome
from mangoramp.serving.command import (
    Answer,
    AnswerTimeoutError,
    ConnectionLostError,
    NotSentError,
    RollBack,
    RunFor,
)
from mangoramp.serving.executor import Executor
from mangoramp.serving.operation import Operation, Ticket
from mangoramp.serving.servers import Servers
from mangoramp.serving.transactions import Transaction, TransactionRunner
from mangoramp.sessions.reply import SessionState
from mangoramp.sessions.session import Session
from mangoramp.sessions.statement import Shape, Write

COMMANDS = (RunFor("w1", Write("WRITE a 1")),)


class StubLease:
    """A lease that raises a given error."""

    def __init__(self, outcome):
        endpoint = Endpoint("s1", "g", ("127.0.0.1", 1), "a", 2, False, True)
        self.server = Server(endpoint)
        self.outcome = outcome
        self.sent = 0

    async def admit(self, commands, *, timeout_s):
        return timeout_s

    async def run(self, session_context, commands, *, timeout_s):
        self.sent += 1
        raise self.outcome


def executor():
    return Executor(Servers(None, lambda: 0.0))


class WaitingLease(StubLease):
    """A lease whose session goes on while a server's limit delays the commands."""

    def __init__(self, session):
        super().__init__(NotSentError("test"))
        self.session = session

    async def admit(self, commands, *, timeout_s):
        self.session.values["who"] = "after"
        self.session.shapes["p"] = Shape(True, "after")
        return timeout_s

    async def run(self, session_context, commands, *, timeout_s):
        self.context = session_context
        raise self.outcome


class TestExecutor:
    async def test_runs_with_what_the_session_had_before_a_wait(self):
        """Guards against a losing attempt of a read that takes later session values."""
        shape = Shape(False, "before")
        session = Session("d", "", {"who": "before"}, {"p": shape})
        lease = WaitingLease(session)
        with pytest.raises(NotSentError):
            await executor().run(lease, session, COMMANDS, timeout_s=1.0)
        assert lease.context.values == {"who": "before"}
        assert lease.context.shapes == {"p": shape}

    @pytest.mark.parametrize("timeout_s", [-0.01, 0.0, 0.001])
    async def test_sends_nothing_once_the_time_is_over(self, timeout_s):
        lease = StubLease(AnswerTimeoutError("late"))
        with pytest.raises(NotSentError):
            await executor().run(lease, Session("d", ""), COMMANDS, timeout_s=timeout_s)
        assert not lease.sent

    @pytest.mark.parametrize(
        ("outcome", "timeout_s", "failures"),
        [
            (AnswerTimeoutError("late"), 0.05, 0),
            (AnswerTimeoutError("late"), 0.5, 1),
            (ConnectionLostError("reset"), 0.05, 1),
            (NotSentError("no home"), 0.5, 0),
        ],
    )
    async def test_counts_a_failure_only_on_evidence(
        self, outcome, timeout_s, failures
    ):
        lease = StubLease(outcome)
        with pytest.raises(ConnectionLostError):
            await executor().run(lease, Session("d", ""), COMMANDS, timeout_s=timeout_s)
        assert lease.server.failures == failures


class ExpiredLease(StubLease):
    """A lease of a pinned connection on which no time is left for a statement."""

    customer = "c"
    home_name = ""

    def __init__(self):
        super().__init__(NotSentError("no time is left"))
        self.commands = []
        self.released_after = []

    async def run(self, session_context, commands, *, timeout_s):
        self.commands.extend(commands)
        if isinstance(commands[0], RollBack):
            return (Answer(SessionState.IDLE, None),)
        raise self.outcome

    def release(self):
        self.released_after.append(self.commands[-1])

    def discard(self):
        self.commands.append("discard")


class TestTransactionWithoutTime:
    @pytest.mark.parametrize("ends", ["run", "commit"])
    async def test_is_rolled_back_before_its_connection_is_used_again(self, ends):
        runner = TransactionRunner(executor(), None)
        lease = ExpiredLease()
        tx = Transaction("c", False, 0.0, 0.0, Ticket("b1", is_admitted=True), lease)
        tx.has_written = True
        route = Route("d", "g", ReadRule.PRIMARY, 1.0, 1.0, 0.2, 1)
        op = Operation("w1", "c", route, 0.0, 0.0, Session("d", ""), tx.ticket)
        work = (
            runner.commit(op, tx)
            if ends == "commit"
            else runner.run(op, tx, Write("WRITE a 1"))
        )
        with pytest.raises(FaultError) as caught:
            await work
        assert caught.value.fault.outcome is Outcome.NOT_RUN
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert isinstance(lease.released_after[0], RollBack)
