from contextlib import asynccontextmanager

from mangoramp.standins.endpoint import Faults
from mangoramp.standins.fleet import Fleet, FleetOptions

from .caller import Caller

CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
ISSUE = "INSERT INTO sheet VALUES ($1, $2)"
SEARCH = "SELECT id, revision FROM sheet WHERE id = $1"


@asynccontextmanager
async def running(**options):
    fleet = Fleet(FleetOptions(**options))
    await fleet.start()
    try:
        yield fleet, Caller(fleet.keys["tala"])
    finally:
        await fleet.stop()


class TestRequestPath:
    async def test_reads_its_writes_on_any_proxy(self):
        async with running(proxies=2) as (fleet, caller):
            proxies = list(fleet.proxies)
            await caller.post(fleet.url(proxies[0]), CREATE)
            for number, proxy in enumerate(proxies):
                issued = await caller.post(fleet.url(proxy), ISSUE, "A1", number)
                assert issued.status == (200 if number == 0 else 422)
                other = proxies[number - 1]
                found = await caller.post(fleet.url(other), SEARCH, "A1")
                assert found.body["rows"] == [["A1", 0]]

    async def test_goes_to_the_primary_while_replicas_are_behind(self):
        async with running() as (fleet, caller):
            url = fleet.url("d2-p0")
            await caller.post(url, CREATE)
            for domain in ("d2", "d3"):
                fleet.endpoints[domain].set_faults(Faults(lag_s=30.0))
            issued = await caller.post(url, ISSUE, "A1", 1)
            assert issued.body["outcome"] == "done"
            found = await caller.post(url, SEARCH, "A1")
            assert found.body["rows"] == [["A1", 1]]
            assert not found.body["replica"]

    async def test_refuses_without_a_key_in_force(self):
        async with running() as (fleet, caller):
            caller.key = "mr_" + "0" * 16 + "_" + "0" * 48
            refused = await caller.post(fleet.url("d1-p0"), SEARCH, "A1")
            assert refused.status == 401
            assert refused.body["outcome"] == "not_run"
