"""The choice of homes by capacity, without a network."""

import itertools
import random
from collections import Counter

import pytest

from mangoramp.policy._rendezvous import rendezvous, rendezvous_order, weight
from mangoramp.policy.homes import (
    WEAK_PART,
    Candidate,
    CustomerHomes,
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
            assert home_for(customer, homes) == rendezvous(customer, homes)
        rates = zipf_rates(CUSTOMERS)
        assigned = CustomerHomes(homes, rates)
        for customer in CUSTOMERS[:50]:
            assert assigned.home_of(customer) == rendezvous(customer, homes)

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
        rates = zipf_rates(CUSTOMERS)
        large = list(rates)[:10]
        assert {CustomerHomes(homes, rates).home_of(c)[0] for c in large} == {"d"}
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

    def test_no_home_without_homes(self):
        """Guards against an error where no instance is in reach."""
        assert home_for("c", {}) is None
        assert CustomerHomes({}, {"c": 1.0}).home_of("c") is None


class TestCustomerHomes:
    HOMES = {"s0": STRONG, "s1": STRONG} | {f"w{n}": WEAK for n in range(8)}
    RATES = {f"c{n}": 1 / (1 + n) ** 1.2 for n in range(400)}

    def loads(self, assigned, rates):
        loads = Counter()
        for customer, rate in rates.items():
            loads[assigned.home_of(customer)] += rate / sum(rates.values())
        return loads

    def test_a_weak_home_gets_no_large_customer(self):
        """Guards against a customer of a quarter of the load at the weakest home."""
        assigned = CustomerHomes(self.HOMES, self.RATES)
        part = WEAK / sum(self.HOMES.values())
        for customer, rate in self.RATES.items():
            if rate / sum(self.RATES.values()) > part / 2:
                assert assigned.home_of(customer).startswith("s")

    def test_strong_homes_get_no_more_than_their_part(self):
        """Guards against strong homes that get the large and most small customers.

        Where one strong home is left, it would be overloaded beside idle weak ones.
        """
        homes = {n: s for n, s in self.HOMES.items() if n != "s1"}
        loads = self.loads(CustomerHomes(homes, self.RATES), self.RATES)
        large = [r for r in self.RATES.values()][:5]
        part = STRONG / sum(homes.values())
        assert loads["s0"] <= max(part, sum(large) / sum(self.RATES.values())) + 0.05

    def test_unlimited_customers_count_as_the_largest(self):
        """Guards against an unknown load at a weak home."""
        rates = self.RATES | {"u0": None, "u1": None}
        assigned = CustomerHomes(self.HOMES, rates)
        assert {assigned.home_of(c)[0] for c in ("u0", "u1", "c0")} == {"s"}

    def test_equal_or_no_rates_leave_the_choice_to_the_strength(self):
        """Guards against weak homes without customers, or customers without homes."""
        for rate in (None, 0.0, 5.0):
            rates = dict.fromkeys(CUSTOMERS, rate)
            assigned = CustomerHomes(self.HOMES, rates)
            found = [assigned.home_of(c) for c in CUSTOMERS]
            assert found == [home_for(c, self.HOMES) for c in CUSTOMERS]
        assert CustomerHomes({"unknown": 0}, {}).home_of("c") == "unknown"

    @pytest.mark.parametrize("lost", ["s1", "w0"])
    def test_few_other_customers_move_when_a_home_leaves(self, lost):
        """Guards against many moves since weak homes may take other customers."""
        homes = {n: s for n, s in self.HOMES.items() if n != lost}
        before = CustomerHomes(self.HOMES, self.RATES)
        after = CustomerHomes(homes, self.RATES)
        moved = [
            c for c in self.RATES if before.home_of(c) not in (lost, after.home_of(c))
        ]
        assert len(moved) <= len(self.RATES) * 0.15


def zipf_rates(customers, exponent=1.2):
    return {c: 100 / (1 + n) ** exponent for n, c in enumerate(customers)}


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
    @pytest.mark.parametrize("per_s", [600, 1500])
    @pytest.mark.parametrize("strong", [(2, 2, 2), (1, 1, 1), (4, 0, 0), (1, 0, 0)])
    def test_every_customer_is_served_in_time(self, strong, per_s):
        """Guards against large customers at weak homes, and homes without capacity.

        Of the load, the largest of 87 customers (Zipf 1.2) sends a quarter.
        """
        candidates = fleet(**{d: (n, 22) for d, n in zip("abc", strong, strict=True)})
        homes = choose_homes(candidates, 56, 4, "abc")
        for seed in range(3):
            rates = zipf_rates([f"c{seed}-{n}" for n in range(87)])
            assigned = CustomerHomes(homes, rates)
            home_of = {c: assigned.home_of(c) for c in rates}
            shares = shares_in_time(homes, home_of, per_s=per_s, seed=seed)
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
