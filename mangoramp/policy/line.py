"""Who waits for a server's connections, who gets the next one, and who is refused.

It answers the load of more statements than the connections to a server can run in time:
a line in order of arrival then serves every statement late. Those that can still meet
their objective go first, and one that cannot be served within its time is refused at
once, so that its caller may come back.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

FAIR_TURN = 8  # one hand-over in so many goes to the first, of any customer
SMOOTHING = 0.1  # weight of a new value in an average over about ten hand-overs
START_STEP_S = 0.002  # a short statement on a handful of connections
WORK_MARGIN = 2.0  # times the usual work, which few statements exceed


@dataclass(frozen=True, slots=True)
class Place:
    """One request's place in the line.

    Attributes:
        customer: Whose connection it needs.
        priority: Its class, 0 for the most urgent.
        due_at: When its answer is late for its objective, in seconds.
        deadline: When its answer is of no more use, in seconds.
        number: Rises with each place.
    """

    customer: str
    priority: int
    due_at: float
    deadline: float
    number: int


class Line:
    """The requests that wait for one server's connections.

    Attributes:
        work_s: Seconds that a statement usually takes on a connection.
        step_s: Seconds from one hand-over of a connection to the next, averaged over
            the times when somebody waited.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self.step_s = START_STEP_S
        self._places: list[Place] = []
        self._numbers = 0
        self._moved_at: float | None = None
        self._steps = 0
        self._hand_overs = 0

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[Place]:
        return iter(self._places)

    def join(
        self, customer: str, *, priority: int, due_at: float, deadline: float
    ) -> Place:
        """Add a request to the line."""
        self._numbers += 1
        place = Place(customer, priority, due_at, deadline, self._numbers)
        self._places.append(place)
        return place

    def rejoin(self, place: Place) -> None:
        """Put back a request for which the connection was not enough."""
        if place not in self._places:
            self._places.append(place)

    def leave(self, place: Place) -> None:
        """Take a request out of the line, if it is still there."""
        if place in self._places:
            self._places.remove(place)
        if not self._places:
            self._moved_at = None

    def moved(self, now: float) -> None:
        """Note that a connection was handed over."""
        if self._moved_at is not None:
            self._steps += 1
            weight = max(SMOOTHING, 1 / self._steps)
            self.step_s += weight * (now - self._moved_at - self.step_s)
        self._moved_at = now if self._places else None
        self._hand_overs += 1

    def first(self, now: float, customer: str = "") -> Place | None:
        """Who gets the next connection; it stays in the line.

        Args:
            now: The time, in seconds.
            customer: Whose connection is free, empty if none is. It costs a server as
                much to open one for another customer as to run a statement, so that
                in a crowd it would run half as many.
        """
        if (self._hand_overs + 1) % FAIR_TURN == 0:
            customer = ""
        return min(self._places, key=self._order(now, customer), default=None)

    def hopeless(self, now: float) -> list[tuple[Place, float]]:
        """Who will not be served in time at the present pace.

        Args:
            now: The time, in seconds.

        Returns:
            Each of them, with the seconds that it would have to wait.
        """
        whole_s = len(self._places) * self.step_s
        if now + whole_s <= min((p.deadline for p in self._places), default=math.inf):
            return []
        # The first one always waits, so that a pace that has passed is measured anew.
        ordered = sorted(self._places, key=self._order(now, ""))
        waits = ((p, n * self.step_s) for n, p in enumerate(ordered))
        return [
            (place, wait_s) for place, wait_s in waits if now + wait_s > place.deadline
        ]

    def _order(
        self, now: float, customer: str
    ) -> Callable[[Place], tuple[bool, int, bool, float, int]]:
        done_at = now + WORK_MARGIN * self.work_s

        def order(place: Place) -> tuple[bool, int, bool, float, int]:
            is_late = done_at > place.due_at
            is_other = bool(customer) and place.customer != customer
            until = place.deadline if is_late else place.due_at
            return is_late, place.priority, is_other, until, place.number

        return order
