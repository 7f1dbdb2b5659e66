import asyncio
import json
import random
from contextlib import asynccontextmanager

import pytest
import tornado.web
from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mangoramp.client import Client, RetryBudget, Session
from mangoramp.errors import HTTP_STATUS, Code, Outcome
from mangoramp.load import LoadOptions, run_load
from mangoramp.standins._ports import free_ports
from mangoramp.standins.fleet import Fleet, FleetOptions

DONE = {
    "columns": [], "rows": [], "count": 1, "server": "s", "replica": False,
    "age_s": 0, "repeated": False,
}  # fmt: skip


def fault(code, outcome=Outcome.NOT_RUN, retry_after_s=None):
    body = {"code": code, "message": "no", "step": "run", "outcome": outcome}
    return HTTP_STATUS[code], body | {"retry_after_s": retry_after_s}


class ScriptedHandler(tornado.web.RequestHandler):
    """Sends a list of responses; for None it closes the connection instead."""

    def initialize(self, answers, seen):
        self.answers, self.seen = answers, seen

    def post(self, group):
        self.seen.append(dict(self.request.headers.get_all()))
        answer = self.answers.pop(0) if self.answers else (200, DONE)
        if answer is None:
            self.detach().close()
            return
        self.set_status(answer[0])
        self.set_header("Mangoramp-Session", f"t{len(self.seen)}")
        self.finish(json.dumps(answer[1]))


@asynccontextmanager
async def session(*answers, budget=None):
    """Open a session with a proxy that sends a list of responses; record its waits."""
    seen, waits = [], []
    args = {"answers": list(answers), "seen": seen}
    app = tornado.web.Application(
        [("/v1/groups/(.*)/statements", ScriptedHandler, args)],
        log_function=lambda handler: None,
    )
    server = HTTPServer(app)
    socks = bind_sockets(0, address="127.0.0.1")
    server.add_sockets(socks)
    url = f"http://127.0.0.1:{socks[0].getsockname()[1]}"
    client = Client([url], "k", rng=random.Random(1), budget=budget)

    async def sleep(wait_s):
        waits.append(wait_s)

    try:
        yield Session(client, sleep=sleep), seen, waits
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


UNKNOWN = (fault(Code.TIMEOUT, Outcome.UNKNOWN), None)


class TestSession:
    async def test_keeps_the_token(self):
        async with session() as (caller, seen, _):
            await caller.run("register", "SELECT 1")
            await caller.run("register", "SELECT 1")
        assert [s.get("Mangoramp-Session") for s in seen] == [None, "t1"]

    @pytest.mark.parametrize("answer", UNKNOWN)
    async def test_retries_unknown_with_the_same_key(self, answer):
        async with session(answer, answer) as (caller, seen, _):
            assert isinstance(await caller.run("register", "INSERT"), Success)
        assert len({s["Idempotency-Key"] for s in seen}) == 1
        assert len(seen) == 3

    @pytest.mark.parametrize("answer", UNKNOWN)
    async def test_never_retries_unknown_without_a_key(self, answer):
        async with session(answer) as (caller, seen, _):
            done = await caller.run("register", "INSERT", idempotency_key="")
        assert done.failure().outcome is Outcome.UNKNOWN
        assert len(seen) == 1

    async def test_waits_at_least_retry_after(self):
        answers = [fault(Code.OVER_RATE, retry_after_s=0.7)] * 2
        async with session(*answers) as (caller, _, waits):
            assert isinstance(await caller.run("register", "SELECT 1"), Success)
        assert [wait >= 0.7 for wait in waits] == [True, True]

    @pytest.mark.parametrize(
        "answer",
        [
            fault(Code.STATEMENT_FAILED),
            fault(Code.KEY_UNKNOWN),
            fault(Code.OVER_RATE, retry_after_s=60.0),
        ],
    )
    async def test_gives_up_at_once_if_a_retry_is_useless(self, answer):
        async with session(answer) as (caller, seen, waits):
            await caller.run("register", "SELECT 1")
        assert (len(seen), waits) == (1, [])

    async def test_retries_are_a_share_of_the_requests(self):
        budget = RetryBudget(retry_ratio=0.2, capacity=3.0)
        answers = [fault(Code.NO_SERVER)] * 1000
        async with session(*answers, budget=budget) as (caller, seen, _):
            for _ in range(50):
                await caller.run("register", "SELECT 1")
        assert len(seen) <= 50 + 3 + 0.2 * 50

    async def test_moves_on_to_another_proxy(self):
        async with session() as (caller, seen, _):
            client = caller._client
            client._urls.insert(0, f"http://127.0.0.1:{free_ports(1)[0]}")
            once = {"idempotency_key": ""}
            assert isinstance(await caller.run("r", "INSERT", **once), Success)
        assert len(seen) == 1


class TestLoad:
    async def test_counts_the_outcome_of_each_request(self):
        fleet = Fleet(FleetOptions())
        await fleet.start()
        try:
            urls = [fleet.url(name).split("/v1")[0] for name in fleet.proxies]
            load = LoadOptions(
                tuple(urls), "register", fleet.keys, 40.0, 1.0, 0.7, 1, 50
            )
            (summary,) = await asyncio.wait_for(run_load(load), 50)
        finally:
            await fleet.stop()
        assert summary.sent > 10
        assert sum(summary.outcomes.values()) == summary.sent
        assert summary.outcomes["done"] > 0
        assert summary.stale == 0
        assert 0 < summary.p50_ms <= summary.p99_ms <= summary.max_ms
