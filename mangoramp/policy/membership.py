"""Membership views and grants, which assign each group one home per failure domain.

A relay issues numbered views of the live members. A group's home is the member that
rendezvous hashing selects from the view, so no message names a group. A member serves a
group only while every view since the last settled one selects it, and only until its
grant expires by its own clock. A view is settled once each member that might still use
an older view has either confirmed this one or passed the end of its grant.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import msgspec

from ._rendezvous import rendezvous
from .lease import MAX_CLOCK_DRIFT, NEVER

PROMISE_GRANT_RATIO = 0.6
MIN_BEAT_INTERVAL_S = 0.8
BEAT_INTERVAL_PER_MEMBER_S = 0.03
BEATS_PER_GRANT = 5
BEATS_PER_TTL = 3
VIEW_UPDATE_INTERVAL_S = 0.2
MAX_VIEWS = 16


class MembershipView(msgspec.Struct, frozen=True, array_like=True):
    """The live members of a failure domain, as determined by its relay.

    Attributes:
        token: The relay's fencing token.
        number: Incremented with each view of a relay; 0 while the relay still waits for
            its predecessor's grants.
        members: The members' names.
    """

    token: int = 0
    number: int = 0
    members: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[int, int]:
        """Sort key of the views of a failure domain."""
        return (self.token, self.number)


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """A member's heartbeat to its relay.

    Attributes:
        sender: The member.
        incarnation: The id of the member's process.
        token: The relay's token of the view that the member has adopted.
        number: The number of that view; the member serves no group that this view
            assigns to another member.
        promised: The time, by the relay's clock, until which the member promises not to
            acquire the relay's lease; 0 for no promise.
        leaving: Whether the member asks to be removed from the view.
        in_force: The highest object version in force at the member.
    """

    sender: str
    incarnation: str
    token: int = 0
    number: int = 0
    promised: float = 0.0
    leaving: bool = False
    in_force: int = 0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The relay's permission for a member to serve as a home for a limited time.

    Attributes:
        token: The relay's fencing token.
        number: The number of the relay's view; 0 lets the member keep the views that it
            already has.
        settled: Whether no member uses an older view any more.
        grant_s: How long the grant is valid, in seconds from the sending of the
            heartbeat.
        stamp: The relay's time, from which the member's promise counts.
        members: The view's members, None if the member already has that view.
    """

    token: int
    number: int
    settled: bool
    grant_s: float
    stamp: float
    members: tuple[str, ...] | None = None


def beat_interval(members: int) -> float:
    """Return the seconds between heartbeats; it bounds the relay's traffic."""
    return max(MIN_BEAT_INTERVAL_S, BEAT_INTERVAL_PER_MEMBER_S * members)


def grant_period(members: int) -> float:
    """Return the validity of grants in a failure domain of a size, in seconds."""
    return BEATS_PER_GRANT * beat_interval(members)


def lease_ttl(members: int) -> float:
    """Return the relay's lease time in a failure domain of a size, in seconds."""
    return BEATS_PER_TTL * beat_interval(members)


class Member:
    """One instance's membership in its failure domain: its views, grant and promise.

    Args:
        name: The name of the instance.
        incarnation: The unique id of its process.
        now: The time of the process start, in seconds.
    """

    def __init__(self, name: str, incarnation: str, *, now: float) -> None:
        self.view = MembershipView()
        self.grant_s = grant_period(1)
        self.settled = False
        self._name = name
        self._incarnation = incarnation
        self._views: tuple[MembershipView, ...] = ()
        self._is_home: dict[str, bool] = {}
        self._grant_until = NEVER
        self._started_at = now
        self._promised_until = NEVER
        self._promise_to_relay = 0.0

    def beat(self, *, leaving: bool = False, in_force: int = 0) -> Beat:
        """Build the heartbeat for the relay."""
        return Beat(
            sender=self._name,
            incarnation=self._incarnation,
            token=self.view.token,
            number=self.view.number,
            promised=self._promise_to_relay,
            leaving=leaving,
            in_force=in_force,
        )

    def apply_grant(
        self,
        grant: Grant,
        *,
        asked_at: float,
        now: float,
        cap: float = float("inf"),
    ) -> bool:
        """Apply a grant from the relay.

        Args:
            grant: The relay's answer to a heartbeat.
            asked_at: When that heartbeat was sent, in seconds.
            now: The time, in seconds.
            cap: The latest time at which the grant may end, in seconds; a relay's own
                grant ends with its lease.

        Returns:
            False if the grant is older than the member's view and was ignored.
        """
        if (grant.token, grant.number) < self.view.key:
            return False
        if now >= self._grant_until:
            self._views = ()
            self._is_home.clear()
        until = asked_at + grant.grant_s * (1 - MAX_CLOCK_DRIFT)
        if grant.token == self.view.token:
            until = max(self._grant_until, until)
        self._grant_until = min(until, cap)
        self._adopt_view(grant)
        self._record_promise(grant, now)
        self.grant_s = grant.grant_s or self.grant_s
        self.settled = grant.settled
        return True

    def cap_grant(self, until: float) -> None:
        """Limit the current grant; required before the relay's lease is requested."""
        self._grant_until = min(self._grant_until, until)

    def holds(self, group: str, now: float) -> bool:
        """Return whether this process may serve a group as its home now."""
        if now >= self._grant_until or not self._views:
            return False
        if group not in self._is_home:
            homes = {rendezvous(group, v.members) for v in self._views}
            self._is_home[group] = homes == {self._name}
        return self._is_home[group]

    def has_active_grant(self, now: float) -> bool:
        """Return whether this process has a valid grant and a settled view."""
        return now < self._grant_until and bool(self._views)

    def has_promised(self, now: float, grant_s: float) -> bool:
        """Return whether a promise forbids this process to acquire the relay's lease.

        Args:
            now: The time, in seconds.
            grant_s: The longest grant of the relay, in seconds; an earlier process of
                this instance may have made a promise for such a grant.
        """
        earlier = self._started_at + grant_s * PROMISE_GRANT_RATIO
        return now < max(self._promised_until, earlier)

    def _record_promise(self, grant: Grant, now: float) -> None:
        promise_s = grant.grant_s * PROMISE_GRANT_RATIO
        self._promised_until = max(self._promised_until, now + promise_s)
        self._promise_to_relay = grant.stamp + promise_s * (1 - MAX_CLOCK_DRIFT)

    def _adopt_view(self, grant: Grant) -> None:
        members = self.view.members if grant.members is None else grant.members
        self.view = MembershipView(grant.token, grant.number, members)
        if grant.number == 0:
            return
        if grant.settled:
            self._views = (self.view,)
        elif self._views and self._views[-1] != self.view:
            self._views += (self.view,)
        if len(self._views) > MAX_VIEWS:
            self._views = ()
        self._is_home.clear()


@dataclass(slots=True)
class _MemberState:
    incarnation: str
    last_beat_at: float
    grant_until: float = NEVER
    promised: float = 0.0
    leaving: bool = False
    in_force: int = 0
    view: tuple[int, int] = field(default=(0, 0))
    notified_view: tuple[int, int] = field(default=(0, 0))


class Relay:
    """Issues views and grants in a failure domain while it holds the relay lease.

    Args:
        token: The relay's fencing token.
        now: The time at which the lease was acquired, in seconds.
        wait_s: The longest grant of the previous relay, in seconds; 0 if none.
        predecessors: The members to which the previous relay may have issued grants,
            without that relay, whose own grant ended with its lease.
    """

    def __init__(
        self,
        token: int,
        *,
        now: float,
        wait_s: float = 0.0,
        predecessors: Iterable[str] = (),
    ) -> None:
        self.view = MembershipView(token)
        self.grant_s = grant_period(1)
        self._ready_at = now + wait_s
        self._predecessors = frozenset(predecessors)
        self._members: dict[str, _MemberState] = {}
        self._update_due_at = NEVER
        self._unconfirmed: frozenset[str] = frozenset()

    @property
    def members(self) -> tuple[str, ...]:
        """The instances that may hold or request a grant, as listed in the lease."""
        return tuple(sorted(self._predecessors.union(self._members)))

    @property
    def in_force(self) -> dict[str, int]:
        """The highest object version in force at each member of the view."""
        states = self._members
        return {name: states[name].in_force for name in self.view.members}

    def handle_beat(
        self, beat: Beat, now: float, *, recorded_members: Collection[str]
    ) -> Grant:
        """Handle a member's heartbeat and return the grant for it.

        Args:
            beat: The heartbeat.
            now: The time, in seconds, at which the lease must be held.
            recorded_members: The members that are certain to be in the stored lease.
        """
        state = self._member_state(beat, now)
        if state is None or beat.sender not in recorded_members:
            # The member gets no grant until the stored lease lists it, so that the next
            # relay waits for its grant.
            return Grant(self.view.token, 0, False, 0.0, now)
        state.last_beat_at = now
        state.leaving = beat.leaving
        state.in_force = beat.in_force
        if beat.token == self.view.token:
            state.promised = max(state.promised, beat.promised)
            state.view = max(state.view, (beat.token, beat.number))
        # Extended before the view changes: the member may use the older view until it
        # confirms the new one.
        state.grant_until = max(state.grant_until, now + self.grant_s)
        is_member = beat.sender in self.view.members
        if now >= self._update_due_at or is_member == beat.leaving:
            self.update_view(now, recorded_members=recorded_members)
        has_view = (beat.token, beat.number) == self.view.key
        settled = self.is_settled(now)
        if settled:
            state.notified_view = self.view.key
        return Grant(
            token=self.view.token,
            number=self.view.number,
            settled=settled,
            grant_s=self.grant_s,
            stamp=now,
            members=None if has_view or not self.view.number else self.view.members,
        )

    def update_view(self, now: float, *, recorded_members: Collection[str]) -> bool:
        """Create a new view if the set of live members has changed.

        Returns:
            Whether a new view was created.
        """
        if not self._is_ready(now):
            return False
        self._update_due_at = now + VIEW_UPDATE_INTERVAL_S
        self._predecessors = frozenset()
        self._ready_at = NEVER
        live = tuple(
            sorted(
                name
                for name, state in self._members.items()
                if name in recorded_members
                and not state.leaving
                and now - state.last_beat_at < self.grant_s
            )
        )
        if self.view.number and live == self.view.members:
            return False
        self._unconfirmed = self._members_to_confirm(live, now)
        self.view = MembershipView(self.view.token, self.view.number + 1, live)
        return True

    def is_settled(self, now: float) -> bool:
        """Return whether no member uses an older view any more."""
        if not self.view.number:
            return False
        return all(
            self._has_dropped_older_views(name, now) for name in self._unconfirmed
        )

    def has_notified_members(self) -> bool:
        """Return whether every member of the view knows that the view is settled."""
        states = self._members
        return all(
            states[name].notified_view == self.view.key for name in self.view.members
        )

    def evict_departed(self, now: float, *, after_s: float) -> tuple[str, ...]:
        """Remove the members that have left or sent no heartbeat for a time.

        Args:
            now: The time, in seconds.
            after_s: Seconds without a heartbeat after which a member is removed, once
                its grant has expired.

        Returns:
            The names of the removed members.
        """
        departed = tuple(
            name
            for name, state in self._members.items()
            if self._has_left(name, now)
            or (now - state.last_beat_at >= after_s and now >= state.grant_until)
        )
        for name in departed:
            del self._members[name]
        return departed

    def promised_until(self, candidates: Iterable[str]) -> float:
        """Return the time until which all candidates promise not to take the lease."""
        promises = [
            self._members[name].promised if name in self._members else NEVER
            for name in candidates
        ]
        return min(promises, default=float("inf"))

    def _member_state(self, beat: Beat, now: float) -> _MemberState | None:
        state = self._members.get(beat.sender)
        if state is None and beat.leaving:
            return None
        if state is None:
            state = self._members[beat.sender] = _MemberState(beat.incarnation, now)
        elif state.incarnation != beat.incarnation:
            if now < state.grant_until:
                return None
            state = self._members[beat.sender] = _MemberState(beat.incarnation, now)
        return state

    def _has_left(self, name: str, now: float) -> bool:
        left = self._members[name].leaving and name not in self.view.members
        return left and self.is_settled(now)

    def _members_to_confirm(self, live: tuple[str, ...], now: float) -> frozenset[str]:
        left = set(self.view.members) - set(live)
        joined = set(live) - set(self.view.members)
        if self.view.number and not joined and self.is_settled(now):
            return frozenset(left)
        return frozenset(self._members)

    def _has_dropped_older_views(self, name: str, now: float) -> bool:
        state = self._members.get(name)
        if state is None or now >= state.grant_until:
            return True
        return state.view == self.view.key

    def _is_ready(self, now: float) -> bool:
        if now >= self._ready_at:
            return True
        return bool(self._predecessors) and all(
            name in self._members and self._members[name].view[0] == self.view.token
            for name in self._predecessors
        )
