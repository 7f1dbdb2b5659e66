"""Two-level membership of a large fleet.

If every instance reported to every other one, messages would grow with the square of
the fleet, and a fixed budget of messages would slow down the detection of failures.
Here each instance reports to one of the few hubs of its failure domain, its source, and
the hubs of all domains report to each other. A hub sends the others the roster of the
instances that it hears, and its followers the rosters of all domains. An instance is
live as long as one hub of its domain hears it; if its source falls silent, it reports
to another hub before the others have given up the source and its roster.

Rosters are numbered, and only those that the receiver lacks are sent.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from ._rendezvous import rendezvous, weight

REPORT_INTERVAL_S = 0.3
TIMEOUT_S = 1.3  # covers two lost reports, or a pause of nearly a second
REMOTE_TIMEOUT_S = 1.8  # for hubs of other failure domains
SOURCE_TIMEOUT_S = 0.9  # then another hub is asked, which costs little
ROSTER_TTL_S = 4.0  # long enough to get rosters from another source
SUSPECT_S = 20.0  # a source that did not answer is not asked again for this time
TICK_TOLERANCE_S = 0.02  # ticks are a little early or late
WARMUP_S = 1.6  # a hub that has just started has not heard its members yet
SEEK_S = 10.0  # a hub renews its list of the instances sooner
PAUSE_S = 0.6  # a longer gap between two ticks is a pause of this process


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance as listed in a roster.

    Attributes:
        name: The instance's name.
        incarnation: Random id of its process; 0 if only its record is known.
        host: The host of its address for peers.
        port: The port of that address.
        strength: Its relative capacity.
        is_draining: Whether it accepts no new work.
        is_current: Whether its calls to the store, if any, are answered.
    """

    name: str
    incarnation: int
    host: str
    port: int
    strength: int = 1
    is_draining: bool = False
    is_current: bool = True


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """The live instances of one failure domain.

    Attributes:
        domain: The failure domain.
        stamp: A number that the sender changes with the members.
        members: The instances.
    """

    domain: str
    stamp: int
    members: tuple[Member, ...] = ()


class HubFields(msgspec.Struct, frozen=True, array_like=True):
    """What a report between instances carries for the membership.

    Attributes:
        is_hub: Whether the sender considers itself a hub of its failure domain.
        source: The hub that the sender takes its rosters from, empty for none.
        stamps: The stamps of the rosters by failure domain: those that the sender has
            from its source, or, in a reply of the source, the current ones.
        ack: The stamp of the receiver's own roster that the sender has.
        rosters: The rosters that the receiver lacks. A hub sends other hubs only the
            roster of the instances that it hears itself, and then no stamps.
    """

    is_hub: bool = False
    source: str = ""
    stamps: dict[str, int] = {}
    ack: int = 0
    rosters: tuple[Roster, ...] = ()


Domains = Mapping[str, Mapping[str, Member]]
"""Instances by failure domain and name."""


@dataclass(frozen=True, slots=True)
class Listed:
    """An instance as listed in the store."""

    domain: str
    member: Member


@dataclass(slots=True)
class _Heard:
    domain: str
    member: Member
    at: float
    fields: HubFields
    fields_at: float  # when they arrived; some reports have none


@dataclass(slots=True)
class _Numbered:
    stamp: int
    members: Mapping[str, Member] = field(default_factory=dict)

    def update(self, members: Mapping[str, Member]) -> None:
        if members != self.members:
            self.stamp += 1
            self.members = members


@dataclass(frozen=True, slots=True)
class Message:
    """A message to send to another instance."""

    to: Member
    fields: HubFields


class HubMembership:
    """The membership as seen by one instance.

    Args:
        name: This instance's name.
        domain: The failure domain it runs in.
        first_stamp: The first stamp of its rosters; differs between processes.
        hubs_per_domain: The number of hubs in each failure domain.
    """

    def __init__(
        self, name: str, domain: str, *, first_stamp: int = 1, hubs_per_domain: int = 3
    ) -> None:
        self.hubs_per_domain = hubs_per_domain
        self._name = name
        self._domain = domain
        self._own: Member | None = None
        self._listed: dict[str, Listed] = {}
        self._heard: dict[str, _Heard] = {}
        self._departed: dict[str, int] = {}
        self._hub_rosters: dict[str, tuple[str, int, dict[str, Member]]] = {}
        self._source = ""
        self._source_since = float("-inf")
        self._source_rosters: dict[str, dict[str, Member]] = {}
        self._live: Domains = {}
        self._live_at = float("-inf")
        self._is_hub = False
        self._source_stamps: dict[str, int] = {}
        self._rosters_at = float("-inf")
        self._started_at: float | None = None
        self._seen_at: float | None = None
        self._suspected_at: dict[str, float] = {}
        self._direct = _Numbered(first_stamp)
        self._merged: dict[str, _Numbered] = {}
        self._first_stamp = first_stamp
        self._sent_at = float("-inf")
        self._sent_stamp = first_stamp
        self._seek_count = first_stamp
        self._followers: dict[str, dict[str, int]] = {}

    @property
    def source(self) -> str:
        """The hub that this instance takes its rosters from, empty for none."""
        return self._source

    @property
    def has_own(self) -> bool:
        """Whether it is known how this instance is listed in rosters."""
        return self._own is not None

    @property
    def has_duties(self) -> bool:
        """Whether other instances rely on this one, as a hub or as their source."""
        return self._is_hub or bool(self._followers)

    def update_own(self, own: Member) -> None:
        """Set how this instance is listed in rosters."""
        self._own = own

    def update_listed(self, listed: Mapping[str, Listed]) -> None:
        """Replace the instances that are listed in the store."""
        self._listed = {n: i for n, i in listed.items() if n != self._name}

    def is_live(self, name: str, now: float) -> bool:
        """Return whether an instance was heard directly within the time limit."""
        found = self._heard.get(name)
        return found is not None and now - found.at < self._timeout_s(found.domain)

    def presumed_domains(self, now: float) -> Domains:
        """Return the live instances or, until they are known, those that are listed."""
        live = self.live_domains(now)
        has_rosters = now - self._rosters_at < ROSTER_TTL_S
        if has_rosters or (self._is_warm(now) and self.is_hub(now)):
            return live
        if now - (self._started_at or now) >= ROSTER_TTL_S:
            return live
        presumed = {domain: dict(members) for domain, members in live.items()}
        for name, listed in self._listed.items():
            if not self._is_suspect(name, now):
                presumed.setdefault(listed.domain, {}).setdefault(name, listed.member)
        return presumed

    def live_domains(self, now: float) -> Domains:
        """Return the live instances by failure domain, without this one."""
        if now != self._live_at:
            self._forgive_pause(now)
            self._live = self._find_live(now)
            self._live_at = now
        return self._live

    def _find_live(self, now: float) -> Domains:
        found: dict[str, dict[str, Member]] = {}
        if not self._is_hub and now - self._rosters_at < ROSTER_TTL_S:
            found = {d: dict(members) for d, members in self._source_rosters.items()}
        for hub, (domain, _, members) in self._hub_rosters.items():
            # Other hubs send their rosters to hubs only.
            if self._is_hub and self.is_live(hub, now):
                found.setdefault(domain, {}).update(members)
        for name, heard in self._heard.items():
            if now - heard.at < self._timeout_s(heard.domain):
                found.setdefault(heard.domain, {})[name] = heard.member
        for members in found.values():
            for name in (self._name, *self._departed):
                if name in members and self._is_gone(members[name]):
                    del members[name]
        return found

    def hubs(self, domain: str, now: float) -> list[Member]:
        """Return the hubs of a failure domain, in order of preference.

        Instances that are listed but not live count while no hub of the domain is
        heard, since nothing is known of their state then.
        """
        return self._hubs(domain, self.live_domains(now), now)

    def is_hub(self, now: float) -> bool:
        """Return whether this instance is a hub of its failure domain."""
        return any(m.name == self._name for m in self.hubs(self._domain, now))

    def ranks_among(self, count: int, members: Iterable[Member]) -> bool:
        """Return whether this instance is among the first of its failure domain.

        Args:
            count: How many instances count as the first.
            members: The other instances of the failure domain to compare with.
        """
        own = () if self._own is None else (self._own,)
        first = order_hubs(self._domain, (*own, *members))[:count]
        return not own or own[0] in first

    def record_report(
        self, member: Member, domain: str, fields: HubFields | None, now: float
    ) -> None:
        """Apply a report received from another instance.

        Args:
            member: The sender.
            domain: Its failure domain.
            fields: What the report carries for the membership, None for one to all
                instances, which says only that the sender is live.
            now: The current time, in seconds.
        """
        self._forgive_pause(now)
        known = self._heard.get(member.name)
        if known is not None and known.member.incarnation != member.incarnation:
            self._forget(member.name)
        self._suspected_at.pop(member.name, None)
        if fields is None:
            self._record_liveness(member, domain, now)
            return
        self._heard[member.name] = _Heard(domain, member, now, fields, now)
        if fields.source == self._name:
            self._followers[member.name] = fields.stamps
        else:
            self._followers.pop(member.name, None)
        for roster in fields.rosters:
            members = {m.name: m for m in roster.members}
            if member.name == self._source and fields.stamps:
                self._source_rosters[roster.domain] = members
                self._source_stamps[roster.domain] = roster.stamp
            elif fields.is_hub and not fields.stamps and roster.domain == domain:
                self._hub_rosters[member.name] = (domain, roster.stamp, members)
        if member.name == self._source and fields.stamps:
            self._rosters_at = now
            for name in self._source_rosters.keys() - fields.stamps.keys():
                del self._source_rosters[name]

    def _record_liveness(self, member: Member, domain: str, now: float) -> None:
        known = self._heard.get(member.name)
        if known is None or now - known.fields_at >= self._timeout_s(domain):
            # What it said as a hub or follower is as old as that of a silent one.
            self._hub_rosters.pop(member.name, None)
            self._followers.pop(member.name, None)
            known = _Heard(domain, member, now, HubFields(), float("-inf"))
        self._heard[member.name] = _Heard(
            domain, member, now, known.fields, known.fields_at
        )

    def record_departure(self, name: str, incarnation: int) -> None:
        """Apply the last report of an instance that is leaving."""
        self._departed[name] = incarnation
        self._forget(name)

    def reply_to(self, name: str, now: float) -> Message | None:
        """Return the reply to a report, None if its sender expects none."""
        if name not in self._followers or name not in self._heard:
            return None
        return self._message_to_follower(name, now)

    def introduce(self, name: str) -> Message | None:
        """Return a report to an instance that does not know of the hubs yet."""
        heard = self._heard.get(name)
        if heard is None:
            return None
        return Message(heard.member, self.fields_for(name))

    def tick(self, now: float, *, force: bool = False) -> list[Message]:
        """Return the messages to send now; call this several times a second.

        Args:
            now: The current time, in seconds.
            force: Whether regular reports are sent before they are due.
        """
        if self._started_at is None:
            self._started_at = now
        is_due = force or now - self._sent_at >= REPORT_INTERVAL_S - TICK_TOLERANCE_S
        if not is_due and not self.has_duties:
            return []
        self._live_at = float("-inf")  # reports arrived since
        live = self.live_domains(now)
        hubs = self._hubs(self._domain, live, now)
        is_hub = any(m.name == self._name for m in hubs)
        if self._is_hub and not is_hub:
            # It goes on with what it knows as a hub until a source answers.
            self._source_rosters = {d: dict(members) for d, members in live.items()}
            self._rosters_at = now
            is_due = True
        self._is_hub = is_hub
        self._choose_source(hubs, is_hub, now)
        if self.has_duties:
            self._update_rosters(live, now)
        messages = self._push(now)
        has_change = is_hub and self._direct.stamp != self._sent_stamp
        if not is_due and not has_change:
            return messages
        self._sent_at = now
        self._sent_stamp = self._direct.stamp
        if is_hub:
            return messages + self._reports_to_hubs(live, now)
        fields = self._own_fields()
        return messages + [Message(m, fields) for m in hubs if m.name == self._source]

    def _hubs(self, domain: str, live: Domains, now: float) -> list[Member]:
        known = dict(live.get(domain, {}))
        if not self._knows(domain, known, now):
            for name, listed in self._listed.items():
                if listed.domain == domain and not self._is_suspect(name, now):
                    known.setdefault(name, listed.member)
        if domain == self._domain and self._own is not None:
            known[self._name] = self._own
        candidates = [m for m in known.values() if not m.is_draining]
        return order_hubs(domain, candidates)[: self.hubs_per_domain]

    def _knows(self, domain: str, live: Iterable[str], now: float) -> bool:
        """Return whether the live instances of a failure domain are known."""
        if domain != self._domain:
            return any(self.is_live(name, now) for name in live)
        has_rosters = now - self._rosters_at < ROSTER_TTL_S
        return has_rosters or (self._is_hub and self._is_warm(now))

    def _update_rosters(self, live: Domains, now: float) -> None:
        direct = {
            name: heard.member
            for name, heard in self._heard.items()
            if heard.domain == self._domain and now - heard.at < TIMEOUT_S
        }
        if self._own is not None:
            direct[self._name] = self._own
        self._direct.update(direct)
        for domain in {*live, *self._merged, self._domain}:
            merged = self._merged.setdefault(domain, _Numbered(self._first_stamp))
            members = live.get(domain, {})
            if domain == self._domain and self._own is not None:
                members = {**members, self._name: self._own}
            merged.update(members)

    def _choose_source(self, hubs: list[Member], is_hub: bool, now: float) -> None:
        if is_hub:
            self._set_source("", now)
            return
        if self._source and self._fields_at(self._source) < now - SOURCE_TIMEOUT_S:
            if now - self._source_since < SOURCE_TIMEOUT_S:
                return
            self._suspected_at[self._source] = now
            self._set_source("", now)
        names = [m.name for m in hubs if not self._is_suspect(m.name, now)]
        if self._source not in names:
            self._set_source(rendezvous(self._name, names) or "", now)

    def _set_source(self, name: str, now: float) -> None:
        if name != self._source:
            self._source = name
            self._source_since = now
            # The last rosters are kept until the new source sends its own.
            self._source_stamps = {}

    def _reports_to_hubs(self, live: Domains, now: float) -> list[Message]:
        targets: dict[str, Member] = {}
        domains = {*live, *(i.domain for i in self._listed.values()), self._domain}
        for domain in domains:
            targets.update((m.name, m) for m in self._hubs(domain, live, now))
        for name, heard in self._heard.items():
            if heard.fields.is_hub and self.is_live(name, now):
                targets[name] = heard.member
        targets.update(self._seek(live, now))
        targets.pop(self._name, None)
        return [Message(m, self._fields_for_hub(m.name)) for m in targets.values()]

    def _seek(self, live: Domains, now: float) -> dict[str, Member]:
        """Return one known instance that is not live, a different one each time.

        Parts of the fleet that lost all of each other's hubs find each other this way,
        also those that started together, whose lists lack each other.
        """
        known = {
            name: heard.member
            for name, heard in self._heard.items()
            if now - heard.at < SEEK_S
        }
        known |= {name: listed.member for name, listed in self._listed.items()}
        missing = sorted(known.keys() - merge_members(live))
        if not missing:
            return {}
        self._seek_count += 1
        name = missing[self._seek_count % len(missing)]
        return {name: known[name]}

    def _own_fields(self) -> HubFields:
        return HubFields(source=self._source, stamps=self._source_stamps.copy())

    def _fields_for_hub(self, name: str) -> HubFields:
        heard = self._heard.get(name)
        is_acked = heard is not None and heard.fields.ack == self._direct.stamp
        known = self._hub_rosters.get(name)
        return HubFields(
            is_hub=True,
            ack=known[1] if known is not None else 0,
            rosters=() if is_acked else (_roster(self._domain, self._direct),),
        )

    def fields_for(self, name: str) -> HubFields:
        """Return what a report carries to an instance beside the regular ones."""
        if self._is_hub:
            return self._fields_for_hub(name)
        return self._own_fields()

    def announce(self, now: float) -> list[Message]:
        """Return messages that tell the instances with this source of a change."""
        return [
            self._message_to_follower(name, now)
            for name in self._followers
            if self.is_live(name, now)
        ]

    def _push(self, now: float) -> list[Message]:
        messages: list[Message] = []
        if not self._is_warm(now):
            return messages
        current = self._current_stamps()
        for name, stamps in list(self._followers.items()):
            if not self.is_live(name, now):
                del self._followers[name]
            elif stamps != current:
                messages.append(self._message_to_follower(name, now))
        return messages

    def _message_to_follower(self, name: str, now: float) -> Message:
        if not self._is_warm(now):
            return Message(self._heard[name].member, HubFields(is_hub=True))
        has = self._followers[name]
        rosters = tuple(
            _roster(domain, merged)
            for domain, merged in self._merged.items()
            if has.get(domain) != merged.stamp
        )
        fields = HubFields(is_hub=True, stamps=self._current_stamps(), rosters=rosters)
        # Assumed to arrive; otherwise the next report shows what is missing.
        self._followers[name] = fields.stamps
        return Message(self._heard[name].member, fields)

    def _current_stamps(self) -> dict[str, int]:
        return {domain: merged.stamp for domain, merged in self._merged.items()}

    def _forget(self, name: str) -> None:
        self._heard.pop(name, None)
        self._hub_rosters.pop(name, None)
        self._followers.pop(name, None)
        if name == self._source:
            self._set_source("", self._source_since)

    def _is_warm(self, now: float) -> bool:
        return self._started_at is not None and now - self._started_at >= WARMUP_S

    def _forgive_pause(self, now: float) -> None:
        """Discount a pause of this process, during which it could hear nobody."""
        if self._seen_at is not None and now - self._seen_at > PAUSE_S:
            pause_s = now - self._seen_at
            for heard in self._heard.values():
                heard.at = min(now, heard.at + pause_s)
                heard.fields_at = min(now, heard.fields_at + pause_s)
            self._rosters_at = min(now, self._rosters_at + pause_s)
            self._source_since = min(now, self._source_since + pause_s)
        self._seen_at = now

    def _is_gone(self, member: Member) -> bool:
        return (
            member.name == self._name
            or self._departed.get(member.name) == member.incarnation
        )

    def _fields_at(self, name: str) -> float:
        found = self._heard.get(name)
        return found.fields_at if found is not None else float("-inf")

    def _is_suspect(self, name: str, now: float) -> bool:
        return now - self._suspected_at.get(name, float("-inf")) < SUSPECT_S

    def _timeout_s(self, domain: str) -> float:
        return TIMEOUT_S if domain == self._domain else REMOTE_TIMEOUT_S


def order_hubs(domain: str, members: Collection[Member]) -> list[Member]:
    """Order the instances of a failure domain by their suitability as hubs.

    The strongest come first; a hash orders those of equal strength, so that all
    instances agree and the failure of one changes only its own place.
    """
    return sorted(
        members,
        key=lambda m: (m.strength, weight(f"hub\0{domain}", m.name)),
        reverse=True,
    )


def merge_members(domains: Domains) -> dict[str, Member]:
    """Return the members of all failure domains by name."""
    return {name: m for members in domains.values() for name, m in members.items()}


def _roster(domain: str, numbered: _Numbered) -> Roster:
    return Roster(domain, numbered.stamp, tuple(numbered.members.values()))
