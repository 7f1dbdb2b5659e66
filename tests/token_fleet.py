"""Simulation of a customer's rate limiters in virtual time over a faulty network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mangoramp.policy.fleet_bucket import FleetBucket
from mangoramp.policy.loans import SHARE_HOLD_S
from mangoramp.policy.token_bucket import TokenBucket

HOP_S = 0.0005
MESSAGE_OVERHEAD_BYTES = 40


@dataclass
class Network:
    """Seeded random delays and message faults between domains.

    Attributes:
        rng: A seeded source of randomness.
        hop_s: Seconds that a message takes.
        lost: The part of messages that are lost.
        doubled: The part of messages that are duplicated.
        late: The part of messages that are delayed.
        late_s: The longest delay, in seconds.
        cut: The domains that are cut off from all others.
    """

    rng: random.Random
    hop_s: float = HOP_S
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_s: float = 1.0
    cut: set[str] = field(default_factory=set)

    def delays(self, source: str, target: str) -> list[float]:
        if source != target and {source, target} & self.cut:
            return []
        if self.rng.random() < self.lost:
            return []
        copies = 2 if self.rng.random() < self.doubled else 1
        return [self._delay() for _ in range(copies)]

    def _delay(self) -> float:
        late_s = self.rng.random() * self.late_s if self.rng.random() < self.late else 0
        return self.hop_s + late_s


class TokenFleet:
    """A fleet with one bucket for each domain, driven by a heap of events."""

    def __init__(
        self,
        *,
        domains: int,
        rate: float,
        burst: float,
        network: Network | None = None,
        make: Callable[..., FleetBucket] = FleetBucket,
        settled: bool = True,
    ) -> None:
        self.now = 0.0
        self.names = [f"d{n}" for n in range(domains)]
        self.rate, self.burst = rate, burst
        self.rows = dict.fromkeys(self.names, (rate, burst))
        self.network = network or Network(random.Random(1))
        self.admitted: list[float] = []
        self.refused: list[tuple[float, float]] = []
        self.outcome: dict[int, bool] = {}
        self.messages = 0
        self.bytes = 0
        self.leases: dict[str, float] = {}
        self.buckets: dict[str, FleetBucket] = {}
        self._make = make
        self._wake_times: dict[str, float | None] = {}
        self._tickets = itertools.count(1)
        self._runs = itertools.count(1)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        for name in self.names:
            self.begin(name)
        if settled:
            self.run(1.0 + 2 * burst / rate)

    def begin(self, domain: str, *, settle_s: float = 0.0) -> None:
        """Start a home that knows nothing of its predecessor.

        Args:
            domain: The home's failure domain.
            settle_s: Seconds until the predecessor's loans have ended.
        """
        home = f"{domain}/{next(self._runs)}"
        self.leases[home] = float("inf")
        rate, burst = self.rows[domain]
        self.buckets[domain] = bucket = self._make(
            "customer",
            domain,
            home,
            domains=len(self.names),
            rate=rate,
            burst=burst,
            now=self.now,
            holds=lambda now: now < self.leases[home],
            settled_at=self.now + settle_s,
        )
        self._decide(domain, bucket)

    def take_over(self, domain: str) -> None:
        """Start a home whose predecessor may have left before its lease ended."""
        self.begin(domain, settle_s=SHARE_HOLD_S)

    def kill(self, domain: str) -> None:
        self.buckets.pop(domain, None)

    def edit(self, domain: str, rate: float, burst: float) -> None:
        self.rows[domain] = (rate, burst)
        if domain in self.buckets:
            self.buckets[domain].resize(rate, burst, self.now)

    def arrive(self, domain: str, bucket: FleetBucket | None = None) -> int:
        ticket = next(self._tickets)
        bucket = bucket or self.buckets.get(domain)
        if bucket is None:
            self.outcome[ticket] = False
            return ticket
        bucket.enqueue(ticket, self.now)
        self._decide(domain, bucket)
        return ticket

    def at(self, time: float, callback: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (time, next(self._order), callback, args))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now = max(self.now, until)

    def _decide(self, domain: str, bucket: FleetBucket) -> None:
        peers = [name for name in self.names if name != domain]
        decision = bucket.decide(self.now, peers)
        for ticket in decision.admitted:
            self.admitted.append(self.now)
            self.outcome[ticket] = True
        for refusal in decision.refused:
            self.refused.append((self.now, refusal.retry_after_s))
            self.outcome[refusal.ticket] = False
        for ask in decision.asks:
            self._send(domain, ask.lender, ask, self._on_ask, domain)
        self._wake_times[bucket.home] = decision.next_decision_at
        if decision.next_decision_at is not None:
            self.at(decision.next_decision_at, self._wake, domain, bucket)

    def _wake(self, domain: str, bucket: FleetBucket) -> None:
        if self._wake_times[bucket.home] == self.now:
            self._decide(domain, bucket)

    def _on_ask(self, ask: Any, source: str) -> None:
        bucket = self.buckets.get(ask.lender)
        if bucket is not None:
            grant = bucket.lend(ask, self.now)
            self._send(ask.lender, source, grant, self._on_grant, source)

    def _on_grant(self, grant: Any, domain: str) -> None:
        bucket = self.buckets.get(domain)
        if bucket is not None:
            bucket.receive(grant, self.now)
            self._decide(domain, bucket)

    def _send(
        self, source: str, target: str, body: Any, callback: Any, *args: Any
    ) -> None:
        self.messages += 1
        self.bytes += len(msgspec.msgpack.encode(body)) + MESSAGE_OVERHEAD_BYTES
        for delay in self.network.delays(source, target):
            self.at(self.now + delay, callback, body, *args)


def excess(times: list[float], rate: float, burst: float) -> float:
    """Return the most by which any time window exceeded rate * t + burst."""
    level, last_at, max_excess = 0.0, 0.0, 0.0
    for time in sorted(times):
        level = max(0.0, level - rate * (time - last_at)) + 1.0
        last_at = time
        max_excess = max(max_excess, level - burst)
    return max_excess


def ideal(times: list[float], rate: float, burst: float) -> list[bool]:
    """Return which requests a single bucket for the whole fleet would have admitted."""
    bucket = TokenBucket(rate, burst, now=0.0, level=burst)
    return [bucket.try_acquire(time) == 0 for time in times]
