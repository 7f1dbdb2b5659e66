from mangoramp.objects import Row

from .caller import Caller
from .test_fleet import running

CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
ISSUE = "INSERT INTO sheet VALUES ($1, $2)"
COUNT = "SELECT count(*) FROM sheet"
ROWS = tuple(
    Row(name, "register", 1.0, 300.0, 300.0, 1.0) for name in ("tala", "norte")
)


def transaction_urls(fleet, proxy, id_=""):
    base = fleet.url(proxy).replace("/statements", "/transactions")
    return {
        action: f"{base}/{id_}/{action}"
        for action in ("statements", "commit", "rollback")
    } | {"begin": base}


async def begin_transaction(fleet, caller, proxy):
    reply = await caller.post(transaction_urls(fleet, proxy)["begin"], "")
    assert reply.status == 201, reply
    return reply.body["transaction"]


async def count_rows(fleet, caller, proxy):
    return (await caller.post(fleet.url(proxy), COUNT)).body["rows"][0][0]


class TestPinned:
    async def test_runs_through_any_proxy_and_shows_in_the_session(self):
        async with running(proxies=1) as (fleet, caller):
            await caller.post(fleet.url("d1-p0"), CREATE)
            id_ = await begin_transaction(fleet, caller, "d1-p0")
            for proxy in ("d2-p0", "d3-p0"):
                done = await caller.post(
                    transaction_urls(fleet, proxy, id_)["statements"], ISSUE, proxy, 1
                )
                assert done.body["outcome"] == "done"
            assert await count_rows(fleet, caller, "d2-p0") == 0
            ended = await caller.post(
                transaction_urls(fleet, "d2-p0", id_)["commit"], ""
            )
            assert ended.body["committed"]
            assert await count_rows(fleet, caller, "d3-p0") == 2

    async def test_refuses_requests_of_other_customers(self):
        async with running(rows=ROWS) as (fleet, caller):
            await caller.post(fleet.url("d1-p0"), CREATE)
            id_ = await begin_transaction(fleet, caller, "d1-p0")
            other = Caller(fleet.keys["norte"])
            urls = transaction_urls(fleet, "d2-p0", id_)
            refused = await other.post(urls["statements"], ISSUE, "A1", 1)
            assert (refused.status, refused.body["outcome"]) == (404, "not_run")
            assert (await other.post(urls["rollback"], "")).status == 404
            refused = await other.post(urls["commit"], "")
            assert (refused.status, refused.body["outcome"]) == (404, "not_run")
            assert (await caller.post(urls["statements"], ISSUE, "A1", 1)).status == 200
            assert (await caller.post(urls["commit"], "")).body["committed"]

    async def test_is_rolled_back_when_its_proxy_stops(self):
        async with running() as (fleet, caller):
            await caller.post(fleet.url("d1-p0"), CREATE)
            id_ = await begin_transaction(fleet, caller, "d1-p0")
            urls = transaction_urls(fleet, "d2-p0", id_)
            assert (await caller.post(urls["statements"], ISSUE, "A1", 1)).status == 200
            await fleet.proxies.pop("d1-p0").stop()
            lost = await caller.post(urls["statements"], ISSUE, "A2", 1)
            assert (lost.status, lost.body["outcome"]) == (503, "not_run")
            refused = await caller.post(urls["commit"], "")
            assert refused.body["outcome"] == "not_run", refused
            assert await count_rows(fleet, caller, "d2-p0") == 0

    async def test_refuses_a_malformed_id(self):
        async with running() as (fleet, caller):
            for action in ("commit", "rollback", "statements"):
                reply = await caller.post(
                    transaction_urls(fleet, "d1-p0", "x.d1-p0")[action], COUNT
                )
                assert (reply.status, reply.body["outcome"]) == (404, "not_run")
