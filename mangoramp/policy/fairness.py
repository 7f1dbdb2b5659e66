"""Weighted fair queueing: whose request gets the next free slot."""

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
class _Line(Generic[Item]):
    weight: float
    entries: deque[_Entry[Item]]
    finish: float = 0.0
    queued_s: float = 0.0


class FairQueue(Generic[Item]):
    """Start-time fair queueing over customers, bounded for each and in all.

    Each customer's line gets service in proportion to its weight, measured in seconds
    of the slots, while it has requests. A customer that was idle gains nothing by it.

    Args:
        each: The most requests of one customer that wait.
        total: The most requests that wait in all.
    """

    def __init__(self, *, each: int, total: int) -> None:
        self._each = each
        self._total = total
        self._lines: dict[str, _Line[Item]] = {}
        self._starts: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, customer: str, item: Item, *, weight: float, cost_s: float) -> bool:
        """Put a request at the end of its customer's line.

        Args:
            customer: Whose request it is.
            item: The request.
            weight: The customer's weight, above 0.
            cost_s: The seconds for which it is expected to occupy a slot.

        Returns:
            False if the line, or the whole queue, is full.
        """
        line = self._lines.get(customer)
        if line is None:
            line = self._lines[customer] = _Line(weight, deque())
        if len(line.entries) >= self._each or self._count >= self._total:
            return False
        line.weight = weight
        line.entries.append(_Entry(item, cost_s))
        line.queued_s += cost_s
        self._count += 1
        if len(line.entries) == 1:
            self._enter(customer, line)
        return True

    def pop(self) -> Item | None:
        """Take the request that is next, None if none waits."""
        while self._starts:
            start, customer = heapq.heappop(self._starts)
            line = self._lines[customer]
            if not line.entries:
                continue
            entry = line.entries.popleft()
            self._virtual = max(self._virtual, start)
            line.finish = start + entry.cost_s / line.weight
            self._leave(line, entry)
            if line.entries:
                heapq.heappush(self._starts, (line.finish, customer))
            else:
                self._forget_idle()
            return entry.item
        return None

    def cancel(self, customer: str, item: Item) -> bool:
        """Take out a request whose caller has left; False if it does not wait."""
        line = self._lines.get(customer)
        entries = line.entries if line is not None else deque()
        for entry in entries:
            if entry.item == item and line is not None:
                entries.remove(entry)
                self._leave(line, entry)
                return True
        return False

    def charge(self, customer: str, extra_s: float) -> None:
        """Correct what a customer was charged, once the true seconds are known."""
        line = self._lines.get(customer)
        if line is not None:
            line.finish += extra_s / line.weight

    def wait_s(self, customer: str, *, weight: float, cost_s: float) -> float:
        """The seconds of one slot that pass before a new request would get it.

        Args:
            customer: Whose request it would be.
            weight: The customer's weight.
            cost_s: The seconds for which it would occupy a slot.
        """
        line = self._lines.get(customer)
        own_s = line.queued_s if line is not None else 0.0
        turns = (own_s + cost_s) / weight
        ahead_s = own_s
        for name, other in self._lines.items():
            if name != customer:
                ahead_s += min(other.queued_s, turns * other.weight)
        return ahead_s

    def _enter(self, customer: str, line: _Line[Item]) -> None:
        start = max(self._virtual, line.finish)
        heapq.heappush(self._starts, (start, customer))

    def _leave(self, line: _Line[Item], entry: _Entry[Item]) -> None:
        line.queued_s = max(0.0, line.queued_s - entry.cost_s)
        self._count -= 1

    def _forget_idle(self) -> None:
        for name, line in list(self._lines.items()):
            if not line.entries and line.finish <= self._virtual:
                del self._lines[name]
