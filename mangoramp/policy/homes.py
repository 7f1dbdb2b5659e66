"""Assignment of customers' server connections to instances.

A server accepts few connections, and each is for one customer. With many instances, an
equal part for each would be too small to keep the customers' connections open, so a few
instances, the homes, hold all connections and the other instances forward to them. A
customer has the same home for all groups, which therefore sees all of its requests.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ._rendezvous import (
    rendezvous_order,
    weight,
    weighted_rendezvous,
    weighted_rendezvous_order,
)

RESERVED_PART = 0.1  # of a server's connections, for instances not known yet
MIN_CONNECTIONS_PER_INSTANCE = 2  # an open transaction would block the only one
MAX_CUSTOMERS_PER_CONNECTION = 4  # a few large customers send most of the statements
MAX_HOMES_PER_SLOT = 3  # with more, servers refuse even one statement from each home
MIN_CONNECTIONS_PER_HOME = 5  # enough that a home rarely has to open a connection
MIN_HUBS_PER_DOMAIN = 3  # one may fail while another one restarts
MIN_HOMES_PER_DOMAIN = 2  # a domain that is cut off may lose one more
MIN_STRONG_HOMES_LEFT = 2  # in strength, after the loss of one home or failure domain
WEAK_PART = 0.5  # of the strength of the strongest; weaker ones are used last
MAX_CUSTOMER_PART = 0.5  # of a weak home's part of the strength; more overload it


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may become a home.

    Attributes:
        strength: Its capacity in statements per second, as measured or configured.
        failure_domain: The failure domain it runs in.
    """

    strength: int
    failure_domain: str = ""


def is_direct(max_connections: int, instances: int, customers: int) -> bool:
    """Return whether every instance holds connections of its own.

    Args:
        max_connections: Connections that each server accepts from all instances.
        instances: The number of instances.
        customers: The number of customers.
    """
    part = max_connections * (1 - RESERVED_PART) / instances
    return (
        part >= MIN_CONNECTIONS_PER_INSTANCE
        and part * MAX_CUSTOMERS_PER_CONNECTION >= customers
    )


def max_homes(max_connections: int, slots: int) -> int:
    """Return how many homes there may be.

    Args:
        max_connections: Connections that each server accepts.
        slots: Statements that each server runs concurrently.
    """
    connection_limit = int(
        max_connections * (1 - RESERVED_PART) / MIN_CONNECTIONS_PER_HOME
    )
    return max(1, min(connection_limit, MAX_HOMES_PER_SLOT * slots))


def hubs_per_domain(max_connections: int, slots: int, domains: int) -> int:
    """Return how many hubs a failure domain needs so that its homes are among them."""
    homes = max_homes(max_connections, slots)
    return max(MIN_HUBS_PER_DOMAIN, math.ceil(homes / max(1, domains)))


def choose_homes(
    candidates: Mapping[str, Candidate],
    max_connections: int,
    slots: int,
    server_domains: Collection[str] = (),
    *,
    has_majority: bool = True,
) -> dict[str, int]:
    """Choose the instances that hold the connections for all others.

    The failure domains with servers take turns, so that a domain that is cut off keeps
    homes for the servers that it reaches. Weak instances are added where a domain has
    fewer than two strong ones, and where the loss of one home or of one domain would
    leave less than the capacity of two strong ones.

    Args:
        candidates: The reachable instances by name.
        max_connections: Connections that each server accepts.
        slots: Statements that each server runs concurrently.
        server_domains: The failure domains in which servers run; empty if unknown.
        has_majority: Whether most of the instances are reachable. Otherwise those in
            domains without servers are assumed to be cut off from the servers.

    Returns:
        The strengths of the homes by name, in the order in which they were chosen;
        empty if no candidate is likely to reach a server.
    """
    near = {n: c for n, c in candidates.items() if c.failure_domain in server_domains}
    is_near_known = bool(near)
    if not near:
        if server_domains and not has_majority:
            return {}
        near = dict(candidates)
    usable = candidates if has_majority else near
    strongest = max((c.strength for c in usable.values()), default=0)
    order = _by_turns(near)
    strong = [n for n in order if near[n].strength >= WEAK_PART * strongest]
    weak = [n for n in order if near[n].strength < WEAK_PART * strongest]
    leading = _leading(order, near) if is_near_known else set()
    chosen = [n for n in strong if n in leading]
    chosen += [n for n in weak if n in leading]
    chosen += [n for n in strong if n not in leading]
    reserve = [n for n in weak if n not in leading]
    if weak:
        far = {n: c for n, c in usable.items() if n not in near}
        reserve = [
            n for n in _by_turns(far) if far[n].strength >= WEAK_PART * strongest
        ] + reserve
    limit = max_homes(max_connections, slots)
    homes = [usable[n] for n in chosen[:limit]]
    while reserve and len(homes) < limit and _lacks_reserve(homes, strongest):
        chosen.append(reserve.pop(0))
        homes.append(usable[chosen[-1]])
    return {n: usable[n].strength for n in chosen[:limit]}


def _leading(order: list[str], candidates: Mapping[str, Candidate]) -> set[str]:
    """Return the first instances of each failure domain in an order."""
    counts: Counter[str] = Counter()
    leading = set()
    for name in order:
        domain = candidates[name].failure_domain
        counts[domain] += 1
        if counts[domain] <= MIN_HOMES_PER_DOMAIN:
            leading.add(name)
    return leading


def _lacks_reserve(homes: list[Candidate], strongest: int) -> bool:
    """Return whether the loss of a home or domain would leave too little capacity."""
    by_domain: Counter[str] = Counter()
    for home in homes:
        by_domain[home.failure_domain] += home.strength
    largest_loss = max((h.strength for h in homes), default=0)
    if len(by_domain) > 1:
        largest_loss = max(by_domain.values())
    left = by_domain.total() - largest_loss
    return left < MIN_STRONG_HOMES_LEFT * strongest


def _by_turns(candidates: Mapping[str, Candidate]) -> list[str]:
    """Order instances by strength, one of each failure domain after the other."""
    by_domain: dict[str, list[str]] = {}
    for name, candidate in candidates.items():
        by_domain.setdefault(candidate.failure_domain, []).append(name)
    for domain, names in by_domain.items():
        names.sort(
            key=lambda n, d=domain: (candidates[n].strength, weight(f"hub\0{d}", n)),  # type: ignore[misc]
            reverse=True,
        )
    domains = rendezvous_order("homes", by_domain)
    rounds = itertools.zip_longest(*(by_domain[domain] for domain in domains))
    return [name for names in rounds for name in names if name is not None]


def home_for(customer: str, weights: Mapping[str, float]) -> str | None:
    """Return the home of a customer's connections, None if there are no homes.

    Args:
        customer: The customer.
        weights: The homes, with weights in proportion to the customers that they get.
    """
    return weighted_rendezvous(customer, weights)


class CustomerHomes:
    """Assignment of customers to homes, in proportion to the homes' strengths.

    A weak home gets only customers whose part of the load it can run beside others. To
    make up for the large ones, strong homes then get fewer of the small ones. Rates
    stand for loads, since all instances know the same rates.

    Args:
        homes: The strengths of the homes by name.
        rates: The customers' limits in operations per second, None for no limit.
    """

    def __init__(
        self, homes: Mapping[str, int], rates: Mapping[str, float | None]
    ) -> None:
        strengths = {name: max(1, s) for name, s in homes.items()}
        total = sum(strengths.values())
        least = WEAK_PART * max(strengths.values(), default=0)
        self._shares = _rate_shares(rates)
        self._strong = {n: s for n, s in strengths.items() if s >= least}
        weak = {n: s for n, s in strengths.items() if s < least}
        self._max_shares = {n: MAX_CUSTOMER_PART * s / total for n, s in weak.items()}
        self._max_share = max(self._max_shares.values(), default=math.inf)
        large = math.fsum(s for s in self._shares.values() if s > self._max_share)
        factor = _strong_factor(sum(self._strong.values()), sum(weak.values()), large)
        self._weights = {n: factor * s for n, s in self._strong.items()} | weak

    def home_of(self, customer: str) -> str | None:
        """Return the home of a customer's connections, None if there are no homes."""
        return home_for(customer, self._weights_for(customer))

    def order_of(self, customer: str) -> list[str]:
        """Return the home of a customer's connections and its runners-up, in order."""
        return weighted_rendezvous_order(customer, self._weights_for(customer))

    def _weights_for(self, customer: str) -> Mapping[str, float]:
        share = self._shares.get(customer, 0.0)
        if share > self._max_share:
            return self._strong
        return {
            name: weight
            for name, weight in self._weights.items()
            if share <= self._max_shares.get(name, math.inf)
        }


def _rate_shares(rates: Mapping[str, float | None]) -> dict[str, float]:
    """Return each customer's part of all rates; one without limit counts as largest."""
    largest = max((r for r in rates.values() if r is not None), default=1.0)
    known = {n: largest if rate is None else rate for n, rate in rates.items()}
    total = math.fsum(known.values())
    return {n: rate / total for n, rate in known.items()} if total > 0 else {}


def _strong_factor(strong: float, weak: float, large: float) -> float:
    """Return the factor for the weights of strong homes for small customers.

    Args:
        strong: The strength of all strong homes.
        weak: The strength of all weak homes, 0 for none.
        large: The part of the load that only strong homes get.

    Returns:
        The factor with which strong homes get as much of the whole load as their part
        of the strength; 0 if the large customers alone are as much.
    """
    if not weak or not large:
        return 1.0
    small_at_strong = strong / (strong + weak) - large
    small_at_weak = weak / (strong + weak)
    return max(0.0, small_at_strong / small_at_weak * weak / strong)


def connections_per_holder(max_connections: int, holders: int) -> int:
    """Return how many connections to a server each of several holders may have."""
    return int(max_connections * (1 - RESERVED_PART) / holders)


def connections_of_home(
    name: str, homes: Mapping[str, int], max_connections: int
) -> int:
    """Return how many connections to a server a home may have.

    Each home gets ``MIN_CONNECTIONS_PER_INSTANCE`` and a part of the others in
    proportion to its strength, as it gets customers in proportion to its strength.

    Args:
        name: The home.
        homes: The strengths of the homes by name.
        max_connections: Connections that the server accepts.

    Returns:
        The number of connections; the sum over all homes leaves the reserved part.
    """
    equal = connections_per_holder(max_connections, len(homes))
    if equal < MIN_CONNECTIONS_PER_INSTANCE:
        return equal
    least = MIN_CONNECTIONS_PER_INSTANCE
    shared = int(max_connections * (1 - RESERVED_PART)) - least * len(homes)
    strengths = {n: max(1, s) for n, s in homes.items()}
    return least + shared * strengths[name] // sum(strengths.values())
