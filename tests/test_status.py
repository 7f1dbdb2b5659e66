import asyncio

from mangoramp.operators.status import fetch_fleet_status
from mangoramp.operators.table import set_row
from mangoramp.standins.endpoint import Faults
from mangoramp.standins.fleet import Fleet, FleetOptions

from .caller import Caller


async def poll_until(fleet, condition):
    """Poll the fleet status until it meets a condition."""
    while True:
        status = (await fetch_fleet_status(fleet.client)).unwrap()
        if condition(status):
            return status
        await asyncio.sleep(0.02)


def reports(status):
    return [i.says for i in status.instances if i.says is not None]


class TestStatus:
    async def test_shows_versions_servers_and_unreachable_proxies(self):
        fleet = Fleet(FleetOptions())
        await fleet.start()
        try:
            await self._check_status(fleet)
        finally:
            await fleet.stop()

    async def _check_status(self, fleet):
        row = fleet.options.rows[0]
        await set_row(fleet.client, row.name, {"rate": 200.0})
        status = await poll_until(
            fleet,
            lambda f: {s.table_version for s in reports(f)} == {f.table_version},
        )
        assert [i.name for i in status.instances] == list(fleet.proxies)
        assert all(
            s.ready and s.keys == 1 and s.table_rows == 1 for s in reports(status)
        )
        assert (status.groups[0].term, status.groups[0].primary) == (1, "d1-s")
        await self._write(fleet)
        fleet.endpoints["d3"].set_faults(Faults(lag_s=60.0))
        await self._write(fleet, "CREATE TABLE late (id TEXT)")
        status = await poll_until(
            fleet, lambda f: self._lags(f) == {"d1-s": 0, "d3-s": 1}
        )
        stopped = fleet.proxies.pop("d3-p0")
        await stopped.stop()
        status = (await fetch_fleet_status(fleet.client)).unwrap()
        assert [i.says is None for i in status.instances] == [False, False, True]
        assert status.instances[2].reason

    def _lags(self, status):
        seen = [s for proxy in reports(status) for g in proxy.groups for s in g.servers]
        return {s.name: s.lag for s in seen if s.live and s.name != "d2-s"}

    async def _write(self, fleet, sql="CREATE TABLE sheet (id TEXT)"):
        caller = Caller(fleet.keys["tala"])
        assert (await caller.post(fleet.url("d1-p0"), sql)).status == 200
