import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mangoramp.policy import loans
from mangoramp.policy.fleet_bucket import FleetBucket
from mangoramp.policy.loans import LendingBucket, Loan, Share

from .token_fleet import Network, TokenFleet, excess, ideal

RATE_LIMITS = ((30.0, 30.0), (12.0, 9.0), (6.0, 2.0))
MAX_ROUNDING_ERROR = 1e-6
RULES = settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=40
)
SLOW_RATE_LIMITS = ((2.0, 30.0), (1.0, 9.0), (0.5, 2.0))
SEEDS = 60
STEPS = 60


class RateMachine(RuleBasedStateMachine):
    """Three homes, one customer, and lost, late, duplicated and cut-off messages."""

    def __init__(self, make=FleetBucket, limits=RATE_LIMITS):
        super().__init__()
        self.make = make
        self.limits = limits
        self.fleet = None
        self.superseded = {}

    @precondition(lambda self: self.fleet is None)
    @rule(seed=st.integers(0, 999), which=st.integers(0, 2))
    def begin(self, seed, which):
        rate, burst = self.limits[which % len(self.limits)]
        network = Network(random.Random(seed), lost=0.1, doubled=0.2, late=0.3)
        self.fleet = TokenFleet(
            domains=3, rate=rate, burst=burst, network=network, make=self.make
        )
        self.max_limits = (rate, burst)

    @precondition(lambda self: self.fleet)
    @rule(domain=st.integers(0, 2), count=st.integers(1, 25))
    def arrive(self, domain, count):
        for _ in range(count):
            self.fleet.arrive(f"d{domain}")

    @precondition(lambda self: self.fleet)
    @rule(wait_s=st.sampled_from((0.001, 0.02, 0.2, 0.6, 2.0)))
    def wait(self, wait_s):
        self.fleet.run(self.fleet.now + wait_s)

    @precondition(lambda self: self.fleet)
    @rule(domain=st.integers(0, 2), cut=st.booleans())
    def split(self, domain, cut):
        change = self.fleet.network.cut.add if cut else self.fleet.network.cut.discard
        change(f"d{domain}")

    @precondition(lambda self: self.fleet)
    @rule(domain=st.integers(0, 2), paused=st.booleans())
    def succeed(self, domain, paused):
        """Replace a home whose lease has ended; a paused one may resume later."""
        name = f"d{domain}"
        bucket = self.fleet.buckets[name]
        until = self.fleet.now + loans.SHARE_HOLD_S
        self.fleet.leases[bucket.home] = until
        self.fleet.run(until)
        if paused:
            self.superseded[name] = bucket
        self.fleet.kill(name)
        self.fleet.begin(name)

    @precondition(lambda self: self.fleet)
    @rule(domain=st.integers(0, 2))
    def hand_over(self, domain):
        """Replace a home that left before its lease ended."""
        self.fleet.kill(f"d{domain}")
        self.fleet.begin(f"d{domain}", settle_s=loans.SHARE_HOLD_S)

    @precondition(lambda self: self.fleet and self.superseded)
    @rule(count=st.integers(1, 25))
    def resume(self, count):
        """Send requests to homes that resume after they were replaced."""
        for name, bucket in self.superseded.items():
            for _ in range(count):
                self.fleet.arrive(name, bucket)
        self.fleet.run(self.fleet.now + 0.01)

    @precondition(lambda self: self.fleet)
    @rule(domain=st.integers(0, 2), which=st.integers(0, 2))
    def edit(self, domain, which):
        rate, burst = self.limits[which % len(self.limits)]
        self.max_limits = (
            max(self.max_limits[0], rate),
            max(self.max_limits[1], burst),
        )
        self.fleet.edit(f"d{domain}", rate, burst)

    @invariant()
    def stays_within_rate_and_burst(self):
        if self.fleet is not None:
            assert excess(self.fleet.admitted, *self.max_limits) <= MAX_ROUNDING_ERROR


def first_violation(make):
    """Return the first seed whose fault schedule admits too much, None if none does."""
    for seed in range(SEEDS):
        machine = RateMachine(make, SLOW_RATE_LIMITS if seed % 2 else RATE_LIMITS)
        rng = random.Random(seed)
        machine.begin(seed, rng.randrange(3))
        for _ in range(STEPS):
            _step(machine, rng)
        if excess(machine.fleet.admitted, *machine.max_limits) > MAX_ROUNDING_ERROR:
            return seed
    return None


def _step(machine, rng):
    domain, count = rng.randrange(3), rng.randrange(1, 25)
    roll = rng.random()
    if roll < 0.5:
        machine.arrive(domain, count)
    elif roll < 0.8:
        machine.wait(rng.choice((0.001, 0.02, 0.2, 0.6, 2.0, 20.0)))
    elif roll < 0.85:
        machine.split(domain, rng.random() < 0.5)
    elif roll < 0.93:
        machine.succeed(domain, rng.random() < 0.5)
    elif roll < 0.95:
        machine.hand_over(domain)
    elif roll < 0.98:
        machine.resume(count)
    elif rng.random() < 0.3:
        machine.edit(domain, rng.randrange(3))


def admitted_with_unused_loan(make):
    """Drain all domains at once while the first one holds an unused loan."""
    network = Network(random.Random(1), hop_s=0.1)
    fleet = TokenFleet(domains=3, rate=120.0, burst=30.0, network=network, make=make)
    for _ in range(15):
        fleet.arrive("d0")
    fleet.run(fleet.now + 0.28)
    begin = fleet.now
    for domain in fleet.names:
        for _ in range(40):
            fleet.arrive(domain)
    return sum(at == begin for at in fleet.admitted)


def admitted_after_early_handover(make):
    """Drain all domains soon after a home starts whose predecessor lent its share.

    The predecessor gave its home up before its lease ended.
    """
    fleet = TokenFleet(domains=3, rate=240.0, burst=9.0, make=make)
    fleet.run(fleet.now + 3.0)
    levels = {name: fleet.buckets[name].available(fleet.now) for name in fleet.names}
    lender = min(levels, key=levels.get)
    fleet.kill(lender)
    fleet.begin(lender, settle_s=loans.SHARE_HOLD_S)
    fleet.run(fleet.now + 0.05)
    begin = fleet.now
    for domain in fleet.names:
        for _ in range(20):
            fleet.arrive(domain)
    return sum(at == begin for at in fleet.admitted)


class StartsWithTokens(FleetBucket):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._bucket.add_share("", Share(0, 0), 1e9, expires_at=1e9, now=kwargs["now"])


class IgnoresLeaseEnd(FleetBucket):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **{**kwargs, "holds": lambda now: True})


class IgnoresLoansOfPredecessor(FleetBucket):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **{**kwargs, "settled_at": 0.0})


class AcceptsDuplicateGrants(FleetBucket):
    def receive(self, grant, now):
        if grant.borrower == self.home and grant.tokens > 0:
            self._bucket.add_loan(Loan("", grant.number, grant.tokens, now + 9))


class LendsWithoutDeducting(FleetBucket):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        lend = self._bucket.lend

        def keep(borrower, number, most, now):
            tokens = lend(borrower, number, most, now)
            self._bucket._bucket.release_room(tokens, now, returned=tokens)
            return tokens

        self._bucket.lend = keep


class RefillsLentRoom(FleetBucket):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._bucket._bucket.reserve_room = lambda tokens, now: None


class KeepsLentShare(FleetBucket):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        bucket = self._bucket

        def lend_share(borrower, now):
            tokens = bucket.draw(1e9, now)
            return bucket._own, tokens

        bucket.draw = bucket._bucket.acquire_up_to
        bucket.lend_share = lend_share


FAULTY = (
    StartsWithTokens,
    IgnoresLeaseEnd,
    AcceptsDuplicateGrants,
    LendsWithoutDeducting,
    KeepsLentShare,
)


class TestRate:
    def test_holds_in_every_window(self):
        run_state_machine_as_test(RateMachine, settings=RULES)

    def test_holds_over_seeds(self):
        assert first_violation(FleetBucket) is None

    @pytest.mark.parametrize("make", FAULTY, ids=lambda make: make.__name__)
    def test_fails_without_its_mechanism(self, make):
        assert first_violation(make) is not None

    def test_keeps_the_room_of_a_loan_empty(self):
        assert admitted_with_unused_loan(FleetBucket) <= 30

    def test_fails_without_keeping_the_room_of_a_loan_empty(self):
        assert admitted_with_unused_loan(RefillsLentRoom) > 30

    def test_waits_for_loans_of_a_predecessor_that_left_early(self):
        assert admitted_after_early_handover(FleetBucket) <= 9

    def test_fails_without_waiting_for_loans_of_a_predecessor(self):
        assert admitted_after_early_handover(IgnoresLoansOfPredecessor) > 9

    @pytest.mark.parametrize(("rate", "burst"), RATE_LIMITS)
    def test_one_domain_gets_the_whole_rate_and_burst(self, rate, burst):
        fleet = TokenFleet(domains=3, rate=rate, burst=burst)
        begin = fleet.now
        for number in range(int(100 * rate)):
            fleet.at(begin + number / (10 * rate), fleet.arrive, "d0")
        fleet.run(begin + 10)
        assert len(fleet.admitted) >= 0.97 * (rate * 10 + burst)

    def test_lets_single_requests_through_where_each_part_is_below_one(self):
        fleet = TokenFleet(domains=3, rate=2.0, burst=1.0)
        begin = fleet.now
        tickets = []
        for number in range(12):
            domain = f"d{number % 3}"
            arrive = lambda domain=domain: tickets.append(fleet.arrive(domain))  # noqa: E731
            fleet.at(begin + 0.7 * number, arrive)
        fleet.run(begin + 12)
        assert all(fleet.outcome[ticket] for ticket in tickets)

    def test_goes_on_with_its_own_part_when_cut_off(self):
        fleet = TokenFleet(domains=3, rate=30.0, burst=30.0)
        fleet.network.cut.add("d0")
        begin = fleet.now
        for number in range(200):
            fleet.at(begin + number / 20, fleet.arrive, "d0")
        fleet.run(begin + 11)
        assert len(fleet.admitted) >= 0.95 * (10 * 10 + 10)

    @pytest.mark.parametrize(("rate", "burst"), RATE_LIMITS)
    def test_retry_after_is_long_enough(self, rate, burst):
        fleet = TokenFleet(domains=3, rate=rate, burst=burst)
        for _ in range(int(burst) + 30):
            fleet.arrive("d0")
        fleet.run(fleet.now + 0.5)
        fleet.arrive("d0")
        tries = 0
        while fleet.refused[-1][0] != fleet.now and tries < 50:
            tries += 1
            fleet.arrive("d0")
        at, wait_s = fleet.refused[-1]
        fleet.run(at + wait_s * 1.05 + 0.01)
        ticket = fleet.arrive("d0")
        fleet.run(fleet.now + 0.15)
        assert fleet.outcome[ticket]

    def test_refuses_at_once_what_cannot_be_met(self):
        fleet = TokenFleet(domains=3, rate=6.0, burst=6.0)
        for _ in range(40):
            fleet.arrive("d0")
        begin = fleet.now
        fleet.run(begin + 1)
        assert max(at for at, _ in fleet.refused) <= begin + 0.11

    def test_asks_no_more_than_a_bounded_number_of_times(self):
        fleet = TokenFleet(domains=16, rate=100.0, burst=200.0)
        begin, sent = fleet.now, fleet.messages
        for number in range(10_000):
            fleet.at(begin + number / 1000, fleet.arrive, f"d{number % 2}")
        fleet.run(begin + 10)
        per_peer_and_second = (fleet.messages - sent) / 2 / 10 / (2 * 15)
        assert per_peer_and_second <= 21


class TestLendingBucket:
    def test_lends_the_same_ask_once(self):
        bucket = LendingBucket(Share(1.0, 10.0), 0.0)
        assert bucket.lend("b", 1, 4.0, 10.0) == 4.0
        assert bucket.lend("b", 1, 4.0, 10.0) == 4.0
        assert bucket.level(10.0) == 6.0

    def test_refills_the_room_of_a_loan_only_after_its_end(self):
        bucket = LendingBucket(Share(10.0, 10.0), 0.0)
        bucket.lend("b", 1, 10.0, 10.0)
        bucket.expire(10.4)
        assert bucket.level(10.4) == 0.0
        bucket.expire(12.0)
        assert bucket.level(13.0) == 10.0


class TestIdeal:
    def test_is_one_bucket(self):
        assert ideal([0.0, 0.0, 0.0, 1.0], 1.0, 2.0) == [True, True, False, True]
