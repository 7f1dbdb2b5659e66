"""How an instance gets a large configuration from its peers."""

import asyncio

import msgspec
import pytest
from returns.result import Failure, Success

from mangoramp.control.cluster_state import ClusterState
from mangoramp.control.deployment import Deployment, ReadRule, Route
from mangoramp.control.evacuations import Evacuations
from mangoramp.control.news import AskNews, News, unpack_deployment
from mangoramp.control.news_fetcher import NewsFetcher
from mangoramp.errors import Code, Fault, Step
from mangoramp.policy.revision import Revision
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

    def newer_peers(self, known):
        return ["x", "y", "z"] if self.has_newer(known) else []

    def other_sources(self):
        return []


class TestLargeConfiguration:
    def test_arrives_in_time_over_a_slow_link(self):
        """Guards against repeated requests whose late answers keep a link full."""

        async def play():
            loop, link = asyncio.get_running_loop(), SlowLink()
            servers = Servers(None, loop.time)
            state = ClusterState(servers)
            evacuations = Evacuations(servers, lambda: 5.0, is_enabled=False)
            fetcher = NewsFetcher(
                state, Peers(), lambda topics: None, link.fetch, evacuations
            )
            while state.version < 2 and loop.time() < 60.0:
                fetcher.check_peers()
                await asyncio.sleep(CHECK_INTERVAL_S)
            return loop.time()

        assert run(play()) <= CONFIGURATION_BOUND_S


class TestPackedConfiguration:
    """Guards against a large configuration that fills the links of the hubs."""

    def deployment(self):
        routes = {
            f"database-{n}": Route(
                f"database-{n}", f"g{n % 4}", ReadRule.BOUNDED_AGE, 1.5, 0.8, 0.1, n % 3
            )
            for n in range(1100)
        }
        return Deployment(2, routes, {}, {}, {}, 3.0)

    def answer(self, **changes):
        servers = Servers(None, lambda: 0.0)
        state = ClusterState(servers)
        state.apply_deployment(self.deployment(), Revision(0, 7))
        fetcher = NewsFetcher(
            state,
            Peers(),
            lambda topics: None,
            None,
            Evacuations(servers, lambda: 5.0, is_enabled=False),
        )
        return fetcher.answer(AskNews(0, 0, **changes))

    def test_is_small_and_whole(self):
        packed = self.answer(reads_packed=True)
        plain = self.answer()
        size, plain_size = (len(msgspec.msgpack.encode(m)) for m in (packed, plain))
        assert size < plain_size / 5
        assert unpack_deployment(packed.packed_deployment) == plain.deployment

    def test_a_former_build_gets_it_as_before(self):
        assert self.answer().packed_deployment is None
        assert self.answer().deployment == self.deployment()

    def test_what_cannot_be_read_is_an_error_that_names_it(self):
        with pytest.raises(ValueError, match="cannot be read"):
            unpack_deployment(b"no deployment")
