"""One instance's part in its failure domain: as a member, and as its relay."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .lease import DRIFT, NEVER, Lease, LeaseRecord
from .membership import Beat, Grant, Member, Relay, View, grant_period, lease_ttl

FORGET_S = 60.0


class DomainPart:
    """Ties the relay's lease, the relay's grants and a member's homes together.

    Args:
        name: This instance.
        incarnation: This process.
        address: Where it listens for its peers.
        now: The time at its start, in seconds.
    """

    def __init__(
        self, name: str, incarnation: str, address: str, *, now: float
    ) -> None:
        self.name = name
        self.lease = Lease(name, incarnation, address)
        self.member = Member(name, incarnation, now=now)
        self.relay: Relay | None = None
        self._before: LeaseRecord | None = None

    @property
    def view(self) -> View:
        """The view that this member goes by."""
        return self.member.view

    def leads(self, now: float) -> bool:
        """Whether this process may grant anything as the relay now."""
        return self.relay is not None and now < self.until

    @property
    def until(self) -> float:
        """Until when this process is the relay, in seconds.

        While the platform is down the lease can't be renewed, and the relay goes on as
        long as all who could take the lease have promised not to.
        """
        if self.relay is None:
            return NEVER
        promised = self.relay.promised_until(self.lease.rivals)
        return max(self.lease.until, promised)

    def holds(self, group: str, now: float) -> bool:
        """Whether this process is home of a group now."""
        return self.member.holds(group, now)

    def observe(self, version: int, record: LeaseRecord | None, now: float) -> bool:
        """Take over what a read of the lease's object answered.

        Returns:
            Whether this process became the relay.
        """
        self.lease.observe(version, record, now)
        if not self.lease.is_mine:
            self.relay = None
            return False
        rec = self.lease.record
        assert rec is not None
        is_new = self.relay is None or self.relay.view.token != rec.token
        if is_new:
            self.relay = self._take_over(rec.token, now)
        if self.relay is not None:
            self.relay.grant_s = rec.grant_s
        return is_new

    def wanted(self, now: float, *, listed: Collection[str]) -> LeaseRecord | None:
        """The record to write if this process is to take or renew the lease.

        Args:
            now: The time, in seconds.
            listed: The instances that the platform lists.
        """
        if self.relay is not None:
            return self._renewal(self.relay, now)
        if not self._may_take(now, listed):
            return None
        rec = self.lease.record
        self._before = rec
        earlier = rec.members if rec is not None else ()
        longest = rec.grant_s if rec is not None else 0.0
        wanted = self._ask(now, earlier, longest)
        # Whoever takes the lease from this process will not wait for its homes.
        self.member.cap(now + wanted.ttl_s * (1 - DRIFT))
        return wanted

    def release(self, now: float) -> LeaseRecord | None:
        """The record that gives the lease up, None if it is not held."""
        if self.relay is None:
            return None
        self.relay = None
        self.member.cap(now)
        return self.lease.released()

    def beat(self, *, leaving: bool = False, in_force: int = 0) -> Beat:
        """What to tell the relay."""
        return self.member.beat(leaving=leaving, in_force=in_force)

    def hear(self, beat: Beat, now: float) -> Grant | None:
        """Answer a beat as the relay; None if this process is none."""
        if self.relay is None or not self.leads(now):
            return None
        if beat.token > self.relay.view.token:
            self.relay = None
            return None
        return self.relay.hear(beat, now, recorded=self.lease.recorded)

    def take(self, grant: Grant, *, asked_at: float, now: float, mine: bool) -> bool:
        """Take over a grant.

        Args:
            grant: The relay's answer.
            asked_at: When the beat was sent.
            now: The time, in seconds.
            mine: Whether this process is that relay.

        Returns:
            Whether the view is another one now.
        """
        before = self.member.view
        cap = self.until if mine else float("inf")
        self.member.take(grant, asked_at=asked_at, now=now, cap=cap)
        return self.member.view != before

    def _may_take(self, now: float, listed: Collection[str]) -> bool:
        rec = self.lease.record
        if not self.lease.may_take(now):
            return False
        if rec is None or rec.holder in ("", self.name):
            return True
        if self.name in rec.candidates:
            return not self.member.has_promised(now, rec.grant_s)
        # A relay cut off from the platform has no promise of a newcomer.
        return not any(name in listed for name in rec.candidates)

    def _renewal(self, relay: Relay, now: float) -> LeaseRecord:
        relay.forget(now, after_s=FORGET_S)
        return self._ask(now, relay.members, relay.grant_s)

    def _ask(self, now: float, others: Iterable[str], longest_s: float) -> LeaseRecord:
        members = tuple(sorted({self.name, *others}))
        grant_s = max(longest_s, grant_period(len(members)))
        ttl_s = lease_ttl(len(members))
        return self.lease.ask(now, ttl_s=ttl_s, grant_s=grant_s, members=members)

    def _take_over(self, token: int, now: float) -> Relay:
        before = self._before
        if before is None:
            return Relay(token, now=now)
        others = [name for name in before.members if name != before.holder]
        return Relay(token, now=now, wait_s=before.grant_s, predecessors=others)
