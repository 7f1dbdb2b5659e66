"""Evacuated failure domains: which they are, and what may still be sent there.

Operators evacuate a failure domain in the store before its servers become unusable, for
example for maintenance. Instances learn of it from the store or from each other, in any
order and also while the store is restored from a copy, and must never return to an
older state.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from .revision import NO_REVISION, Revision

PRIMARY_PART = 1 / 4  # of the bound; a successor normally leads within this time
TRANSACTIONS_PART = 1 / 2  # of the bound; the rest is for learning of the evacuation
MISSING_GRACE_S = 2.5  # operators write again within 2 s of a restoration of the store
MAX_TOMBSTONES = 200  # far more than there are failure domains

Entry = tuple[Revision, bool]
"""The revision of a failure domain's newest change and whether it is evacuated."""


@dataclass(frozen=True, slots=True)
class EvacuationTimes:
    """When requests to the servers of an evacuated failure domain end.

    Attributes:
        since: When this instance learned of the evacuation, in seconds.
        bound_s: Seconds after the operator's write until which requests may arrive.
    """

    since: float
    bound_s: float

    def may_send(
        self, now: float, *, is_primary: bool, in_transaction: bool = False
    ) -> bool:
        """Return whether a request may still be sent to a server.

        Args:
            now: The time in seconds.
            is_primary: Whether the server is its group's primary.
            in_transaction: Whether the request belongs to a transaction that is open
                at the server.
        """
        if in_transaction:
            return now < self.since + TRANSACTIONS_PART * self.bound_s
        return is_primary and now < self.since + PRIMARY_PART * self.bound_s


@dataclass(frozen=True, slots=True)
class _Missing:
    """An evacuation that a complete list lacks.

    Attributes:
        era: The era of the store in which it was found missing.
        since: When it was first found missing in that era, in seconds.
    """

    era: int
    since: float


class EvacuationTable:
    """The newest known state of each failure domain's evacuation.

    The higher revision wins and a removal leaves a tombstone, so the order in which
    changes are merged does not matter. Two entries of one revision exist only if a list
    of the store is taken for a removal; then the evacuation wins.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._latest = NO_REVISION
        self._listed_at = NO_REVISION
        self._listed: frozenset[str] = frozenset()
        self._missing: dict[str, _Missing] = {}

    @property
    def evacuated(self) -> frozenset[str]:
        """The failure domains that are evacuated."""
        return frozenset(d for d, (_, is_set) in self._entries.items() if is_set)

    @property
    def entries(self) -> Mapping[str, Entry]:
        """The newest entry of each failure domain, tombstones included."""
        return dict(self._entries)

    @property
    def latest(self) -> Revision:
        """The newest revision of any entry.

        The revision of a list does not count: peers that had heard of it would not see
        that an evacuation was removed as of that revision later.
        """
        return self._latest

    @property
    def is_doubtful(self) -> bool:
        """Whether an evacuation in force is missing from the last complete list."""
        return any(self._is_missing(domain) for domain in self.evacuated)

    def apply(self, domain: str, revision: Revision, is_evacuated: bool) -> None:
        """Apply the state of a failure domain at a revision, unless it is outdated."""
        self._latest = max(self._latest, revision)
        known = self._entries.get(domain)
        if known is not None and (revision, is_evacuated) <= known:
            return
        self._entries[domain] = (revision, is_evacuated)
        if not self._is_missing(domain):
            self._missing.pop(domain, None)
        self._drop_old_tombstones()

    def retain(self, domains: Collection[str], revision: Revision, now: float) -> None:
        """Note which evacuations are missing from a complete list of the store.

        They stay in force until :meth:`expire` removes them, because a store that was
        just restored from a copy lacks the latest ones.

        Args:
            domains: The failure domains on the list.
            revision: The revision of the list.
            now: The time in seconds.
        """
        if revision < self._listed_at:
            return
        self._listed_at, self._listed = revision, frozenset(domains)
        for domain in self.evacuated:
            known = self._missing.get(domain)
            if not self._is_missing(domain):
                self._missing.pop(domain, None)
            elif known is None or known.era < revision.era:
                self._missing[domain] = _Missing(revision.era, now)

    def merge(self, entries: Mapping[str, Entry]) -> None:
        """Apply the entries of a peer."""
        for domain, (revision, is_evacuated) in entries.items():
            self.apply(domain, revision, is_evacuated)

    def expire(self, now: float) -> None:
        """Remove the evacuations that have been missing for ``MISSING_GRACE_S``.

        Args:
            now: The time in seconds.
        """
        for domain, missing in list(self._missing.items()):
            if now - missing.since >= MISSING_GRACE_S:
                self.apply(domain, self._listed_at, False)
                self._missing.pop(domain, None)

    def _is_missing(self, domain: str) -> bool:
        revision, is_evacuated = self._entries[domain]
        is_covered = is_evacuated and revision < self._listed_at
        return is_covered and domain not in self._listed

    def _drop_old_tombstones(self) -> None:
        tombstones = [d for d, (_, is_set) in self._entries.items() if not is_set]
        if len(tombstones) > MAX_TOMBSTONES:
            del self._entries[min(tombstones, key=lambda d: self._entries[d])]
