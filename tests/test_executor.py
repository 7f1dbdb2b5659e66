import random

import pytest

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.serving.command import (
    AnswerTimeoutError,
    ConnectionLostError,
    NotSentError,
    RunFor,
)
from mangoramp.serving.executor import Executor
from mangoramp.serving.servers import Servers
from mangoramp.sessions.session import Session
from mangoramp.sessions.statement import Write

COMMANDS = (RunFor("w1", Write("WRITE a 1")),)


class StubLease:
    """A connection whose answers are set."""

    def __init__(self, outcome):
        endpoint = Endpoint("s1", "g", ("127.0.0.1", 1), "a", 2, False, True)
        self.server = Server(endpoint)
        self.outcome = outcome
        self.sent = 0

    async def run(self, image, commands, *, timeout_s):
        self.sent += 1
        raise self.outcome


def executor():
    return Executor(Servers(None, lambda: 0.0, random.Random(1)))


class TestExecutor:
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
    async def test_blames_a_server_only_on_evidence(self, outcome, timeout_s, failures):
        lease = StubLease(outcome)
        with pytest.raises(ConnectionLostError):
            await executor().run(lease, Session("d", ""), COMMANDS, timeout_s=timeout_s)
        assert lease.server.failures == failures
