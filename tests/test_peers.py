import random

import msgspec

from mangoramp.control.peers import Peers, Report

ADDRESS = ("127.0.0.1", 7560)


class Hearing:
    """One instance that hears another's reports."""

    def __init__(self):
        self.now = 0.0
        self.spent = []
        self.peers = Peers(
            "a", self.report, lambda: {}, lambda: self.now, random.Random(1)
        )
        self.peers.on_spent = lambda peer, customer, n: self.spent.append(n)
        self.number = 0

    def report(self, incarnation, number):
        return Report("a", incarnation, number)

    def hear(self, count, *, incarnation=1, **changes):
        self.number += 1
        report = Report("b", incarnation, self.number, spent={"c": count}, **changes)
        self.peers.datagram_received(msgspec.msgpack.encode(report), ADDRESS)


class TestPeers:
    def test_charges_what_a_peer_admitted_since_its_last_report(self):
        hearing = Hearing()
        for now, count in ((0.0, 5), (0.2, 8), (0.4, 8), (0.6, 10)):
            hearing.now = now
            hearing.hear(count)
        assert hearing.spent == [3, 2]

    def test_a_lost_report_is_made_good_by_the_next(self):
        hearing = Hearing()
        hearing.hear(5)
        hearing.number += 2
        hearing.now = 0.3
        hearing.hear(9)
        assert hearing.spent == [4]

    def test_what_a_silent_peer_admitted_is_not_charged_when_it_is_back(self):
        hearing = Hearing()
        hearing.hear(5)
        hearing.now = 6.0
        hearing.hear(300)
        hearing.now = 6.2
        hearing.hear(302)
        assert hearing.spent == [2]

    def test_a_process_that_started_anew_counts_from_nothing(self):
        hearing = Hearing()
        hearing.hear(50)
        hearing.now = 0.3
        hearing.hear(2, incarnation=2)
        assert hearing.spent == [2]

    def test_passes_over_old_and_foreign_datagrams(self):
        hearing = Hearing()
        hearing.hear(5)
        hearing.number -= 1
        hearing.hear(9)
        hearing.peers.datagram_received(b"\xc1 no report", ADDRESS)
        assert not hearing.spent

    def test_one_that_leaves_is_forgotten_at_once(self):
        hearing = Hearing()
        hearing.hear(5)
        hearing.hear(6, is_leaving=True)
        assert hearing.peers.everyone == ["a"]

    def test_one_that_drains_gets_no_new_work(self):
        hearing = Hearing()
        hearing.hear(5)
        assert "b" in hearing.peers.serving
        hearing.now = 0.1
        hearing.hear(5, is_draining=True)
        assert "b" not in hearing.peers.serving
        assert "b" in hearing.peers.heard


class TestWatching:
    """Forty instances of two failure domains, as one of them hears the others."""

    def hear_all(self, hearing, *, is_current=lambda name: True):
        for number in range(39):
            name = f"i{number}"
            report = Report(
                name,
                1,
                hearing.number + 1,
                failure_domain="near" if number < 19 else "far",
                is_current=is_current(name),
            )
            address = (ADDRESS[0], ADDRESS[1] + number)
            hearing.peers.datagram_received(msgspec.msgpack.encode(report), address)
        hearing.number += 1
        hearing.now += 0.1

    def hearing(self, name):
        found = Hearing()
        found.peers = Peers(
            name, found.report, lambda: {}, lambda: found.now, random.Random(1), "near"
        )
        found.number = 0
        return found

    def chosen(self, wanted):
        """One instance that is among the first watchers, or one that is not."""
        for letter in "abcdefghijklmnopqrstuvwxyz":
            hearing = self.hearing(letter)
            self.hear_all(hearing)
            if hearing.peers.is_first_watcher is wanted:
                return hearing
        raise AssertionError("no such name")

    def test_a_stand_in_watches_while_the_first_are_turned_away(self):
        hearing = self.chosen(wanted=False)
        assert not hearing.peers.is_watcher
        self.hear_all(hearing, is_current=lambda name: False)
        assert hearing.peers.is_watcher
        assert not hearing.peers.is_first_watcher
        self.hear_all(hearing)
        assert not hearing.peers.is_watcher

    def test_one_that_hears_nobody_any_more_watches(self):
        hearing = self.chosen(wanted=False)
        hearing.now += 60.0
        assert hearing.peers.is_watcher
        assert hearing.peers.is_first_watcher
