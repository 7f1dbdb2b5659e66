"""Detection that this instance is cut off from servers that other instances reach.

Without it, callers would still be routed to an instance that cannot serve them while
other instances could. The platform's balancer sends callers to another failure domain
only once all instances of theirs are out of rotation, so that the last instance to
notice counts, also one that sends no statements to the servers itself.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

ISOLATION_S = 0.75  # two reports of each instance of the other domains are missing
MIN_SILENCE_S = 0.5  # covers several lost packets in a row and a failed reconnect
MIN_FAILURES = 2
MAX_UNPROBED_S = 0.3  # a statement usually shows within this time that a path works
PROBE_INTERVAL_S = 0.25  # two probes within MIN_SILENCE_S
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


def is_isolated(now: float, others_heard_at: float | None) -> bool:
    """Return whether this failure domain has probably lost all others.

    Single instances fall silent for many reasons and are given more time. That all of
    the other domains fall silent together is certain sooner.

    Args:
        now: The time in seconds.
        others_heard_at: When a report from another failure domain last arrived, in
            seconds; None if none ever did.
    """
    return others_heard_at is not None and now - others_heard_at >= ISOLATION_S


class PathEvidence:
    """What probes have shown of the path to one server.

    Only instances without a majority begin to probe: those that lost most of the others
    are either cut off, or the others have failed and the servers are in reach.
    """

    def __init__(self) -> None:
        self._failing_since: float | None = None
        self._failures = 0
        self._probed_at = -math.inf
        self._reached_at = -math.inf

    def is_unconfirmed(self, now: float, *, heard_s: float) -> bool:
        """Return whether nothing has shown lately that the path works.

        Args:
            now: The time in seconds.
            heard_s: Seconds since the server last answered this instance.
        """
        return min(heard_s, now - self._reached_at) > MIN_SILENCE_S

    def must_probe(self, now: float, *, heard_s: float, majority: bool) -> bool:
        """Return whether to probe the path now.

        A path that failed is probed until it works again.

        Args:
            now: The time in seconds.
            heard_s: Seconds since the server last answered this instance.
            majority: Whether most of the instances are reachable.
        """
        if now - self._probed_at < PROBE_INTERVAL_S:
            return False
        is_failing = self._failing_since is not None
        return is_failing or (not majority and heard_s > MAX_UNPROBED_S)

    def record_start(self, now: float) -> None:
        """Record that a probe was sent."""
        self._probed_at = now

    def record_result(self, sent_at: float, *, is_reached: bool) -> None:
        """Record the result of a probe.

        Args:
            sent_at: When the probe was sent, in seconds.
            is_reached: Whether the server accepted a connection.
        """
        if is_reached:
            self._reached_at = max(self._reached_at, sent_at)
            self._failing_since = None
            self._failures = 0
            return
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = sent_at

    def is_lost(self, now: float) -> bool:
        """Return whether the path fails for so long that the server is out of reach."""
        since = self._failing_since
        if since is None or self._failures < MIN_FAILURES:
            return False
        return now - since >= MIN_SILENCE_S
