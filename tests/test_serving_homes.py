from types import SimpleNamespace

import pytest

from mangoramp.policy.homes import Candidate
from mangoramp.serving.homes import MIN_SUSPECT_S, Homes


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
            rate_of=lambda customer: None,
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
