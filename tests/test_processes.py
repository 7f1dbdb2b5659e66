import asyncio
import json

import pytest

from .caller import Caller
from .processes import Processes

TABLE = """customer,group,weight,rate,burst,read_age_s
tala,register,1,300,300,1
"""


@pytest.fixture
def fleet(tmp_path):
    processes = Processes(tmp_path, proxies=2)
    try:
        processes.start()
        yield processes
    finally:
        processes.stop()


@pytest.fixture
def caller(fleet):
    table = fleet.folder / "table.csv"
    table.write_text(TABLE)
    target = ["--platform", fleet.platform]
    fleet.command("table", "import", *target, "--file", str(table))
    given = json.loads(fleet.command("keys", "give", *target, "--customer", "tala"))
    return Caller(given["key"])


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
