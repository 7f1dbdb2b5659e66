"""Decides when an instance asks the store whether its knowledge is still complete.

Most instances of a large fleet learn of changes from others. That nobody reports one
proves nothing if all whom an instance hears are cut off from the store, paused, or wait
for an answer on a connection that fell silent. So the proof that nothing newer exists
has an age, and whoever sees it grow beyond a part of the bound asks the store itself.
Watchers ask first, since their answers renew the proofs of the others.
"""

from __future__ import annotations

WATCHER_PART = 0.6  # of the bound
FOLLOWER_PART = 0.78  # of the bound; leaves time to ask again after a refusal
JITTER_PART = 0.12  # of the bound; one answer often reaches the others meanwhile
FIRST_RETRY_S = 0.25
MAX_RETRY_S = 4.0


class StalenessLimit:
    """When one instance asks the store about one topic.

    Args:
        jitter: A number from 0 to 1, which differs between instances.
    """

    def __init__(self, jitter: float) -> None:
        self._jitter = jitter
        self._retry_at = float("-inf")
        self._retry_s = FIRST_RETRY_S

    def limit_s(self, bound_s: float, *, is_watcher: bool) -> float:
        """Return the age of the proof at which the store is asked, in seconds.

        Args:
            bound_s: Seconds within which a change must be in force.
            is_watcher: Whether the instance watches the store.
        """
        part = WATCHER_PART if is_watcher else FOLLOWER_PART
        return bound_s * (part + self._jitter * JITTER_PART)

    def wait_s(
        self, now: float, age_s: float, bound_s: float, *, is_watcher: bool
    ) -> float:
        """Return the seconds until the store is to be asked, 0 to ask now.

        Args:
            now: The current time, in seconds.
            age_s: Seconds since nothing newer than what is known existed.
            bound_s: Seconds within which a change must be in force.
            is_watcher: Whether the instance watches the store.
        """
        left_s = self.limit_s(bound_s, is_watcher=is_watcher) - age_s
        if left_s > 0:
            self._retry_s = FIRST_RETRY_S
            return left_s
        return max(0.0, self._retry_at - now)

    def record_ask(self, now: float) -> None:
        """Note that the store is asked."""
        self._retry_at = now + self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
