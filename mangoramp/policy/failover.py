"""Failover of one group: the decisions of its controller, without I/O.

The group object on the platform is the only state that controllers share. It is changed
by conditional updates only, so of two concurrent controllers one succeeds and the other
reads the result. A failover first increments the object's term and fences a majority of
the servers to it. It then records the best of them as the candidate, once per term and
with the position where the term starts, promotes it, and records it as the primary.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ._rendezvous import rendezvous
from .backoff import Backoff
from .failure_detector import FailureDetector, PrimaryView
from .position import Origin
from .quorum import ServerStatus, majority
from .view import GroupServer

MIN_VOTERS = 3
MAX_ENTRIES_BEHIND = 200


@dataclass(frozen=True, slots=True)
class GroupState:
    """The part of a group object that a failover needs.

    Attributes:
        version: The platform's version of the object.
        term: The current term.
        primary: The primary, empty during a failover.
        candidate: The server to promote in this term, empty until one is chosen.
        members: The group's servers.
        origins: The start of each term, oldest first.
    """

    version: int
    term: int
    primary: str
    candidate: str
    members: tuple[GroupServer, ...]
    origins: tuple[Origin, ...]

    def member(self, name: str) -> GroupServer | None:
        """Return the server with a name, None if the group has none."""
        return next((m for m in self.members if m.name == name), None)


@dataclass(frozen=True, slots=True)
class Timings:
    """The timeouts of a controller, in seconds.

    Attributes:
        ask_s: Silence of the primary after which other observers are asked.
        agree_s: Silence at another observer that counts as its agreement.
        suspect_s: Silence after which the primary is replaced, if a majority agrees.
        moving_s: Silence after which the primary is replaced although replicas still
            receive entries from it.
        stagger_s: Additional delay of each lower-ranked controller.
        fresh_s: Maximum age of a status that shows that its server is reachable.
        settle_s: Time to wait for slower servers once a majority is fenced.
        stuck_s: Time without progress after which another controller continues the
            failover. A candidate that does not answer is abandoned after twice this
            time.
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
    """Ask an observer in each of these failure domains for its view of the primary."""

    term: int
    failure_domains: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadGroup:
    """Read the group object."""


@dataclass(frozen=True, slots=True)
class UpdateGroup:
    """Update the group object conditionally on its version, then read it back.

    Attributes:
        state: The new state, with the version on which the decision is based.
        reason: The reason for the update, for the log.
    """

    state: GroupState
    reason: str


@dataclass(frozen=True, slots=True)
class Fence:
    """Fence a server to a term, so that it accepts no writes of an earlier term."""

    server: str
    term: int


@dataclass(frozen=True, slots=True)
class Promote:
    """Promote a server to primary of a term."""

    server: str
    term: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Make a server replicate from the primary of a term."""

    server: str
    term: int
    primary: str


Command = Fence | Promote | Follow
Action = AskViews | ReadGroup | UpdateGroup | Command


class Failover:
    """The controller of one group in one failure domain.

    Args:
        group: The group's name.
        failure_domain: The failure domain in which the controller runs.
        now: The time, in seconds.
        rng: The source of the retry jitter.
        timings: The controller's timeouts.
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
        self._views: dict[str, tuple[float, PrimaryView]] = {}
        self._follow_sent: dict[str, tuple[str, int]] = {}
        self._backoff = Backoff(rng)
        self._detector = FailureDetector(now, moving_s=self.timings.ask_s)
        self._state_applied_at = now
        self._acting_term = 0

    def apply_group(self, now: float, state: GroupState, voters: Iterable[str]) -> None:
        """Apply the group object, ignoring an older version.

        Args:
            now: The time, in seconds.
            state: The group object.
            voters: The failure domains whose views count, by rank.
        """
        self._voters = tuple(voters)
        if self.state is not None and state.version <= self.state.version:
            return
        self.state = state
        self._state_applied_at = now
        self._views.clear()
        self._backoff.clear()
        self._detector.watch(now, state.term, state.primary)
        names = {member.name for member in state.members}
        self._statuses = {n: s for n, s in self._statuses.items() if n in names}
        for status in self._statuses.values():
            self._detector.record_status(now, status)

    def record_status(self, now: float, status: ServerStatus) -> None:
        """Record a server's status unless a later one is known."""
        known = self._statuses.get(status.name)
        if known is not None and status.asked_at < known.asked_at:
            return
        self._statuses[status.name] = status
        self._detector.record_status(now, status)

    def record_follow(self, follow: Follow, status: ServerStatus) -> None:
        """Record that a server was told which primary to follow."""
        self._follow_sent[follow.server] = (status.incarnation, follow.term)

    def record_view(self, now: float, view: PrimaryView) -> None:
        """Record the view of an observer in another failure domain."""
        self._views[view.failure_domain] = (now, view)

    def view(self, now: float) -> PrimaryView:
        """Return this observer's view of the primary."""
        self._detector.tick(now)
        term = self.state.term if self.state is not None else 0
        silent_s = self._detector.silent_s(now)
        moving = self._detector.is_moving(now)
        return PrimaryView(self.failure_domain, term, silent_s, moving)

    def decide(self, now: float) -> tuple[Action, ...]:
        """Decide which actions to take now.

        Args:
            now: The time, in seconds.

        Returns:
            The actions. Each is returned again, with backoff, until its effect is
            observed, so a lost answer needs no handling.
        """
        self._detector.tick(now)
        state = self.state
        if state is None or self.failure_domain not in self._voters:
            return ()
        if self._is_outdated(state):
            return self._with_backoff("read", now, ReadGroup())
        if state.primary:
            return self._follow(now, state) + self._check_primary(now, state)
        if not self._is_turn(now, state):
            return ()
        self._acting_term = state.term
        if state.candidate:
            return self._promote(now, state)
        return self._fence(now, state)

    def _check_primary(self, now: float, state: GroupState) -> tuple[Action, ...]:
        silent_s = self._detector.silent_s(now) - self._rank_delay_s()
        if silent_s < self.timings.ask_s:
            return self._replace_leaving(now, state)
        others = tuple(d for d in self._voters if d != self.failure_domain)
        asked = self._with_backoff("ask", now, AskViews(state.term, others))
        needed_s = self.timings.suspect_s
        if self._is_moving(now):
            needed_s = self.timings.moving_s
        if silent_s < needed_s or not self._has_agreement(now, state):
            return asked
        if not self._has_majority(now, state):
            return asked
        reason = f"{state.primary} silent for {silent_s:.2f} s"
        return asked + self._start_term(now, state, reason)

    def _replace_leaving(self, now: float, state: GroupState) -> tuple[Action, ...]:
        primary = state.member(state.primary)
        status = self._statuses.get(state.primary)
        if primary is None or status is None or not primary.leaving:
            return ()
        if now - self._state_applied_at < self.timings.settle_s + self._rank_delay_s():
            return ()
        caught_up = [
            s
            for s in self._reachable_statuses(now, state)
            if not self._is_leaving(state, s.name)
            and s.tail.term == status.tail.term
            and s.held + MAX_ENTRIES_BEHIND >= status.held
        ]
        if not caught_up or not self._has_majority(now, state):
            return ()
        return self._start_term(now, state, f"{state.primary} is leaving")

    def _fence(self, now: float, state: GroupState) -> tuple[Action, ...]:
        if any(s.term > state.term for s in self._reachable_statuses(now, state)):
            return self._start_term(now, state, "a server is in a later term")
        fenced = [
            s for s in self._reachable_statuses(now, state) if s.term == state.term
        ]
        if self._has_fenced_enough(now, state, fenced):
            best = self._best_candidate(state, fenced)
            tails = ", ".join(f"{s.name} {s.log_term}/{s.held}" for s in fenced)
            return self._record_candidate(now, state, best, tails)
        return tuple(
            Fence(member.name, state.term)
            for member in state.members
            if self._term_of(member.name) < state.term
            and self._backoff.try_attempt(("fence", member.name), now)
        )

    def _record_candidate(
        self, now: float, state: GroupState, best: ServerStatus, reason: str
    ) -> tuple[Action, ...]:
        """Record the candidate and the end of its fenced log, where the term starts."""
        origin = Origin(state.term, best.log_term, best.held)
        origins = (*state.origins, origin)
        new = replace(state, candidate=best.name, origins=origins)
        return self._update(now, new, reason)

    def _promote(self, now: float, state: GroupState) -> tuple[Action, ...]:
        status = self._statuses.get(state.candidate)
        if status is None or not self._is_reachable(now, status):
            return self._abandon_candidate(now, state)
        if status.term > state.term:
            return self._start_term(now, state, f"{status.name} is in a later term")
        if status.term != state.term or not status.is_primary:
            promote = Promote(state.candidate, state.term)
            return self._with_backoff(
                "promote", now, promote
            ) + self._abandon_candidate(now, state)
        if self._is_leaving(state, state.candidate):
            staying = self._staying_statuses(now, state)
            if staying:
                return self._transfer_log(now, state, status, staying)
        new = replace(state, primary=state.candidate, candidate="")
        return self._update(now, new, f"{state.candidate} is promoted")

    def _transfer_log(
        self,
        now: float,
        state: GroupState,
        leaving: ServerStatus,
        staying: list[ServerStatus],
    ) -> tuple[Action, ...]:
        """Let a staying server copy the log of a leaving one that is never announced.

        Once the staying server has caught up, a new term starts to promote it.
        """
        if any(s.term == state.term and s.tail >= leaving.tail for s in staying):
            return self._start_term(now, state, f"{leaving.name} is leaving")
        return tuple(
            Follow(status.name, state.term, leaving.name)
            for status in staying
            if self._backoff.try_attempt(("copy", status.name), now)
        )

    def _abandon_candidate(self, now: float, state: GroupState) -> tuple[Action, ...]:
        waited_s = now - self._state_applied_at - self._rank_delay_s()
        if waited_s < 2 * self.timings.stuck_s or not self._has_majority(now, state):
            return ()
        return self._start_term(now, state, f"{state.candidate} does not answer")

    def _follow(self, now: float, state: GroupState) -> tuple[Action, ...]:
        if now - self._state_applied_at < self._rank_delay_s():
            return ()
        return tuple(
            Follow(status.name, state.term, state.primary)
            for status in self._reachable_statuses(now, state)
            if status.name != state.primary
            and self._follow_sent.get(status.name) != (status.incarnation, state.term)
            and self._backoff.try_attempt(("follow", status.name), now)
        )

    def _start_term(
        self, now: float, state: GroupState, reason: str
    ) -> tuple[Action, ...]:
        terms = [status.term for status in self._statuses.values()]
        term = max([state.term, *terms]) + 1
        self._acting_term = term
        new = replace(state, term=term, primary="", candidate="")
        return self._update(now, new, reason)

    def _update(self, now: float, new: GroupState, reason: str) -> tuple[Action, ...]:
        return self._with_backoff("update", now, UpdateGroup(new, reason))

    def _with_backoff(self, key: str, now: float, action: Action) -> tuple[Action, ...]:
        return (action,) if self._backoff.try_attempt(key, now) else ()

    def _best_candidate(
        self, state: GroupState, fenced: list[ServerStatus]
    ) -> ServerStatus:
        return max(
            fenced,
            key=lambda s: (s.tail, not self._is_leaving(state, s.name), s.name),
        )

    def _has_fenced_enough(
        self, now: float, state: GroupState, fenced: list[ServerStatus]
    ) -> bool:
        if len(fenced) < majority(len(state.members)):
            return False
        if len(fenced) == len(self._reachable_statuses(now, state)):
            return True
        return now - self._state_applied_at >= self.timings.settle_s

    def _has_agreement(self, now: float, state: GroupState) -> bool:
        agreeing = 1
        for at, view in self._views.values():
            recent = now - at < self.timings.fresh_s
            silent = view.silent_s >= self.timings.agree_s
            counted = view.failure_domain in self._voters
            agreeing += recent and silent and counted and view.term == state.term
        return agreeing >= majority(len(self._voters))

    def _is_moving(self, now: float) -> bool:
        max_age_s = self.timings.fresh_s
        views = [view for at, view in self._views.values() if now - at < max_age_s]
        return self._detector.is_moving(now) or any(view.moving for view in views)

    def _is_turn(self, now: float, state: GroupState) -> bool:
        if self._acting_term == state.term:
            return True
        return (
            now - self._state_applied_at >= self.timings.stuck_s + self._rank_delay_s()
        )

    def _is_outdated(self, state: GroupState) -> bool:
        terms = [view.term for _, view in self._views.values()]
        return max(terms, default=0) > state.term

    def _has_majority(self, now: float, state: GroupState) -> bool:
        return len(self._reachable_statuses(now, state)) >= majority(len(state.members))

    def _reachable_statuses(self, now: float, state: GroupState) -> list[ServerStatus]:
        found = (self._statuses.get(member.name) for member in state.members)
        return [s for s in found if s is not None and self._is_reachable(now, s)]

    def _staying_statuses(self, now: float, state: GroupState) -> list[ServerStatus]:
        reachable = self._reachable_statuses(now, state)
        return [s for s in reachable if not self._is_leaving(state, s.name)]

    def _is_reachable(self, now: float, status: ServerStatus) -> bool:
        return now - status.asked_at < self.timings.fresh_s

    def _is_leaving(self, state: GroupState, name: str) -> bool:
        member = state.member(name)
        return member is None or member.leaving

    def _term_of(self, name: str) -> int:
        status = self._statuses.get(name)
        return status.term if status is not None else 0

    def _rank_delay_s(self) -> float:
        return self._voters.index(self.failure_domain) * self.timings.stagger_s


def rank_voters(
    group: str, server_domains: Iterable[str], instance_domains: Iterable[str]
) -> tuple[str, ...]:
    """Rank the failure domains whose observers vote on a group's primary.

    These are the failure domains of the group's servers. If there are fewer than three,
    other domains with instances are added, so that a single broken network path never
    affects a majority of the observers.

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
