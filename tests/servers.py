"""Three stand-in servers and a home of their group, for tests."""

from __future__ import annotations

import itertools
from collections import Counter
from contextlib import asynccontextmanager

import msgspec

from mangoramp.admission import Admission, Limits
from mangoramp.endpoints.group import Group
from mangoramp.home import Home
from mangoramp.platform.objects import GroupObject, ServerState, TermStart
from mangoramp.policy.position import START
from mangoramp.policy.statement import Kind
from mangoramp.proxies.messages import RunStatement
from mangoramp.standins.endpoint import Endpoint, EndpointOptions
from mangoramp.standins.store import Change

HOST = "127.0.0.1"
CREATE = "CREATE TABLE sheet (id TEXT, revision TEXT)"
ISSUE = "INSERT INTO sheet VALUES ($1, $2)"


class Servers:
    def __init__(self, folder, **options):
        self.options = {"connections": 32, **options}
        self.folder = folder
        self.endpoints = {}
        self.homes = []
        self.spec = None

    async def start(self):
        for n in range(3):
            name = f"s{n}"
            path = self.folder / f"{name}.db"
            options = EndpointOptions(name, path, primary=n == 0, **self.options)
            self.endpoints[name] = Endpoint(options)
            await self.endpoints[name].start()
        for name in ("s1", "s2"):
            self.endpoints[name].follow(1, (HOST, self.endpoints["s0"].port))
        servers = tuple(
            ServerState(n, HOST, e.port, f"d{i}")
            for i, (n, e) in enumerate(self.endpoints.items())
        )
        self.spec = GroupObject("register", 1, "s0", servers, (TermStart(1, 0),))

    async def stop(self):
        for home in self.homes:
            home.close()
        for endpoint in self.endpoints.values():
            await endpoint.stop()

    def home(self, *, pool_size=4):
        group = Group(self.spec, pool_size=pool_size)
        rates = Admission("register", lambda customer: Limits(1e6, 1e6, 1.0))
        self.homes.append(Home(group, rates))
        return self.homes[-1]

    def promote(self, name):
        """Replace the primary; the old one learns nothing of it."""
        term = self.spec.term + 1
        others = [e for n, e in self.endpoints.items() if n != self.spec.primary]
        chosen = self.endpoints[name]
        for endpoint in others:
            endpoint.fence(term)
        assert chosen.store.held == max(e.store.held for e in others)
        start = TermStart(term, chosen.store.held)
        chosen.promote(term)
        for endpoint in others:
            if endpoint is not chosen:
                endpoint.follow(term, (HOST, chosen.port))
        self.spec = msgspec.structs.replace(
            self.spec, term=term, primary=name, starts=(*self.spec.starts, start)
        )
        for home in self.homes:
            home.group.update(self.spec)

    def primary(self):
        return self.endpoints[self.spec.primary]

    def written(self, name=None):
        """How often each change of the callers is in a server's log."""
        store = self.endpoints[name or self.spec.primary].store
        bodies = (e.body for e in store.entries(0, 100_000))
        changes = itertools.chain.from_iterable(
            msgspec.json.decode(body, type=tuple[Change, ...]) for body in bodies
        )
        return Counter(c.params for c in changes if c.sql == ISSUE)


@asynccontextmanager
async def running(folder, **options):
    servers = Servers(folder, **options)
    await servers.start()
    try:
        yield servers
    finally:
        await servers.stop()


def write(sql, *params, key="", customer="tala", timeout_s=5.0):
    return RunStatement(
        customer=customer,
        group="register",
        kind=Kind.WRITE,
        sql=sql,
        params=params,
        seen=START,
        max_age_s=1.0,
        timeout_s=timeout_s,
        idempotency_key=key,
    )
