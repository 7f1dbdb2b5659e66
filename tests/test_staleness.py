"""When an instance asks the store whether it knows all changes."""

import asyncio
import random

import msgspec
import pytest
from returns.result import Failure, Success

from mangoramp.control.cluster_state import ClusterState
from mangoramp.control.confirmations import Confirmations, Topic
from mangoramp.control.evacuations import Evacuations
from mangoramp.control.reports import Confirmed, KnownState, Proof, Report
from mangoramp.control.settings import Bounds
from mangoramp.control.staleness_checks import StalenessChecks
from mangoramp.decoding import MAX_INTEGER
from mangoramp.errors import Code, Fault, Step
from mangoramp.platform.client import Changes, Versioned
from mangoramp.platform.configuration import CONFIGURATION_KIND, CONFIGURATION_NAME
from mangoramp.platform.feed import EVACUATION_KIND, Feed
from mangoramp.platform.registry import REGISTRY_KIND, decode_endpoint
from mangoramp.platform.watch import Watch
from mangoramp.policy.revision import Revision
from mangoramp.policy.staleness import FIRST_RETRY_S, StalenessLimit
from mangoramp.serving.servers import Servers

from .virtual_time import run
from .wire_world import configuration

BOUND_S = 3.0
KNOWN = KnownState(7, Revision(1, 40), evacuations=None)


class TestConfirmations:
    def apply(self, report, known=KNOWN):
        confirmations = Confirmations(lambda: 10.0)
        confirmations.apply_report(report, known)
        return {topic: confirmations.age_s(topic) for topic in Topic}

    def report(self, **changes):
        fields = {"version": 7, "era": 1, "registry_revision": 40}
        confirmed = Confirmed(Proof(200, 44, 1), Proof(400, 43, 1), None)
        return Report("p", 1, 1, confirmed=confirmed, **fields | changes)

    def test_come_from_a_peer_that_knows_no_more(self):
        ages = self.apply(self.report())
        assert ages[Topic.CONFIGURATION] == pytest.approx(0.2)
        assert ages[Topic.REGISTRY] == pytest.approx(0.4)
        assert ages[Topic.EVACUATIONS] == float("inf")

    def test_of_what_a_peer_knows_more_of_prove_nothing(self):
        ages = self.apply(self.report(version=8))
        assert ages[Topic.CONFIGURATION] == float("inf")
        assert ages[Topic.REGISTRY] == pytest.approx(0.4)

    def test_of_a_former_build_prove_nothing(self):
        ages = self.apply(Report("p", 1, 1, version=7))
        assert set(ages.values()) == {float("inf")}

    def test_go_to_other_hubs_only_new_and_at_first_hand(self):
        """Guards against bytes between failure domains for what all hubs know."""
        new, old, passed_on = Proof(100, 44), Proof(900, 44), Proof(100, 44, hops=1)
        report = Report("p", 1, 1, confirmed=Confirmed(new, old, passed_on))
        assert report.with_own_proofs().confirmed == Confirmed(new)
        report = Report("p", 1, 1, confirmed=Confirmed(old, passed_on))
        assert report.with_own_proofs().confirmed is None

    def test_are_passed_on_with_their_age(self):
        now = 10.0
        confirmations = Confirmations(lambda: now)
        confirmations.confirm(Topic.CONFIGURATION, 9.0, Revision(1, 44))
        confirmations.confirm(Topic.CONFIGURATION, 8.0, Revision(1, 43))
        assert confirmations.to_report() == Confirmed(Proof(1000, 44, 1))


class TestReportsThatWaited:
    """Guards against a pause, after which reports are read long after their arrival."""

    def test_prove_nothing(self):
        now = [10.0]
        confirmations = Confirmations(lambda: now[0])
        confirmed = Confirmed(Proof(100, 44, 1))
        report = Report("p", 1, 1, version=7, confirmed=confirmed)

        def hear(at):
            now[0] = at
            confirmations.apply_report(report, KNOWN)
            return confirmations.age_s(Topic.CONFIGURATION)

        assert hear(10.1) == pytest.approx(0.1)
        assert hear(10.4) == pytest.approx(0.1)
        # It was paused until now; what waited is read within a moment.
        assert hear(16.4) == pytest.approx(6.1)
        assert hear(16.5) == pytest.approx(6.2)
        for number in range(1, 5):
            age_s = hear(16.5 + 0.3 * number)
        assert age_s == pytest.approx(0.1)


class Store:
    """Answers polls; counts them."""

    def __init__(self):
        self.polls = []
        self.is_down = False

    async def fetch_changes(self, kind, type_, *, since, wait_s, era):
        self.polls.append((asyncio.get_running_loop().time(), wait_s))
        if self.is_down:
            return Failure(Fault(Code.NO_SERVER, "status 503", Step.PLATFORM))
        await asyncio.sleep(wait_s)
        return Success(Changes(7, ()))


class TestWatch:
    """What an answered poll proves."""

    def play(self, seconds, poll_at=()):
        async def play():
            loop, store, proofs = asyncio.get_running_loop(), Store(), []
            watch = Watch(
                store,
                "kind",
                dict,
                since=lambda: 7,
                on_changes=lambda changes, since, asked_at: None,
                clock=loop.time,
                wait_s=lambda: 4.0,
                on_current=lambda as_of, known_to: proofs.append((loop.time(), as_of)),
            )
            for at in poll_at:
                loop.call_at(at, watch.poll_now)
            task = asyncio.ensure_future(watch.run())
            await asyncio.sleep(seconds)
            task.cancel()
            return proofs, store.polls

        return run(play())

    def test_without_changes_holds_until_its_end(self):
        proofs, _ = self.play(8.5)
        assert proofs == [(4.0, 4.0), (8.0, 8.0)]

    def test_at_once_asks_without_waiting(self):
        proofs, polls = self.play(2.0, poll_at=[1.0])
        assert proofs == [(1.0, 1.0)]
        assert polls == [(0.0, 4.0), (1.0, 0.0)]


class TestLongList:
    def test_proves_what_there_was_when_it_was_asked_for(self):
        """Guards against a slow list that counts as a watch that ended unchanged."""

        class Client:
            """Has no history, so that a watch becomes a list; holds nothing."""

            async def fetch_changes(self, kind, type_, *, since, wait_s, era):
                await asyncio.sleep(2.5)
                return Success(Changes(7, (), is_complete=True))

        async def play():
            loop, proofs = asyncio.get_running_loop(), []
            watch = Watch(
                Client(),
                "kind",
                dict,
                since=lambda: 7,
                on_changes=lambda changes, since, asked_at: None,
                clock=loop.time,
                wait_s=lambda: 2.0,
                on_current=lambda as_of, known_to: proofs.append((loop.time(), as_of)),
            )
            task = asyncio.ensure_future(watch.run())
            await asyncio.sleep(3.0)
            task.cancel()
            return proofs

        assert run(play()) == [(2.5, 0.0)]


class Poller:
    topics = (Topic.CONFIGURATION,)

    def __init__(self, confirmations):
        self.polls = []
        self.answers = True
        self._confirmations = confirmations

    def poll_topic_now(self, topic):
        now = asyncio.get_running_loop().time()
        self.polls.append(now)
        if self.answers:
            self._confirmations.confirm(topic, now, Revision(1, 44))


class TestStalenessChecks:
    def play(self, seconds, *, is_watcher, answers=True, confirmed_each_s=None):
        async def play():
            loop = asyncio.get_running_loop()
            confirmations = Confirmations(loop.time)
            poller = Poller(confirmations)
            poller.answers = answers
            checks = StalenessChecks(
                confirmations,
                poller,
                lambda: Bounds(configuration_s=BOUND_S),
                is_watcher=lambda: is_watcher,
                rng=random.Random(1),
                clock=loop.time,
                peers_first_s=0.0,
            )
            task = asyncio.ensure_future(checks.run())
            for _ in range(int(seconds / (confirmed_each_s or seconds))):
                await asyncio.sleep(confirmed_each_s or seconds)
                if confirmed_each_s:
                    proof = (loop.time(), Revision(1, 44))
                    confirmations.confirm(Topic.CONFIGURATION, *proof)
            task.cancel()
            return poller.polls

        return run(play())

    @pytest.mark.parametrize("is_watcher", [True, False])
    def test_a_change_that_nobody_reports_is_found_within_the_bound(self, is_watcher):
        """Guards against a failure domain in which nobody hears of a change."""
        polls = self.play(30.0, is_watcher=is_watcher)
        times = [0.0, *polls]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert polls
        assert max(gaps) <= BOUND_S - FIRST_RETRY_S

    def test_a_follower_that_hears_of_proofs_does_not_ask(self):
        assert not self.play(30.0, is_watcher=False, confirmed_each_s=1.0)

    def test_a_store_that_does_not_answer_is_asked_ever_less(self):
        polls = self.play(60.0, is_watcher=False, answers=False)
        assert polls[1] - polls[0] <= 0.6
        assert len(polls) <= 20

    def test_watchers_ask_before_the_others(self):
        slowest = StalenessLimit(1.0).limit_s(BOUND_S, is_watcher=True)
        fastest = StalenessLimit(0.0).limit_s(BOUND_S, is_watcher=False)
        report_s = 0.3
        assert slowest + report_s / 2 <= fastest


class TestPassedOnProofs:
    """Guards against proofs that stay young because instances pass them around."""

    INTERVAL_S = 0.3
    SECONDS = 6.0

    def play(self, instances, latency_s):
        """Return the youngest proof some seconds after the store's last answer."""

        async def play():
            loop = asyncio.get_running_loop()
            found = [Confirmations(loop.time) for _ in range(instances)]
            for confirmations in found:
                confirmations.confirm(Topic.CONFIGURATION, 0.0, Revision(1, 44))

            def deliver(sender, report):
                for receiver in found:
                    if receiver is not sender:
                        receiver.apply_report(report, KNOWN)

            def send(confirmations):
                confirmed = confirmations.to_report()
                report = Report("p", 1, 1, version=7, confirmed=confirmed)
                loop.call_later(latency_s, deliver, confirmations, report)
                loop.call_later(self.INTERVAL_S, send, confirmations)

            for number, confirmations in enumerate(found):
                loop.call_later(
                    self.INTERVAL_S * number / instances, send, confirmations
                )
            await asyncio.sleep(self.SECONDS)
            return min(c.age_s(Topic.CONFIGURATION) for c in found)

        return run(play())

    @pytest.mark.parametrize("instances", [2, 9, 30])
    @pytest.mark.parametrize("latency_s", [0.005, 0.05, 0.2])
    def test_grow_old_while_the_store_is_silent(self, instances, latency_s):
        assert self.play(instances, latency_s) >= self.SECONDS - 4 * latency_s


class SlowStore:
    """Answers some time after each poll.

    Args:
        after_s: The seconds until each answer; the last one repeats.
    """

    def __init__(self, *after_s):
        self._after_s = list(after_s)
        self.polls = 0
        self.in_progress = 0
        self.most_in_progress = 0

    async def fetch_changes(self, kind, type_, *, since, wait_s, era):
        after_s = self._after_s[min(self.polls, len(self._after_s) - 1)]
        self.polls += 1
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        try:
            await asyncio.sleep(after_s + wait_s)
        finally:
            self.in_progress -= 1
        return Success(Changes(7, ()))


class TestRepeatedRequests:
    """Guards against polls that are cut short by the next request, and never end."""

    def play(self, store, interval_s):
        async def play():
            loop, proofs = asyncio.get_running_loop(), []
            watch = Watch(
                store,
                "kind",
                dict,
                since=lambda: 7,
                on_changes=lambda changes, since, asked_at: None,
                clock=loop.time,
                is_enabled=lambda: False,
                on_current=lambda as_of, known_to: proofs.append((loop.time(), as_of)),
            )
            task = asyncio.ensure_future(watch.run())
            for _ in range(10):
                watch.poll_now()
                await asyncio.sleep(interval_s)
            task.cancel()
            return proofs

        return run(play())

    @pytest.mark.parametrize(("after_s", "interval_s"), [(0.6, 0.5), (4.5, 4.0)])
    def test_leave_a_poll_that_does_not_wait_in_progress(self, after_s, interval_s):
        store = SlowStore(after_s)
        proofs = self.play(store, interval_s)
        assert proofs
        assert proofs[0] == (pytest.approx(after_s), 0.0)
        assert store.polls <= 10
        assert store.most_in_progress <= 2

    def test_do_not_wait_for_a_poll_that_is_silent(self):
        proofs = self.play(SlowStore(60.0, 0.01), 0.5)
        assert proofs
        assert proofs[0][0] == pytest.approx(0.51)


class TestRevisionToContinueFrom:
    def test_is_of_the_era_that_is_asked_for(self):
        """Guards against a number of one era that is sent as one of another."""

        async def play():
            asked, known = [], [Revision(1, 100)]

            class Client:
                async def fetch_changes(self, kind, type_, *, since, wait_s, era):
                    asked.append(Revision(era, since))
                    return Success(Changes(since, (), era=era))

            watch = Watch(
                Client(),
                "kind",
                dict,
                since=lambda: known[0].number,
                era=lambda: known[0].era,
                on_changes=lambda changes, since, asked_at: None,
                is_enabled=lambda: False,
            )
            task = asyncio.ensure_future(watch.run())
            await asyncio.sleep(0.1)
            known[0] = Revision(2, 40)  # a peer told it after the store was restored
            watch.poll_now()
            await asyncio.sleep(0.1)
            task.cancel()
            return asked

        assert run(play()) == [Revision(2, 40)]


class TestLateList:
    """Guards against a server that left while the store's answer was under way."""

    ENTRY = (
        b'{"service":"g","address":"10.0.0.1:1","zone":"z","slots":2,'
        b'"state":"ready","db_role":"replica","sequence":1,"born":1000}'
    )

    @pytest.mark.parametrize("is_watcher", [True, False])
    def test_does_not_bring_it_back(self, is_watcher):
        async def play():
            loop = asyncio.get_running_loop()
            state = ClusterState(Servers(None, loop.time))
            confirmations = Confirmations(loop.time)
            entry = self.ENTRY

            class Client:
                """Lists a server as of revision 43, which leaves at 45."""

                era = 0

                async def fetch_changes(self, kind, type_, *, since, wait_s, era):
                    if kind != REGISTRY_KIND:
                        await asyncio.sleep(max(wait_s, 0.5))
                        return Success(Changes(46, (), is_complete=since <= 0))
                    if since <= 0:
                        await asyncio.sleep(0.5)
                        listed = Versioned("s1", 10, msgspec.Raw(entry))
                        return Success(Changes(43, (listed,), is_complete=True))
                    if since < 45:
                        gone = Versioned("s1", 45, None, is_deleted=True)
                        return Success(Changes(46, (gone,)))
                    await asyncio.sleep(max(wait_s, 0.5))
                    return Success(Changes(46, ()))

            feed = Feed(
                Client(),
                state,
                Bounds(),
                is_watcher=lambda: is_watcher,
                is_preferred_watcher=lambda: is_watcher,
                rng=random.Random(1),
                clock=loop.time,
                peers_first_s=0.0,
                confirmations=confirmations,
            )

            def learn_from_peer():
                endpoint = decode_endpoint("s1", entry)
                state.apply_endpoint(endpoint, Revision(0, 10))
                state.retain_endpoints(frozenset(), Revision(0, 45))
                report = Report(
                    "p",
                    1,
                    1,
                    registry_revision=45,
                    confirmed=Confirmed(registry=Proof(100, 46)),
                )
                known = KnownState(0, state.registry_revision)
                loop.call_later(0.1, confirmations.apply_report, report, known)
                loop.call_later(1.0, confirmations.apply_report, report, known)

            loop.call_later(0.2, learn_from_peer)
            loop.call_later(2.0, feed.poll_now)
            task = asyncio.ensure_future(feed.run())
            await asyncio.sleep(20.0)
            task.cancel()
            return state.server_ids

        assert not run(play())


class TestOddProofs:
    """Proofs that no instance has made; any host may send a report."""

    def report(self, proof):
        confirmed = Confirmed(proof, proof, proof)
        return Report("odd", 1, 1, version=7, confirmed=confirmed)

    @pytest.mark.parametrize("age_ms", [0, 10**9, MAX_INTEGER])
    def test_leave_the_own_report_readable(self, age_ms):
        """Guards against an instance whose reports all others drop."""
        now = [10.0]
        confirmations = Confirmations(lambda: now[0])
        confirmations.apply_report(self.report(Proof(age_ms, 1, 1)), KNOWN)
        now[0] = 1000.0
        report = Report("p", 1, 1, confirmed=confirmations.to_report())
        raw = msgspec.msgpack.encode(report)
        assert msgspec.msgpack.decode(raw, type=Report) == report

    @pytest.mark.parametrize("told", [Proof(0, 44, MAX_INTEGER), Proof(0, MAX_INTEGER)])
    def test_stop_no_watch(self, told):
        """Guards against a watch that continues from what the store never had."""

        async def play():
            loop, receiver = asyncio.get_running_loop(), Receiver()
            confirmations, store = Confirmations(loop.time), WatchedStore()
            feed = Feed(
                store,
                receiver,
                Bounds(),
                is_watcher=lambda: True,
                is_preferred_watcher=lambda: True,
                rng=random.Random(1),
                clock=loop.time,
                confirmations=confirmations,
            )
            task = asyncio.ensure_future(feed.run())
            await asyncio.sleep(1.0)
            confirmations.apply_report(self.report(told), KNOWN)
            await asyncio.sleep(10.0)
            store.change()
            calls = store.calls
            await asyncio.sleep(10.0)
            task.cancel()
            return receiver.versions, store.calls, calls

        versions, calls, before = run(play())
        assert before <= 20  # calls in 11 s
        assert versions == [1, 2]
        assert calls <= 40


class Receiver:
    has_doubtful_entries = False
    registry_revision = Revision()

    def __init__(self):
        self.has_deployment = asyncio.Event()
        self.has_registry = asyncio.Event()
        self.versions = []

    def apply_deployment(self, deployment, revision):
        if deployment.version not in self.versions:
            self.versions.append(deployment.version)

    def retain_endpoints(self, server_ids, revision):
        self.has_registry.set()


class WatchedStore:
    """Holds a configuration and no servers; its era is 0.

    Attributes:
        calls: The number of calls.
    """

    era = 0

    def __init__(self):
        self.calls = 0
        self._revision = 40
        self._version = 1
        self._changed = asyncio.Event()

    def change(self):
        self._revision += 1
        self._version += 1
        self._changed.set()

    async def fetch_changes(self, kind, type_, *, since, wait_s, era):
        self.calls += 1
        await asyncio.sleep(0.01)
        if self.calls > 1000:
            await asyncio.sleep(60.0)
        is_complete = since <= 0 or era not in (None, 0)
        if not is_complete and since >= self._revision:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                return Success(Changes(self._revision, ()))
        found = ()
        if kind == CONFIGURATION_KIND and (is_complete or since < self._revision):
            raw = msgspec.Raw(msgspec.json.encode(configuration(self._version)))
            found = (Versioned(CONFIGURATION_NAME, self._revision, raw),)
        return Success(Changes(self._revision, found, is_complete))


class TestEvacuationThatARestoredStoreLacks:
    """Guards against one that stays in force since no watch names its removal."""

    class Store:
        """Was restored from a copy without the evacuation of ``a``."""

        era = 2
        listed = (Versioned("c", 45, msgspec.Raw(b"{}"), 2),)

        async def fetch_changes(self, kind, type_, *, since, wait_s, era):
            if since <= 0 or era not in (None, 2):
                return await self.list_objects(kind, type_)
            await asyncio.sleep(max(wait_s, 0.01))
            return Success(Changes(45, (), era=2))

        async def list_objects(self, kind, type_):
            await asyncio.sleep(0.01)
            listed = self.listed if kind == EVACUATION_KIND else ()
            return Success(Changes(45, listed, True, 2))

    def test_ends_at_an_instance_that_begins_to_watch(self):
        async def play():
            loop = asyncio.get_running_loop()
            bound_s = 5.0
            evacuations = Evacuations(Servers(None, loop.time), lambda: bound_s)
            told = {"a": (Revision(1, 50), True), "c": (Revision(2, 45), True)}
            evacuations.apply_news(told)
            confirmations = Confirmations(loop.time)
            feed = Feed(
                self.Store(),
                Receiver(),
                Bounds(evacuation_s=bound_s),
                is_watcher=lambda: loop.time() > 1.0,
                is_preferred_watcher=lambda: loop.time() > 1.0,
                rng=random.Random(1),
                clock=loop.time,
                evacuations=evacuations,
                confirmations=confirmations,
            )
            # The peer has removed a, as of the list, whose revision is that of c.
            confirmed = Confirmed(evacuations=Proof(100, 45, 2))
            report = Report("p", 1, 1, evacuations_at=(2, 45), confirmed=confirmed)
            known = KnownState(0, Revision(), 0, evacuations.latest, True)
            confirmations.apply_report(report, known)
            task = asyncio.ensure_future(feed.run())
            await asyncio.sleep(20.0)
            task.cancel()
            return evacuations.table.evacuated

        assert run(play()) == {"c"}
