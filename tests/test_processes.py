import asyncio

import pytest

from .caller import Caller
from .processes import running_processes


@pytest.fixture
def fleet(tmp_path):
    with running_processes(tmp_path, proxies=2) as processes:
        yield processes


@pytest.fixture
def caller(fleet):
    return Caller(fleet.give_key())


async def post_until_admitted(caller, url, sql, *params, **headers):
    """Post until the proxy has loaded the key and the table."""
    while True:
        reply = await caller.post(url, sql, *params, **headers)
        if reply.status not in (401, 403):
            return reply
        await asyncio.sleep(0.02)


class TestProcesses:
    async def test_serves_one_session_through_all_proxies(self, fleet, caller):
        await post_until_admitted(
            caller, fleet.url("p0"), "CREATE TABLE sheet (id TEXT, revision INTEGER)"
        )
        for number, proxy in enumerate(fleet.proxies):
            url = fleet.url(proxy)
            issue = "INSERT INTO sheet VALUES ($1, $2)"
            issued = await post_until_admitted(caller, url, issue, "A1", number)
            assert issued.body["outcome"] == "done"
            found = await caller.post(url, "SELECT count(*) FROM sheet")
            assert found.body["rows"] == [[number + 1]]
