import asyncio
import time

import msgspec
import pytest
from returns.result import Failure, Success

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.errors import Code, Fault, Outcome, Step
from mangoramp.policy.revision import Revision
from mangoramp.proxies.envelope import Envelope
from mangoramp.serving.admission import AdmissionControl
from mangoramp.serving.batches import BatchNotSent, BatchRun, DropPinned, RunBatch
from mangoramp.serving.command import (
    Answer,
    ConnectionContext,
    NotSentError,
    OpenTransaction,
    Refusal,
    RollBack,
    RunFor,
)
from mangoramp.serving.home_batches import HomeBatches
from mangoramp.serving.lease import (
    MIN_UNIQUE_HANDLE,
    HomeLostError,
    LocalLease,
    RemoteLease,
    SessionContext,
)
from mangoramp.serving.memory import Memory
from mangoramp.serving.operation import Ticket
from mangoramp.serving.pinned_leases import PIN_TIMEOUT_S
from mangoramp.serving.pins import Pins
from mangoramp.serving.pool import ServerPool, Urgency
from mangoramp.serving.servers import Servers
from mangoramp.sessions.reply import SessionState
from mangoramp.sessions.statement import Execute, Write
from mangoramp.standins import wire_group

from . import virtual_time, wire_world

ENDPOINT = Endpoint("s1", "g", ("h", 1), "a", 2, False, True)
SOON = Urgency(priority=1, due_s=0.2, timeout_s=0.5)
BEGIN = OpenTransaction(read_only=False)
WRITE = RunFor("r1", Write("WRITE a 1"))
UNKNOWN = RunFor("r2", Execute("unknown", "a 1"))
EMPTY = SessionContext({}, {})
HANDLE = MIN_UNIQUE_HANDLE + 1


class Connection:
    """A connection to a server that fails each rollback in its transaction."""

    def __init__(self):
        self.context = ConnectionContext()
        self.is_open = True
        self.state = SessionState.IDLE

    async def run(self, batch, *, timeout_s):
        return tuple(self._answer(command) for command in batch)

    def _answer(self, command):
        if isinstance(command, OpenTransaction):
            self.state = SessionState.IN_TRANSACTION
        return Answer(self.state, None, (), "sig", None, "")

    def close(self):
        self.is_open = False


class Connector:
    async def open(self, server_id, group, address, customer):
        return Connection()


class TestLocalLease:
    async def acquire(self):
        pins = Pins(time.monotonic, 4)
        pool = ServerPool(
            Server(ENDPOINT), Connector(), time.monotonic, limit=4, pins=pins
        )
        return LocalLease(pool.server, await pool.acquire("c", SOON), "c", pool)

    @pytest.mark.parametrize(
        "batches", [[(BEGIN, WRITE, RollBack())], [(BEGIN,), (WRITE,)], [(BEGIN,), ()]]
    )
    async def test_returns_no_connection_inside_a_transaction(self, batches):
        """Guards against statements in a transaction that an earlier caller left."""
        lease = await self.acquire()
        for batch in batches:
            await lease.run(EMPTY, batch, timeout_s=1.0)
        lease.release()
        assert not lease.conn.is_open
        assert not lease.pool.has_idle("c")
        assert not lease.pool.connection_count
        assert not lease.pool.in_flight

    async def test_returns_a_connection_outside_a_transaction(self):
        lease = await self.acquire()
        await lease.run(EMPTY, (WRITE,), timeout_s=1.0)
        lease.release()
        assert lease.pool.has_idle("c")

    async def test_returns_no_connection_whose_batch_could_not_be_built(self):
        """Guards against session values that are noted but were never sent."""
        lease = await self.acquire()
        context = SessionContext({"who": "x"}, {})
        with pytest.raises(KeyError):
            await lease.run(context, (UNKNOWN,), timeout_s=1.0)
        lease.release()
        assert not lease.pool.has_idle("c")
        assert not lease.pool.connection_count


class World:
    """A home that holds connections for other instances."""

    def __init__(self):
        self.servers = Servers(Connector(), time.monotonic, name="h")
        self.servers.group("g").update_endpoint(ENDPOINT, Revision(0, 1))
        self.batches = HomeBatches(
            self.servers,
            admit=lambda customer, request_id: 0.0,
            admission=AdmissionControl(self.servers),
            memory=Memory(2**20, time.monotonic),
            may_hedge=lambda customer: True,
            find_detour=lambda customer, group, server_id: "",
        )

    @property
    def pool(self):
        return self.servers.pool(self.servers.group("g").servers["s1"])

    async def run(self, *commands, handle=0):
        message = RunBatch(
            "s1", "g", "c", {}, {}, commands, 1.0, 0.5, 0.2, handle=handle
        )
        return await self.batches.answer(message)

    async def call(self, home, message, *, timeout_s):
        return Success(await self.batches.answer(message))

    def connection_id(self, home):
        return 1


class TestHomeBatches:
    async def test_keep_a_transaction_whose_batch_has_no_commands(self):
        """Guards against another caller's statements in a transaction still open."""
        world = World()
        begun = await world.run(BEGIN)
        answer = await world.run(handle=begun.handle)
        assert answer == BatchRun(
            answers=(), handle=begun.handle, load=answer.load, server_s=answer.server_s
        )
        assert not world.pool.has_idle("c")

    @pytest.mark.parametrize("is_pinned", [False, True])
    async def test_release_the_connection_of_a_batch_that_cannot_be_run(
        self, is_pinned
    ):
        """Guards against connections that count as in use for ever."""
        world = World()
        handle = (await world.run(BEGIN)).handle if is_pinned else 0
        with pytest.raises(KeyError):
            await world.run(UNKNOWN, handle=handle)
        assert not world.pool.connection_count
        assert world.batches.is_idle


class FormerNotSent(Envelope, frozen=True, array_like=True, tag="BatchNotSent"):
    reason: str
    is_reachable: bool = True
    wait_s: float = 0.0


class FormerNotSentTail(FormerNotSent, frozen=True, array_like=True, kw_only=True):
    load: None = None
    reachable_from: str = ""


class TestStoppingHome:
    async def test_is_asked_for_nothing_that_is_then_not_charged(self):
        """Guards against operations beyond a customer's limits while a home stops."""
        world = World()
        world.batches.end_transactions()
        ticket = Ticket("r1")
        lease = RemoteLease(
            Server(ENDPOINT), "h", "c", world, urgency=SOON, ticket=ticket
        )
        with pytest.raises(NotSentError, match="stopping"):
            await lease.run(EMPTY, (WRITE,), timeout_s=1.0)
        assert not ticket.is_admitted

    def test_its_answer_can_be_read_in_both_builds(self):
        former = FormerNotSentTail("r", False, 1.0, reachable_from="h", id=3)
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=BatchNotSent)
        assert read == BatchNotSent("r", False, 1.0, reachable_from="h", id=3)
        assert read.is_charged
        new = BatchNotSent("r", False, 1.0, reachable_from="h", is_charged=False, id=3)
        data = msgspec.msgpack.encode(new)
        assert msgspec.msgpack.decode(data, type=FormerNotSentTail) == former


class TestFailedRollback:
    async def test_leaves_no_transaction_for_the_next_statement(self, monkeypatch):
        """Guards against a write that is acknowledged and never committed."""
        find_refusal = wire_group._ConnectionHandler._find_refusal
        monkeypatch.setattr(
            wire_group._ConnectionHandler,
            "_find_refusal",
            lambda handler, command: (
                Refusal.BUSY
                if isinstance(command, RollBack)
                else find_refusal(handler, command)
            ),
        )
        async with wire_world.World() as world:
            reader, writer = await world.caller(), await world.caller()
            assert (await reader.ask("READ a", "read"))[-2].startswith("DONE")
            assert (await writer.ask("WRITE a 1", "write"))[-2].startswith("DONE")
            assert world.find_runs("read")[0].in_transaction
            assert not world.find_runs("write")[0].in_transaction
            assert [commit.items for commit in world.group.log] == [(("a", "1"),)]


class SilentHome:
    """A home that answers nothing for a number of calls after the first one."""

    def __init__(self, silent_calls, fault):
        self.silent_calls = silent_calls
        self.fault = fault
        self.dropped = []
        self.suspected = 0

    async def call(self, home, message, *, timeout_s):
        if isinstance(message, RunBatch) and not message.handle:
            answer = Answer(SessionState.IN_TRANSACTION, None, (), "sig", None, "")
            return Success(BatchRun(answers=(answer,), handle=HANDLE))
        if isinstance(message, DropPinned):
            self.dropped.append(message.handle)
        self.silent_calls -= 1
        return Failure(self.fault) if self.silent_calls >= 0 else Success(None)

    def suspect(self, home):
        self.suspected += 1

    def connection_id(self, home):
        return 1


class TestSilentHome:
    @pytest.mark.parametrize("outcome", [Outcome.UNKNOWN, Outcome.NOT_RUN])
    @pytest.mark.parametrize("silent_drops", [0, 2])
    def test_is_told_to_drop_the_transaction(self, outcome, silent_drops):
        """Guards against connections held by transactions that callers gave up."""
        fault = Fault(Code.TIMEOUT, "did not answer", Step.FORWARD, outcome=outcome)
        home = SilentHome(1 + silent_drops, fault)

        async def play():
            lease = RemoteLease(
                Server(ENDPOINT), "h", "c", home, urgency=SOON, ticket=Ticket("r1")
            )
            await lease.run(EMPTY, (BEGIN,), timeout_s=1.0)
            with pytest.raises(HomeLostError):
                await lease.run(EMPTY, (WRITE,), timeout_s=1.0)
            assert not lease.in_transaction
            lease.release()
            await asyncio.sleep(2 * PIN_TIMEOUT_S)

        virtual_time.run(play())
        assert home.dropped == [HANDLE] * (1 + silent_drops)
        assert home.suspected == 1

    def test_is_told_until_it_has_dropped_the_transaction_itself(self):
        fault = Fault(Code.TIMEOUT, "did not answer", Step.FORWARD)
        home = SilentHome(1000, fault)

        async def play():
            lease = RemoteLease(
                Server(ENDPOINT), "h", "c", home, urgency=SOON, ticket=Ticket("r1")
            )
            await lease.run(EMPTY, (BEGIN,), timeout_s=1.0)
            lease.release()
            await asyncio.sleep(PIN_TIMEOUT_S)
            before = len(home.dropped)
            await asyncio.sleep(PIN_TIMEOUT_S)
            assert len(home.dropped) == before > 1

        virtual_time.run(play())
