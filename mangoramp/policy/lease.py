"""A lease stored in one platform object and changed by conditional updates only."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.02
MAX_CANDIDATES = 3
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as stored on the platform.

    Attributes:
        holder: The instance that holds the lease, empty after a release.
        incarnation: The id of the holder's process.
        token: The fencing token, incremented with each change of the holder.
        renewal: Incremented with each renewal, so that no two records are equal.
        ttl_s: Seconds after which the lease expires unless it is renewed.
        grant_s: The longest grant that the holder issues, in seconds.
        address: The holder's address.
        members: The instances to which the holder may issue grants.
    """

    holder: str
    incarnation: str
    token: int
    renewal: int
    ttl_s: float
    grant_s: float = 0.0
    address: str = ""
    members: tuple[str, ...] = ()

    @property
    def candidates(self) -> tuple[str, ...]:
        """The instances that may acquire the lease once expired, the holder first."""
        return candidates(self.holder, self.members)


def candidates(holder: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the instances that may acquire an expired lease, its holder first."""
    others = sorted(name for name in members if name != holder)
    return (holder, *others[: MAX_CANDIDATES - 1])


class Lease:
    """One instance's view of a lease, as its holder or as an observer.

    Args:
        name: The name of this instance.
        incarnation: The unique id of this process.
        address: The address on which this process listens; only one process can listen
            on it at a time.
    """

    def __init__(self, name: str, incarnation: str, address: str) -> None:
        self.version = 0
        self.record: LeaseRecord | None = None
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._changed_at = NEVER
        self._token = 0
        self._expires_at = NEVER
        self._proposed_at: dict[LeaseRecord, float] = {}

    @property
    def expires_at(self) -> float:
        """The time at which this process's tenure ends, in seconds."""
        return self._expires_at

    @property
    def is_last_holder(self) -> bool:
        """Whether this process is the last known holder, even of an expired lease."""
        rec = self.record
        return rec is not None and rec.incarnation == self._incarnation

    @property
    def other_candidates(self) -> frozenset[str]:
        """The other instances that may acquire the lease after it expires.

        Includes the candidates of records that were proposed but not yet read back.
        """
        proposed = {name for rec in self._proposed_at for name in rec.candidates}
        known = self.record.candidates if self.record is not None else ()
        return frozenset(proposed.union(known) - {self._name})

    @property
    def recorded_members(self) -> frozenset[str]:
        """The members listed in the stored record and in every pending proposal.

        They are in the stored record whichever of the proposals was written.
        """
        if self.record is None:
            return frozenset()
        proposed = [frozenset(rec.members) for rec in self._proposed_at]
        return frozenset(self.record.members).intersection(*proposed)

    def holds(self, now: float) -> bool:
        """Return whether this process holds the lease, by its own clock."""
        return now < self._expires_at

    def is_available(self, now: float) -> bool:
        """Return whether the lease may be acquired, judged by the stored record."""
        rec = self.record
        if rec is None or not rec.holder or self.is_last_holder:
            return True
        # Only one process can listen on an address, so the earlier process has ended.
        if rec.holder == self._name and rec.address == self._address:
            return True
        return now - self._changed_at >= rec.ttl_s

    def propose(
        self, now: float, *, ttl_s: float, grant_s: float, members: tuple[str, ...]
    ) -> LeaseRecord:
        """Return the record that acquires or renews the lease over :attr:`version`."""
        rec = self.record
        proposal = LeaseRecord(
            holder=self._name,
            incarnation=self._incarnation,
            token=self._token if self.is_last_holder else self._token + 1,
            renewal=rec.renewal + 1 if rec is not None else 1,
            ttl_s=ttl_s,
            grant_s=grant_s,
            address=self._address,
            members=members,
        )
        # The first attempt counts: the same record may be written again later.
        self._proposed_at.setdefault(proposal, now)
        return proposal

    def release(self) -> LeaseRecord:
        """Stop holding the lease and return the record that releases it."""
        assert self.record is not None
        self._expires_at = NEVER
        rec = self.record
        members = tuple(name for name in rec.members if name != self._name)
        renewal = rec.renewal + 1
        return LeaseRecord("", "", rec.token, renewal, 0.0, rec.grant_s, "", members)

    def observe(self, version: int, record: LeaseRecord | None, now: float) -> None:
        """Apply the result of a read of the lease object that started before ``now``.

        Args:
            version: The object's version, 0 if there is no object.
            record: The stored record, None if there is no object.
            now: The time, in seconds.
        """
        if version < self.version and record is not None:
            return
        if version != self.version or record is None:
            self._changed_at = now
        self.version = version
        self.record = record
        if record is not None:
            self._token = max(self._token, record.token)
        if record in self._proposed_at:
            proposed_at = self._proposed_at[record]
            self._proposed_at = {}
            self._expires_at = proposed_at + record.ttl_s * (1 - MAX_CLOCK_DRIFT)
        elif not self.is_last_holder:
            self._expires_at = NEVER
            self._proposed_at = {}
