import asyncio
import contextlib
import random
import time

import pytest
from returns.result import Success
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from mangoramp.control.settings import Bounds
from mangoramp.platform import wire
from mangoramp.platform.listener import Listener
from mangoramp.serving.memory import Memory
from mangoramp.sessions.reply import Reply, SessionState
from mangoramp.standins._ports import HOST, free_ports

from .wire_world import Caller, World

GRACE_S = 4.0
CALLERS = 12
TICK_S = 0.05


class Pauses:
    """The time for which a busy machine stopped this process, with its servers."""

    def __init__(self):
        self.total_s = 0.0

    async def run(self):
        while True:
            started = time.monotonic()
            await asyncio.sleep(TICK_S)
            late_s = time.monotonic() - started - TICK_S
            self.total_s += late_s if late_s > TICK_S else 0.0


class Traffic:
    """Callers who use their sessions until these close, and what became of it."""

    def __init__(self, world):
        self.world = world
        self.pauses = Pauses()
        self.answers = {}
        self.paused_s = {}
        self.cut = []
        self.sessions = 0

    async def ask(self, caller, text, name):
        before_s = self.pauses.total_s
        try:
            self.answers[name] = (await caller.ask(text, name))[-2]
            self.paused_s[name] = self.pauses.total_s - before_s
        except StreamClosedError:
            self.cut.append(name)
            raise

    async def run(self, number, pace):
        """Use one session until it closes."""
        caller = await self.world.caller(instance=0)
        self.sessions += 1
        rng = random.Random(number)
        count = 0
        with contextlib.suppress(StreamClosedError):
            while True:
                count += 1
                await pace(self, caller, f"c{number}-{count}", rng)


async def write(traffic, caller, name, rng):
    await traffic.ask(caller, f"WRITE {name} 1", name)


async def write_at_times(traffic, caller, name, rng):
    await asyncio.sleep(rng.uniform(0, 0.12))
    await traffic.ask(caller, f"WRITE {name} 1", name)


async def execute(traffic, caller, name, rng):
    if name.endswith("-1"):
        await caller.ask("PREPARE p WRITE shape")
    await traffic.ask(caller, f"EXEC p {name} 1", name)


async def transact(traffic, caller, name, rng):
    """Run a transaction that is never idle for long."""
    await traffic.ask(caller, "BEGIN", f"{name}-b")
    for number in range(rng.randint(1, 12)):
        await traffic.ask(caller, f"WRITE {name} {number}", f"{name}-{number}")
    await traffic.ask(caller, "COMMIT", f"{name}-c")
    if traffic.answers[f"{name}-c"].startswith("ERR BAD"):
        await traffic.ask(caller, "ROLLBACK", f"{name}-r")


async def transact_without_end(traffic, caller, name, rng):
    """Run a transaction that is always in a statement, until it is aborted."""
    await traffic.ask(caller, "BEGIN", f"{name}-b")
    number = 0
    while not traffic.answers.get(f"{name}-{number}", "").startswith("ERR"):
        number += 1
        await traffic.ask(caller, f"WRITE {name} {number}", f"{name}-{number}")
    await traffic.ask(caller, "ROLLBACK", f"{name}-r")


class TestSessionsThatAreNeverIdle:
    @pytest.mark.parametrize(
        "pace", [write, write_at_times, execute, transact, transact_without_end]
    )
    async def test_end_after_an_answer(self, pace):
        """Guards against requests that a planned stop cuts while a server runs them.

        Statements in flight are unsure, too, if a busy machine stops this process, in
        which the servers run, for a route's timeout; a failure tells for how long.
        """
        async with World(instances=0) as world:
            bounds = Bounds(grace_s=GRACE_S)
            for name in ("i0", "i1"):
                await world.start_instance(name, bounds=bounds)
            await world.wait_until(lambda: all(i.is_ready for i in world.instances))
            for server in world.group.servers.values():
                server.faults.statement_s = 0.02
            traffic = Traffic(world)
            watching = asyncio.ensure_future(traffic.pauses.run())
            callers = [
                asyncio.ensure_future(traffic.run(n, pace)) for n in range(CALLERS)
            ]
            await asyncio.sleep(0.3)
            await world.instances[0].stop()
            await asyncio.wait_for(asyncio.gather(*callers), 1.0)
            watching.cancel()
            assert traffic.sessions == CALLERS
            ran = {run.request_id for run in world.group.runs}
            assert not ran.intersection(traffic.cut)
            assert any(a.startswith("DONE") for a in traffic.answers.values())
            allowed = ("DONE", "ERR ABORTED", "ERR BUSY", "ERR BAD")
            others = {
                name: (answer, f"stopped for {traffic.paused_s[name]:.3f} s")
                for name, answer in traffic.answers.items()
                if not answer.startswith(allowed)
            }
            assert not others


class HeldSession:
    """A session that answers once it is told to."""

    def __init__(self, rows=()):
        self.rows = rows
        self.asked = asyncio.Semaphore(0)
        self.may_answer = asyncio.Semaphore(0)

    async def handle(self, req):
        self.asked.release()
        await self.may_answer.acquire()
        return Reply(SessionState.IDLE, self.rows, req.id)

    def on_disconnect(self):
        pass


class TestConnectionInUse:
    @contextlib.asynccontextmanager
    async def open(self, *requests, rows=()):
        """Yield a listener, its session and a caller that has sent requests at once."""
        session = HeldSession(rows)

        async def open_session(database, key):
            return Success(session)

        memory = Memory(64 * wire.MAX_MESSAGE_BYTES, time.monotonic)
        listener = Listener(open_session, memory)
        address = (HOST, *free_ports(1))
        listener.listen(address)
        caller = Caller(await TCPClient().connect(*address))
        await caller.stream.write(b"START orders key\r\n")
        await caller.read_line()
        sent = "".join(f"QUERY {request} READ a\r\n" for request in requests)
        await caller.stream.write(sent.encode())
        await session.asked.acquire()
        try:
            yield listener, session, caller
        finally:
            listener.close()
            caller.close()

    async def test_is_closed_after_the_next_answer(self):
        """Guards against a drain that waits until it finds a session idle."""
        async with self.open("r1") as (listener, session, caller):
            listener.drain()
            session.may_answer.release()
            assert (await caller.read_reply())[0] == "DONE r1"
            with pytest.raises(StreamClosedError):
                await asyncio.wait_for(caller.read_line(), 1.0)

    async def test_is_closed_only_after_requests_that_have_arrived(self):
        """Guards against requests that are cut although they were read."""
        async with self.open("r1", "r2") as (listener, session, caller):
            await caller.send("READ a", "r3")
            listener.drain()
            for request in ("r1", "r2", "r3"):
                session.may_answer.release()
                assert (await caller.read_reply())[0] == f"DONE {request}"
            with pytest.raises(StreamClosedError):
                await asyncio.wait_for(caller.read_line(), 1.0)

    async def test_is_closed_only_after_the_whole_answer(self):
        """Guards against answers that are cut because their callers read slowly."""
        rows = ("x" * 1_000_000,) * 15  # more than the kernel's buffers hold
        async with self.open("r1", rows=rows) as (listener, session, caller):
            session.may_answer.release()
            await asyncio.sleep(0.2)
            listener.close_idle_connections()
            reply = await caller.read_reply()
            assert len(reply) == len(rows) + 2
            listener.close_idle_connections()
            with pytest.raises(StreamClosedError):
                await asyncio.wait_for(caller.read_line(), 1.0)


class TestNewSessions:
    async def test_are_refused_at_once_late_in_a_stop(self):
        """Guards against callers who wait for an instance that is about to end."""
        async with World(instances=0) as world:
            await world.start_instance("i0", bounds=Bounds(grace_s=GRACE_S))
            await world.wait_until(lambda: world.instances[0].is_ready)
            slow = await world.caller()
            world.group.servers["s1"].faults.statement_s = 0.9
            stopping = asyncio.ensure_future(world.instances[0].stop())
            await asyncio.sleep(GRACE_S / 2 - 0.3)
            await slow.send("WRITE a 1", "w1")
            await asyncio.sleep(0.5)
            _, answer = await world.connect()
            assert answer.startswith("ERR BUSY this instance is stopping; retry after")
            assert (await slow.read_reply())[0] == "DONE sig.w1"
            await stopping

    async def test_before_that_get_a_statement_answered(self):
        async with World(instances=0) as world:
            await world.start_instance("i0", bounds=Bounds(grace_s=GRACE_S))
            await world.wait_until(lambda: world.instances[0].is_ready)
            first = await world.caller()
            await first.ask("BEGIN")  # keeps the instance from ending at once
            stopping = asyncio.ensure_future(world.instances[0].stop())
            await asyncio.sleep(GRACE_S / 2 - 0.5)
            caller = await world.caller()
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")
            await stopping
