import asyncio

import msgspec

from mangoramp.policy.statement import Kind
from mangoramp.proxies.messages import Rows
from mangoramp.standins.endpoint import Faults

from .servers import CREATE, ISSUE, running, write

SEARCH = "SELECT id FROM sheet"


async def home_with_row(servers):
    """Return a home and a read that must show a row written through it."""
    home = servers.home()
    await home.serve(write(CREATE))
    done = await home.serve(write(ISSUE, "A1", "0"))
    while min(s.applied for s in home.group.statuses.values()) < done.position.offset:
        await asyncio.sleep(0.01)
    req = write(SEARCH, timeout_s=10.0)
    return home, msgspec.structs.replace(
        req, kind=Kind.READ, max_age_s=60.0, seen=done.position
    )


class TestRetries:
    async def test_a_replica_that_is_cut_off_refuses_no_read(self, tmp_path):
        async with running(tmp_path) as servers:
            home, req = await home_with_row(servers)
            await home.serve(req)
            servers.endpoints["s1"].set_faults(Faults(cut=True))
            replies = await asyncio.gather(*(home.serve(req) for _ in range(60)))
            assert [r for r in replies if not isinstance(r, Rows)] == []

    async def test_a_silent_connection_costs_a_part_of_the_time(self, tmp_path):
        async with running(tmp_path) as servers:
            home, req = await home_with_row(servers)
            replies = [await home.serve(req) for _ in range(4)]
            for endpoint in servers.endpoints.values():
                endpoint.set_faults(Faults(silent=True))
            replies = await asyncio.gather(*(home.serve(req) for _ in range(4)))
            assert [r for r in replies if not isinstance(r, Rows)] == []
