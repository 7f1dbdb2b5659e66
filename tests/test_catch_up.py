"""How an instance gets a change that some sources do not answer for."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from returns.result import Failure, Success

from mangoramp.control.cluster_state import ClusterState, VersionedEndpoint
from mangoramp.control.deployment import Deployment
from mangoramp.control.endpoint import Endpoint
from mangoramp.control.evacuations import Evacuations
from mangoramp.control.news import AskNews, News, NewsMessage
from mangoramp.control.news_fetcher import FETCH_TIMEOUT_S, NewsFetcher
from mangoramp.control.reports import Report
from mangoramp.decoding import msgpack_decoder
from mangoramp.errors import Code, Fault, Step
from mangoramp.policy.catch_up import MAX_ATTEMPTS, CatchUp
from mangoramp.policy.revision import Revision
from mangoramp.proxies.envelope import Codec
from mangoramp.proxies.link import LinkServer
from mangoramp.proxies.links import Links
from mangoramp.serving.servers import Servers
from mangoramp.standins._ports import HOST, free_ports

from .relay import Relay
from .virtual_time import run

BOUND_S = 3.0  # from a change until it is in force
CODEC = Codec(msgspec.msgpack.Encoder().encode, msgpack_decoder(NewsMessage))


def news(version=2, **changes):
    deployment = Deployment(version, {}, {}, {}, {}, 3.0)
    return msgspec.structs.replace(
        News(7, 7, deployment, (), frozenset(), True), **changes
    )


class Fleet:
    """Peers of one instance, of which some do not answer.

    Attributes:
        newer: The peers that report the change.
        others: Further peers that have it.
        silent: The peers that leave requests on their present connection unanswered.
        asked: The time and the peer of each request.
    """

    is_watcher = False

    def __init__(self, newer, others=(), silent=(), can_renew=True):
        self.newer, self.others = list(newer), list(others)
        self.silent = set(silent)
        report = Report("hub", 1, 1, version=2)
        self.peers = {name: SimpleNamespace(report=report) for name in newer}
        self.asked = []
        self.renewed = set()
        self.store_asked = []
        servers = Servers(None, lambda: 0.0)
        self.state = ClusterState(servers)
        self.fetcher = NewsFetcher(
            self.state,
            self,
            lambda topics: self.store_asked.append((self.now, topics)),
            self.fetch,
            Evacuations(servers, lambda: 5.0, is_enabled=False),
            self.renewed.add if can_renew else lambda peer: None,
        )

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def has_newer(self, known):
        return bool(self.newer_peers(known))

    def newer_peers(self, known):
        return self.newer if known.version < 2 else []

    def other_sources(self):
        return self.others

    async def fetch(self, peer, message, timeout_s):
        self.asked.append((self.now, peer))
        if peer in self.silent and peer not in self.renewed:
            await asyncio.sleep(timeout_s)
            return Failure(Fault(Code.TIMEOUT, "did not answer", Step.FORWARD))
        return Success(news())

    async def play(self, seconds=60.0):
        """Return the time at which the change was in force."""
        self.fetcher.check_peers()
        while self.state.version < 2 and self.now < seconds:
            await asyncio.sleep(0.01)
        return self.now


class TestSilentConnection:
    """Guards against incident 47: all requests wait on one silent connection."""

    def play(self, *args, **options):
        async def play():
            fleet = Fleet(*args, **options)
            return await fleet.play(), fleet

        return run(play())

    def test_to_the_only_peer_that_reports_the_change_is_replaced(self):
        in_force_at, fleet = self.play(["hub"], silent=["hub"])
        assert in_force_at <= BOUND_S / 3
        assert [peer for _, peer in fleet.asked] == ["hub", "hub"]

    def test_lets_the_other_hubs_be_asked(self):
        in_force_at, fleet = self.play(["hub"], ["second", "third"], silent=["hub"])
        assert in_force_at <= BOUND_S / 3
        assert [peer for _, peer in fleet.asked] == ["hub", "second"]

    def test_to_several_hubs_does_not_use_up_the_bound(self):
        silent = ["hub", "second"]
        in_force_at, _ = self.play(["hub"], ["second", "third"], silent=silent)
        assert in_force_at <= BOUND_S

    def test_lets_the_store_be_asked(self):
        _, fleet = self.play(["hub"], ["a", "b", "c"], silent=["hub", "a", "b", "c"])
        asked_at, topics = fleet.store_asked[0]
        assert asked_at <= BOUND_S / 2
        assert topics == {"configuration"}


class TestAttempts:
    def test_are_few_while_nobody_answers(self):
        async def play():
            names = ["hub", "a", "b", "c"]
            fleet = Fleet(names[:1], names[1:], silent=names, can_renew=False)
            await fleet.play(60.0)
            return fleet

        fleet = run(play())
        times = [at for at, _ in fleet.asked]
        most = max(sum(t <= s < t + FETCH_TIMEOUT_S for s in times) for t in times)
        assert most <= MAX_ATTEMPTS + 1
        assert len(fleet.store_asked) <= 20

    def test_each_source_is_asked_before_one_is_asked_again(self):
        catch_up = CatchUp(0.0, is_watcher=False)
        chosen = []
        for now in range(4):
            peer = catch_up.choose(["a"], ["b", "c"])
            chosen.append(peer)
            catch_up.record_attempt(peer, float(now))
        assert chosen == ["a", "b", "c", "a"]

    def test_of_many_instances_reach_the_store_at_different_times(self):
        """Guards against a call of each instance of a large fleet at once."""
        first, last = (CatchUp(0.0, is_watcher=False, jitter=j) for j in (0.0, 1.0))
        assert first.must_ask_store(1.0)
        assert not last.must_ask_store(1.4)
        assert last.must_ask_store(1.5)

    def test_a_watcher_waits_for_the_store_first(self):
        catch_up = CatchUp(0.0, is_watcher=True)
        assert not catch_up.must_ask_peer(0.4, in_progress=0)
        assert catch_up.must_ask_store(0.5)
        assert catch_up.must_ask_peer(1.0, in_progress=0)


class TestLateAnswer:
    """Guards against the answer of a peer that was behind when it sent it."""

    def fetcher(self):
        servers = Servers(None, lambda: 0.0)
        state = ClusterState(servers)
        evacuations = Evacuations(servers, lambda: 0.0, is_enabled=False)
        return NewsFetcher(state, None, None, None, evacuations), state

    def entry(self, revision):
        endpoint = Endpoint("s1", "g", (HOST, 1), "z", 2, False, False)
        return VersionedEndpoint(endpoint, revision)

    def test_does_not_bring_back_a_server_that_left(self):
        fetcher, state = self.fetcher()
        listed = {"endpoints": (self.entry(5),), "server_ids": frozenset({"s1"})}
        fetcher._apply(news(**listed))
        state.remove_endpoint("s1", Revision(0, 9))
        fetcher._apply(news(**listed))
        assert not state.server_ids

    def test_with_an_unreadable_configuration_still_names_the_servers(self):
        fetcher, state = self.fetcher()
        unreadable = news(
            deployment=None,
            packed_deployment=b"?",
            endpoints=(self.entry(5),),
            server_ids=frozenset({"s1"}),
        )
        fetcher._apply(unreadable)
        assert state.server_ids == {"s1"}
        assert state.deployment is None


class TestRenewedLink:
    async def test_reaches_a_peer_whose_former_connection_is_silent(self):
        port = free_ports(1)[0]

        async def answer(message):
            return news()

        server = LinkServer(f"tcp://{HOST}:{port}", answer, CODEC)
        serving = asyncio.ensure_future(server.run())
        relay = Relay(lambda: port)
        await relay.start()
        links = Links(lambda peer: f"tcp://{HOST}:{relay.port}", CODEC)
        ask = AskNews(0, 0)
        try:
            assert isinstance(await links.call("p", ask, timeout_s=2.0), Success)
            relay.silence_connections()
            waiting = asyncio.ensure_future(links.call("p", ask, timeout_s=1.0))
            await asyncio.sleep(0.1)
            links.renew("p")
            assert isinstance(await links.call("p", ask, timeout_s=2.0), Success)
            assert not waiting.done()
            assert isinstance(await waiting, Failure)
            assert not links._replaced
        finally:
            links.close()
            relay.close()
            server.close()
            await asyncio.wait({serving}, timeout=1)


class SlowLink(Fleet):
    """All answers come over one link, which those in progress share.

    Attributes:
        answer_s: Seconds that an answer takes if it has the link to itself.
    """

    def __init__(self, answer_s, *args):
        super().__init__(*args)
        self.answer_s = answer_s
        self.in_progress = 0

    async def fetch(self, peer, message, timeout_s):
        self.asked.append((self.now, peer))
        ends_at, left_s = self.now + timeout_s, self.answer_s
        self.in_progress += 1
        try:
            while left_s > 0:
                if self.now >= ends_at:
                    return Failure(Fault(Code.TIMEOUT, "did not answer", Step.FORWARD))
                await asyncio.sleep(0.01)
                left_s -= 0.01 / self.in_progress
        finally:
            self.in_progress -= 1
        return Success(news())


class TestSlowLink:
    """Guards against attempts side by side of which none is completed in time."""

    @pytest.mark.parametrize("answer_s", [1.0, 2.0, 2.5, 3.0, 3.5])
    def test_completes_an_answer_that_alone_is_within_the_limit(self, answer_s):
        async def play():
            fleet = SlowLink(answer_s, ["hub"], ["second", "third"])
            return await fleet.play(60.0)

        assert answer_s < FETCH_TIMEOUT_S
        # The former limits one after the other add up to 7.5 s (0.5, 1, 2, 4 s).
        assert run(play()) <= 3 * FETCH_TIMEOUT_S
