"""One instance's state in its failure domain, as a member and possibly the relay."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .lease import MAX_CLOCK_DRIFT, NEVER, Lease, LeaseRecord
from .membership import (
    Beat,
    Grant,
    Member,
    MembershipView,
    Relay,
    grant_period,
    lease_ttl,
)

MEMBER_EXPIRY_S = 60.0


class DomainParticipant:
    """Combines the relay lease, the grants issued as relay and the member's own grant.

    Args:
        name: The name of this instance.
        incarnation: The unique id of this process.
        address: The address on which this process listens for peers.
        now: The time of the process start, in seconds.
    """

    def __init__(
        self, name: str, incarnation: str, address: str, *, now: float
    ) -> None:
        self.name = name
        self.lease = Lease(name, incarnation, address)
        self.member = Member(name, incarnation, now=now)
        self.relay: Relay | None = None
        self._previous: LeaseRecord | None = None

    @property
    def view(self) -> MembershipView:
        """The membership view that this member has adopted."""
        return self.member.view

    def is_relay(self, now: float) -> bool:
        """Return whether this process may issue grants as the relay now."""
        return self.relay is not None and now < self.relay_until

    @property
    def relay_until(self) -> float:
        """The time at which this process stops being the relay, in seconds.

        While the platform is unavailable the lease cannot be renewed. The relay then
        continues until the first promise of another lease candidate expires.
        """
        if self.relay is None:
            return NEVER
        promised = self.relay.promised_until(self.lease.other_candidates)
        return max(self.lease.expires_at, promised)

    def holds(self, group: str, now: float) -> bool:
        """Return whether this process is the home of a group now."""
        return self.member.holds(group, now)

    def observe(self, version: int, record: LeaseRecord | None, now: float) -> bool:
        """Apply the result of reading the lease object.

        Returns:
            Whether this process has just become the relay.
        """
        self.lease.observe(version, record, now)
        if not self.lease.is_last_holder:
            self.relay = None
            return False
        rec = self.lease.record
        assert rec is not None
        is_new = self.relay is None or self.relay.view.token != rec.token
        if is_new:
            self.relay = self._start_relay(rec.token, now)
        if self.relay is not None:
            self.relay.grant_s = rec.grant_s
        return is_new

    def next_lease_record(
        self, now: float, *, listed: Collection[str]
    ) -> LeaseRecord | None:
        """Return the record to write to acquire or renew the lease, None if neither.

        Args:
            now: The time, in seconds.
            listed: The instances registered on the platform.
        """
        if self.relay is not None:
            return self._renewal_record(self.relay, now)
        if not self._can_acquire(now, listed):
            return None
        rec = self.lease.record
        self._previous = rec
        members = rec.members if rec is not None else ()
        longest_grant_s = rec.grant_s if rec is not None else 0.0
        record = self._lease_record(now, members, longest_grant_s)
        # The next relay does not wait for this process's own grant to expire, so that
        # grant must end before the lease does.
        self.member.cap_grant(now + record.ttl_s * (1 - MAX_CLOCK_DRIFT))
        return record

    def release(self, now: float) -> LeaseRecord | None:
        """Return the record that releases the lease, or None if it is not held."""
        if self.relay is None:
            return None
        self.relay = None
        self.member.cap_grant(now)
        return self.lease.release()

    def beat(self, *, leaving: bool = False, in_force: int = 0) -> Beat:
        """Build the heartbeat for the relay."""
        return self.member.beat(leaving=leaving, in_force=in_force)

    def handle_beat(self, beat: Beat, now: float) -> Grant | None:
        """Handle a heartbeat; return None if this process is not the relay."""
        if self.relay is None or not self.is_relay(now):
            return None
        if beat.token > self.relay.view.token:
            self.relay = None
            return None
        return self.relay.handle_beat(
            beat, now, recorded_members=self.lease.recorded_members
        )

    def apply_grant(
        self, grant: Grant, *, asked_at: float, now: float, mine: bool
    ) -> bool:
        """Apply a grant from the relay.

        Args:
            grant: The relay's answer to a heartbeat.
            asked_at: When the heartbeat was sent, in seconds.
            now: The time, in seconds.
            mine: Whether this process is the relay that issued the grant.

        Returns:
            Whether the membership view has changed.
        """
        before = self.member.view
        cap = self.relay_until if mine else float("inf")
        self.member.apply_grant(grant, asked_at=asked_at, now=now, cap=cap)
        return self.member.view != before

    def _can_acquire(self, now: float, listed: Collection[str]) -> bool:
        rec = self.lease.record
        if not self.lease.is_available(now):
            return False
        if rec is None or rec.holder in ("", self.name):
            return True
        if self.name in rec.candidates:
            return not self.member.has_promised(now, rec.grant_s)
        # A relay cut off from the platform holds no promise from a new instance, so a
        # new instance may acquire the lease only if no candidate is registered.
        return not any(name in listed for name in rec.candidates)

    def _renewal_record(self, relay: Relay, now: float) -> LeaseRecord:
        relay.evict_departed(now, after_s=MEMBER_EXPIRY_S)
        return self._lease_record(now, relay.members, relay.grant_s)

    def _lease_record(
        self, now: float, others: Iterable[str], longest_grant_s: float
    ) -> LeaseRecord:
        members = tuple(sorted({self.name, *others}))
        grant_s = max(longest_grant_s, grant_period(len(members)))
        ttl_s = lease_ttl(len(members))
        return self.lease.propose(now, ttl_s=ttl_s, grant_s=grant_s, members=members)

    def _start_relay(self, token: int, now: float) -> Relay:
        previous = self._previous
        if previous is None:
            return Relay(token, now=now)
        others = [name for name in previous.members if name != previous.holder]
        return Relay(token, now=now, wait_s=previous.grant_s, predecessors=others)
