from types import SimpleNamespace

import pytest

from mangoramp.control.endpoint import Endpoint
from mangoramp.policy.homes import Candidate
from mangoramp.policy.revision import Revision
from mangoramp.serving.batches import BatchNotSent, BatchOverRate, RunBatch
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
        answer = await self.homes(**options).answer(self.BATCH)
        assert isinstance(answer, BatchNotSent)
        assert not self.charged

    async def test_are_charged_to_the_customer(self):
        answer = await self.homes().answer(self.BATCH)
        assert isinstance(answer, BatchOverRate)
        assert self.charged == ["c"]
