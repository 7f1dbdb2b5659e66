"""A lease kept in one object that is changed only by conditional updates."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

DRIFT = 0.02
CANDIDATES = 3
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as its object holds it.

    Attributes:
        holder: The instance that holds it, empty once it was released.
        incarnation: The holder's process.
        token: Rises with each change of the holder.
        renewal: Rises with each renewal, so that no two records are equal.
        ttl_s: Seconds after which it is over unless it was renewed.
        grant_s: The longest that the holder grants anything, in seconds.
        address: Where the holder is reached.
        members: The instances that the holder grants anything to.
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
        """The instances that may take the lease when it is over."""
        return candidates(self.holder, self.members)


def candidates(holder: str, members: Iterable[str]) -> tuple[str, ...]:
    """The instances that may take a lease when it is over, its holder first."""
    others = sorted(name for name in members if name != holder)
    return (holder, *others[: CANDIDATES - 1])


class Lease:
    """One instance's view of a lease, as its holder or as an observer.

    Args:
        name: This instance.
        incarnation: This process.
        address: Where this process listens; no other can at the same time.
    """

    def __init__(self, name: str, incarnation: str, address: str) -> None:
        self.version = 0
        self.record: LeaseRecord | None = None
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._moved_at = NEVER
        self._token = 0
        self._until = NEVER
        self._asked: dict[LeaseRecord, float] = {}

    @property
    def until(self) -> float:
        """When this process stops to hold it, in seconds."""
        return self._until

    @property
    def is_mine(self) -> bool:
        """Whether this process is the last known holder, in time or not."""
        rec = self.record
        return rec is not None and rec.incarnation == self._incarnation

    @property
    def rivals(self) -> frozenset[str]:
        """All others that may take it once it was not renewed."""
        asked = {name for rec in self._asked for name in rec.candidates}
        known = self.record.candidates if self.record is not None else ()
        return frozenset(asked.union(known) - {self._name})

    @property
    def recorded(self) -> frozenset[str]:
        """The members that the object names, whichever write of ours it holds."""
        if self.record is None:
            return frozenset()
        asked = [frozenset(rec.members) for rec in self._asked]
        return frozenset(self.record.members).intersection(*asked)

    def holds(self, now: float) -> bool:
        """Whether this process holds the lease, by its own clock."""
        return now < self._until

    def may_take(self, now: float) -> bool:
        """Whether the lease is free to be taken, as far as the object tells."""
        rec = self.record
        if rec is None or not rec.holder or self.is_mine:
            return True
        # Only one process listens at an address, so an earlier one is gone.
        if rec.holder == self._name and rec.address == self._address:
            return True
        return now - self._moved_at >= rec.ttl_s

    def ask(
        self, now: float, *, ttl_s: float, grant_s: float, members: tuple[str, ...]
    ) -> LeaseRecord:
        """The record to write, over :attr:`version`, to take or renew the lease."""
        rec = self.record
        asked = LeaseRecord(
            holder=self._name,
            incarnation=self._incarnation,
            token=self._token if self.is_mine else self._token + 1,
            renewal=rec.renewal + 1 if rec is not None else 1,
            ttl_s=ttl_s,
            grant_s=grant_s,
            address=self._address,
            members=members,
        )
        # The first try counts: the same record may be written again.
        self._asked.setdefault(asked, now)
        return asked

    def released(self) -> LeaseRecord:
        """The record that gives the lease up; it is not held any more."""
        assert self.record is not None
        self._until = NEVER
        rec = self.record
        members = tuple(name for name in rec.members if name != self._name)
        renewal = rec.renewal + 1
        return LeaseRecord("", "", rec.token, renewal, 0.0, rec.grant_s, "", members)

    def observe(self, version: int, record: LeaseRecord | None, now: float) -> None:
        """Take over what a read of the object, asked before ``now``, answered.

        Args:
            version: The object's version, 0 if there is none.
            record: What it holds.
            now: The time, in seconds.
        """
        if version < self.version and record is not None:
            return
        if version != self.version or record is None:
            self._moved_at = now
        self.version = version
        self.record = record
        if record is not None:
            self._token = max(self._token, record.token)
        if record in self._asked:
            asked_at = self._asked[record]
            self._asked = {}
            self._until = asked_at + record.ttl_s * (1 - DRIFT)
        elif not self.is_mine:
            self._until = NEVER
            self._asked = {}
