"""The customers' limits over all instances."""

from __future__ import annotations

import math

from ..events import RATE_REFUSED, emit
from ..policy.quota import COLD_START_FILL, SharedBucket
from .deployment import Customer, Deployment
from .peers import Peers

NEAR = 0.5  # of the burst; above it, a late report admits nothing beyond the limits
LONGEST_WAIT_S = 60.0  # told to a caller whose customer may do nothing at all


class Limits:
    """This instance's copies of the customers' buckets.

    Args:
        name: This instance.
        peers: The other instances.
        is_first_start: Whether nothing was admitted before this process.
    """

    def __init__(self, name: str, peers: Peers, *, is_first_start: bool) -> None:
        self.spent: dict[str, int] = {}
        self._name = name
        self._peers = peers
        self._fill = 1.0 if is_first_start else COLD_START_FILL
        self._buckets: dict[str, SharedBucket] = {}
        self._limits: dict[str, Customer] = {}

    def resize(self, deployment: Deployment, now: float) -> None:
        """Take over a configuration's limits."""
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
                    customer.rate, customer.burst, now=now, fill=self._fill
                )
                continue
            part = self._part(bucket)
            bucket.resize(customer.rate, customer.burst, now, part)

    def admit(self, customer: str, now: float, request_id: str) -> float:
        """Take one operation from a customer's limits.

        Args:
            customer: The customer.
            now: The time, in seconds.
            request_id: The id of the operation's first statement.

        Returns:
            0 if it was taken, else the seconds until it might be.
        """
        bucket = self._buckets.get(customer)
        if bucket is not None:
            part = self._part(bucket)
            wait_s = bucket.try_acquire(self._name, now, part)
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
                    in_touch=len(self._peers.heard),
                )
                return wait_s if math.isfinite(wait_s) else LONGEST_WAIT_S
        self.spent[customer] = self.spent.get(customer, 0) + 1
        return 0.0

    def urgent(self) -> dict[str, int]:
        """What was admitted here of customers that are near their limits."""
        return {
            name: self.spent[name]
            for name, bucket in self._buckets.items()
            if name in self.spent and bucket.level < NEAR * self._limits[name].burst
        }

    def spent_by(self, peer: str, customer: str, count: int, now: float) -> None:
        """Take out what a peer admitted."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.record_remote_use(peer, count, now, self._part(bucket))

    def _part(self, bucket: SharedBucket) -> float:
        return bucket.usable_part(self._peers.heard, self._peers.everyone)
