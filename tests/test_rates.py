import asyncio
import time

import pytest

from mangoramp.admission import Admission
from mangoramp.errors import Code, FaultError, Outcome
from mangoramp.objects import Row
from mangoramp.policy.loans import Ask
from mangoramp.rates import Limits, RateLimiter, Site
from mangoramp.standins.fleet import Fleet, FleetOptions

from .caller import Caller

RATE, BURST = 60.0, 30.0
SECONDS = 2.0
WORKERS = 8
SEARCH = "SELECT 1"


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def limiter_factory(clock, peers, holds=lambda now: True):
    """Return a factory of rate limiters that borrow from peers in this process."""

    async def ask(customer, ask):
        peer = peers.get(ask.lender)
        return peer.lend(customer, LIMITS, ask) if peer is not None else None

    return lambda domain: RateLimiter(
        "register",
        Site(domain, f"{domain}/1", 3, lambda: sorted({*peers} - {domain}), ask),
        holds=holds,
        clock=clock,
    )


LIMITS = Limits(30.0, 30.0, 1.0)


class TestRates:
    async def test_borrows_missing_tokens(self):
        clock, peers = Clock(), {}
        make = limiter_factory(clock, peers)
        peers.update({domain: make(domain) for domain in ("d1", "d2", "d3")})
        clock.now = 10.0
        acquisitions = [peers["d1"].acquire("tala", LIMITS) for _ in range(30)]
        await asyncio.gather(*acquisitions)
        with pytest.raises(FaultError) as caught:
            await asyncio.wait_for(peers["d1"].acquire("tala", LIMITS), 1.0)
        assert caught.value.fault.code is Code.OVER_RATE
        assert caught.value.fault.outcome is Outcome.NOT_RUN
        assert 0 < caught.value.fault.retry_after_s < 0.2

    async def test_admits_and_lends_nothing_past_its_lease(self):
        clock = Clock()
        home = limiter_factory(clock, {}, holds=lambda now: now < 10.0)("d1")
        home.register_customer("tala", LIMITS)
        clock.now = 9.9
        await home.acquire("tala", LIMITS)
        ask = Ask("d1", "d2/1", 1, 1.0, 1.0)
        assert home.lend("tala", LIMITS, ask).tokens == 0
        clock.now = 10.1
        with pytest.raises(FaultError) as caught:
            await home.acquire("tala", LIMITS)
        assert caught.value.fault.code is Code.NO_HOME

    async def test_close_refuses_waiting_requests_with_no_home(self):
        clock = Clock()
        home = limiter_factory(clock, {})("d1")
        clock.now = 0.05
        waiting = asyncio.ensure_future(home.acquire("tala", LIMITS))
        await asyncio.sleep(0)
        home.close()
        with pytest.raises(FaultError) as caught:
            await waiting
        assert caught.value.fault.code is Code.NO_HOME

    async def test_a_cancelled_request_uses_no_token(self):
        clock = Clock()
        home = limiter_factory(clock, {})("d1")
        clock.now = 0.05
        leaver = asyncio.ensure_future(home.acquire("tala", LIMITS))
        await asyncio.sleep(0)
        leaver.cancel()
        await asyncio.gather(leaver, return_exceptions=True)
        clock.now = 0.101
        await asyncio.wait_for(home.acquire("tala", LIMITS), 0.01)


class TestAdmission:
    async def test_refuses_without_a_row(self):
        admission = Admission("register", lambda customer: None)
        with pytest.raises(FaultError) as caught:
            async with admission.charge("nobody"):
                pass
        assert caught.value.fault.code is Code.FORBIDDEN


class TestFleet:
    async def test_gives_one_domain_the_rate_of_all_and_no_more(self):
        row = Row("tala", "register", 1.0, RATE, BURST, 1.0)
        fleet = Fleet(FleetOptions(rows=(row,)))
        await fleet.start()
        try:
            await self.wait_for_homes(fleet)
            statuses, took_s = await self.flood(fleet)
        finally:
            await fleet.stop()
        done = statuses.count(200)
        assert set(statuses) <= {200, 429}
        assert done > 0.7 * RATE * took_s
        assert done <= RATE * took_s + BURST

    async def wait_for_homes(self, fleet):
        """Wait for new homes, which use no own tokens until old loans have ended."""
        caller = Caller(fleet.keys["tala"])
        for proxy in fleet.proxies:
            while (await caller.post(fleet.url(proxy), SEARCH)).status != 200:
                await asyncio.sleep(0.02)

    async def flood(self, fleet):
        url, key = fleet.url("d1-p0"), fleet.keys["tala"]
        began = time.monotonic()
        statuses = []

        async def work():
            caller = Caller(key)
            while time.monotonic() < began + SECONDS:
                statuses.append((await caller.post(url, SEARCH)).status)

        await asyncio.gather(*(work() for _ in range(WORKERS)))
        return statuses, time.monotonic() - began
