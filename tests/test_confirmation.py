import math

import pytest

from mangoramp.confirmation import Confirmation
from mangoramp.errors import FaultError
from mangoramp.policy.position import Lineage, Origin
from mangoramp.policy.quorum import ServerStatus
from mangoramp.policy.view import Configuration, GroupServer, GroupView

MEMBERS = tuple(GroupServer(name, "d1", 2) for name in ("s0", "s1", "s2"))
HELD = 5


def status(name, term, log_term, held, *, primary=False):
    return ServerStatus(name, "i", term, log_term, held, held, primary, 0.0)


class FakeGroup:
    """A group whose view changes as the test specifies."""

    def __init__(self, *changes):
        first = Configuration(1, "s0", MEMBERS, Lineage((Origin(1, 0, 0),)))
        self.view = GroupView(first)
        self.view.record_status(WRITTEN)
        self.changes = list(changes)

    async def wait_for_change(self, deadline):
        if not self.changes:
            return False
        self.changes.pop(0)(self.view)
        return True


def promoted(offset):
    """s1 starts term 2 at an offset of term 1, and s2 follows s1."""

    def apply(view):
        origins = (Origin(1, 0, 0), Origin(2, 1, offset))
        view.configure(Configuration(2, "s1", MEMBERS, Lineage(origins)))
        view.record_status(status("s1", 2, 2, offset + 1, primary=True))
        view.record_status(status("s2", 2, 2, offset + 1))

    return apply


WRITTEN = status("s0", 1, 1, HELD, primary=True)


class TestWait:
    async def wait(self, *changes):
        group = FakeGroup(*changes)
        await Confirmation(group).wait_for_majority(WRITTEN, WRITTEN, math.inf)

    async def test_a_majority_in_the_term_is_enough(self):
        await self.wait(lambda view: view.record_status(status("s2", 1, 1, HELD)))

    async def test_a_later_term_that_holds_it_is_enough(self):
        await self.wait(promoted(HELD))

    @pytest.mark.parametrize(
        "changes",
        [
            (),
            (promoted(HELD - 1),),
            (lambda view: view.record_status(status("s2", 1, 1, HELD - 1)),),
            (lambda view: view.record_status(status("s2", 2, 1, HELD)),),
        ],
    )
    async def test_other_changes_are_not_enough(self, changes):
        with pytest.raises(FaultError) as caught:
            await self.wait(*changes)
        assert caught.value.fault.outcome == "unknown"
