"""How an instance gets a large configuration from its peers."""

import asyncio

from returns.result import Failure, Success

from mangoramp.control.cluster_state import ClusterState
from mangoramp.control.deployment import Deployment
from mangoramp.control.evacuations import Evacuations
from mangoramp.control.news import News, NewsFetcher
from mangoramp.errors import Code, Fault, Step
from mangoramp.serving.servers import Servers

from .virtual_time import run

CONFIGURATION_BOUND_S = 5.0
CHECK_INTERVAL_S = 0.25


class SlowLink:
    """A link over which an answer takes longer than a small one may.

    An answer that nobody waits for any more still uses the link until it has arrived.
    """

    ANSWER_S = 0.8

    def __init__(self):
        self.free_at = 0.0

    async def fetch(self, peer, message, timeout_s):
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + self.ANSWER_S
        wait_s = self.free_at - now
        await asyncio.sleep(min(wait_s, timeout_s))
        if wait_s > timeout_s:
            return Failure(Fault(Code.TIMEOUT, "did not answer", Step.FORWARD))
        deployment = Deployment(2, {}, {}, {}, {}, 3.0)
        return Success(News(7, 7, deployment, (), frozenset(), True))


class Peers:
    is_watcher = False
    peers = {}
    now = 0.0

    def has_newer(self, known):
        return known.version < 2

    def choose_newer_peer(self, known, excluded):
        return next((n for n in "xyz" if n not in excluded), None)


class TestLargeConfiguration:
    def test_arrives_in_time_over_a_slow_link(self):
        """Guards against repeated requests whose late answers keep a link full."""

        async def play():
            loop, link = asyncio.get_running_loop(), SlowLink()
            servers = Servers(None, loop.time)
            state = ClusterState(servers)
            evacuations = Evacuations(servers, lambda: 5.0, is_enabled=False)
            fetcher = NewsFetcher(state, Peers(), lambda: None, link.fetch, evacuations)
            while state.version < 2 and loop.time() < 60.0:
                fetcher.check_peers()
                await asyncio.sleep(CHECK_INTERVAL_S)
            return loop.time()

        assert run(play()) <= CONFIGURATION_BOUND_S
