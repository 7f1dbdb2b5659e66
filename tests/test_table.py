import asyncio
from functools import partial

import msgspec
import pytest
from returns.result import Success

from mangoramp.errors import Code, Outcome
from mangoramp.objects import Row
from mangoramp.operators import change as change_module
from mangoramp.operators.table import Conflict, export_table, import_table, set_row
from mangoramp.policy.sheet import Sheet
from mangoramp.policy.table import split

from .operating import platform_standin

CUSTOMERS = [f"c{number}" for number in range(8)]
ROWS = tuple(Row(name, "register", 1, 10, 20, 1) for name in CUSTOMERS)


def with_rate(rows, customer, rate):
    return tuple(
        msgspec.structs.replace(row, rate=rate) if row.customer == customer else row
        for row in rows
    )


async def store_rows(client):
    await import_table(client, Sheet(0, ROWS))
    return (await export_table(client)).unwrap()


@pytest.fixture(autouse=True)
def _short_retry_delay(monkeypatch):
    monkeypatch.setattr(change_module, "RETRY_DELAY_S", 0.001)


class TestImport:
    async def test_exports_what_was_imported_and_its_version(self):
        async with platform_standin() as (_, client):
            done = (await import_table(client, Sheet(0, ROWS))).unwrap()
            sheet = (await export_table(client)).unwrap()
            assert (sheet.rows, sheet.version) == (ROWS, done.version)
            assert len(done.changed) == len(ROWS)
            again = (await import_table(client, sheet)).unwrap()
            assert (again.version, again.changed) == (done.version, ())

    async def test_shows_the_second_operator_the_rows_that_differ(self):
        async with platform_standin() as (_, client):
            sheet = await store_rows(client)
            first = Sheet(sheet.version, with_rate(ROWS, "c1", 50))
            second = Sheet(sheet.version, with_rate(ROWS, "c2", 70))
            await import_table(client, first)
            answer = (await import_table(client, second)).unwrap()
            assert isinstance(answer, Conflict)
            assert [(d.customer, d.mine.rate, d.theirs.rate) for d in answer.rows] == [
                ("c1", 10, 50),
                ("c2", 70, 10),
            ]
            assert (await export_table(client)).unwrap().rows == first.rows

    async def test_overwrites_a_change_without_the_version(self):
        """The test above depends on the exported version, not on the current one."""
        async with platform_standin() as (_, client):
            sheet = await store_rows(client)
            await import_table(client, Sheet(sheet.version, with_rate(ROWS, "c1", 50)))
            current = (await export_table(client)).unwrap().version
            blind = Sheet(current, with_rate(ROWS, "c2", 70))
            assert not isinstance(
                (await import_table(client, blind)).unwrap(), Conflict
            )
            assert (await export_table(client)).unwrap().rows == blind.rows

    @pytest.mark.parametrize("lost_answers", range(1, 4))
    async def test_reads_back_a_lost_answer(self, lost_answers):
        async with platform_standin() as (standin, client):
            standin.faults.lose_answers = lost_answers
            done = await import_table(client, Sheet(0, ROWS))
            assert isinstance(done, Success)
            assert not done.unwrap().missing
            assert (await export_table(client)).unwrap().rows == ROWS

    async def test_says_which_rows_an_import_left_out(self, monkeypatch):
        async with platform_standin() as (standin, client):
            sheet = await store_rows(client)
            wanted = tuple(msgspec.structs.replace(row, rate=99) for row in ROWS)
            shards = list(sorted(split(wanted)))
            original = client.put

            async def put(kind, name, value, *, version):
                if name == shards[2]:
                    other_value = msgspec.json.encode({"rows": []})
                    standin.put(
                        kind, name, standin.get(kind, name).version, other_value
                    )
                return await original(kind, name, value, version=version)

            monkeypatch.setattr(client, "put", put)
            done = (await import_table(client, Sheet(sheet.version, wanted))).unwrap()
            missing = {row.customer for row in done.missing}
            now = (await export_table(client)).unwrap().rows
            assert done.reason
            assert {row.customer for row in done.changed} == {
                row.customer for row in now if row.rate == 99
            }
            assert missing == set(CUSTOMERS) - {d.customer for d in done.changed}

    async def test_reports_unknown_while_the_platform_is_down(self, monkeypatch):
        async with platform_standin() as (standin, client):
            sheet = await store_rows(client)
            original = client.put

            async def put(*args, **kwargs):
                standin.faults.down = True
                return await original(*args, **kwargs)

            monkeypatch.setattr(client, "put", put)
            wanted = Sheet(sheet.version, with_rate(ROWS, "c1", 50))
            fault = (await import_table(client, wanted)).failure()
            assert fault.outcome is Outcome.UNKNOWN

    async def test_refuses_a_shard_over_the_platforms_limit(self):
        async with platform_standin() as (_, client):
            many = tuple(Row("c", f"g{n:080}", 1, 1, 1, 1) for n in range(9_000))
            done = await import_table(client, Sheet(0, many))
            assert done.failure().code is Code.BODY_TOO_LARGE
            assert (await export_table(client)).unwrap().rows == ()


class TestSet:
    async def test_keeps_both_changes_of_two_operators(self):
        """They edit rows of one shard, which all read before any of them writes."""
        rows = tuple(Row("c1", f"g{n}", 1, 10, 20, 1) for n in range(6))
        async with platform_standin() as (_, client):
            await import_table(client, Sheet(0, rows))
            edits = [
                partial(set_row, client, row.name, {"rate": n + 50.0})
                for n, row in enumerate(rows)
            ]
            done = await asyncio.gather(*(edit() for edit in edits))
            assert all(isinstance(d.unwrap(), Row) for d in done)
            now = (await export_table(client)).unwrap().rows
            assert [row.rate for row in now] == [50, 51, 52, 53, 54, 55]

    async def test_stops_where_the_row_itself_was_changed(self, monkeypatch):
        async with platform_standin() as (_, client):
            await store_rows(client)
            original = client.put

            async def put(*args, **kwargs):
                monkeypatch.setattr(client, "put", original)
                await set_row(client, ROWS[0].name, {"rate": 77.0})
                return await original(*args, **kwargs)

            monkeypatch.setattr(client, "put", put)
            answer = (await set_row(client, ROWS[0].name, {"rate": 88.0})).unwrap()
            assert isinstance(answer, Conflict)
            assert answer.rows[0].theirs.rate == 77
            assert (await export_table(client)).unwrap().rows[0].rate == 77

    async def test_reads_back_a_lost_answer(self):
        async with platform_standin() as (standin, client):
            await store_rows(client)
            standin.faults.lose_answers = 1
            row = (await set_row(client, ROWS[3].name, {"burst": 5.0})).unwrap()
            assert (await export_table(client)).unwrap().rows[3] == row

    async def test_refuses_an_unknown_row_by_name(self):
        async with platform_standin() as (_, client):
            await store_rows(client)
            fault = (await set_row(client, ("c1", "orders"), {"rate": 1.0})).failure()
            assert "no row for c1 and orders" in fault.message
