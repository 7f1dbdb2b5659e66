"""Whether this instance is cut off from the servers that others still reach.

It answers the load of callers who are sent to an instance that can serve nothing, while
instances elsewhere could serve them.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

LOST_S = 0.5  # several lost packets in a row, and a new connection that failed too
LEAST_FAILURES = 2
LATER_S = 0.3  # a report's age is known to within the time between two of them


@dataclass(frozen=True, slots=True)
class Reach:
    """How this instance reaches one group's primary.

    Attributes:
        silent_s: Seconds since it stopped to answer here; 0 while it answers.
        failures: Failed attempts in a row.
        peer_heard_s: Seconds since a peer in touch heard it.
    """

    silent_s: float
    failures: int
    peer_heard_s: float


def has_majority(touched: Collection[str], everyone: Collection[str]) -> bool:
    """Whether the instances in touch outnumber the rest.

    Of two equal halves, the one with the first name counts as the larger.
    """
    if 2 * len(touched) != len(everyone):
        return 2 * len(touched) > len(everyone)
    return min(everyone) in touched


def is_lost(reach: Reach, *, majority: bool) -> bool:
    """Whether a primary is out of reach here, though not for others."""
    if reach.silent_s < LOST_S or reach.failures < LEAST_FAILURES:
        return False
    # A peer that heard it before it fell silent here tells nothing.
    return not majority or reach.peer_heard_s < reach.silent_s - LATER_S


def is_cut_off(lost: Sequence[bool]) -> bool:
    """Whether so many primaries are lost that callers are better off elsewhere.

    Args:
        lost: For each group, whether its primary is lost.
    """
    return 2 * sum(lost) >= len(lost) > 0
