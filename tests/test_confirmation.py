import math

import pytest

from mangoramp.confirmation import Confirmation
from mangoramp.errors import FaultError
from mangoramp.policy.position import Lineage, Origin
from mangoramp.policy.quorum import ServerStatus
from mangoramp.policy.view import Configuration, GroupView, Member

MEMBERS = tuple(Member(name, "d1", 2) for name in ("s0", "s1", "s2"))
HELD = 5


def status(name, term, log_term, held, *, primary=False):
    return ServerStatus(name, "i", term, log_term, held, held, primary, 0.0)


class FakeGroup:
    """A group whose news are given by the test."""

    def __init__(self, *news):
        first = Configuration(1, "s0", MEMBERS, Lineage((Origin(1, 0, 0),)))
        self.view = GroupView(first)
        self.view.take(WRITTEN)
        self.news = list(news)

    async def changed(self, deadline):
        if not self.news:
            return False
        self.news.pop(0)(self.view)
        return True


def promoted(offset):
    """s1 opens term 2 with what it held of term 1, and s2 follows it."""

    def take(view):
        origins = (Origin(1, 0, 0), Origin(2, 1, offset))
        view.configure(Configuration(2, "s1", MEMBERS, Lineage(origins)))
        view.take(status("s1", 2, 2, offset + 1, primary=True))
        view.take(status("s2", 2, 2, offset + 1))

    return take


WRITTEN = status("s0", 1, 1, HELD, primary=True)


class TestWait:
    async def wait(self, *news):
        group = FakeGroup(*news)
        await Confirmation(group).wait(WRITTEN, WRITTEN, math.inf)

    async def test_a_majority_in_the_term_is_enough(self):
        await self.wait(lambda view: view.take(status("s2", 1, 1, HELD)))

    async def test_a_later_term_that_holds_it_is_enough(self):
        await self.wait(promoted(HELD))

    @pytest.mark.parametrize(
        "news",
        [
            (),
            (promoted(HELD - 1),),
            (lambda view: view.take(status("s2", 1, 1, HELD - 1)),),
            (lambda view: view.take(status("s2", 2, 1, HELD)),),
        ],
    )
    async def test_anything_less_is_not(self, news):
        with pytest.raises(FaultError) as caught:
            await self.wait(*news)
        assert caught.value.fault.outcome == "unknown"
