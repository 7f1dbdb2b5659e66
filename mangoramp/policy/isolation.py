"""Detection that this instance is cut off from servers that other instances reach.

Without it, callers would still be routed to an instance that cannot serve them while
other instances could.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

MIN_SILENCE_S = 0.5  # covers several lost packets in a row and a failed reconnect
MIN_FAILURES = 2
REPORT_AGE_ERROR_S = 0.3  # the age of a report is known to within one report interval


@dataclass(frozen=True, slots=True)
class Reachability:
    """How well this instance reaches one group's primary.

    Attributes:
        silent_s: Seconds since the primary stopped answering here; 0 while it answers.
        failures: The number of consecutive failed attempts.
        peer_heard_s: Seconds since the primary last answered a reachable peer.
    """

    silent_s: float
    failures: int
    peer_heard_s: float


def has_majority(reachable: Collection[str], instances: Collection[str]) -> bool:
    """Return whether the reachable instances are a majority of all instances.

    Of two equal halves, the one with the alphabetically first name is the majority.
    """
    if 2 * len(reachable) != len(instances):
        return 2 * len(reachable) > len(instances)
    return min(instances) in reachable


def is_unreachable_here(reach: Reachability, *, majority: bool) -> bool:
    """Return whether a primary is unreachable from here only.

    Without a majority, any silent primary counts: the majority is assumed to reach it.
    """
    if reach.silent_s < MIN_SILENCE_S or reach.failures < MIN_FAILURES:
        return False
    # An answer to a peer from before the silence began here proves nothing.
    return not majority or reach.peer_heard_s < reach.silent_s - REPORT_AGE_ERROR_S


def is_cut_off(lost: Sequence[bool]) -> bool:
    """Return whether at least half of the primaries are unreachable from here.

    Callers are then better served by other instances.

    Args:
        lost: For each group, whether its primary is unreachable from here only.
    """
    return 2 * sum(lost) >= len(lost) > 0
