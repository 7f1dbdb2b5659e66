import heapq
import itertools

import pytest

from mangoramp.policy.memory_budget import (
    MAX_RETRY_S,
    MAX_WAIT_S,
    Claim,
    MemoryBudget,
    TooLate,
    budget_bytes,
)

MIB = 1024 * 1024
SIZE = 4 * MIB
LIMIT = budget_bytes(300_000_000)
HOLD_S = 0.05


class Load:
    """Callers in virtual time: each claims, holds for a while, and releases."""

    def __init__(self, limit=LIMIT):
        self.budget = MemoryBudget(limit)
        self.now = 0.0
        self.peak = 0
        self.granted = {}
        self.refused = {}
        self._events = []
        self._numbers = itertools.count()

    def at(self, time, act):
        heapq.heappush(self._events, (time, next(self._numbers), act))

    def run(self, until=float("inf")):
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
            self.peak = max(self.peak, self.budget.held)

    def arrive(self, name, owner, hold_s=HOLD_S):
        asked_at = self.now

        def start():
            self.granted[name] = self.now - asked_at
            # The claim is known here only once claim() has returned.
            self.at(self.now + hold_s, lambda: self.budget.release(claim, self.now))

        claim = self.budget.claim(owner, SIZE, self.now, start)
        if isinstance(claim, TooLate):
            self.refused[name] = claim.retry_after_s
        elif claim.granted_at is not None:
            start()
        else:
            self.at(self.now + MAX_WAIT_S, lambda: self.give_up(name, claim))

    def give_up(self, name, claim):
        if claim.granted_at is None:
            refusal = self.budget.give_up(claim, self.now)
            self.refused[name] = refusal.retry_after_s


class TestBurst:
    def burst(self, hold_s=HOLD_S):
        load = Load()
        for number in range(300):
            load.at(0.0, lambda n=number: load.arrive(n, "alpha", hold_s))
        load.run()
        return load

    @pytest.mark.parametrize("hold_s", [0.01, 0.05, 0.4, 3.0])
    def test_stays_within_the_limit_and_each_is_granted_or_refused(self, hold_s):
        """Guards against an instance that is killed since many callers send 1 MB."""
        load = self.burst(hold_s)
        assert load.peak <= LIMIT
        assert len(load.granted) + len(load.refused) == 300
        assert not load.granted.keys() & load.refused.keys()
        assert len(load.granted) >= LIMIT // SIZE
        assert max(load.granted.values()) <= MAX_WAIT_S
        assert load.budget.held == load.budget.waiting == 0

    def test_those_refused_return_one_after_the_other(self):
        """Guards against refused callers who all come back at the same moment."""
        times = list(self.burst().refused.values())
        assert times == sorted(times)
        assert len({round(t, 3) for t in times}) > len(times) / 2
        assert max(times) <= MAX_RETRY_S

    def test_all_are_served_if_they_return_as_told(self):
        load = Load()
        tries = [0]

        def arrive(name):
            tries[0] += 1
            load.arrive(name, "alpha")
            if name in load.refused:
                load.at(load.now + load.refused.pop(name), lambda: arrive(name))

        for number in range(300):
            load.at(0.0, lambda n=number: arrive(n))
        load.run(until=10.0)
        assert len(load.granted) == 300
        assert tries[0] < 3 * 300


class TestOwners:
    def test_one_with_many_claims_does_not_hold_up_another(self):
        """Guards against a customer who waits behind all statements of another."""
        load = Load()
        for number in range(300):
            load.at(0.0, lambda n=number: load.arrive(n, "alpha"))
        for number in range(4):
            load.at(0.001, lambda n=number: load.arrive(f"b{n}", "beta"))
        load.run()
        waits = [load.granted[f"b{n}"] for n in range(4)]
        assert max(waits) <= 2 * HOLD_S


class TestClaims:
    def test_one_beyond_the_limit_is_granted_alone(self):
        """Guards against a statement that is refused for ever by a small process."""
        budget = MemoryBudget(MIB)
        claim = budget.claim("a", SIZE, 0.0, lambda: None)
        assert isinstance(claim, Claim)
        assert claim.granted_at == 0.0
        assert isinstance(budget.try_claim("a", 1, 0.0), TooLate)
        budget.release(claim, 0.1)
        assert isinstance(budget.try_claim("a", 1, 0.1), Claim)

    def test_a_smaller_size_lets_others_in(self):
        granted = []
        budget = MemoryBudget(SIZE)
        first = budget.claim("a", SIZE, 0.0, lambda: None)
        budget.claim("b", SIZE // 2, 0.0, lambda: granted.append("b"))
        budget.resize(first, SIZE // 4, 0.01)
        assert granted == ["b"]

    def test_a_claim_released_while_it_waits_is_never_granted(self):
        """Guards against memory that a caller who left keeps for ever."""
        granted = []
        budget = MemoryBudget(SIZE)
        first = budget.claim("a", SIZE, 0.0, lambda: None)
        second = budget.claim("a", SIZE, 0.0, lambda: granted.append(1))
        budget.release(second, 0.1)
        budget.release(first, 0.1)
        assert not granted
        assert budget.held == budget.waiting == 0
