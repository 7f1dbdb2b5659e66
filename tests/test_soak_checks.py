"""Guards against a soak test that overlooks faults or does not inject them."""

import asyncio
from types import SimpleNamespace

import pytest

from mangoramp.sessions.statement import Shape
from mangoramp.standins.wire_group import CommitRequest, Run, WireGroup

from .soak_attempts import Attempt, AttemptChecker
from .soak_cold import LIMIT, ColdSpell, Disturbances
from .wire_world import HOST, SERVERS, World, server_entry


def spell(times, *, notice_s=0.0):
    server = SimpleNamespace(id="s1", request_times=times)
    return ColdSpell(server, 10.0, 14.0, notice_s)


def burst(first, count, seconds=0.5):
    return [first + seconds * n / count for n in range(count)]


class TestColdCheck:
    """The limit is 35 requests in any second."""

    def test_finds_one_request_too_many(self):
        assert LIMIT == 35
        found = Disturbances(None).check(spell(burst(11.8, 36)))
        assert found == ["s1 was cold and got 36 requests in a second"]
        assert not Disturbances(None).check(spell(burst(11.8, 35)))

    def test_requests_of_a_warm_server_do_not_count(self):
        times = burst(8.0, 90) + burst(10.1, 35) + burst(14.1, 90)
        assert not Disturbances(None).check(spell(times))

    def test_counts_from_the_notice_after_the_last_disturbance(self):
        """The instances may learn of the cold start only when the store is back."""
        disturbances = Disturbances(None)
        disturbances._store += [10.5, 11.2, 13.9]
        late = spell([], notice_s=1.0)
        assert disturbances.known_at(late) == 12.2
        assert not disturbances.check(spell(burst(11.0, 90), notice_s=1.0))
        assert disturbances.check(spell(burst(12.3, 36), notice_s=1.0))

    def test_ignores_what_was_held_up_on_the_way(self):
        disturbances = Disturbances(None)
        disturbances._path += [(12.0, "s1"), (13.0, "s2")]
        assert not disturbances.check(spell(burst(12.1, 90)))
        assert disturbances.check(spell(burst(13.1, 36)))

    def test_allows_for_requests_that_were_read_late(self):
        """Else a busy machine would fail the run: they arrived before the others."""
        times = burst(11.8, 20, 0.0) + burst(12.7, 35, 0.0)
        disturbances = Disturbances(None)
        assert disturbances.check(spell(times))
        disturbances._lags += [(11.5, 0.3), (11.8, 0.15), (12.7, 0.0)]
        assert not disturbances.check(spell(times))
        disturbances._lags[:] = [(11.2, 0.3), (11.3, 0.0), (11.5, 0.0), (11.8, 0.0)]
        assert disturbances.check(spell(times))


class TestStandIn:
    async def test_fails_a_part_of_the_statements_and_runs_none_of_them(self):
        async with World() as world:
            caller = await world.caller()
            primary = world.group.servers["s1"]
            primary.faults.failed_part = 0.5
            answers = [(await caller.ask(f"WRITE a {n}"))[0] for n in range(40)]
            done = sum(a.startswith("DONE") for a in answers)
            assert 8 <= done <= 32
            assert len(world.group.all_commits) == done

    async def test_a_server_crashes_more_than_once(self):
        async with World() as world:
            server = world.group.servers["s2"]
            for _ in range(3):
                port = server.port
                server.crash()
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(HOST, port)
                server.restart()
                assert server.port == port

    async def test_a_cold_start_is_a_new_start_in_the_registry(self):
        async with World() as world:
            world.group.servers["s2"].begin_cold_start(3.0)
            entry = server_entry(world.group, "s2")
            assert entry["born"] == 2
            assert 2500 < entry["cold_remaining_ms"] <= 3000
            assert server_entry(world.group, "s3")["cold_remaining_ms"] == 0

    async def test_counts_begins_statements_and_commits(self):
        async with World() as world:
            caller = await world.caller()
            for text in ("BEGIN", "WRITE a 1", "COMMIT"):
                assert (await caller.ask(text))[0].startswith("DONE")
            counts = [len(world.group.servers[i].request_times) for i in SERVERS]
            assert counts == [3, 0, 0]


def attempt(**changes):
    base = {"customer": "alpha", "group": "g", "in_transaction": True}
    return Attempt(**base | changes)


class TestAttemptCheck:
    """Two transactions: one writes a.0 and b.0 writes in the other."""

    @pytest.fixture
    def world(self):
        group = WireGroup("g", ("s1",))
        other = WireGroup("h", ("t1",))
        checker = AttemptChecker((group, other))
        checker.attempts = {
            "a": attempt(sent={"a.0": "a.0 1"}, commit_id="a.c"),
            "b": attempt(sent={"b.0": "b.0 1"}, customer="beta"),
        }
        found = SimpleNamespace(group=group, other=other, checker=checker)
        found.run = lambda request_id, **changes: Run(
            **{
                "server": "s1",
                "customer": "alpha",
                "request_id": request_id,
                "text": f"{request_id} 1",
                "values": (),
                "shape": None,
                "transaction": 1,
            }
            | changes
        )
        return found

    def rules(self, world):
        found = world.checker.find_violations()
        return sorted({v.partition(":")[0] for v in found})

    def test_accepts_what_was_asked_for(self, world):
        world.group.runs.append(world.run("a.0"))
        world.group.commit((("a.0", "1"),), "a.c")
        world.checker.attempts["a"].acknowledged = ("a.0",)
        assert not self.rules(world)

    def test_finds_a_statement_in_a_transaction_of_another_customer(self, world):
        world.group.runs += [world.run("a.0"), world.run("b.0")]
        assert self.rules(world) == ["PINNED", "UNASKED"]

    def test_finds_a_transaction_on_two_connections(self, world):
        world.group.runs += [world.run("a.0"), world.run("a.0", transaction=2)]
        assert self.rules(world) == ["PINNED"]

    def test_finds_a_statement_outside_its_transaction(self, world):
        world.group.runs.append(world.run("a.0", transaction=0))
        assert self.rules(world) == ["PINNED"]

    def test_finds_other_values_and_shapes(self, world):
        shape = Shape(True, "shape-b")
        world.group.runs.append(world.run("a.0", values=(("who", "b"),)))
        world.group.runs.append(world.run("a.0", shape=shape))
        found = world.checker.find_violations()
        assert [v.partition(":")[0] for v in found] == ["PINNED", "PINNED"]

    def test_finds_a_prepared_statement_that_ran_unprepared(self, world):
        world.checker.attempts["a"].executed.add("a.0")
        world.checker.attempts["a"].shape = "shape-a"
        world.group.runs.append(world.run("a.0", shape=Shape(True, "shape-a")))
        assert not self.rules(world)
        world.group.runs.append(world.run("a.0"))
        assert self.rules(world) == ["PINNED"]

    def test_finds_a_prepared_name_that_is_unknown(self, world):
        found = world.checker.attempts["a"]
        found.record_answer("ERR NOSTMT p", "a.0")
        assert not self.rules(world)
        found.executed.add("a.0")
        found.record_answer("ERR NOSTMT p", "a.0")
        assert self.rules(world) == ["PINNED"]

    def test_finds_the_signature_of_another_request(self, world):
        found = world.checker.attempts["a"]
        found.record_answer("DONE -", "a.b")
        found.record_answer("DONE sig.a.0", "a.0")
        found.record_answer("DONE sig.a.c", "a.c")
        assert not self.rules(world)
        found.record_answer("DONE sig.a.0", "a.c")
        assert self.rules(world) == ["MIXED"]

    @pytest.mark.parametrize("request_id", ["b.c", "b.0", "x.c"])
    def test_finds_a_commit_of_a_transaction_that_only_reads(self, world, request_id):
        world.group.runs.append(world.run("a.0"))
        world.group.commit_requests.append(CommitRequest("s1", "a.c", 1))
        assert not self.rules(world)
        world.group.commit_requests.append(CommitRequest("s1", request_id, 1))
        assert self.rules(world) == ["UNASKED"]

    def test_finds_a_commit_outside_a_transaction_or_at_another_group(self, world):
        world.group.commit_requests.append(CommitRequest("s1", "a.c", 0))
        assert self.rules(world) == ["PINNED"]
        world.other.commit_requests.append(CommitRequest("t1", "a.c", 1))
        assert self.rules(world) == ["PINNED", "ROUTE"]

    def test_finds_a_commit_of_what_nobody_sent(self, world):
        world.group.commit((("x.0", "1"),), "x.c")
        assert self.rules(world) == ["UNASKED"]

    def test_finds_a_statement_at_another_group(self, world):
        world.other.runs.append(world.run("a.0"))
        assert self.rules(world) == ["ROUTE"]

    def test_finds_a_statement_that_nobody_sent(self, world):
        world.group.runs.append(world.run("a.1"))
        assert self.rules(world) == ["UNASKED"]

    def test_finds_a_commit_by_another_caller(self, world):
        world.group.commit((("a.0", "1"),), "b.c")
        assert self.rules(world) == ["UNASKED"]

    def test_finds_a_commit_that_was_not_asked_for(self, world):
        world.group.commit((("b.0", "1"),), "b.c")
        assert self.rules(world) == ["UNASKED"]

    def test_finds_a_commit_of_what_was_promised_not_to_be_kept(self, world):
        world.checker.attempts["a"].record_answer("ERR ABORTED the home was lost")
        world.group.commit((("a.0", "1"),), "a.c")
        assert self.rules(world) == ["REFUSED"]

    def test_finds_two_commits_and_none(self, world):
        for _ in range(2):
            world.group.commit((("a.0", "1"),), "a.c")
        world.checker.attempts["b"].acknowledged = ("b.0",)
        assert self.rules(world) == ["LOST", "TWICE"]
