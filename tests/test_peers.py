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
