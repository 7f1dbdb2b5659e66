import asyncio

import pytest

from .caller import Caller
from .processes import processes_in


@pytest.fixture
def fleet(tmp_path):
    with processes_in(tmp_path, proxies=2) as processes:
        yield processes


@pytest.fixture
def caller(fleet):
    return Caller(fleet.give_key())


async def first_done(caller, url, sql, *params, **headers):
    """Post until the key and the table are in force there."""
    while True:
        reply = await caller.post(url, sql, *params, **headers)
        if reply.status not in (401, 403):
            return reply
        await asyncio.sleep(0.02)


class TestProcesses:
    async def test_serves_one_session_through_all_proxies(self, fleet, caller):
        await first_done(
            caller, fleet.url("p0"), "CREATE TABLE sheet (id TEXT, revision INTEGER)"
        )
        for number, proxy in enumerate(fleet.proxies):
            url = fleet.url(proxy)
            issue = "INSERT INTO sheet VALUES ($1, $2)"
            issued = await first_done(caller, url, issue, "A1", number)
            assert issued.body["outcome"] == "done"
            found = await caller.post(url, "SELECT count(*) FROM sheet")
            assert found.body["rows"] == [[number + 1]]
