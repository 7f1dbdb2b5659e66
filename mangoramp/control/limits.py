"""Enforces the customers' rate limits, which are shared by all instances."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from ..events import RATE_REFUSED, emit
from ..policy.quota import (
    ALL_KNOWN,
    NEAR_LIMIT_FRACTION,
    Counts,
    RateTolerance,
    SharedBucket,
    restart_fill,
)
from ..policy.quota_parts import EvenParts, Reach, ReachObserver
from ..policy.token_bucket import TokenBucket
from .deployment import Customer, Deployment
from .peers import Peers

REACH_REFRESH_S = 0.05  # half of the shortest interval of reports
LATE_INTERVALS = 1.6  # between reports; tolerates jitter but no lost report
STAND_IN_PART = 0.5  # a customer that its home does not report has as much left there
STAND_IN_S = 1.0  # for which a home is told what another instance admitted for it
MAX_RETRY_AFTER_S = 60.0  # for a customer that may run nothing at all


@dataclass(frozen=True, slots=True)
class _StandIn:
    home: str
    tokens: TokenBucket
    at: float


class CustomerLimits:
    """This instance's copies of the customers' token buckets.

    Args:
        name: This instance's name.
        peers: The other instances.
        is_first_start: Whether no operation was admitted before this process started.
        tolerance: By how much a customer may exceed its limit, None for not at all.

    Attributes:
        live_home_of: Returns a customer's home among all live instances, also those
            that did not answer lately; empty if there are no homes.
    """

    def __init__(
        self,
        name: str,
        peers: Peers,
        *,
        is_first_start: bool,
        tolerance: RateTolerance | None = None,
    ) -> None:
        self.spent: dict[str, int] = {}
        self.live_home_of: Callable[[str], str] = lambda customer: ""
        self._stand_ins: dict[str, _StandIn] = {}
        self._name = name
        self._peers = peers
        self._is_first_start = is_first_start
        self._tolerance = tolerance or RateTolerance()
        self._buckets: dict[str, SharedBucket] = {}
        self._limits: dict[str, Customer] = {}
        self._started_at = peers.now
        self._observer = ReachObserver(self._started_at)
        self._even_parts = EvenParts(self._started_at)
        self._even_part = 1.0
        self._reached = Reach((name,), (name,), {})
        self._reached_counts = (0, 0)
        self._reached_at = float("-inf")

    def apply_deployment(self, deployment: Deployment, now: float) -> None:
        """Apply the rate limits of a configuration."""
        for name in list(self._buckets):
            if name not in deployment.customers:
                del self._buckets[name]
        self._limits = dict(deployment.customers)
        for customer in deployment.customers.values():
            if customer.rate is None:
                self._buckets.pop(customer.name, None)
                continue
            bucket = self._buckets.get(customer.name)
            if bucket is None:
                self._buckets[customer.name] = SharedBucket(
                    customer.rate,
                    customer.burst,
                    now=now,
                    fill=self._fill(customer),
                    is_unused=self._is_first_start,
                )
                continue
            part = self._observe_part(bucket, now)
            bucket.resize(customer.rate, customer.burst, now, part)

    def _fill(self, customer: Customer) -> float:
        if self._is_first_start or customer.rate is None:
            return 1.0
        return restart_fill(customer.rate, customer.burst, self._tolerance)

    def admit(self, customer: str, now: float, request_id: str) -> float:
        """Charge one operation to a customer's rate limit.

        Args:
            customer: The customer.
            now: The time, in seconds.
            request_id: The id of the operation's first statement.

        Returns:
            0 if the operation is admitted, else the seconds until it may be retried.
        """
        bucket = self._buckets.get(customer)
        if bucket is not None:
            part = self._observe_part(bucket, now)
            stand_in = self._find_stand_in(customer, bucket, now)
            if stand_in is not None:
                bucket.cap_level(stand_in.tokens.level(now), now, part)
            wait_s = bucket.try_acquire(self._name, now, part)
            if wait_s == 0 and stand_in is not None:
                stand_in.tokens.try_acquire(now)
                self._stand_ins[customer] = replace(stand_in, at=now)
            if wait_s > 0:
                limits = self._limits[customer]
                emit(
                    RATE_REFUSED,
                    id=request_id,
                    customer=customer,
                    rate=limits.rate,
                    burst=limits.burst,
                    level=round(bucket.level, 2),
                    part=round(part, 3),
                    in_touch=len(self._peers.live_instances),
                )
                return wait_s if math.isfinite(wait_s) else MAX_RETRY_AFTER_S
        self.spent[customer] = self.spent.get(customer, 0) + 1
        return 0.0

    def wait_s(self, customer: str, now: float) -> float:
        """Return what :meth:`admit` would return, without charging an operation.

        Args:
            customer: The customer.
            now: The time, in seconds.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            return 0.0
        wait_s = bucket.wait_s(now, self._usable_part(bucket, now))
        stand_in = self._find_stand_in(customer, bucket, now)
        if stand_in is not None:
            tokens = stand_in.tokens
            missing = max(0.0, 1.0 - tokens.level(now))
            wait_s = max(wait_s, missing / tokens.rate if tokens.rate > 0 else math.inf)
        return wait_s if math.isfinite(wait_s) else MAX_RETRY_AFTER_S

    def stood_in_for(self) -> set[str]:
        """Return the homes in whose place operations were admitted here lately."""
        oldest = self._peers.now - STAND_IN_S
        self._stand_ins = {c: s for c, s in self._stand_ins.items() if s.at > oldest}
        return {stand_in.home for stand_in in self._stand_ins.values()}

    def may_hedge(self, customer: str, now: float) -> bool:
        """Return whether at least half of a customer's burst is left.

        Below it, a hedged read could use up what the customer's own requests need.

        Args:
            customer: The customer.
            now: The time, in seconds.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            return True
        level = bucket.current_level(now, self._observe_part(bucket, now))
        return level >= NEAR_LIMIT_FRACTION * self._limits[customer].burst

    def spent_near_limit(self) -> dict[str, int]:
        """Return the operations admitted here, by customer near its rate limit.

        Those admitted in place of a live home count as near, since it may be.
        """
        if not self._peers.is_direct():
            self._observe_even_part(self._peers.now)  # also while no customer is active
        return {
            name: self.spent[name]
            for name, bucket in self._buckets.items()
            if name in self.spent
            and (
                name in self._stand_ins
                or bucket.level < NEAR_LIMIT_FRACTION * self._limits[name].burst
            )
        }

    def record_peer_spent(
        self, peer: str, customer: str, count: int, now: float, *, is_recent: bool
    ) -> None:
        """Charge the operations that a peer admitted.

        Args:
            peer: The peer.
            customer: The customer.
            count: The number of operations.
            now: The time, in seconds.
            is_recent: Whether all of them were admitted a short time ago.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            return
        part = self._observe_part(bucket, now)
        if is_recent:
            bucket.record_remote_use(peer, count, now, part)
        else:
            bucket.record_earlier_use(peer, count, now, part)

    def _find_stand_in(
        self, customer: str, bucket: SharedBucket, now: float
    ) -> _StandIn | None:
        """Return what this instance may admit in place of a live home, if it is none.

        Callers that got no answer from the home use another one, while others still
        use it. Until it is told, it counts on what is left of the limit for itself.
        """
        home = "" if self._peers.is_direct() else self.live_home_of(customer)
        if not home or home == self._name:
            self._stand_ins.pop(customer, None)
            return None
        known = self._stand_ins.get(customer)
        if known is not None and known.home == home:
            return known
        limits = self._limits[customer]
        rate, burst = limits.rate or 0.0, limits.burst
        part = max(STAND_IN_PART, restart_fill(rate, burst, self._tolerance))
        level = bucket.current_level(now, self._usable_part(bucket, now))
        level = max(0.0, min(level, burst * part))
        tokens = TokenBucket(rate * part, burst * part, now=now, level=level)
        return _StandIn(home, tokens, now)

    def _observe_part(self, bucket: SharedBucket, now: float) -> float:
        """Return the usable part, and record which instances are in touch."""
        if self._peers.is_direct():
            bucket.observe(self._observe_reach(now), now)
        bucket.record_counts(self._counts(bucket))
        return self._usable_part(bucket, now)

    def _counts(self, bucket: SharedBucket) -> Counts:
        """Return how far the operations of the other instances in touch are known."""
        live = self._peers.live_instances
        if len(live) < 2 or not self._peers.is_direct():
            return ALL_KNOWN  # a home admits all operations of its customers
        return Counts(
            min(self._peers.last_report_at(n) for n in live if n != self._name),
            bucket.share_of(self._name, live),
            LATE_INTERVALS * self._peers.report_interval_s,
        )

    def _usable_part(self, bucket: SharedBucket, now: float) -> float:
        if self._peers.is_direct():
            return bucket.usable_part(self._reached, now)
        return self._observe_even_part(now)

    def _observe_even_part(self, now: float) -> float:
        heard, everyone = self._peers.live_instances, self._peers.known_instances
        if self._is_reach_due(heard, everyone, now):
            self._even_part = self._even_parts.observe(heard, everyone, now)
        return self._even_part

    def _observe_reach(self, now: float) -> Reach:
        heard, everyone = self._peers.live_instances, self._peers.known_instances
        if self._is_reach_due(heard, everyone, now):
            self._reached = self._observer.observe(
                heard, everyone, self._silences(heard, everyone, now), now
            )
        return self._reached

    def _is_reach_due(
        self, heard: Collection[str], everyone: Collection[str], now: float
    ) -> bool:
        known = (len(heard), len(everyone))
        if known == self._reached_counts and now - self._reached_at < REACH_REFRESH_S:
            return False
        self._reached_counts, self._reached_at = known, now
        return True

    def _silences(
        self, heard: Collection[str], everyone: Collection[str], now: float
    ) -> dict[str, float]:
        # An instance that this process has never heard may have been in use until then.
        if len(heard) >= len(everyone):
            return {}
        return {
            name: now - max(self._started_at, self._peers.last_report_at(name))
            for name in set(everyone).difference(heard)
        }
