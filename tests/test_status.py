import asyncio

from mangoramp.operators.status import fleet_status
from mangoramp.operators.table import set_row
from mangoramp.standins.endpoint import Faults
from mangoramp.standins.fleet import Fleet, FleetOptions

from .caller import Caller


async def until(fleet, condition):
    """Ask for the status until it is as wanted."""
    while True:
        found = (await fleet_status(fleet.client)).unwrap()
        if condition(found):
            return found
        await asyncio.sleep(0.02)


def says(found):
    return [i.says for i in found.instances if i.says is not None]


class TestStatus:
    async def test_shows_versions_servers_and_who_is_gone(self):
        fleet = Fleet(FleetOptions())
        await fleet.start()
        try:
            await self._walk(fleet)
        finally:
            await fleet.stop()

    async def _walk(self, fleet):
        row = fleet.options.rows[0]
        await set_row(fleet.client, row.name, {"rate": 200.0})
        found = await until(
            fleet,
            lambda f: {s.table_version for s in says(f)} == {f.table_version},
        )
        assert [i.name for i in found.instances] == list(fleet.proxies)
        assert all(s.ready and s.keys == 1 and s.table_rows == 1 for s in says(found))
        assert (found.groups[0].term, found.groups[0].primary) == (1, "d1-s")
        await self._write(fleet)
        fleet.endpoints["d3"].set_faults(Faults(lag_s=60.0))
        await self._write(fleet, "CREATE TABLE late (id TEXT)")
        found = await until(fleet, lambda f: self._lags(f) == {"d1-s": 0, "d3-s": 1})
        gone = fleet.proxies.pop("d3-p0")
        await gone.stop()
        found = (await fleet_status(fleet.client)).unwrap()
        assert [i.says is None for i in found.instances] == [False, False, True]
        assert found.instances[2].reason

    def _lags(self, found):
        seen = [s for proxy in says(found) for g in proxy.groups for s in g.servers]
        return {s.name: s.lag for s in seen if s.live and s.name != "d2-s"}

    async def _write(self, fleet, sql="CREATE TABLE sheet (id TEXT)"):
        caller = Caller(fleet.keys["tala"])
        assert (await caller.post(fleet.url("d1-p0"), sql)).status == 200
