"""Evacuations of failure domains as known by this instance, and their servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from ..events import EVACUATION_DRAINED, EVACUATION_ENDED, EVACUATION_STARTED, emit
from ..policy.evacuation import (
    PRIMARY_PART,
    Entry,
    EvacuationTable,
    EvacuationTimes,
)
from ..policy.revision import Revision
from ..serving.servers import Servers
from .group import Server


class Evacuations:
    """Keeps the table of evacuations and marks the servers accordingly.

    Args:
        servers: The servers.
        bound_s: Returns the seconds after an operator's write until which requests may
            arrive at an evacuated server.
        is_enabled: Whether the deployment supports evacuations.

    Attributes:
        table: The evacuations.
        is_known: Set once the store or a peer has told which failure domains are
            evacuated; from the start if evacuations are not supported.
        on_change: Called when the table has changed or has become known.
    """

    def __init__(
        self, servers: Servers, bound_s: Callable[[], float], *, is_enabled: bool = True
    ) -> None:
        self.table = EvacuationTable()
        self.is_enabled = is_enabled
        self.is_known = asyncio.Event()
        self.on_change: Callable[[], None] = lambda: None
        self._servers = servers
        self._bound_s = bound_s
        self._undrained: set[str] = set()
        if not is_enabled:
            self.is_known.set()

    @property
    def latest(self) -> Revision | None:
        """The newest revision reflected here, None while nothing is known."""
        is_reported = self.is_enabled and self.is_known.is_set()
        return self.table.latest if is_reported else None

    @property
    def has_doubtful_evacuations(self) -> bool:
        """Whether the store has to be asked again about an evacuation in force."""
        return self.table.is_doubtful

    def apply_changes(self, changes: Mapping[str, Entry], *, is_late: bool) -> None:
        """Apply changes of the store.

        Args:
            changes: The newest entry of each changed failure domain.
            is_late: Whether the changes may have been made seconds ago.
        """
        before = self.table.entries
        self.table.merge(changes)
        self._update(before, is_late=is_late)

    def apply_list(self, listed: Mapping[str, Revision], revision: Revision) -> None:
        """Apply a complete list of the store.

        Missing evacuations are removed here and not by a timer, so that an instance
        that loses the store right after a list keeps to what it knew.

        Args:
            listed: The revisions of the evacuations by failure domain.
            revision: The revision of the list.
        """
        before = self.table.entries
        now = self._servers.clock()
        self.table.merge({domain: (at, True) for domain, at in listed.items()})
        self.table.retain(listed, revision, now)
        self.table.expire(now)
        self._update(before, is_late=True)
        self._set_known()

    def apply_news(self, entries: Mapping[str, Entry]) -> None:
        """Apply all entries of a peer that knows the evacuations."""
        before = self.table.entries
        self.table.merge(entries)
        self._update(before, is_late=not self.is_known.is_set())
        self._set_known()

    def log_drained(self) -> None:
        """Log the evacuated failure domains in which the last statement has ended."""
        for domain in list(self._undrained):
            if not self._count_in_flight(domain):
                self._undrained.discard(domain)
                times = self._servers.evacuations[domain]
                after_s = self._servers.clock() - times.since
                emit(
                    EVACUATION_DRAINED, failure_domain=domain, after_s=round(after_s, 2)
                )

    @property
    def statements(self) -> int:
        """The number of statements and open transactions at evacuated servers."""
        return sum(map(self._count_in_flight, self._servers.evacuations))

    def _update(self, before: Mapping[str, Entry], *, is_late: bool) -> None:
        evacuated = self.table.evacuated
        known = self._servers.evacuations
        for domain in evacuated - known.keys():
            self._start(domain, is_late=is_late)
        for domain in known.keys() - evacuated:
            self._end(domain)
        if before != self.table.entries:
            self.on_change()

    def _set_known(self) -> None:
        if not self.is_known.is_set():
            self.is_known.set()
            self.on_change()

    def _start(self, domain: str, *, is_late: bool) -> None:
        bound_s = self._bound_s()
        # If the operator's write may be seconds old, part of the time is over already.
        since = self._servers.clock() - (PRIMARY_PART * bound_s if is_late else 0.0)
        self._servers.evacuations[domain] = EvacuationTimes(since, bound_s)
        self._servers.update_evacuated()
        self._undrained.add(domain)
        found = self._servers_in(domain)
        emit(
            EVACUATION_STARTED,
            failure_domain=domain,
            revision=str(self.table.entries[domain][0]),
            late=is_late,
            servers=len(found),
            primaries=[s.id for s in found if s.is_primary],
        )

    def _end(self, domain: str) -> None:
        del self._servers.evacuations[domain]
        self._servers.update_evacuated()
        self._undrained.discard(domain)
        found = self._servers_in(domain)
        emit(
            EVACUATION_ENDED,
            failure_domain=domain,
            revision=str(self.table.entries[domain][0]),
            servers=len(found),
            primaries=[s.id for s in found if s.is_primary],
        )

    def _servers_in(self, domain: str) -> list[Server]:
        return [
            server
            for group in self._servers.groups.values()
            for server in group.servers.values()
            if server.endpoint.failure_domain == domain
        ]

    def _count_in_flight(self, domain: str) -> int:
        # A statement that runs at another instance's connection holds none here.
        return sum(
            max(server.busy, self._servers.pool(server).leased)
            for server in self._servers_in(domain)
        )
