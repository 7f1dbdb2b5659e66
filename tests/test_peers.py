import heapq
import itertools
import random

import msgspec
import pytest

from mangoramp.control import peers as control
from mangoramp.control.peers import Peers
from mangoramp.control.reports import Confirmed, Proof, Report
from mangoramp.policy.hubs import REPORT_INTERVAL_S, HubFields, Listed, Member

ADDRESS = ("127.0.0.1", 7560)
LATENCY_S = 0.002


class ReceivingInstance:
    """An instance that receives another's reports."""

    def __init__(self):
        self.now = 0.0
        self.spent = []
        self.peers = Peers(
            "a", self.report, lambda: {}, lambda: self.now, random.Random(1)
        )
        self.peers.on_spent = lambda peer, customer, n, is_recent: self.spent.append(n)
        self.number = 0

    def report(self, incarnation, number):
        return Report("a", incarnation, number)

    def receive(self, count, *, incarnation=1, **changes):
        self.number += 1
        report = Report("b", incarnation, self.number, spent={"c": count}, **changes)
        self.peers.datagram_received(msgspec.msgpack.encode(report), ADDRESS)


class TestPeers:
    def test_charges_what_a_peer_admitted_since_its_last_report(self):
        receiver = ReceivingInstance()
        for now, count in ((0.0, 5), (0.2, 8), (0.4, 8), (0.6, 10)):
            receiver.now = now
            receiver.receive(count)
        assert receiver.spent == [3, 2]

    def test_the_next_report_makes_up_for_a_lost_one(self):
        receiver = ReceivingInstance()
        receiver.receive(5)
        receiver.number += 2
        receiver.now = 0.3
        receiver.receive(9)
        assert receiver.spent == [4]

    def test_what_a_silent_peer_admitted_is_not_charged_on_its_return(self):
        receiver = ReceivingInstance()
        receiver.receive(5)
        receiver.now = 6.0
        receiver.receive(300)
        receiver.now = 6.2
        receiver.receive(302)
        assert receiver.spent == [2]

    def test_a_restarted_process_counts_from_zero(self):
        receiver = ReceivingInstance()
        receiver.receive(50)
        receiver.now = 0.3
        receiver.receive(2, incarnation=2)
        assert receiver.spent == [2]

    def test_ignores_old_and_foreign_datagrams(self):
        receiver = ReceivingInstance()
        receiver.receive(5)
        receiver.number -= 1
        receiver.receive(9)
        receiver.peers.datagram_received(b"\xc1 no report", ADDRESS)
        assert not receiver.spent

    def test_a_leaving_instance_is_forgotten_at_once(self):
        receiver = ReceivingInstance()
        receiver.receive(5)
        receiver.receive(6, is_leaving=True)
        assert receiver.peers.known_instances == ["a"]

    def test_a_draining_instance_gets_no_new_work(self):
        receiver = ReceivingInstance()
        receiver.receive(5)
        assert "b" in receiver.peers.serving
        receiver.now = 0.1
        receiver.receive(5, is_draining=True)
        assert "b" not in receiver.peers.serving
        assert "b" in receiver.peers.live_instances


class TestIsolation:
    """Guards against a cut failure domain that notices its cut only after seconds."""

    def test_silence_of_all_other_domains_is_noticed_within_a_second(self):
        receiver = ReceivingInstance()
        receiver.receive(0, failure_domain="y")
        receiver.now = 0.7
        assert not receiver.peers.is_isolated
        receiver.now = 0.8
        assert receiver.peers.is_isolated
        receiver.receive(0, failure_domain="y")
        assert not receiver.peers.is_isolated

    def test_a_process_that_started_after_the_cut_believes_its_own_domain(self):
        receiver = ReceivingInstance()
        receiver.receive(0)
        assert not receiver.peers.is_isolated
        receiver.receive(0, is_isolated=True)
        assert receiver.peers.is_isolated


class TestWatchers:
    """40 instances in two failure domains, from the point of view of one of them."""

    def receive_all(self, receiver, *, is_current=lambda name: True):
        for number in range(39):
            name = f"i{number}"
            report = Report(
                name,
                1,
                receiver.number + 1,
                failure_domain="near" if number < 19 else "far",
                is_current=is_current(name),
            )
            address = (ADDRESS[0], ADDRESS[1] + number)
            receiver.peers.datagram_received(msgspec.msgpack.encode(report), address)
        receiver.number += 1
        receiver.now += 0.1

    def receiver(self, name):
        receiver = ReceivingInstance()
        receiver.peers = Peers(
            name,
            receiver.report,
            lambda: {},
            lambda: receiver.now,
            random.Random(1),
            "near",
        )
        receiver.number = 0
        return receiver

    def find_instance(self, wanted):
        """Return an instance that is a preferred watcher, or one that is not."""
        for letter in "abcdefghijklmnopqrstuvwxyz":
            receiver = self.receiver(letter)
            self.receive_all(receiver)
            if receiver.peers.is_preferred_watcher is wanted:
                return receiver
        raise AssertionError("no name gives such an instance")

    def test_a_substitute_watches_while_the_store_rejects_the_preferred(self):
        receiver = self.find_instance(wanted=False)
        assert not receiver.peers.is_watcher
        self.receive_all(receiver, is_current=lambda name: False)
        assert receiver.peers.is_watcher
        assert not receiver.peers.is_preferred_watcher
        self.receive_all(receiver)
        assert not receiver.peers.is_watcher

    def test_an_instance_without_live_peers_watches(self):
        receiver = self.find_instance(wanted=False)
        # One step of a minute would be a pause of this process, not its peers' silence.
        for _ in range(200):
            receiver.now += 0.3
            receiver.peers.send()
        assert receiver.peers.is_watcher
        assert receiver.peers.is_preferred_watcher


class TestConfirmation:
    """How old the proof is that a configuration is the newest, in a report."""

    def test_a_former_build_neither_sends_nor_expects_it(self):
        confirmed = Confirmed(Proof(250, 7, 1), None, Proof(12, 8))
        fields = msgspec.to_builtins(Report("i", 1, 2, version=7, confirmed=confirmed))
        former = fields[: Report.__struct_fields__.index("confirmed")]
        assert msgspec.convert(former, Report).confirmed is None
        data = msgspec.msgpack.encode(fields)
        assert msgspec.msgpack.decode(data, type=Report).confirmed == confirmed

    def test_a_time_in_the_future_is_no_report(self):
        receiver = ReceivingInstance()
        receiver.receive(5, confirmed=Confirmed(Proof(-1, 7)))
        assert not receiver.peers.peers


class Reporter:
    """An instance of a fleet in virtual time, which sends its reports."""

    def __init__(self, fleet, name, domain, address):
        self.fleet, self.name, self.domain, self.address = fleet, name, domain, address
        self.peers = Peers(
            name, self.report, dict, lambda: fleet.now, random.Random(name), domain
        )
        self.peers._own_address = address
        self.peers._seeds = tuple(i.address for i in fleet.instances.values())
        self.peers._transport = self

    def report(self, incarnation, number):
        return Report(self.name, incarnation, number, failure_domain=self.domain)

    def sendto(self, data, address):
        self.fleet.deliver(self, data, address)


class Fleet:
    """Instances that start one after another and list the others once, at that time."""

    START_S = 0.003
    LISTED_S = 0.01  # from the start of an instance until its first list
    REGISTERED_S = 0.02

    def __init__(self, names, domains):
        self.now = 0.0
        self.instances, self.listed = {}, {}
        self.sent = []
        self._events, self._order = [], itertools.count()
        for number, name in enumerate(names):
            domain = domains[number % len(domains)]
            address = (ADDRESS[0], 20_000 + number)
            at = self.START_S * number
            self.call_at(at, self.start, name, domain, address)

    def call_at(self, at, function, *args, rank=()):
        """Call a function at a time; calls of the same time are ordered by rank."""
        event = (at, rank, next(self._order), function, args)
        heapq.heappush(self._events, event)

    def stall(self, seconds):
        """Delay all that is due, as on a busy machine."""
        self._events = [(at + seconds, *rest) for at, *rest in self._events]
        self.now += seconds

    def start(self, name, domain, address):
        instance = Reporter(self, name, domain, address)
        self.instances[name] = instance
        self.send(instance)
        self.call_at(self.now + self.LISTED_S, self.list_others, instance)
        listed = Listed(domain, Member(name, 0, *address))
        self.call_at(self.now + self.REGISTERED_S, self.listed.update, {name: listed})

    def list_others(self, instance):
        instance.peers.update_addresses(dict(self.listed))
        instance.peers.send()

    def send(self, instance):
        peers = instance.peers
        peers.send()
        is_follower = not peers.is_flat and not peers._rosters.has_duties
        wait_s = REPORT_INTERVAL_S if is_follower else control.URGENT_INTERVAL_S
        self.call_at(self.now + wait_s, self.send, instance)

    def deliver(self, sender, data, address):
        report = msgspec.msgpack.decode(data, type=Report)
        self.sent.append((sender.name, report, address))
        for target in self.instances.values():
            if target.address == address:
                at, received = self.now + LATENCY_S, target.peers.datagram_received
                rank = (sender.name, target.name)
                self.call_at(at, received, data, sender.address, rank=rank)

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            at, _, _, function, args = heapq.heappop(self._events)
            self.now = max(self.now, at)
            function(*args)
        self.now = until

    def flat(self):
        """Return the reports to all instances, without what hubs need."""
        return [entry for entry in self.sent if entry[1].hub is None]

    def unseen(self):
        """Return whom each instance misses, those that miss nobody left out."""
        names = set(self.instances)
        views = {n: i.peers.live_instances for n, i in self.instances.items()}
        return {n: names.difference(v) for n, v in views.items() if names.difference(v)}


class TestLargeFleet:
    """Instances that are few when they start, and then report through hubs."""

    def fleet(self, count=40):
        return Fleet([f"i{number}" for number in range(count)], "abc")

    def test_of_one_build_stops_reporting_to_all(self):
        """Guards against reports that grow with the square of the fleet.

        A report to all made its receiver take the sender for a former build, to which
        it then reported in the same way, without end.
        """
        fleet = self.fleet()
        fleet.run(3.0)
        assert not fleet.unseen()
        fleet.sent.clear()
        fleet.run(20.0)
        assert not fleet.flat()
        assert not fleet.unseen()

    def test_tells_one_that_takes_it_for_a_small_one(self):
        """Guards against an instance that starts alone while the store is down."""
        fleet = self.fleet()
        fleet.run(3.0)
        late = Reporter(fleet, "late", "a", (ADDRESS[0], 30_000))
        fleet.instances["late"] = late
        assert late.peers.is_flat
        fleet.send(late)
        fleet.run(6.0)
        assert not late.peers.is_flat
        assert not fleet.unseen()
        fleet.sent.clear()
        fleet.run(10.0)
        assert not fleet.flat()

    def test_a_report_to_all_does_not_hide_that_its_sender_is_a_hub(self):
        """Guards against a hub that other hubs tell nothing."""
        fleet = self.fleet()
        fleet.run(3.0)
        near = [i for i in fleet.instances.values() if i.domain == "a"]
        hub = next(i for i in near if i.peers.is_hub)
        new_hub = next(i for i in near if not i.peers.is_hub)
        report = Report(
            new_hub.name, new_hub.peers._incarnation, 10_000, failure_domain="a"
        )
        for number, fields in enumerate((HubFields(is_hub=True), None)):
            changed = msgspec.structs.replace(
                report, number=10_000 + number, hub=fields
            )
            data = msgspec.msgpack.encode(changed)
            hub.peers.datagram_received(data, new_hub.address)
        fleet.sent.clear()
        hub.peers.send(force=True)
        rosters = [
            report.hub.rosters
            for sender, report, address in fleet.sent
            if address == new_hub.address and report.hub is not None
        ]
        assert any(rosters)

    @pytest.mark.parametrize("seed", [2191, 2195, 2412, 2488])
    def test_that_starts_on_a_busy_machine_is_known_to_all(self, seed, monkeypatch):
        """Guards against an instance that hears no other hub until it lists again.

        Its list is of before the others had registered, and is renewed after a minute.
        With each of these seeds one instance missed two others for long.
        """
        monkeypatch.setattr(control, "MAX_FLAT_INSTANCES", 3)
        rng = random.Random(seed)
        fleet = Fleet([f"i{number}" for number in range(10)], "ab")
        while fleet.now < 3.0:
            fleet.run(fleet.now + rng.choice((0.003, 0.1)))
            if rng.random() < 0.2:
                fleet.stall(rng.uniform(0.0, 1.2))
        fleet.run(9.0)
        assert not fleet.unseen()


class TestBuilds:
    """Whether the build of a sender reports through hubs, in a report."""

    def test_a_former_build_neither_says_nor_expects_it(self):
        fields = msgspec.to_builtins(
            Report("i", 1, 2, confirmed=Confirmed(Proof(250, 7)))
        )
        former = fields[: Report.__struct_fields__.index("knows_hubs")]
        assert not msgspec.convert(former, Report).knows_hubs
        data = msgspec.msgpack.encode(msgspec.convert([*fields[:-1], True], Report))
        assert msgspec.msgpack.decode(data, type=Report).knows_hubs
        assert Report.__struct_fields__[-1] == "knows_hubs"

    @pytest.mark.parametrize("is_listed", [False, True])
    def test_one_that_knows_no_hubs_gets_reports_to_all(self, is_listed):
        fleet = Fleet([f"i{number}" for number in range(20)], "abc")
        fleet.run(3.0)
        instance = fleet.instances["i0"]
        if is_listed:  # in a record without a failure domain
            listed = Listed("", Member("former", 0, *ADDRESS))
            instance.peers.update_addresses(fleet.listed | {"former": listed})
        else:
            data = msgspec.msgpack.encode(Report("former", 1, 1, failure_domain="a"))
            instance.peers.datagram_received(data, ADDRESS)
        fleet.sent.clear()
        instance.peers.send(force=True)
        assert any(address == ADDRESS for _, _, address in fleet.flat())

    def test_the_build_before_this_is_known_by_its_first_report_through_hubs(self):
        fleet = Fleet([f"i{number}" for number in range(20)], "abc")
        fleet.run(3.0)
        instance = fleet.instances["i0"]
        for number, fields in enumerate((None, HubFields(), None)):
            report = Report("former", 1, number, failure_domain="a", hub=fields)
            instance.peers.datagram_received(msgspec.msgpack.encode(report), ADDRESS)
        fleet.sent.clear()
        instance.peers.send(force=True)
        assert not fleet.flat()
