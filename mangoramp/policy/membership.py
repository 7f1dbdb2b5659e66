"""Who is home of which group within a failure domain.

A relay numbers views of the live members. A group's home is the view's member that
rendezvous hashing picks, so no message names a group. A member serves a group only
while every view since the last settled one picks it, and only until its grant is over
by its own clock. A view is settled once each member that might still go by an older one
has said that it goes by this one, or has outlived its grant.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import msgspec

from ._rendezvous import rendezvous
from .lease import DRIFT, NEVER

PROMISE_SHARE = 0.6
BEAT_MIN_S = 0.8
BEAT_PER_MEMBER_S = 0.03
BEATS_PER_GRANT = 5
BEATS_PER_TTL = 3
REVIEW_S = 0.2
MAX_VIEWS = 16


class View(msgspec.Struct, frozen=True, array_like=True):
    """The live members of a failure domain, as its relay sees them.

    Attributes:
        token: The relay's fencing token.
        number: Rises with each view of a relay; 0 while it waits.
        members: The members' names.
    """

    token: int = 0
    number: int = 0
    members: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[int, int]:
        """Orders the views of a failure domain."""
        return (self.token, self.number)


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """What a member tells its relay.

    Attributes:
        sender: The member.
        incarnation: Its process.
        token: The relay's token of the view that it goes by.
        number: The number of that view; it serves nothing that this one denies it.
        promised: Until when, by the relay's clock, the member promises not to take
            the relay's lease; 0 for no promise.
        leaving: Whether it wants to be home of nothing.
        in_force: The highest version of any object that is in force there.
    """

    sender: str
    incarnation: str
    token: int = 0
    number: int = 0
    promised: float = 0.0
    leaving: bool = False
    in_force: int = 0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """What a relay allows a member until its grant is over.

    Attributes:
        token: The relay's fencing token.
        number: The number of its view; 0 lets the member go on with what it has.
        settled: Whether nobody goes by an older view any more.
        grant_s: Seconds for which it holds, from when the member asked.
        stamp: The relay's time, from which the member's promise counts.
        members: The view's members, None if the member has that view.
    """

    token: int
    number: int
    settled: bool
    grant_s: float
    stamp: float
    members: tuple[str, ...] | None = None


def beat_interval(members: int) -> float:
    """Seconds between a member's beats; the relay's traffic stays in its budget."""
    return max(BEAT_MIN_S, BEAT_PER_MEMBER_S * members)


def grant_period(members: int) -> float:
    """Seconds for which a relay grants in a failure domain of a size."""
    return BEATS_PER_GRANT * beat_interval(members)


def lease_ttl(members: int) -> float:
    """Seconds for which a relay takes its lease in a failure domain of a size."""
    return BEATS_PER_TTL * beat_interval(members)


class Member:
    """One instance's part in its failure domain.

    Args:
        name: The instance.
        incarnation: Its process.
        now: The time at its start, in seconds.
    """

    def __init__(self, name: str, incarnation: str, *, now: float) -> None:
        self.view = View()
        self.grant_s = grant_period(1)
        self.settled = False
        self._name = name
        self._incarnation = incarnation
        self._views: tuple[View, ...] = ()
        self._mine: dict[str, bool] = {}
        self._until = NEVER
        self._started_at = now
        self._promised = NEVER
        self._promise = 0.0

    def beat(self, *, leaving: bool = False, in_force: int = 0) -> Beat:
        """What to tell the relay."""
        return Beat(
            sender=self._name,
            incarnation=self._incarnation,
            token=self.view.token,
            number=self.view.number,
            promised=self._promise,
            leaving=leaving,
            in_force=in_force,
        )

    def take(
        self,
        grant: Grant,
        *,
        asked_at: float,
        now: float,
        cap: float = float("inf"),
    ) -> bool:
        """Take over a grant.

        Args:
            grant: The relay's answer.
            asked_at: When the beat was sent that it answers.
            now: The time, in seconds.
            cap: No grant lasts longer; a relay's own ends with its lease.

        Returns:
            False if it is older than what is known.
        """
        if (grant.token, grant.number) < self.view.key:
            return False
        if now >= self._until:
            self._views = ()
            self._mine.clear()
        until = asked_at + grant.grant_s * (1 - DRIFT)
        if grant.token == self.view.token:
            until = max(self._until, until)
        self._until = min(until, cap)
        self._take_view(grant)
        self._take_promise(grant, now)
        self.grant_s = grant.grant_s or self.grant_s
        self.settled = grant.settled
        return True

    def cap(self, until: float) -> None:
        """Let no grant last longer; needed before the relay's lease is asked for."""
        self._until = min(self._until, until)

    def holds(self, group: str, now: float) -> bool:
        """Whether this process may serve a group as its home now."""
        if now >= self._until or not self._views:
            return False
        if group not in self._mine:
            owners = {rendezvous(group, v.members) for v in self._views}
            self._mine[group] = owners == {self._name}
        return self._mine[group]

    def holds_any(self, now: float) -> bool:
        """Whether a settled view's grant is in force here."""
        return now < self._until and bool(self._views)

    def has_promised(self, now: float, grant_s: float) -> bool:
        """Whether this process may not take the relay's lease yet.

        Args:
            now: The time, in seconds.
            grant_s: The longest grant of the relay; an earlier process of this name
                may have promised something after such a grant.
        """
        earlier = self._started_at + grant_s * PROMISE_SHARE
        return now < max(self._promised, earlier)

    def _take_promise(self, grant: Grant, now: float) -> None:
        promise_s = grant.grant_s * PROMISE_SHARE
        self._promised = max(self._promised, now + promise_s)
        self._promise = grant.stamp + promise_s * (1 - DRIFT)

    def _take_view(self, grant: Grant) -> None:
        members = self.view.members if grant.members is None else grant.members
        self.view = View(grant.token, grant.number, members)
        if grant.number == 0:
            return
        if grant.settled:
            self._views = (self.view,)
        elif self._views and self._views[-1] != self.view:
            self._views += (self.view,)
        if len(self._views) > MAX_VIEWS:
            self._views = ()
        self._mine.clear()


@dataclass(slots=True)
class _Known:
    incarnation: str
    heard_at: float
    until: float = NEVER
    promised: float = 0.0
    leaving: bool = False
    in_force: int = 0
    view: tuple[int, int] = field(default=(0, 0))
    told: tuple[int, int] = field(default=(0, 0))


class Relay:
    """A relay's part: it numbers the views and grants them, while it holds its lease.

    Args:
        token: Its fencing token.
        now: The time at which it took the lease, in seconds.
        wait_s: The longest grant of its predecessor, 0 if there was none.
        predecessors: Whom the predecessor granted anything, but not itself: what it
            granted itself ended with its lease.
    """

    def __init__(
        self,
        token: int,
        *,
        now: float,
        wait_s: float = 0.0,
        predecessors: Iterable[str] = (),
    ) -> None:
        self.view = View(token)
        self.grant_s = grant_period(1)
        self._ready_at = now + wait_s
        self._predecessors = frozenset(predecessors)
        self._members: dict[str, _Known] = {}
        self._review_at = NEVER
        self._pending: frozenset[str] = frozenset()

    @property
    def members(self) -> tuple[str, ...]:
        """All that may have a grant or ask for one, to be put into the lease."""
        return tuple(sorted(self._predecessors.union(self._members)))

    @property
    def in_force(self) -> dict[str, int]:
        """The highest version in force at each member of the view."""
        known = self._members
        return {name: known[name].in_force for name in self.view.members}

    def hear(self, beat: Beat, now: float, *, recorded: Collection[str]) -> Grant:
        """Answer a beat.

        Args:
            beat: What a member said.
            now: The time, in seconds; the lease is held.
            recorded: The members in the lease as it is known to stand.
        """
        known = self._member(beat, now)
        if known is None or beat.sender not in recorded:
            # It is put into the lease first; until then it may do nothing new.
            return Grant(self.view.token, 0, False, 0.0, now)
        known.heard_at = now
        known.leaving = beat.leaving
        known.in_force = beat.in_force
        if beat.token == self.view.token:
            known.promised = max(known.promised, beat.promised)
            known.view = max(known.view, (beat.token, beat.number))
        # Before the review: until it says otherwise it may go by an older view.
        known.until = max(known.until, now + self.grant_s)
        is_member = beat.sender in self.view.members
        if now >= self._review_at or is_member == beat.leaving:
            self.review(now, recorded=recorded)
        has_it = (beat.token, beat.number) == self.view.key
        settled = self.is_settled(now)
        if settled:
            known.told = self.view.key
        return Grant(
            token=self.view.token,
            number=self.view.number,
            settled=settled,
            grant_s=self.grant_s,
            stamp=now,
            members=None if has_it or not self.view.number else self.view.members,
        )

    def review(self, now: float, *, recorded: Collection[str]) -> bool:
        """Make a new view if the live members are others now.

        Returns:
            Whether there is a new view.
        """
        if not self._is_ready(now):
            return False
        self._review_at = now + REVIEW_S
        self._predecessors = frozenset()
        self._ready_at = NEVER
        live = tuple(
            sorted(
                name
                for name, known in self._members.items()
                if name in recorded
                and not known.leaving
                and now - known.heard_at < self.grant_s
            )
        )
        if self.view.number and live == self.view.members:
            return False
        self._pending = self._may_differ(live, now)
        self.view = View(self.view.token, self.view.number + 1, live)
        return True

    def is_settled(self, now: float) -> bool:
        """Whether nobody goes by an older view any more."""
        if not self.view.number:
            return False
        return all(self._is_done(name, now) for name in self._pending)

    def is_told(self) -> bool:
        """Whether each member of the view was told that it is settled."""
        known = self._members
        return all(known[name].told == self.view.key for name in self.view.members)

    def forget(self, now: float, *, after_s: float) -> tuple[str, ...]:
        """Forget the members that have left or were not heard for long.

        Returns:
            Their names.
        """
        gone = tuple(
            name
            for name, known in self._members.items()
            if self._has_left(name, now)
            or (now - known.heard_at >= after_s and now >= known.until)
        )
        for name in gone:
            del self._members[name]
        return gone

    def promised_until(self, rivals: Iterable[str]) -> float:
        """Until when all rivals have promised not to take the lease, in seconds."""
        promises = [
            self._members[name].promised if name in self._members else NEVER
            for name in rivals
        ]
        return min(promises, default=float("inf"))

    def _member(self, beat: Beat, now: float) -> _Known | None:
        known = self._members.get(beat.sender)
        if known is None and beat.leaving:
            return None
        if known is None:
            known = self._members[beat.sender] = _Known(beat.incarnation, now)
        elif known.incarnation != beat.incarnation:
            if now < known.until:
                return None
            known = self._members[beat.sender] = _Known(beat.incarnation, now)
        return known

    def _has_left(self, name: str, now: float) -> bool:
        left = self._members[name].leaving and name not in self.view.members
        return left and self.is_settled(now)

    def _may_differ(self, live: tuple[str, ...], now: float) -> frozenset[str]:
        left = set(self.view.members) - set(live)
        joined = set(live) - set(self.view.members)
        if self.view.number and not joined and self.is_settled(now):
            return frozenset(left)
        return frozenset(self._members)

    def _is_done(self, name: str, now: float) -> bool:
        known = self._members.get(name)
        if known is None or now >= known.until:
            return True
        return known.view == self.view.key

    def _is_ready(self, now: float) -> bool:
        if now >= self._ready_at:
            return True
        return bool(self._predecessors) and all(
            name in self._members and self._members[name].view[0] == self.view.token
            for name in self._predecessors
        )
