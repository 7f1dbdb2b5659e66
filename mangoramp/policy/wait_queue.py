"""Deadline-aware queue of requests that wait for a server's connections.

Under overload, a first-in-first-out queue would serve every statement late. This queue
serves the statements that can still meet their objective first, and refuses at once
those that cannot be served before their deadline, so that their callers can retry.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

FAIR_HANDOVER_INTERVAL = 8  # every 8th handover is open to all customers alike
SMOOTHING_WEIGHT = 0.1  # averages over about ten handovers
START_HANDOVER_INTERVAL_S = 0.002  # a short statement on a handful of connections
STATEMENT_TIME_MARGIN = 2.0  # few statements take over twice the usual time
MAX_CLASSES = 8  # in reports; less urgent classes count as the last of these


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for a connection.

    Attributes:
        customer: The customer whose connection the request needs.
        priority: The priority class, 0 for the most urgent.
        due_at: When the answer misses the latency objective, in seconds.
        deadline: When the request times out, in seconds.
        number: A sequence number in order of arrival.
    """

    customer: str
    priority: int
    due_at: float
    deadline: float
    number: int


class WaitQueue:
    """The requests that wait for one server's connections.

    Attributes:
        statement_s: Seconds for which a statement usually occupies a connection.
        handover_interval_s: Average seconds between two handovers of a connection
            while requests are waiting.
        min_interval_s: The least seconds between two handovers that a limit allows on
            average, 0 for none.
    """

    def __init__(self) -> None:
        self.statement_s = 0.0
        self.min_interval_s = 0.0
        self.handover_interval_s = START_HANDOVER_INTERVAL_S
        self._waiters: list[Waiter] = []
        self._last_number = 0
        self._handover_at: float | None = None
        self._interval_count = 0
        self._handover_count = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiters)

    @property
    def interval_s(self) -> float:
        """The expected seconds between two handovers."""
        return max(self.handover_interval_s, self.min_interval_s)

    def enqueue(
        self, customer: str, *, priority: int, due_at: float, deadline: float
    ) -> Waiter:
        """Add a request to the queue."""
        self._last_number += 1
        waiter = Waiter(customer, priority, due_at, deadline, self._last_number)
        self._waiters.append(waiter)
        return waiter

    def requeue(self, waiter: Waiter) -> None:
        """Put back a request that could not use the connection it was given."""
        if waiter not in self._waiters:
            self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue, if it is still there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not self._waiters:
            self._handover_at = None

    def record_handover(self, now: float) -> None:
        """Record that a connection was handed over to a request."""
        if self._handover_at is not None:
            self._interval_count += 1
            weight = max(SMOOTHING_WEIGHT, 1 / self._interval_count)
            self.handover_interval_s += weight * (
                now - self._handover_at - self.handover_interval_s
            )
        self._handover_at = now if self._waiters else None
        self._handover_count += 1

    def next_waiter(self, now: float, customer: str = "") -> Waiter | None:
        """Return the request that gets the next connection, without removing it.

        Args:
            now: The current time, in seconds.
            customer: The customer whose connection is free, empty if none is. This
                customer is preferred: opening a connection for another one costs the
                server as much as a statement, which halves throughput under overload.
        """
        if (self._handover_count + 1) % FAIR_HANDOVER_INTERVAL == 0:
            customer = ""
        return min(self._waiters, key=self._sort_key(now, customer), default=None)

    def predict(
        self,
        customer: str,
        *,
        priority: int,
        due_at: float,
        deadline: float,
        now: float,
    ) -> tuple[int, float]:
        """Return a new request's place and its wait, without adding the request.

        Returns:
            The number of requests before it and the expected wait in seconds.
        """
        new = Waiter(customer, priority, due_at, deadline, self._last_number + 1)
        key = self._sort_key(now, "")
        ahead = sum(key(waiter) < key(new) for waiter in self._waiters)
        return ahead, ahead * self.interval_s

    def find_unservable(self, now: float) -> list[tuple[Waiter, float]]:
        """Return the requests that would miss their deadline at the current rate.

        Args:
            now: The current time, in seconds.

        Returns:
            Each such request, with the seconds that it would have to wait.
        """
        total_s = len(self._waiters) * self.interval_s
        if now + total_s <= min((p.deadline for p in self._waiters), default=math.inf):
            return []
        # The first request is never refused, so that an outdated rate is remeasured.
        ordered = sorted(self._waiters, key=self._sort_key(now, ""))
        waits = ((p, n * self.interval_s) for n, p in enumerate(ordered))
        return [
            (waiter, wait_s)
            for waiter, wait_s in waits
            if now + wait_s > waiter.deadline
        ]

    def waits_by_class(self, now: float) -> tuple[float, ...]:
        """Return the seconds until a new request is served, by its priority class.

        The last entry also holds for less urgent classes. Requests that will miss their
        objective are left out, since a new one that can still meet it is served first.

        Args:
            now: The current time, in seconds.
        """
        done_at = now + STATEMENT_TIME_MARGIN * self.statement_s
        counts = [0] * MAX_CLASSES
        for waiter in self._waiters:
            if done_at <= waiter.due_at:
                counts[min(waiter.priority, MAX_CLASSES - 1)] += 1
        while counts and not counts[-1]:
            counts.pop()
        return tuple(n * self.interval_s for n in itertools.accumulate(counts))

    def _sort_key(
        self, now: float, customer: str
    ) -> Callable[[Waiter], tuple[bool, int, bool, float, int]]:
        done_at = now + STATEMENT_TIME_MARGIN * self.statement_s

        def sort_key(waiter: Waiter) -> tuple[bool, int, bool, float, int]:
            is_late = done_at > waiter.due_at
            needs_other_connection = bool(customer) and waiter.customer != customer
            time_limit = waiter.deadline if is_late else waiter.due_at
            return (
                is_late,
                waiter.priority,
                needs_other_connection,
                time_limit,
                waiter.number,
            )

        return sort_key
