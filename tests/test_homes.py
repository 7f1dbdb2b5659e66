from types import SimpleNamespace

import pytest

from mangoramp import homes
from mangoramp.errors import Code, Outcome
from mangoramp.homes import MOVE_LONGEST_S, Homes

from .servers import write


class TestMovingHome:
    @pytest.fixture
    def waits(self, monkeypatch):
        found = []

        async def sleep(wait_s):
            found.append(wait_s)

        monkeypatch.setattr(homes.asyncio, "sleep", sleep)
        return found

    async def test_is_waited_for_but_not_for_ever(self, waits):
        now = [0.0]
        nobody = SimpleNamespace(holds=lambda group, at: False, live_in=lambda d: ())
        cfg = SimpleNamespace(name="p0", failure_domain="d0")
        asked = Homes(cfg, None, None, nobody, clock=lambda: now[0])
        refused = await asked.send(write("INSERT"))
        assert refused.fault.code is Code.NO_HOME
        assert refused.fault.outcome is Outcome.NOT_RUN
        assert len(waits) == len(homes.MOVE_WAITS_S)
        now[0] += MOVE_LONGEST_S
        waits.clear()
        assert await asked.send(write("INSERT")) == refused
        assert waits == []
