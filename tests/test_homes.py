from types import SimpleNamespace

import pytest

from mangoramp import homes
from mangoramp.errors import Code, Outcome
from mangoramp.homes import MAX_MOVE_S, Homes

from .servers import write


class TestMovingHome:
    @pytest.fixture
    def delays(self, monkeypatch):
        slept = []

        async def sleep(wait_s):
            slept.append(wait_s)

        monkeypatch.setattr(homes.asyncio, "sleep", sleep)
        return slept

    async def test_requests_are_retried_for_a_limited_time(self, delays):
        now = [0.0]
        no_members = SimpleNamespace(
            holds=lambda group, at: False, live_instances=lambda d: ()
        )
        cfg = SimpleNamespace(name="p0", failure_domain="d0")
        routing_homes = Homes(cfg, None, None, no_members, clock=lambda: now[0])
        refused = await routing_homes.send(write("INSERT"))
        assert refused.fault.code is Code.NO_HOME
        assert refused.fault.outcome is Outcome.NOT_RUN
        assert len(delays) == len(homes.MOVE_RETRY_DELAYS_S)
        now[0] += MAX_MOVE_S
        delays.clear()
        assert await routing_homes.send(write("INSERT")) == refused
        assert delays == []
