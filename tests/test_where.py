"""Tests of ``GET /where`` and ``mangoramp where``."""

import asyncio
import json
import math
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from returns.result import Success

from mangoramp import cli
from mangoramp.control.deployment import Customer, Deployment, ReadRule, Route
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import SlowStart
from mangoramp.control.limits import CustomerLimits
from mangoramp.control.settings import Features
from mangoramp.errors import Code, FaultError
from mangoramp.policy.ejection import OutlierDetector
from mangoramp.policy.evacuation import EvacuationTimes
from mangoramp.policy.homes import Candidate, CustomerHomes
from mangoramp.policy.position import Position
from mangoramp.policy.revision import Revision
from mangoramp.serving.admission import MIN_SILENCE_S, AdmissionControl
from mangoramp.serving.batches import BatchNotSent, LoadHint, RunBatch
from mangoramp.serving.executor import Executor
from mangoramp.serving.explainer import Explainer
from mangoramp.serving.explanation import RequestClass
from mangoramp.serving.gateway import Gateway
from mangoramp.serving.homes import Homes
from mangoramp.serving.operation import Operation, Ticket
from mangoramp.serving.reading import Reader
from mangoramp.serving.servers import Servers
from mangoramp.sessions.session import Session

from .test_pool import Connector
from .wire_world import KEY, World

SILENT = (
    *("where", "--instance", "127.0.0.1:1"),
    *("--database", "d", "--customer", "c"),
)
READ, WRITE = RequestClass.READ, RequestClass.WRITE
ROUTES = {
    "near": Route("near", "g", ReadRule.BOUNDED_AGE, 1.0, 0.8, 0.1, 1),
    "strict": Route("strict", "g", ReadRule.PRIMARY, 1.0, 0.8, 0.1, 1),
}
CUSTOMERS = {n: Customer(n, 5.0, 3.0) for n in "cdefgh"}


class Site:
    """An instance's decisions with a clock set by hand; nothing is sent."""

    def __init__(self, *, instances=1, limit=4):
        self.now = 100.0
        features = Features(load_control=True, server_health=True)
        self.servers = Servers(
            Connector(), lambda: self.now, name="a", features=features
        )
        self.servers.compares_answers = True
        self.deployment = Deployment(7, ROUTES, {}, CUSTOMERS, {KEY: "c"})
        self.names = [chr(ord("a") + n) for n in range(instances)]
        peers = SimpleNamespace(
            live_instances=self.names,
            known_instances=self.names,
            now=0.0,
            is_direct=lambda: True,
            last_report_at=lambda name: self.now,
            report_interval_s=0.25,
        )
        self.limits = CustomerLimits("a", peers, is_first_start=True)
        self.limits.apply_deployment(self.deployment, self.now)
        self.admission = AdmissionControl(
            self.servers, is_enabled=True, rng=random.Random(1)
        )
        self.homes = Homes(
            "a",
            self.servers,
            instances=lambda: dict.fromkeys(self.names, Candidate(100, "x")),
            admit=self.admit,
            links=None,
            heard_at=lambda name: self.now - 0.2,
            admission=self.admission,
        )
        self.servers.connection_limit = lambda group: limit
        self.executor = Executor(
            self.servers, homes=self.homes, admit=self.admit, admission=self.admission
        )
        self.gateway = Gateway(
            deployment=lambda: self.deployment,
            deployed=asyncio.Event(),
            reader=Reader(self.executor, "x"),
            writer=None,
            transactions=None,
            admit=None,
            clock=lambda: self.now,
            metrics=None,
            memory=None,
            state_memory=None,
        )
        self.explainer = Explainer(
            self.gateway,
            self.executor,
            self.homes,
            rate_wait_s=lambda customer: self.limits.wait_s(customer, self.now),
            is_ready=lambda: True,
        )
        self.group = self.servers.group("g")
        for name, domain in (("p", "x"), ("r", "x"), ("s", "y")):
            endpoint = Endpoint(name, "g", ("h", 1), domain, 4, False, name == "p")
            self.group.update_endpoint(endpoint, Revision(0, 1), self.now)
        self.servers.resize(self.deployment, instances)
        for age_s in (0.9, 0.5, 0.1):
            position = Position(1, int(1000 - 100 * age_s))
            self.group.record_position(self.now - age_s, position)

    def admit(self, customer, request_id):
        return self.limits.admit(customer, self.now, request_id)

    def server(self, name):
        return self.group.servers[name]

    def explain(self, database="near", request_class=READ, customer="c"):
        return self.explainer.explain(database, customer, request_class).unwrap()

    def op(self, database="near", customer="c"):
        route, session = ROUTES[database], Session(database, KEY)
        ticket = Ticket("q")
        return Operation("q", customer, route, self.now, self.now, session, ticket)

    async def real(self, database="near", request_class=READ):
        """Return the server and the fault of the real path."""
        op = self.op(database)
        try:
            if self.homes.is_direct and self.admit("c", "q"):
                return None, Code.OVER_RATE
            op.ticket.is_admitted = self.homes.is_direct
            chosen = None
            if request_class is READ:
                self.group.outliers.record_read()
                chosen = self.gateway.reader._chooser.choose(
                    op, set(), is_probe_allowed=True
                )
            server = chosen[0] if chosen else await self.executor.primary(op)
            lease = await self.executor.acquire(op, server, max_wait_s=0.5)
            lease.release()
        except FaultError as exc:
            return None, exc.fault.code
        return server.id, None


def state_of(value, seen=None):
    """Return a comparable picture of an object and all that it holds."""
    seen = {} if seen is None else seen
    if isinstance(value, int | float | str | bytes | None):
        return repr(value)
    if id(value) in seen:
        return seen[id(value)]
    seen[id(value)] = f"#{len(seen)}"
    if isinstance(value, dict):
        return {repr(state_of(k, seen)): state_of(v, seen) for k, v in value.items()}
    if isinstance(value, list | tuple | set | frozenset) or hasattr(value, "popleft"):
        return [type(value).__name__, *(state_of(v, seen) for v in value)]
    if not type(value).__module__.startswith(("mangoramp", "random")):
        return type(value).__name__
    names = {n for c in type(value).__mro__ for n in getattr(c, "__slots__", ())}
    fields = {n: getattr(value, n) for n in sorted(names) if hasattr(value, n)}
    fields |= getattr(value, "__dict__", {})
    # An id of a temporary object may be used again, so the dictionary is not recorded.
    return [type(value).__name__, [(n, state_of(v, seen)) for n, v in fields.items()]]


def lag(site):
    site.server("r").record_lag(2.0 / 1.5, site.now)


def all_lag(site):
    for name in "rs":
        site.server(name).record_lag(5.0 / 1.5, site.now)


def fail_replica(site):
    site.server("r").record_failure(site.now, "lost")


def evacuate_replicas(site):
    site.servers.evacuations["y"] = EvacuationTimes(site.now, 5.0)
    site.servers.update_evacuated()


def evacuate_all(site):
    times = EvacuationTimes(site.now - 9, 5.0)
    site.servers.evacuations |= {"x": times, "y": times}
    site.servers.update_evacuated()


def drain(site):
    for name in ("r", "s"):
        known = site.server(name)
        known.endpoint = replace(known.endpoint, is_draining=True)


def use_up_rate(site):
    while not site.admit("c", "q"):
        pass


def lose_primary(site):
    for _ in range(2):
        site.server("p").record_failure(site.now, "silent")
    site.server("p").retry_at = math.inf
    site.now += MIN_SILENCE_S


def eject(site):
    """Make both replicas outliers, of which one is about to get a read."""
    outliers = site.group.outliers
    for name in ("r", "s"):
        outliers._record(name).level = 3
        outliers._record(name).probed_at = site.now
    outliers._record("s").credit = 0.9


def make_probe_due(site):
    """Make one more read due for the slower replica, so that it is measured again."""
    site.server("s").latency_s = 0.05
    record = site.group.outliers._record("s")
    record.level, record.probed_at, record.reads_since = 4, site.now - 1.0, 31


def nothing(site):
    pass


CHANGES = [
    *(nothing, lag, all_lag, fail_replica, evacuate_replicas, evacuate_all, drain),
    *(use_up_rate, lose_primary, eject, make_probe_due),
]


class TestSameChoice:
    """Guards against an explanation that differs from what requests meet."""

    @pytest.mark.parametrize("change", CHANGES)
    @pytest.mark.parametrize(
        ("database", "request_class"),
        [("near", READ), ("strict", READ), ("near", WRITE)],
    )
    async def test_as_the_real_path(self, change, database, request_class):
        site = Site()
        change(site)
        found = site.explain(database, request_class)
        server, code = await site.real(database, request_class)
        assert (found.rejection.code if found.rejection else None) == code
        if code is None:
            assert found.server == server
            assert [s.id for s in found.candidates if s.is_chosen] == [server]

    @pytest.mark.parametrize(
        ("change", "server"),
        [
            (nothing, "r"),
            (lag, "s"),
            (all_lag, "p"),
            (drain, "p"),
            (make_probe_due, "s"),
        ],
    )
    def test_situations_differ(self, change, server):
        """The cases above would prove nothing if all chose the same server."""
        site = Site()
        site.server("s").latency_s = 0.05
        site.server("r").latency_s = 0.001
        change(site)
        assert site.explain().server == server

    def test_a_customer_with_a_home_elsewhere(self):
        site = Site(instances=20)
        for customer in CUSTOMERS:
            found = site.explain(customer=customer)
            home = found.home
            real = site.homes.home_of(customer) or "a"
            assert (home.is_direct, home.home) == (False, real)
            assert real not in home.runners_up
            assert ({s.limit for s in found.candidates} == {None}) is (real != "a")
            left = {n: s for n, s in site.homes.strengths.items() if n != real}
            following = CustomerHomes(left, site.servers.rates).home_of(customer)
            assert home.runners_up[0] == following

    def test_the_backlog_that_a_home_reported_rejects(self):
        site = Site(instances=20)
        customer = next(c for c in CUSTOMERS if site.homes.home_of(c))
        home = site.homes.home_of(customer)
        message = RunBatch("p", "g", customer, None, {}, (), 1.0, 1.0, 0.1)
        answer = BatchNotSent("busy", load=LoadHint({"p": (9.0, 9.0)}))
        site.admission.record_hint(home, message, answer, site.now)
        before = state_of(site.admission)
        found = site.explain("strict", WRITE, customer)
        assert state_of(site.admission) == before
        assert found.rejection.code == Code.OVERLOADED
        with pytest.raises(FaultError) as raised:
            site.admission.check_backlog(
                site.op("strict", customer), site.server("p"), home
            )
        assert raised.value.fault.message == found.rejection.reason
        assert {a.name for a in found.ages} >= {f"backlog reported by {home}"}

    async def test_the_place_in_the_queue(self):
        site = Site(limit=1)
        pool = site.servers.pool(site.server("p"))
        lease = await site.executor.acquire(
            site.op("strict"), site.server("p"), max_wait_s=1.0
        )
        waiting = asyncio.create_task(
            site.executor.acquire(site.op("strict"), site.server("p"), max_wait_s=9.0)
        )
        await asyncio.sleep(0)
        found = site.explain("strict", WRITE)
        assert (found.verdict, found.queue.ahead) == ("waits", 1)
        assert found.queue.wait_s == pool.waits_by_class()[-1]
        waiting.cancel()
        lease.release()


class TestNoEffect:
    """Guards against an operator's question that changes what requests meet."""

    @pytest.mark.parametrize("change", CHANGES)
    @pytest.mark.parametrize("instances", [1, 20])
    async def test_many_questions_change_nothing(self, change, instances, monkeypatch):
        site = Site(instances=instances)
        await site.real()
        change(site)
        site.now += 0.5  # homes, buckets and limits are due for an update
        site.server("r").begin_slow_start(SlowStart.RECOVERED)
        site.server("s").cold_until = site.now + 5.0
        site.group._primary_id = "unknown"
        lines = []
        for module in ("control.group", "control.limits", "serving.homes"):
            target = f"mangoramp.{module}.emit"
            monkeypatch.setattr(target, lambda *args, **kw: lines.append(args))
        held = [site.servers, site.limits, site.admission, site.homes, site.gateway]
        before = state_of(held)
        for _ in range(20):
            for database in ROUTES:
                for request_class in RequestClass:
                    site.explain(database, request_class)
        assert state_of(held) == before
        assert not lines

    async def test_the_comparison_sees_a_real_request(self):
        site = Site()
        before = state_of([site.servers, site.limits])
        await site.real()
        assert state_of([site.servers, site.limits]) != before

    def test_an_outliers_credit_is_only_asked(self):
        outliers = OutlierDetector()
        outliers._record("r").level = 1
        for expected in (False, True, False, True):
            assert outliers.would_admit("r") is expected
            assert outliers.would_admit("r") is expected
            assert outliers.admit("r", 1.0) is expected


class TestCommand:
    """Guards against wrong answers, exit codes and keys in the output."""

    async def run(self, capsys, world, *args):
        host, port = world.instances[0].cfg.health
        argv = ["where", "--instance", f"{host}:{port}", *args]
        code = await asyncio.to_thread(cli.main, argv)
        return code, capsys.readouterr()

    async def test_output_and_exit_codes(self, capsys):
        async with World() as world:
            args = ("--customer", "alpha", "--database")
            code, out = await self.run(capsys, world, *args, "orders", "--json")
            assert not out.err
            found = json.loads(out.out)
            assert (code, found["verdict"], found["server"]) == (0, "sent", "s1")
            code, out = await self.run(
                capsys, world, *args, "search", "--class", "write"
            )
            assert code == 0
            assert "> s1" in out.out
            assert "only the primary can run this" in out.out
            assert KEY not in out.out
            code, out = await self.run(capsys, world, *args, "nowhere")
            assert (code, out.out) == (1, "")
            assert "no route has this database" in out.err
            args = ("--customer", KEY, "--database", "orders")
            code, out = await self.run(capsys, world, *args)
            assert code == 1
            assert "no customer has this name" in out.err
            assert KEY not in out.err
            assert not world.group.runs

    async def test_an_instance_that_does_not_answer(self, capsys):
        argv = list(SILENT)
        assert await asyncio.to_thread(cli.main, argv) == 1
        assert "does not answer" in capsys.readouterr().err

    @pytest.mark.parametrize("wrong", ["--class=delete", "--instance=nowhere"])
    def test_wrong_usage(self, wrong):
        argv = list(SILENT)
        with pytest.raises(SystemExit) as raised:
            cli.main([*argv, wrong])
        assert raised.value.code == 2

    def test_an_unknown_customer_is_no_anonymous_one(self):
        site = Site()
        assert not isinstance(site.explainer.explain("near", "-", READ), Success)
