import asyncio
from types import SimpleNamespace

import pytest
from returns.result import Success

from mangoramp.control.endpoint import Endpoint
from mangoramp.serving import pinned_leases
from mangoramp.serving.batches import BatchRun, DropPinned, PinnedDropped
from mangoramp.serving.command import (
    Answer,
    NotSentError,
    OpenTransaction,
    RollBack,
)
from mangoramp.serving.lease import MIN_UNIQUE_HANDLE, HomeLostError, RemoteLease
from mangoramp.serving.operation import Ticket
from mangoramp.serving.pinned_leases import PIN_TIMEOUT_S, PinnedLeases
from mangoramp.serving.pool import Urgency
from mangoramp.sessions.reply import SessionState

from .wire_world import GROUP, World, configuration

SERVER = SimpleNamespace(
    id="s1", endpoint=Endpoint("s1", "g", ("h", 1), "a", 2, False, True)
)


class FakeLease:
    def __init__(self, customer="c"):
        self.customer = customer
        self.server = SERVER
        self.conn = SimpleNamespace(is_open=True)
        self.ended = []

    def discard(self):
        self.conn.is_open = False
        self.ended.append("discarded")

    def release(self):
        self.ended.append("released")


class TestPinnedLeases:
    OWN = {"customer": "c", "group": "g", "server": "s1"}

    @pytest.fixture
    def world(self):
        found = SimpleNamespace(now=0.0, lease=FakeLease())
        found.pinned = PinnedLeases(lambda: found.now)
        found.handle = found.pinned.pin(found.lease)
        return found

    def test_are_found_by_their_handle(self, world):
        assert world.pinned.find(world.handle, **self.OWN).lease is world.lease
        assert world.pinned.find(world.handle + 1, **self.OWN) is None

    @pytest.mark.parametrize("field", ["customer", "group", "server"])
    def test_are_not_found_for_another_owner(self, world, field):
        """Guards against statements on a connection of another customer or server."""
        assert world.pinned.find(world.handle, **self.OWN | {field: "x"}) is None
        assert world.pinned.find(world.handle, **self.OWN) is not None

    def test_no_two_processes_give_out_the_same_handle(self, world):
        """Guards against handles that mean another connection after a restart."""
        processes = [PinnedLeases(lambda: 0.0) for _ in range(50)]
        handles = [p.pin(FakeLease()) for p in processes for _ in range(50)]
        assert len(set(handles)) == len(handles)
        assert min(handles) >= MIN_UNIQUE_HANDLE
        assert max(handles) < 2**63  # the former build's type and msgpack take these

    def test_handles_name_their_process(self, world, monkeypatch):
        emitted = []
        monkeypatch.setattr(
            pinned_leases, "emit", lambda event, **fields: emitted.append(fields)
        )
        former = PinnedLeases(lambda: 0.0).pin(FakeLease())
        assert f"{world.handle:x}".startswith(world.pinned.process)
        assert world.pinned.find(former, **self.OWN) is None
        assert emitted[-1]["reason"] == "another process gave the handle out"
        world.pinned.forget(world.handle)
        assert world.pinned.find(world.handle, **self.OWN) is None
        assert emitted[-1]["reason"] == "it is not pinned any more"
        assert emitted[-1]["handle"] == f"{world.handle:x}"

    def test_expire_unless_a_statement_runs(self, world):
        pinned = world.pinned.find(world.handle, **self.OWN)
        pinned.is_busy = True
        world.now = PIN_TIMEOUT_S + 1
        world.pinned.evict_expired()
        assert len(world.pinned) == 1
        world.pinned.keep(world.handle)
        world.now += PIN_TIMEOUT_S + 1
        world.pinned.evict_expired()
        assert not len(world.pinned)
        assert world.lease.ended == ["discarded", "released"]

    @pytest.mark.parametrize("is_known", [False, True])
    def test_expire_soon_if_no_statement_follows_the_begin(self, world, is_known):
        """Guards against connections held for a begin whose answer was lost."""
        if is_known:
            world.pinned.find(world.handle, **self.OWN).is_busy = True
            world.pinned.keep(world.handle)
        world.now = PIN_TIMEOUT_S / 2
        world.pinned.evict_expired()
        assert len(world.pinned) == is_known

    def test_are_kept_until_the_first_statement_arrives(self, world):
        world.now = 1.0
        world.pinned.evict_expired()
        assert world.pinned.find(world.handle, **self.OWN) is not None

    def test_are_released_once_if_they_are_dropped_during_a_statement(self, world):
        """Guards against a pool that counts a closed connection twice."""
        pinned = world.pinned.find(world.handle, **self.OWN)
        pinned.is_busy = True
        world.pinned.close(world.handle, "dropped")
        assert world.lease.ended == ["discarded"]
        world.pinned.keep(world.handle)
        assert world.lease.ended.count("released") == 1
        assert not len(world.pinned)

    def test_run_one_statement_at_a_time(self, world):
        """Guards against two batches whose answers mix on one connection."""
        world.pinned.find(world.handle, **self.OWN).is_busy = True
        assert world.pinned.find(world.handle, **self.OWN) is None


class TestRestartedHome:
    FEW = {"services": [{"name": GROUP, "max_connections": 6}]}

    async def restart_home(self, world):
        """Restart the home of a customer; return the index of another instance."""
        names = {i.homes.home_of("alpha") or i.cfg.name for i in world.instances}
        (index,) = (n for n, i in enumerate(world.instances) if {i.cfg.name} == names)
        former = world.instances.pop(index)
        other = next(i for i in world.instances if i.homes.home_of("alpha"))
        former.close()
        await asyncio.sleep(0.1)  # until its ports are free
        cfg = former.cfg
        await world.start_instance(
            cfg.name,
            callers=cfg.callers,
            health=cfg.health,
            peers=cfg.peers,
            is_first_start=False,
        )
        await world.wait_until(
            lambda: all(
                i.is_ready and {i.homes.home_of("alpha") or i.cfg.name} == names
                for i in world.instances
            )
        )
        return world.instances.index(other)

    async def begin(self, world, callers, kind):
        for number, caller in enumerate(callers):
            await caller.ask("BEGIN")
            answer = await caller.ask(f"WRITE {kind}{number} 1", f"{kind}{number}")
            assert answer[0].startswith("DONE")

    async def test_runs_nothing_in_transactions_that_it_opened_since(self):
        """Guards against statements and commits in another caller's transaction."""
        async with World(instances=3) as world:
            world.put("config", "main", configuration(2, **self.FEW))
            await world.wait_until(
                lambda: all(
                    len(i.peers.live_instances) == 3 and not i.homes.is_direct
                    for i in world.instances
                )
            )
            home = world.instances[0].homes.home_of("alpha") or "i0"
            at = next(n for n, i in enumerate(world.instances) if i.cfg.name != home)
            firsts = [await world.caller(instance=at) for _ in range(2)]
            await self.begin(world, firsts, "first")
            other = await self.restart_home(world)
            seconds = [await world.caller(instance=other) for _ in range(2)]
            await self.begin(world, seconds, "second")
            first, *rest = firsts
            answers = [await first.ask("WRITE x 1", "late"), await first.ask("COMMIT")]
            assert answers[0][0].startswith("ERR ABORTED ")
            assert answers[1][0].startswith("ERR ")
            for caller in rest:
                commit = await caller.ask("COMMIT", "c1")
                assert commit[0].startswith("ERR ABORTED ")
            assert not world.find_runs("late")
            assert not world.group.log
            for caller in seconds:
                assert (await caller.ask("ROLLBACK"))[0].startswith("DONE")
            assert not world.group.log


class FormerHome:
    """A home of the former build, which numbers its connections from 1."""

    def __init__(self):
        self.connection = self.connection_after = 1
        self.calls = []

    async def call(self, home, message, *, timeout_s):
        self.calls.append(message)
        self.connection = self.connection_after
        if isinstance(message, DropPinned):
            return Success(PinnedDropped())
        answer = Answer(SessionState.IN_TRANSACTION, None, (), "sig", None, "")
        return Success(BatchRun(answers=(answer,), handle=1))

    def connection_id(self, home):
        return self.connection

    def suspect(self, home):
        raise AssertionError(home)


class TestFormerHome:
    async def begin(self):
        home = FormerHome()
        lease = RemoteLease(
            SERVER, "h", "c", home, urgency=Urgency(1, 1.0, 1.0), ticket=Ticket("r1")
        )
        await self.run(lease, OpenTransaction(read_only=False))
        return SimpleNamespace(home=home, lease=lease)

    async def run(self, lease, command):
        return await lease.run(None, (command,), timeout_s=1.0)

    async def test_keeps_a_transaction_on_the_same_connection(self):
        world = await self.begin()
        await self.run(world.lease, RollBack())
        assert world.home.calls[-1].handle == 1

    async def test_gets_no_statement_after_it_may_have_restarted(self):
        """Guards against a rollout in which a handle means another connection."""
        world = await self.begin()
        world.home.connection = 2
        with pytest.raises(NotSentError, match="restarted"):
            await self.run(world.lease, RollBack())
        world.lease.release()
        assert len(world.home.calls) == 1

    @pytest.mark.parametrize("before", [0, 1])
    async def test_gives_no_handle_over_a_connection_that_is_not_known(self, before):
        """Guards against a handle of one process that is kept for the next one."""
        home = FormerHome()
        home.connection, home.connection_after = before, 2
        lease = RemoteLease(
            SERVER, "h", "c", home, urgency=Urgency(1, 1.0, 1.0), ticket=Ticket("r1")
        )
        with pytest.raises(HomeLostError, match="reconnected meanwhile"):
            await self.run(lease, OpenTransaction(read_only=False))
        assert not lease.in_transaction

    async def test_gets_no_statement_while_its_link_is_down(self):
        """Guards against a statement that waits for the next process to connect."""
        world = await self.begin()
        world.home.connection = 0
        with pytest.raises(NotSentError, match="restarted"):
            await self.run(world.lease, RollBack())
        assert len(world.home.calls) == 1

    async def test_gets_no_drop_after_it_may_have_restarted(self):
        """Guards against the rollback of another caller's transaction."""
        world = await self.begin()
        world.home.connection = 2
        world.lease.discard()
        await asyncio.sleep(0)
        assert len(world.home.calls) == 1
