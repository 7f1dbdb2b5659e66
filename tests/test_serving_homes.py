from types import SimpleNamespace

import pytest
from returns.result import Failure

from mangoramp.control.endpoint import Endpoint
from mangoramp.errors import Code, Fault, Step
from mangoramp.policy.handover import Handover
from mangoramp.policy.homes import Candidate
from mangoramp.policy.revision import Revision
from mangoramp.serving import homes
from mangoramp.serving.batches import (
    BatchNotSent,
    BatchOverRate,
    DropPinned,
    RunBatch,
)
from mangoramp.serving.homes import MIN_SUSPECT_S, Homes
from mangoramp.serving.servers import Servers


class TestSuspects:
    NAMES = ("a", "b", "c", "d", "e", "f")

    @pytest.fixture
    def world(self):
        found = SimpleNamespace(now=0.0, heard=dict.fromkeys(self.NAMES, 0.0))
        servers = SimpleNamespace(
            clock=lambda: found.now,
            instances=len(self.NAMES),
            customers=40,
            min_connections=12,
            min_slots=2,
            failure_domains=frozenset(),
            rates={},
            handover=Handover(),
        )
        found.homes = Homes(
            "a",
            servers,
            instances=lambda: dict.fromkeys(self.NAMES, Candidate(1)),
            admit=lambda customer, request_id: 0.0,
            links=None,
            heard_at=found.heard.__getitem__,
        )
        return found

    def home_of(self, world, after_s=0.0):
        world.now += after_s
        return world.homes.home_of("customer")

    def test_an_unreachable_home_is_excluded_until_a_message_arrives(self, world):
        home = self.home_of(world)
        world.homes.suspect(home)
        tried_again = [self.home_of(world, 0.3) == home for _ in range(10)]
        assert not any(tried_again)
        world.heard[home] = world.now
        assert self.home_of(world, 0.3) == home

    def test_a_home_that_lost_one_message_is_used_again_soon(self, world):
        home = self.home_of(world)
        world.homes.suspect(home)
        world.heard[home] = 0.1
        assert self.home_of(world, MIN_SUSPECT_S / 2) != home
        assert self.home_of(world, MIN_SUSPECT_S) == home

    def test_no_home_is_excluded_for_ever(self, world):
        home = self.home_of(world)
        world.homes.suspect(home)
        assert self.home_of(world, 11.0) == home

    def test_a_suspected_home_is_known_as_the_live_one(self, world):
        """Guards against stand-ins that take themselves for the home."""
        home = self.home_of(world)
        assert world.homes.live_home_of("customer") == home
        world.homes.suspect(home)
        for _ in range(10):
            assert self.home_of(world, 0.3) != home
            assert world.homes.live_home_of("customer") == home


class TestChangeOfHomes:
    RATES = {f"c{n}": 10.0 for n in range(40)}

    @pytest.fixture
    def world(self, monkeypatch):
        found = SimpleNamespace(
            now=0.0, lines=[], candidates={n: Candidate(100) for n in "abcdef"}
        )
        monkeypatch.setattr(
            homes, "emit", lambda event, **facts: found.lines.append((event, facts))
        )
        found.servers = SimpleNamespace(
            clock=lambda: found.now,
            instances=6,
            customers=40,
            min_connections=12,
            min_slots=2,
            failure_domains=frozenset(),
            rates=self.RATES,
            handover=Handover(),
            max_connections=lambda group: 12,
        )
        found.homes = Homes(
            "a",
            found.servers,
            instances=lambda: found.candidates,
            admit=lambda customer, request_id: 0.0,
            links=None,
            heard_at=lambda name: found.now,
        )
        found.candidates = {n: Candidate(100) for n in "ab"}
        assert found.homes.names
        return found

    def refresh(self, world, **strengths):
        world.now += 1.0
        world.candidates = {n: Candidate(s) for n, s in strengths.items()}
        return world.homes.strengths

    def test_a_home_knows_which_customers_come_and_go(self, world):
        """Guards against connections that are kept for customers of other homes."""
        before = world.homes.customers
        assert 0 < len(before) < len(self.RATES)
        self.refresh(world, a=100)
        assert world.homes.customers == self.RATES.keys()
        gained = self.RATES.keys() - before
        assert all(world.servers.handover.is_new(c, world.now) for c in gained)
        assert not any(world.servers.handover.is_new(c, world.now) for c in before)
        self.refresh(world, b=100)
        assert all(world.servers.handover.has_left(c) for c in self.RATES)

    def test_a_change_is_logged_once_with_the_strengths(self, world):
        """Guards against operators who cannot tell which instances are homes."""
        world.lines.clear()
        self.refresh(world, a=100, b=70)
        self.refresh(world, a=100, b=70)
        assert [(e.number, facts["homes"]) for e, facts in world.lines] == [
            (319, {"a": 100, "b": 70})
        ]

    def test_a_changed_rate_moves_a_customer_to_a_strong_home(self, world):
        """Guards against a customer that outgrew a weak home and stays there."""
        self.refresh(world, a=100, b=20)
        at_weak = next(c for c in self.RATES if world.homes.home_of(c) == "b")
        world.servers.rates = self.RATES | {at_weak: 100.0}
        world.now += 1.0
        assert world.homes.home_of(at_weak) is None

    def test_without_homes_no_customer_has_left(self, world):
        """Guards against a former home that limits itself for ever."""
        self.refresh(world, b=100)
        world.servers.min_connections = 400
        assert world.homes.connection_limit("orders") == 1
        assert not any(world.servers.handover.has_left(c) for c in self.RATES)


class TestHedgedBatches:
    """Guards against hedged reads for which a home has no room."""

    BATCH = RunBatch(
        server="s1", group="g", customer="c", values=None, shapes={}, commands=(),
        timeout_s=0.5, wait_s=0.0, due_s=0.1, ticket="r1", is_hedge=True,
    )  # fmt: skip

    def homes(self, *, may_hedge=True, busy=0):
        servers = Servers(None, lambda: 0.0)
        endpoint = Endpoint("s1", "g", ("h", 1), "a", 2, False, False)
        servers.group("g").update_endpoint(endpoint, Revision(0, 1))
        servers.group("g").servers["s1"].busy = busy
        self.charged = []
        return Homes(
            "a",
            servers,
            instances=dict,
            admit=lambda customer, request_id: self.charged.append(customer) or 9.0,
            links=None,
            heard_at=lambda name: 0.0,
            may_hedge=lambda customer: may_hedge,
        )

    @pytest.mark.parametrize("options", [{"may_hedge": False}, {"busy": 2}])
    async def test_are_rejected_without_a_charge(self, options):
        answer = await self.homes(**options).batches.answer(self.BATCH)
        assert isinstance(answer, BatchNotSent)
        assert not self.charged

    async def test_are_charged_to_the_customer(self):
        answer = await self.homes().batches.answer(self.BATCH)
        assert isinstance(answer, BatchOverRate)
        assert self.charged == ["c"]


class SilentLinks:
    def __init__(self):
        self.resets = 0

    async def call(self, peer, message, *, timeout_s):
        return Failure(Fault(Code.TIMEOUT, "did not answer", Step.FORWARD))

    def reset(self, peer):
        self.resets += 1


class TestUnansweredCalls:
    BATCH = RunBatch("s1", "g", "c", None, {}, (), 1.0, 0.5, 0.5)
    DROP = DropPinned(handle=1)

    @pytest.mark.parametrize(
        ("messages", "resets"),
        [([BATCH, BATCH], 1), ([BATCH, DROP, DROP], 0), ([DROP, BATCH, BATCH], 1)],
    )
    async def test_reset_the_link_only_if_statements_are_unanswered(
        self, messages, resets
    ):
        """Guards against statements that are lost because a drop is repeated."""
        links = SilentLinks()
        homes = Homes(
            "a",
            Servers(None, lambda: 0.0),
            instances=dict,
            admit=lambda customer, request_id: 0.0,
            links=links,
            heard_at=lambda name: 0.0,
        )
        for message in messages:
            await homes.call("h", message, timeout_s=1.0)
        assert links.resets == resets
