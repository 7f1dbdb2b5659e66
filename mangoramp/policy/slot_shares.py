"""Division of a server's concurrency among the homes, by the urgency of their work.

Each home orders only its own queue. Without a common view, a home with nothing but the
least urgent statements fills the server's queue, and the most urgent statements of the
other homes wait behind them.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

QUEUE_PART = 1.0  # of the slots; half of it leaves slots idle while homes wait
SMOOTHING_WEIGHT = 0.3  # of the latest interval; averages over about three reports
MEAN_SHARE_WEIGHT = 0.2  # averages over about a second
MIN_MEAN_SHARE = 0.05  # a share of 0 may end with the next report
LOG_CHANGE = 0.25  # relative change of a share that is logged


@dataclass(frozen=True, slots=True)
class Demand:
    """The concurrency that a home needs at a server.

    Attributes:
        by_class: Statements in flight on average and statements waiting, by priority
            class.
    """

    by_class: Mapping[int, float] = field(default_factory=dict)

    @property
    def total(self) -> float:
        """The demand of all classes."""
        return sum(self.by_class.values())


def concurrency(slots: int) -> float:
    """Return how many statements all homes together may have at a server.

    Args:
        slots: Statements that the server runs concurrently.
    """
    return slots + max(1.0, QUEUE_PART * slots)


def slot_share(
    own: Demand, others: Collection[Demand], slots: int, *, silent: int = 0
) -> float:
    """Return this home's part of a server's concurrency.

    The classes are served in order of priority, the homes within a class in proportion
    to their demand. What nobody needs is open to each home, for its next burst.

    Args:
        own: The demand of this home.
        others: The demands of the homes with recent reports.
        slots: Statements that the server runs concurrently.
        silent: The number of homes whose reports are overdue; each keeps an equal part.
    """
    homes = 1 + len(others) + silent
    free = concurrency(slots) * (homes - silent) / homes
    totals: dict[int, float] = dict(own.by_class)
    for demand in others:
        for priority, amount in demand.by_class.items():
            totals[priority] = totals.get(priority, 0.0) + amount
    wanted = sorted(p for p, amount in totals.items() if amount > 0)
    share = 0.0
    for priority in wanted:
        served = min(1.0, free / totals[priority])
        share += served * own.by_class.get(priority, 0.0)
        free -= served * totals[priority]
    return share + free


def urgent_class(own: Demand, others: Collection[Demand]) -> int | None:
    """Return the most urgent class with any demand, None without demand.

    A home may always have one statement of this class at the server. If less urgent
    ones could use this floor, the homes with little work would get more than their
    part of the server.
    """
    wanted = [
        p for d in (own, *others) for p, amount in d.by_class.items() if amount > 0
    ]
    return min(wanted, default=None)


class ShareLimit:
    """Turns a share into a whole number of statements in flight.

    A fraction is carried over to the next interval, so that a home whose share is below
    one sends in some of the intervals only, and the mean over time equals the share.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self.mean_share = 0.0
        self._carry = 0.0
        self._logged: float | None = None

    def update(self, share: float) -> int:
        """Set the share for the next interval and return the limit."""
        is_first = self._logged is None
        weight = 1.0 if is_first else MEAN_SHARE_WEIGHT
        self.share = share
        self.mean_share += weight * (share - self.mean_share)
        limit = int(share + self._carry)
        self._carry = share + self._carry - limit
        return limit

    def has_changed(self) -> bool:
        """Return whether the share differs by over a quarter from the last such call.

        The change is noted if so.
        """
        known = self._logged
        if known is not None and abs(self.share - known) <= LOG_CHANGE * known:
            return False
        self._logged = self.share
        return True


class DemandMeter:
    """Measures this home's demand at one server, from one report to the next.

    Args:
        handovers: Connections acquired so far, by priority class.
        answers: Answers received so far.

    Attributes:
        rates: Answers per second, by priority class.
    """

    def __init__(self, handovers: Mapping[int, int], answers: int) -> None:
        self.rates: dict[int, float] = {}
        self._handovers = dict(handovers)
        self._answers = answers

    def update(
        self, handovers: Mapping[int, int], answers: int, interval_s: float
    ) -> None:
        """Record the counts since the start.

        Args:
            handovers: Connections acquired, by priority class.
            answers: Answers received; a transaction gets several on one connection.
            interval_s: Seconds since the previous call.
        """
        acquired = sum(handovers.values()) - sum(self._handovers.values())
        per_handover = (answers - self._answers) / acquired if acquired else 1.0
        for priority, count in handovers.items():
            rate = (count - self._handovers.get(priority, 0)) * per_handover
            known = self.rates.get(priority, 0.0)
            self.rates[priority] = known + SMOOTHING_WEIGHT * (
                rate / interval_s - known
            )
        self._handovers = dict(handovers)
        self._answers = answers


def demand_of(
    rates: Mapping[int, float], waiting: Mapping[int, int], statement_s: float
) -> Demand:
    """Return the demand of a home from what it measured.

    Args:
        rates: Answers per second by priority class.
        waiting: Statements that wait for a connection, by priority class.
        statement_s: Mean seconds of a statement; with the rate, this gives the mean
            number in flight (Little's law).
    """
    return Demand(
        {
            p: max(0.0, rates.get(p, 0.0)) * max(0.0, statement_s)
            + max(0, waiting.get(p, 0))
            for p in {*rates, *waiting}
        }
    )
