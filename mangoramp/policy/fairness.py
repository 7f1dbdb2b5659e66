"""Weighted fair queueing of requests over customers."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class _Entry(Generic[Item]):
    item: Item
    cost_s: float


@dataclass(slots=True)
class _CustomerQueue(Generic[Item]):
    weight: float
    entries: deque[_Entry[Item]]
    virtual_finish: float = 0.0
    queued_s: float = 0.0


class FairQueue(Generic[Item]):
    """A start-time fair queue, bounded for each customer and in total.

    While a customer has waiting requests, it gets slot time in proportion to its
    weight. An idle customer accumulates no credit.

    Args:
        max_per_customer: The most requests of one customer that may wait.
        max_total: The most requests of all customers that may wait.
    """

    def __init__(self, *, max_per_customer: int, max_total: int) -> None:
        self._max_per_customer = max_per_customer
        self._max_total = max_total
        self._queues: dict[str, _CustomerQueue[Item]] = {}
        self._start_heap: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, customer: str, item: Item, *, weight: float, cost_s: float) -> bool:
        """Append a request to its customer's queue.

        Args:
            customer: The customer that sent the request.
            item: The request.
            weight: The customer's weight, above 0.
            cost_s: Seconds for which the request is expected to occupy a slot.

        Returns:
            False if the customer's queue or the whole queue is full.
        """
        queue = self._queues.get(customer)
        if queue is None:
            queue = self._queues[customer] = _CustomerQueue(weight, deque())
        if (
            len(queue.entries) >= self._max_per_customer
            or self._count >= self._max_total
        ):
            return False
        queue.weight = weight
        queue.entries.append(_Entry(item, cost_s))
        queue.queued_s += cost_s
        self._count += 1
        if len(queue.entries) == 1:
            self._activate(customer, queue)
        return True

    def pop(self) -> Item | None:
        """Remove and return the next request, None if no request waits."""
        if not self._start_heap:
            return None
        virtual_start, customer = heapq.heappop(self._start_heap)
        queue = self._queues[customer]
        entry = queue.entries.popleft()
        self._virtual_time = max(self._virtual_time, virtual_start)
        queue.virtual_finish = virtual_start + entry.cost_s / queue.weight
        self._discount(queue, entry)
        if queue.entries:
            heapq.heappush(self._start_heap, (queue.virtual_finish, customer))
        else:
            self._remove_idle()
        return entry.item

    def cancel(self, customer: str, item: Item) -> bool:
        """Remove a request whose caller has disconnected; False if it is not queued."""
        queue = self._queues.get(customer)
        entries = queue.entries if queue is not None else deque()
        for entry in entries:
            if entry.item == item and queue is not None:
                entries.remove(entry)
                self._discount(queue, entry)
                self._reschedule(customer, queue)
                return True
        return False

    def charge(self, customer: str, extra_s: float) -> None:
        """Correct a customer's charge once the actual slot time is known.

        Args:
            customer: The customer.
            extra_s: Actual minus expected seconds; may be negative.
        """
        queue = self._queues.get(customer)
        if queue is not None:
            queue.virtual_finish += extra_s / queue.weight
            self._reschedule(customer, queue)

    def expected_wait_s(self, customer: str, *, weight: float, cost_s: float) -> float:
        """Estimate the wait of a new request as seconds of work on a single slot.

        Args:
            customer: The customer that would send the request.
            weight: The customer's weight.
            cost_s: Seconds for which the request would occupy a slot.
        """
        queue = self._queues.get(customer)
        own_queued_s = queue.queued_s if queue is not None else 0.0
        virtual_cost = (own_queued_s + cost_s) / weight
        ahead_s = own_queued_s
        for other_customer, other in self._queues.items():
            if other_customer != customer:
                ahead_s += min(other.queued_s, virtual_cost * other.weight)
        return ahead_s

    def _activate(self, customer: str, queue: _CustomerQueue[Item]) -> None:
        queue.virtual_finish = max(self._virtual_time, queue.virtual_finish)
        heapq.heappush(self._start_heap, (queue.virtual_finish, customer))

    def _reschedule(self, customer: str, queue: _CustomerQueue[Item]) -> None:
        self._start_heap = [entry for entry in self._start_heap if entry[1] != customer]
        heapq.heapify(self._start_heap)
        if queue.entries:
            heapq.heappush(self._start_heap, (queue.virtual_finish, customer))

    def _discount(self, queue: _CustomerQueue[Item], entry: _Entry[Item]) -> None:
        queue.queued_s = max(0.0, queue.queued_s - entry.cost_s)
        self._count -= 1

    def _remove_idle(self) -> None:
        for customer, queue in list(self._queues.items()):
            if not queue.entries and queue.virtual_finish <= self._virtual_time:
                del self._queues[customer]
