import asyncio

from mangoramp.catalog import Catalog
from mangoramp.objects import GroupObject, TermStart
from mangoramp.platform.client import Versioned
from mangoramp.standins.endpoint import Faults

from .test_fleet import CREATE, ISSUE, running


class TestGroupFromPeer:
    async def test_a_proxy_without_the_platform_finds_the_new_primary(self):
        async with running() as (fleet, caller):
            await caller.post(fleet.url("d1-p0"), CREATE)
            cut = fleet.proxies["d2-p0"]
            cut._tasks[1].cancel()
            cut._client._url = "http://127.0.0.1:1"
            fleet.endpoints["d1"].set_faults(Faults(cut=True))
            for number in range(1000):
                reply = await caller.post(
                    fleet.url("d2-p0"), ISSUE, str(number), 1, Mangoramp_Timeout="0.5"
                )
                if reply.body.get("outcome") == "done":
                    break
                await asyncio.sleep(0.02)
            assert cut.catalog.groups["register"].term == 2
            assert reply.body["server"] in ("d2-s", "d3-s")


class TestCatalog:
    async def test_ignores_older_group_object(self):
        catalog = Catalog()
        starts = (TermStart(1, 0, 0),)
        for version, primary in ((5, "b"), (4, "a")):
            group = GroupObject("g", 2, primary, (), starts)
            catalog.apply_group(Versioned("g", version, group))
        assert catalog.groups["g"].primary == "b"
