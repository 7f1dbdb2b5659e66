"""The choice of homes by capacity, without a network."""

import itertools
import random
from collections import Counter

import pytest

from mangoramp.policy._rendezvous import rendezvous, rendezvous_order, weight
from mangoramp.policy.homes import (
    WEAK_PART,
    Candidate,
    choose_homes,
    connections_of_home,
    connections_per_holder,
    home_for,
    max_homes,
)

STRONG, WEAK = 1075, 180
CUSTOMERS = [f"c{n}" for n in range(400)]


def fleet(**counts):
    """Build candidates from (strong, weak) counts by failure domain."""
    return {
        f"{domain}-{kind}{n}": Candidate(strength, domain)
        for domain, (strong, weak) in counts.items()
        for kind, strength, count in (("s", STRONG, strong), ("w", WEAK, weak))
        for n in range(count)
    }


def count(homes, kind):
    return sum(f"-{kind}" in name for name in homes)


def former_choice(candidates, limit):
    """Choose as before capacities counted, from candidates of equal strength."""
    by_domain = {}
    for name, candidate in candidates.items():
        by_domain.setdefault(candidate.failure_domain, []).append(name)
    for domain, names in by_domain.items():
        names.sort(key=lambda n, d=domain: weight(f"hub\0{d}", n), reverse=True)
    order = rendezvous_order("homes", by_domain)
    rounds = itertools.zip_longest(*(by_domain[domain] for domain in order))
    return [name for names in rounds for name in names if name][:limit]


class TestChoiceOfHomes:
    @pytest.mark.parametrize("seed", range(30))
    def test_equal_strengths_give_the_former_homes(self, seed):
        """Guards against a fleet that changes its homes without a gain."""
        rng = random.Random(seed)
        candidates = fleet(**{d: (rng.randrange(12), 0) for d in "abcd"})
        near = {n: c for n, c in candidates.items() if c.failure_domain != "d"}
        homes = choose_homes(candidates, 56, 4, "abc")
        assert list(homes) == former_choice(near or candidates, max_homes(56, 4))
        for customer in CUSTOMERS[:50]:
            assert home_for(customer, homes, 100) == rendezvous(customer, homes)

    def test_no_weak_home_beside_enough_strong_ones(self):
        """Guards against weak homes that only fill up the number of homes."""
        homes = choose_homes(fleet(a=(2, 20), b=(2, 20), c=(2, 20)), 56, 4, "abc")
        assert (count(homes, "s"), count(homes, "w")) == (6, 0)

    def test_a_weak_one_steps_in_where_a_domain_lacks_strong_ones(self):
        """Guards against a domain that is cut off with a single home."""
        homes = choose_homes(fleet(a=(4, 9), b=(3, 9), c=(1, 9)), 56, 4, "abc")
        weak = [name for name in homes if "-w" in name]
        assert (count(homes, "s"), [name[0] for name in weak]) == (8, ["c"])

    @pytest.mark.parametrize("lost", "abc")
    def test_the_loss_of_a_domain_leaves_the_capacity_of_two_strong_homes(self, lost):
        """Guards against homes that are strong in one domain only."""
        candidates = fleet(a=(4, 0), b=(0, 20), c=(0, 20))
        homes = choose_homes(candidates, 90, 8, "abc")
        left = [s for n, s in homes.items() if not n.startswith(lost)]
        assert sum(left) >= 2 * STRONG

    def test_weak_ones_step_in_where_strong_ones_are_missing(self):
        """Guards against a fleet whose only strong home is its whole capacity."""
        homes = choose_homes(fleet(a=(1, 20)), 56, 4)
        assert len(homes) == max_homes(56, 4)
        assert choose_homes(fleet(a=(3, 20)), 56, 4).keys() == {"a-s0", "a-s1", "a-s2"}

    def test_a_cut_off_domain_uses_its_weak_instances(self):
        """Guards against a domain that waits for the strong ones of the others."""
        homes = choose_homes(fleet(c=(1, 9)), 56, 4, "abc", has_majority=False)
        assert count(homes, "s") == 1
        assert count(homes, "w") >= 1

    def test_strong_ones_of_domains_without_servers_replace_weak_ones(self):
        """Guards against large customers at weak homes while strong instances idle."""
        candidates = fleet(a=(0, 9), b=(0, 9), d=(5, 0))
        homes = choose_homes(candidates, 56, 4, "ab")
        assert sum(n[0] == "d" for n in homes) == 5
        assert {home_for(c, homes, rate=150)[0] for c in CUSTOMERS} == {"d"}
        cut_off = {n: c for n, c in candidates.items() if n[0] != "b"}
        homes = choose_homes(cut_off, 56, 4, "ab", has_majority=False)
        assert {n[0] for n in homes} == {"a"}

    def test_the_most_homes_are_not_exceeded(self):
        """Guards against parts too small for a home in fleets of every kind."""
        rng = random.Random(5)
        for _ in range(300):
            counts = {d: (rng.randrange(4), rng.randrange(9)) for d in "abcd"}
            connections, slots = rng.randrange(1, 99), rng.randrange(1, 6)
            homes = choose_homes(fleet(**counts), connections, slots, "abc")
            assert len(homes) <= max_homes(connections, slots)
            assert homes or not any(sum(c) for c in counts.values())


class TestHomeOfCustomer:
    HOMES = {"h0": 1000, "h1": 1000, "h2": 500, "h3": 100}

    def homes_of(self, homes):
        return {customer: home_for(customer, homes) for customer in CUSTOMERS}

    def test_a_home_gets_customers_by_its_strength(self):
        """Guards against as many customers at a weak home as at a strong one."""
        found = list(self.homes_of(self.HOMES).values())
        for home, strength in self.HOMES.items():
            expected = len(CUSTOMERS) * strength / sum(self.HOMES.values())
            assert abs(found.count(home) - expected) <= 3 * expected**0.5

    def test_a_weaker_home_only_loses_customers(self):
        """Guards against customers that move between homes that did not change."""
        before = self.homes_of(self.HOMES)
        after = self.homes_of(self.HOMES | {"h0": 600})
        moved = [c for c in CUSTOMERS if before[c] != after[c]]
        assert moved
        assert {before[c] for c in moved} == {"h0"}

    def test_views_that_differ_in_a_home_differ_in_its_customers_only(self):
        """Guards against many customers with two homes while views differ."""
        before = self.homes_of(self.HOMES)
        view = {n: s for n, s in self.HOMES.items() if n != "h1"}
        after = self.homes_of(view)
        assert {before[c] for c in CUSTOMERS if before[c] != after[c]} == {"h1"}

    def test_a_weak_home_gets_no_large_customer(self):
        """Guards against a customer of a quarter of the load at the weakest home."""
        homes = {"s0": STRONG, "s1": STRONG} | {f"w{n}": WEAK for n in range(8)}
        large = {home_for(c, homes, rate=150) for c in CUSTOMERS}
        unlimited = {home_for(c, homes, rate=None) for c in CUSTOMERS}
        small = {home_for(c, homes, rate=5) for c in CUSTOMERS}
        assert large == unlimited == {"s0", "s1"}
        assert small == set(homes)

    def test_weak_homes_serve_every_customer_if_there_are_no_others(self):
        """Guards against large customers without a home."""
        homes = {f"w{n}": WEAK for n in range(4)}
        assert {home_for(c, homes, rate=None) for c in CUSTOMERS} == set(homes)
        assert home_for("c", {}) is None
        assert home_for("c", {"unknown": 0}) == "unknown"


def shares_in_time(homes, home_of, *, per_s, objective_s=0.105, seconds=10.0, seed=0):
    """Play statements at homes that run one at a time; return shares by customer."""
    rng = random.Random(seed)
    weights = [1 / (1 + n) ** 1.2 for n in range(len(home_of))]
    free_at = dict.fromkeys(homes, 0.0)
    counts, in_time, now = Counter(), Counter(), 0.0
    while now < seconds:
        now += rng.expovariate(per_s)
        customer = rng.choices(list(home_of), weights)[0]
        home = home_of[customer]
        free_at[home] = max(now, free_at[home]) + 1 / homes[home]
        counts[customer] += 1
        in_time[customer] += free_at[home] - now <= objective_s
    return {c: in_time[c] / n for c, n in counts.items()}


class TestUnevenFleet:
    @pytest.mark.parametrize("strong", [(2, 2, 2), (1, 1, 1), (4, 0, 0), (1, 0, 0)])
    def test_every_customer_is_served_in_time(self, strong):
        """Guards against large customers at weak homes, and homes without capacity.

        87 customers (Zipf 1.2) send 1,200 statements a second, the largest a quarter.
        """
        candidates = fleet(**{d: (n, 22) for d, n in zip("abc", strong, strict=True)})
        homes = choose_homes(candidates, 56, 4, "abc")
        weights = [1 / (1 + n) ** 1.2 for n in range(87)]
        for seed in range(3):
            rates = {
                f"c{seed}-{n}": 3600 * w / sum(weights) for n, w in enumerate(weights)
            }
            home_of = {c: home_for(c, homes, rate) for c, rate in rates.items()}
            shares = shares_in_time(homes, home_of, per_s=1200, seed=seed)
            assert min(shares.values()) >= 0.99


class TestPartsOfHomes:
    def test_the_parts_fit_a_server(self):
        """Guards against connections that a server refuses."""
        rng = random.Random(2)
        for _ in range(500):
            count = rng.randrange(1, 13)
            homes = {f"h{n}": rng.choice((0, WEAK, 600, STRONG)) for n in range(count)}
            most = rng.randrange(2, 120)
            parts = [connections_of_home(name, homes, most) for name in homes]
            assert sum(parts) <= most * 0.9
            if connections_per_holder(most, count) >= 2:
                assert min(parts) >= 2

    def test_equal_homes_get_the_former_part(self):
        """Guards against fewer connections in fleets of equal instances."""
        for most, count in itertools.product(range(2, 100, 7), range(1, 13)):
            homes = {f"h{n}": 5 for n in range(count)}
            part = connections_of_home("h0", homes, most)
            assert part == connections_per_holder(most, count)

    def test_a_strong_home_gets_more(self):
        """Guards against a strong home that opens connections for most statements."""
        homes = {"s": STRONG, "w": WEAK}
        strong, weak = (connections_of_home(name, homes, 56) for name in homes)
        assert strong * WEAK_PART > weak
