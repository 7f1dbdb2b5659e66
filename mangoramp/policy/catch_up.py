"""Decides whom an instance that is behind on the store's changes asks, and when.

A change must be in force everywhere within seconds, while any single source may be
silent, slow or behind itself: a peer, the connection to it, the store. Hence no attempt
is waited for alone. It goes on, since a large configuration takes seconds on a slow
link, but another source is asked beside it after a fraction of the bound. The intervals
grow, so that late answers do not fill a slow link.
"""

from __future__ import annotations

from collections.abc import Sequence

FIRST_INTERVAL_S = 0.5  # two round trips within a region and one lost packet
MAX_INTERVAL_S = 4.0
MAX_ATTEMPTS = 3  # in progress at the same time
OWN_WATCH_S = 1.0  # in which the watch of an instance usually has the change itself
WATCHER_POLL_S = 0.5  # watches of all instances get a change within milliseconds
STORE_AFTER_S = 1.0  # peers usually answer before
STORE_JITTER_S = 0.5  # many instances notice the same change at the same time


class CatchUp:
    """The attempts of an instance from the moment on at which it noticed the change.

    Args:
        now: The current time, in seconds.
        is_watcher: Whether the instance watches the store itself, and so probably gets
            the change without asking a peer.
        jitter: A number from 0 to 1, which differs between instances.
    """

    def __init__(self, now: float, *, is_watcher: bool, jitter: float = 0.0) -> None:
        store_after_s = STORE_AFTER_S + jitter * STORE_JITTER_S
        self._peer_at = now + (OWN_WATCH_S if is_watcher else 0.0)
        self._store_at = now + (WATCHER_POLL_S if is_watcher else store_after_s)
        self._interval_s = FIRST_INTERVAL_S
        self._store_interval_s = STORE_AFTER_S
        self._asked: set[str] = set()

    @property
    def due_at(self) -> float:
        """When the next source is to be asked, in seconds."""
        return min(self._peer_at, self._store_at)

    def must_ask_peer(self, now: float, *, in_progress: int) -> bool:
        """Return whether to ask another peer, beside the attempts in progress."""
        return now >= self._peer_at and in_progress < MAX_ATTEMPTS

    def choose(self, newer: Sequence[str], others: Sequence[str]) -> str | None:
        """Choose the peer to ask, None if there is none.

        When all have been asked, it is the first one's turn again, over another
        connection if the answer is still missing.

        Args:
            newer: The peers that reported the change, in order of preference.
            others: Peers that may have the change by now, in order of preference.
        """
        sources = (*newer, *others)
        if not self.has_more(sources):
            self._asked.clear()
        return next((name for name in sources if name not in self._asked), None)

    def has_more(self, sources: Sequence[str]) -> bool:
        """Return whether a source has not been asked yet."""
        return not self._asked.issuperset(sources)

    def record_attempt(self, peer: str, now: float) -> None:
        """Note that a peer is asked."""
        self._asked.add(peer)
        self._peer_at = now + self._interval_s
        self._interval_s = min(MAX_INTERVAL_S, 2 * self._interval_s)

    def ask_next_at(self, now: float) -> None:
        """Ask the next peer at once, since an attempt has ended without the change."""
        self._peer_at = min(self._peer_at, now)

    def must_ask_store(self, now: float) -> bool:
        """Return whether to ask the store; then it is assumed to be asked."""
        if now < self._store_at:
            return False
        self._store_at = now + self._store_interval_s
        self._store_interval_s = min(MAX_INTERVAL_S, 2 * self._store_interval_s)
        return True
