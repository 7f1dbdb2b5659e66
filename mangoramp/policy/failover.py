"""Replaces a group's primary: the controller of one group, without any I/O.

The group object on the platform is the only state that controllers share. It is
changed by conditional update alone, so of two controllers one goes on and the other
reads what was decided. The object's term rises first; a majority of the servers is
fenced to it; the best of them is recorded as the candidate, once a term; it is
promoted; then it is recorded as the primary, with the place where its term starts.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ._rendezvous import rendezvous
from .backoff import Backoff
from .position import Origin
from .quorum import ServerStatus, majority
from .suspicion import Suspicion, View
from .view import Member

MIN_VOTERS = 3
NEAR_ENTRIES = 200


@dataclass(frozen=True, slots=True)
class GroupState:
    """The group object as far as a failover needs it.

    Attributes:
        version: The platform's version of it.
        term: The current term.
        primary: The primary, empty while a failover runs.
        candidate: Who is to be promoted in this term, empty before the choice.
        members: The group's servers.
        origins: Where each term began, oldest first.
    """

    version: int
    term: int
    primary: str
    candidate: str
    members: tuple[Member, ...]
    origins: tuple[Origin, ...]

    def member(self, name: str) -> Member | None:
        """The server of that name."""
        return next((m for m in self.members if m.name == name), None)


@dataclass(frozen=True, slots=True)
class Timings:
    """When a controller acts, in seconds.

    Attributes:
        ask_s: Silence of the primary after which others are asked.
        agree_s: Silence at another observer that counts as its agreement.
        suspect_s: Silence after which it is replaced, if a majority agrees.
        moving_s: Silence after which it is replaced though replicas hear it.
        stagger_s: What each later controller in the order waits longer.
        fresh_s: Age up to which a server's status shows that it is reachable.
        settle_s: Wait for a slower server once a majority is fenced.
        stuck_s: Time without progress after which another controller goes on,
            or a candidate that does not answer is given up.
    """

    ask_s: float = 0.8
    agree_s: float = 0.6
    suspect_s: float = 1.2
    moving_s: float = 5.0
    stagger_s: float = 0.4
    fresh_s: float = 0.7
    settle_s: float = 0.2
    stuck_s: float = 1.0


@dataclass(frozen=True, slots=True)
class AskViews:
    """Ask an observer in each of these failure domains for its view."""

    term: int
    failure_domains: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadGroup:
    """Read the group object."""


@dataclass(frozen=True, slots=True)
class UpdateGroup:
    """Change the group object if it still has a version, then read it back.

    Attributes:
        state: The new object, with the version on which the decision rests.
        reason: What was considered, for the log.
    """

    state: GroupState
    reason: str


@dataclass(frozen=True, slots=True)
class Fence:
    """Move a server to a term."""

    server: str
    term: int


@dataclass(frozen=True, slots=True)
class Promote:
    """Make a server the primary of its term."""

    server: str
    term: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Have a server replicate from the primary of a term."""

    server: str
    term: int
    primary: str


Command = Fence | Promote | Follow
Action = AskViews | ReadGroup | UpdateGroup | Command


class Failover:
    """The controller of one group in one failure domain.

    Args:
        group: The group's name.
        failure_domain: Where it runs.
        now: The time, in seconds.
        rng: Source of the jitter of retries.
        timings: When it acts.
    """

    def __init__(
        self,
        group: str,
        failure_domain: str,
        *,
        now: float,
        rng: random.Random,
        timings: Timings | None = None,
    ) -> None:
        self.group = group
        self.failure_domain = failure_domain
        self.timings = timings or Timings()
        self.state: GroupState | None = None
        self._voters: tuple[str, ...] = ()
        self._statuses: dict[str, ServerStatus] = {}
        self._views: dict[str, tuple[float, View]] = {}
        self._told: dict[str, tuple[str, int]] = {}
        self._backoff = Backoff(rng)
        self._suspicion = Suspicion(now, moving_s=self.timings.ask_s)
        self._seen_at = now
        self._acts_in = 0

    def take_group(self, now: float, state: GroupState, voters: Iterable[str]) -> None:
        """Take over the group object; an older version is passed over.

        Args:
            now: The time, in seconds.
            state: The object.
            voters: The failure domains whose views count, by rank.
        """
        self._voters = tuple(voters)
        if self.state is not None and state.version <= self.state.version:
            return
        self.state = state
        self._seen_at = now
        self._views.clear()
        self._backoff.clear()
        self._suspicion.watch(now, state.term, state.primary)
        names = {member.name for member in state.members}
        self._statuses = {n: s for n, s in self._statuses.items() if n in names}
        for status in self._statuses.values():
            self._suspicion.hear(now, status)

    def take_status(self, now: float, status: ServerStatus) -> None:
        """Take over what a server said, unless it said something later."""
        known = self._statuses.get(status.name)
        if known is not None and status.asked_at < known.asked_at:
            return
        self._statuses[status.name] = status
        self._suspicion.hear(now, status)

    def take_followed(self, follow: Follow, status: ServerStatus) -> None:
        """Note that a server was told whom to follow."""
        self._told[follow.server] = (status.incarnation, follow.term)

    def take_view(self, now: float, view: View) -> None:
        """Take over the view of another failure domain."""
        self._views[view.failure_domain] = (now, view)

    def view(self, now: float) -> View:
        """What this observer says of the primary."""
        self._suspicion.tick(now)
        term = self.state.term if self.state is not None else 0
        silent_s = self._suspicion.silent_s(now)
        moving = self._suspicion.is_moving(now)
        return View(self.failure_domain, term, silent_s, moving)

    def decide(self, now: float) -> tuple[Action, ...]:
        """Decide what to do now.

        Args:
            now: The time, in seconds.

        Returns:
            What to send. Answers need not come: each is sent again while needed.
        """
        self._suspicion.tick(now)
        state = self.state
        if state is None or self.failure_domain not in self._voters:
            return ()
        if self._is_outdated(state):
            return self._once("read", now, ReadGroup())
        if state.primary:
            return self._follow(now, state) + self._guard(now, state)
        if not self._is_turn(now, state):
            return ()
        self._acts_in = state.term
        if state.candidate:
            return self._promote(now, state)
        return self._fence(now, state)

    def _guard(self, now: float, state: GroupState) -> tuple[Action, ...]:
        silent_s = self._suspicion.silent_s(now) - self._delay_s()
        if silent_s < self.timings.ask_s:
            return self._retire(now, state)
        others = tuple(d for d in self._voters if d != self.failure_domain)
        asked = self._once("ask", now, AskViews(state.term, others))
        needed_s = self.timings.suspect_s
        if self._is_moving(now):
            needed_s = self.timings.moving_s
        if silent_s < needed_s or not self._is_agreed(now, state):
            return asked
        if not self._has_majority(now, state):
            return asked
        reason = f"{state.primary} silent for {silent_s:.2f} s"
        return asked + self._raise(now, state, reason)

    def _retire(self, now: float, state: GroupState) -> tuple[Action, ...]:
        primary = state.member(state.primary)
        status = self._statuses.get(state.primary)
        if primary is None or status is None or not primary.leaving:
            return ()
        if now - self._seen_at < self.timings.settle_s + self._delay_s():
            return ()
        near = [
            s
            for s in self._fresh(now, state)
            if not self._is_leaving(state, s.name)
            and s.tail.term == status.tail.term
            and s.held + NEAR_ENTRIES >= status.held
        ]
        if not near or not self._has_majority(now, state):
            return ()
        return self._raise(now, state, f"{state.primary} is leaving")

    def _fence(self, now: float, state: GroupState) -> tuple[Action, ...]:
        if any(s.term > state.term for s in self._fresh(now, state)):
            return self._raise(now, state, "a server is in a later term")
        fenced = [s for s in self._fresh(now, state) if s.term == state.term]
        if self._is_enough(now, state, fenced):
            best = self._best(state, fenced)
            tails = ", ".join(f"{s.name} {s.log_term}/{s.held}" for s in fenced)
            return self._choose(now, state, best, tails)
        return tuple(
            Fence(member.name, state.term)
            for member in state.members
            if self._term_of(member.name) < state.term
            and self._backoff.try_attempt(("fence", member.name), now)
        )

    def _choose(
        self, now: float, state: GroupState, best: ServerStatus, reason: str
    ) -> tuple[Action, ...]:
        """Record the candidate; the term builds on its log, which is fenced."""
        origin = Origin(state.term, best.log_term, best.held)
        origins = (*state.origins, origin)
        new = replace(state, candidate=best.name, origins=origins)
        return self._update(now, new, reason)

    def _promote(self, now: float, state: GroupState) -> tuple[Action, ...]:
        status = self._statuses.get(state.candidate)
        if status is None or not self._is_fresh(now, status):
            return self._give_up(now, state)
        if status.term > state.term:
            return self._raise(now, state, f"{status.name} is in a later term")
        if status.term != state.term or not status.is_primary:
            promote = Promote(state.candidate, state.term)
            return self._once("promote", now, promote) + self._give_up(now, state)
        if self._is_leaving(state, state.candidate):
            staying = self._staying(now, state)
            if staying:
                return self._hand_over(now, state, status, staying)
        new = replace(state, primary=state.candidate, candidate="")
        return self._update(now, new, f"{state.candidate} is promoted")

    def _hand_over(
        self,
        now: float,
        state: GroupState,
        leaving: ServerStatus,
        staying: list[ServerStatus],
    ) -> tuple[Action, ...]:
        """Let a server that stays copy the log of a leaving one, unannounced."""
        if any(s.term == state.term and s.tail >= leaving.tail for s in staying):
            return self._raise(now, state, f"{leaving.name} is leaving")
        return tuple(
            Follow(status.name, state.term, leaving.name)
            for status in staying
            if self._backoff.try_attempt(("copy", status.name), now)
        )

    def _give_up(self, now: float, state: GroupState) -> tuple[Action, ...]:
        waited_s = now - self._seen_at - self._delay_s()
        if waited_s < 2 * self.timings.stuck_s or not self._has_majority(now, state):
            return ()
        return self._raise(now, state, f"{state.candidate} does not answer")

    def _follow(self, now: float, state: GroupState) -> tuple[Action, ...]:
        if now - self._seen_at < self._delay_s():
            return ()
        return tuple(
            Follow(status.name, state.term, state.primary)
            for status in self._fresh(now, state)
            if status.name != state.primary
            and self._told.get(status.name) != (status.incarnation, state.term)
            and self._backoff.try_attempt(("follow", status.name), now)
        )

    def _raise(self, now: float, state: GroupState, reason: str) -> tuple[Action, ...]:
        terms = [status.term for status in self._statuses.values()]
        term = max([state.term, *terms]) + 1
        self._acts_in = term
        new = replace(state, term=term, primary="", candidate="")
        return self._update(now, new, reason)

    def _update(self, now: float, new: GroupState, reason: str) -> tuple[Action, ...]:
        return self._once("update", now, UpdateGroup(new, reason))

    def _once(self, key: str, now: float, action: Action) -> tuple[Action, ...]:
        return (action,) if self._backoff.try_attempt(key, now) else ()

    def _best(self, state: GroupState, fenced: list[ServerStatus]) -> ServerStatus:
        return max(
            fenced,
            key=lambda s: (s.tail, not self._is_leaving(state, s.name), s.name),
        )

    def _is_enough(
        self, now: float, state: GroupState, fenced: list[ServerStatus]
    ) -> bool:
        if len(fenced) < majority(len(state.members)):
            return False
        if len(fenced) == len(self._fresh(now, state)):
            return True
        return now - self._seen_at >= self.timings.settle_s

    def _is_agreed(self, now: float, state: GroupState) -> bool:
        agreeing = 1
        for at, view in self._views.values():
            recent = now - at < self.timings.fresh_s
            silent = view.silent_s >= self.timings.agree_s
            counted = view.failure_domain in self._voters
            agreeing += recent and silent and counted and view.term == state.term
        return agreeing >= majority(len(self._voters))

    def _is_moving(self, now: float) -> bool:
        recent = self.timings.fresh_s
        views = [view for at, view in self._views.values() if now - at < recent]
        return self._suspicion.is_moving(now) or any(view.moving for view in views)

    def _is_turn(self, now: float, state: GroupState) -> bool:
        if self._acts_in == state.term:
            return True
        return now - self._seen_at >= self.timings.stuck_s + self._delay_s()

    def _is_outdated(self, state: GroupState) -> bool:
        terms = [view.term for _, view in self._views.values()]
        return max(terms, default=0) > state.term

    def _has_majority(self, now: float, state: GroupState) -> bool:
        return len(self._fresh(now, state)) >= majority(len(state.members))

    def _fresh(self, now: float, state: GroupState) -> list[ServerStatus]:
        found = (self._statuses.get(member.name) for member in state.members)
        return [s for s in found if s is not None and self._is_fresh(now, s)]

    def _staying(self, now: float, state: GroupState) -> list[ServerStatus]:
        fresh = self._fresh(now, state)
        return [s for s in fresh if not self._is_leaving(state, s.name)]

    def _is_fresh(self, now: float, status: ServerStatus) -> bool:
        return now - status.asked_at < self.timings.fresh_s

    def _is_leaving(self, state: GroupState, name: str) -> bool:
        member = state.member(name)
        return member is None or member.leaving

    def _term_of(self, name: str) -> int:
        status = self._statuses.get(name)
        return status.term if status is not None else 0

    def _delay_s(self) -> float:
        return self._voters.index(self.failure_domain) * self.timings.stagger_s


def rank_voters(
    group: str, server_domains: Iterable[str], instance_domains: Iterable[str]
) -> tuple[str, ...]:
    """Rank the failure domains whose observers count for a group.

    Those are the domains of its servers; where they are fewer than three, domains
    with instances join them, so that no single cut path is a majority.

    Args:
        group: The group's name.
        server_domains: The failure domains of the group's servers.
        instance_domains: All failure domains with instances.
    """
    voters = set(server_domains)
    spare = set(instance_domains) - voters
    while spare and len(voters) < MIN_VOTERS:
        voters.add(rendezvous(group, spare) or "")
        spare -= voters
    ranked = []
    while voters:
        first = rendezvous(group, sorted(voters)) or ""
        ranked.append(first)
        voters.discard(first)
    return tuple(ranked)
