"""Distribution of objects, withdrawal of keys and shutdown in a fleet of proxies."""

import asyncio
import json
import random
import signal
import time
from collections import Counter
from contextlib import asynccontextmanager
from urllib.error import URLError
from urllib.request import urlopen

import msgspec
import pytest
from returns.result import Failure, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from mangoramp.catalog import KIND_GROUP, KIND_KEY, Catalog
from mangoramp.distribution import Distribution
from mangoramp.errors import Code, Fault, Step
from mangoramp.membership import Membership
from mangoramp.objects import GroupObject
from mangoramp.operators.keys import withdraw_key
from mangoramp.operators.table import set_row
from mangoramp.platform.client import (
    WATCH_TIMEOUT_MARGIN_S,
    Changes,
    PlatformClient,
    Versioned,
)
from mangoramp.policy.cache import Delta, ObjectCache
from mangoramp.proxies.links import Links
from mangoramp.standins.fleet import Fleet, FleetOptions

from .caller import Caller
from .processes import Processes
from .virtual_time import run

UNREACHABLE_URL = "http://127.0.0.1:9"
KEY_WITHDRAWAL_LIMIT_S = 5.0
TABLE_EDIT_LIMIT_S = 6.0
SERVER_LEAVING_LIMIT_S = 3.0
RESTART_LIMIT_S = 5.0
TABLE = "customer,group,weight,rate,burst,read_age_s\ntala,register,1,9000,9000,5\n"


@asynccontextmanager
async def running(**options):
    fleet = Fleet(FleetOptions(**options))
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


async def until(condition, seconds):
    """Poll a condition and return whether it became true in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.01)
    return True


def rates(fleet):
    return {p.catalog.row("tala", "register").rate for p in fleet.proxies.values()}


def cut_off(proxy):
    proxy._client._url = UNREACHABLE_URL
    proxy.distribution._set_watching(on=False)


class TestDistribution:
    async def test_only_relay_and_standby_watch_and_all_follow(self):
        async with running(domains=("d1",), proxies=5) as fleet:
            proxies = fleet.proxies.values()
            assert await until(lambda: _has_settled_with_watchers(proxies, 2), 10)
            await set_row(fleet.client, ("tala", "register"), {"rate": 7.0})
            assert await until(lambda: rates(fleet) == {7.0}, TABLE_EDIT_LIMIT_S)

    async def test_fails_without_followers(self, monkeypatch):
        monkeypatch.setattr("mangoramp.distribution.WATCH_FALLBACK_S", 60.0)
        async with running(domains=("d1",), proxies=3) as fleet:
            assert await until(
                lambda: _has_settled_with_watchers(fleet.proxies.values(), 2), 10
            )
            monkeypatch.setattr(ObjectCache, "has_changes_for", lambda *args: False)
            await set_row(fleet.client, ("tala", "register"), {"rate": 7.0})
            assert not await until(lambda: rates(fleet) == {7.0}, TABLE_EDIT_LIMIT_S)

    async def test_a_domain_cut_off_from_the_platform_learns_from_others(self):
        async with running(domains=("d1", "d2"), proxies=2) as fleet:
            cut = [p for name, p in fleet.proxies.items() if name.startswith("d1")]
            relay = next(p for p in cut if p.membership.relay == p.cfg.name)
            assert await until(lambda: relay.distribution._sources, 5)
            for proxy in cut:
                cut_off(proxy)
            key_id = next(iter(cut[0].catalog.keys))
            await withdraw_key(fleet.client, key_id)
            is_withdrawn = await until(
                lambda: all(key_id not in p.catalog.keys for p in cut),
                KEY_WITHDRAWAL_LIMIT_S,
            )
            assert is_withdrawn

    @pytest.mark.parametrize("suspects", [True, False])
    async def test_goes_on_though_the_relay_is_silent(self, suspects, monkeypatch):
        if not suspects:
            monkeypatch.setattr(Membership, "_suspect_relay", lambda *args: None)
            monkeypatch.setattr(Links, "reset", lambda *args: None)
        async with running(domains=("d1",), proxies=4) as fleet:
            proxies = list(fleet.proxies.values())
            assert await until(lambda: _has_settled_with_watchers(proxies, 2), 10)
            relay = next(p for p in proxies if p.membership.relay == p.cfg.name)
            _silence(relay._peer_server)
            key_id = next(iter(relay.catalog.keys))
            await withdraw_key(fleet.client, key_id)
            is_withdrawn = await until(
                lambda: all(key_id not in p.catalog.keys for p in proxies),
                KEY_WITHDRAWAL_LIMIT_S,
            )
            assert is_withdrawn == suspects

    async def test_a_home_refuses_what_came_with_a_withdrawn_key(self):
        async with running(domains=("d1",), proxies=2) as fleet:
            proxies = list(fleet.proxies.values())
            home = next(
                p for p in proxies if p.homes.holds("register", time.monotonic())
            )
            other = next(p for p in proxies if p is not home)
            caller = Caller(fleet.keys["tala"])
            assert (
                await caller.post(fleet.url(other.cfg.name), "SELECT 1")
            ).status == 200
            home.catalog.keys.clear()
            late = await caller.post(fleet.url(other.cfg.name), "SELECT 1")
            assert (late.status, late.body["outcome"]) == (401, "not_run")

    async def test_keeps_the_last_good_version_and_its_age_in_an_outage(self):
        async with running(domains=("d1",), proxies=2) as fleet:
            proxy = fleet.proxies["d1-p0"]
            fleet.platform.faults.down = True
            fleet.platform.notify_watches()
            at = proxy.catalog.keys_fresh_at
            await asyncio.sleep(0.5)
            assert proxy.catalog.keys_fresh_at == at
            assert proxy.catalog.keys_age_s >= 0.5
            caller = Caller(fleet.keys["tala"])
            assert (await caller.post(fleet.url("d1-p1"), "SELECT 1")).status == 200
            proxy._ingress._knows_keys = lambda: proxy.catalog.keys_age_s <= 0.5
            late = await caller.post(fleet.url("d1-p0"), "SELECT 1")
            assert (late.status, late.body["outcome"]) == (503, "not_run")

    async def test_old_answer_does_not_restore_a_withdrawn_key(self):
        async with running(domains=("d1",), proxies=2) as fleet:
            catalog = fleet.proxies["d1-p1"].catalog
            key_id = next(iter(catalog.keys))
            old = catalog.cache.changes_since(KIND_KEY, 0)
            await withdraw_key(fleet.client, key_id)
            assert await until(
                lambda: key_id not in catalog.keys, KEY_WITHDRAWAL_LIMIT_S
            )
            catalog.apply(old)
            catalog.apply(Delta(KIND_KEY, 1, old.version, old.items))
            assert key_id not in catalog.keys


class TestLeavingServer:
    async def test_gets_no_reads_soon_after_it_was_marked(self):
        async with running(domains=("d1", "d2", "d3"), proxies=1) as fleet:
            found = await fleet.client.get(KIND_GROUP, "register", GroupObject)
            before = found.unwrap()
            group = _mark_leaving(before.value, "d2-s")
            caller = Caller(fleet.keys["tala"])
            url = fleet.url("d2-p0")
            await caller.post(url, "SELECT 1")
            version = before.version
            await fleet.client.put(KIND_GROUP, "register", group, version=version)
            catalogs = [p.catalog for p in fleet.proxies.values()]
            is_applied = lambda: all(c.groups["register"] == group for c in catalogs)  # noqa: E731
            assert await until(is_applied, SERVER_LEAVING_LIMIT_S)
            servers = {(await _read(caller, url)).body["server"] for _ in range(10)}
            assert "d2-s" not in servers


class TestOpenTransaction:
    async def test_can_be_ended_while_its_home_shuts_down(self):
        async with running(domains=("d1",), proxies=2) as fleet:
            home, other = _home_and_other(fleet)
            begun = await _post(fleet, other, "transactions")
            shutting = asyncio.ensure_future(home.shut_down(asyncio.Event()))
            await asyncio.sleep(0.5)
            assert not home.is_ready
            path = f"transactions/{begun['transaction']}"
            ran = await _post(fleet, other, f"{path}/statements", sql="SELECT 1")
            ended = await _post(fleet, other, f"{path}/commit")
            assert (ran["outcome"], ended["outcome"]) == ("done", "done")
            await shutting
            assert (await _post(fleet, other, "transactions"))["outcome"] == "done"

    async def test_ends_when_its_key_is_withdrawn(self):
        async with running(domains=("d1",), proxies=2) as fleet:
            home, other = _home_and_other(fleet)
            await _post(fleet, other, "transactions")
            assert home.homes.open_transactions == 1
            await withdraw_key(fleet.client, next(iter(home.catalog.keys)))
            ended = await until(
                lambda: not home.homes.open_transactions, KEY_WITHDRAWAL_LIMIT_S
            )
            assert ended


class TestShutdown:
    @pytest.fixture
    def fleet(self, tmp_path):
        processes = Processes(tmp_path, domains=1, proxies=2)
        try:
            processes.start()
            yield processes
        finally:
            processes.stop()

    @pytest.fixture
    def key(self, fleet):
        table = fleet.folder / "table.csv"
        table.write_text(TABLE)
        target = ["--platform", fleet.platform]
        fleet.run_command("table", "import", *target, "--file", str(table))
        issued = fleet.run_command("keys", "give", *target, "--customer", "tala")
        return json.loads(issued)

    async def test_cuts_no_request_under_load(self, fleet, key):
        for name in ("p0", "p1"):
            statuses = await _load_while_stopping(fleet, key["key"], name, signals=1)
            assert set(statuses) == {200}
            assert fleet.running.pop(name).wait() == 0
            fleet.start_proxy(name)
            started = time.monotonic()
            await asyncio.to_thread(fleet.wait_ready, name)
            assert time.monotonic() - started < RESTART_LIMIT_S

    async def test_second_signal_cuts_requests(self, fleet, key):
        statuses = await _load_while_stopping(fleet, key["key"], "p0", signals=2)
        assert set(statuses) > {200}

    async def test_serves_soon_after_all_were_killed(self, fleet, key):
        caller = Caller(key["key"])
        for name in fleet.proxies:
            await _retry_until_authorized(caller, fleet.url(name))
        for name in fleet.proxies:
            fleet.kill(name)
        for name in fleet.proxies:
            fleet.start_proxy(name)
        started = time.monotonic()
        for name in fleet.proxies:
            await asyncio.to_thread(fleet.wait_ready, name)
            assert (
                await _retry_until_authorized(caller, fleet.url(name))
            ).status == 200
        assert time.monotonic() - started < RESTART_LIMIT_S

    async def test_withdrawn_key_stops_though_the_relay_is_killed(self, fleet, key):
        client = PlatformClient(fleet.platform)
        relay = await _relay(client)
        other = next(name for name in fleet.proxies if name != relay)
        caller = Caller(key["key"])
        assert (await _retry_until_authorized(caller, fleet.url(other))).status == 200
        fleet.kill(relay)
        await withdraw_key(client, key["key_id"])
        started = time.monotonic()
        while (await caller.post(fleet.url(other), "SELECT 1")).status != 401:
            assert time.monotonic() - started < KEY_WITHDRAWAL_LIMIT_S
        client.close()


def _home_and_other(fleet):
    first, second = fleet.proxies.values()
    if first.homes.holds("register", time.monotonic()):
        return first, second
    return second, first


async def _post(fleet, proxy, path, **body):
    base = fleet.url(proxy.cfg.name).removesuffix("statements")
    resp = await AsyncHTTPClient().fetch(
        base + path,
        method="POST",
        body=json.dumps(body) if body else "",
        headers={"Authorization": f"Bearer {fleet.keys['tala']}"},
        raise_error=False,
    )
    return json.loads(resp.body)


def _silence(server):
    """Make a proxy accept its peers' requests without answering, like a lost route."""

    async def never_answer(req):
        await asyncio.Event().wait()

    server._handler = never_answer
    for task in server._tasks:
        task.cancel()


def _has_settled_with_watchers(proxies, watchers):
    settled = all(len(p.membership.view.members) == len(proxies) for p in proxies)
    return settled and sum(p.distribution.is_watching for p in proxies) == watchers


def _mark_leaving(group, name):
    servers = [
        {**_fields(s), "leaving": s.name == name or s.leaving} for s in group.servers
    ]
    fields = {
        **_fields(group),
        "servers": tuple(type(group.servers[0])(**s) for s in servers),
    }
    return type(group)(**fields)


def _fields(struct):
    return {name: getattr(struct, name) for name in struct.__struct_fields__}


async def _read(caller, url):
    return await caller.post(url, "SELECT 1")


async def _retry_until_authorized(caller, url):
    while True:
        reply = await caller.post(url, "SELECT 1")
        if reply.status not in (401, 403):
            return reply
        await asyncio.sleep(0.02)


async def _relay(client):
    found = await client.get("lease", "relay.d0", dict)
    return found.unwrap().value["holder"]


def _is_ready(fleet, name):
    try:
        urlopen(f"http://127.0.0.1:{fleet.proxies[name][1]}/ready", timeout=1)
    except (URLError, OSError):
        return False
    return True


async def _load_while_stopping(fleet, key, name, *, signals):
    """Return the statuses of requests that a balancer sends only to ready proxies."""
    fleet.set_faults("s0", late_s=0.05)
    for proxy in fleet.proxies:
        await _retry_until_authorized(Caller(key), fleet.url(proxy))
    ready, statuses = set(fleet.proxies), []
    stopping = asyncio.Event()

    async def call(number):
        caller = Caller(key)
        while not stopping.is_set():
            pool = sorted(ready)
            url = fleet.url(pool[number % len(pool)])
            statuses.append(await _status(caller, url))

    async def balance():
        while not stopping.is_set():
            for proxy in list(fleet.proxies):
                up = await asyncio.to_thread(_is_ready, fleet, proxy)
                (ready.add if up else ready.discard)(proxy)
            await asyncio.sleep(0.1)

    tasks = [asyncio.ensure_future(call(n)) for n in range(8)]
    tasks.append(asyncio.ensure_future(balance()))
    await asyncio.sleep(0.5)
    for _ in range(signals):
        fleet.signal(name, signal.SIGTERM)
        await asyncio.sleep(0.02)
    await asyncio.to_thread(fleet.running[name].wait)
    stopping.set()
    await asyncio.gather(*tasks)
    fleet.set_faults("s0")
    return statuses


async def _status(caller, url):
    try:
        reply = await caller.post(url, "SELECT 1")
        return reply.status
    except (OSError, ValueError, HTTPClientError):
        return 599


class SilentStore:
    """Leaves the first watch of each kind without an answer, as a dead connection."""

    def __init__(self):
        self.keys = {"k1": 5}
        self.revision = 5
        self.waits = Counter()

    async def fetch_changes(self, kind, type_, *, since, wait_s, era):
        await asyncio.sleep(0.01)
        if since <= 0:
            return Success(Changes(self.revision, self._items(kind), True))
        self.waits[kind] += 1
        if self.waits[kind] == 1:
            await asyncio.sleep(wait_s + WATCH_TIMEOUT_MARGIN_S)
            return Failure(Fault(Code.NO_SERVER, "timeout", Step.PLATFORM))
        if kind == KIND_KEY and since < self.revision:
            gone = Versioned("k1", self.revision, None, is_deleted=True)
            return Success(Changes(self.revision, (gone,)))
        await asyncio.sleep(wait_s)
        return Success(Changes(self.revision, ()))

    def _items(self, kind):
        raw = msgspec.json.encode({"customer": "c", "salt": "00", "digest": "00"})
        names = self.keys if kind == KIND_KEY else {}
        return tuple(Versioned(n, at, msgspec.Raw(raw)) for n, at in names.items())


class TestSilentPlatformConnection:
    """Guards against a withdrawn key that a relay learns of only 20 s later."""

    def test_is_replaced_within_the_limit(self):
        async def play():
            loop, store = asyncio.get_running_loop(), SilentStore()
            catalog = Catalog(clock=loop.time)
            distribution = Distribution(
                "relay", catalog, store, None, rng=random.Random(1), clock=loop.time
            )
            distribution.assign(watch=True, sources=())
            task = asyncio.ensure_future(distribution.run())
            await asyncio.sleep(1.0)
            knew = "k1" in catalog.keys
            store.revision = 6
            withdrawn_at = loop.time()
            while "k1" in catalog.keys and loop.time() < 60.0:
                await asyncio.sleep(0.05)
            task.cancel()
            return knew, loop.time() - withdrawn_at

        knew, seconds = run(play())
        assert knew
        assert seconds <= KEY_WITHDRAWAL_LIMIT_S
