"""Three stand-in servers and a home of their group, for tests."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from contextlib import asynccontextmanager

import msgspec
from hypothesis import strategies as st

from mangoramp.admission import Admission, Limits
from mangoramp.endpoints.group import Group
from mangoramp.home import Home
from mangoramp.objects import GroupObject, ServerState, TermStart
from mangoramp.policy.position import START
from mangoramp.policy.statement import Kind
from mangoramp.proxies.messages import RunStatement
from mangoramp.standins.endpoint import Endpoint, EndpointOptions, Faults
from mangoramp.standins.store import Change

HOST = "127.0.0.1"
CREATE = "CREATE TABLE sheet (id TEXT, revision TEXT)"
ISSUE = "INSERT INTO sheet VALUES ($1, $2)"
ANSWERS_PER_WRITE = 9
FAULT_KINDS = ("drop", "drop two", "cut", "silent", "promote")

Fault = tuple[str, int]
faults = st.tuples(st.sampled_from(FAULT_KINDS), st.integers(0, ANSWERS_PER_WRITE - 1))


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
        self.spec = GroupObject("register", 1, "s0", servers, (TermStart(1, 0, 0),))

    async def stop(self):
        for home in self.homes:
            home.close()
        for endpoint in self.endpoints.values():
            await endpoint.stop()

    def home(self, *, pool_size=4, transactions=None):
        group = Group(self.spec, pool_size=pool_size)
        rates = Admission("register", lambda customer: Limits(1e6, 1e6, 1.0))
        self.homes.append(Home(group, rates, instance="p0", transactions=transactions))
        return self.homes[-1]

    def promote(self, name):
        """Promote a server without notifying the old primary."""
        term = self.spec.term + 1
        others = [e for n, e in self.endpoints.items() if n != self.spec.primary]
        chosen = self.endpoints[name]
        for endpoint in others:
            endpoint.fence(term)
        assert chosen.store.held == max(e.store.held for e in others)
        chosen.promote(term)
        start = TermStart(term, chosen.store.term_start, chosen.store.term_previous)
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

    def entries(self, name=None):
        """Return the clients' inserts in each entry of a server's log."""
        store = self.endpoints[name or self.spec.primary].store
        decoded = (
            msgspec.json.decode(entry.body, type=tuple[Change, ...])
            for entry in store.entries(0, 100_000)
        )
        return [[c.params for c in changes if c.sql == ISSUE] for changes in decoded]

    def change_counts(self, name=None):
        """Return how often each insert of the clients is in a server's log."""
        return Counter(itertools.chain.from_iterable(self.entries(name)))


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


def most_advanced(servers: Servers) -> str:
    others = {n: e for n, e in servers.endpoints.items() if n != servers.spec.primary}
    return max(others, key=lambda n: others[n].store.held)


async def inject_faults(servers: Servers, chosen_faults: list[Fault]) -> None:
    """Inject faults one after the other."""
    for fault in chosen_faults:
        await inject_fault(servers, fault)


async def inject_fault(servers: Servers, fault: Fault) -> None:
    """Inject a fault at the primary, at one of its answers to the next write."""
    kind, number = fault
    primary = servers.primary()
    if kind in ("drop", "drop two"):
        count = 1 if kind == "drop" else 2
        primary.set_faults(Faults(drop_answers=count, drop_after=number))
        return
    received = len(statements(primary))
    while len(statements(primary)) < received + number:
        await asyncio.sleep(0.001)
    if kind == "promote":
        servers.promote(most_advanced(servers))
        return
    primary.set_faults(Faults(cut=kind == "cut", silent=kind == "silent"))
    await asyncio.sleep(0.05)
    primary.set_faults(Faults())


def statements(endpoint):
    return [
        sql for sql in endpoint.received_statements if "mangoramp_status" not in sql
    ]
