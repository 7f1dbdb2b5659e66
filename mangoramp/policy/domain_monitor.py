"""Detection of silent failure domains by their relays' leases."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

MIN_UNCHANGED_TTLS = 3
MIN_UNCHANGED_READS = 3


@dataclass(slots=True)
class _LeaseState:
    version: int
    changed_at: float
    reads: int = 0
    is_lost: bool = False


class DomainMonitor:
    """Checks the relay leases of the other failure domains in turn.

    A failure domain is lost once its lease has not changed over several reads and for
    several times the lease time. Nothing is concluded while the platform does not
    answer.
    """

    def __init__(self) -> None:
        self._leases: dict[str, _LeaseState] = {}
        self._last = ""

    @property
    def lost(self) -> tuple[str, ...]:
        """The names of the lost failure domains."""
        return tuple(
            sorted(name for name, lease in self._leases.items() if lease.is_lost)
        )

    def next(self, domains: Collection[str]) -> str | None:
        """Return the failure domain to check next, None if there is none."""
        if not domains:
            return None
        later = [name for name in domains if name > self._last]
        self._last = min(later or domains)
        return self._last

    def record_lease(self, domain: str, version: int, ttl_s: float, now: float) -> None:
        """Record the result of reading a failure domain's lease.

        Args:
            domain: The failure domain.
            version: The version of its lease object.
            ttl_s: The lease time, in seconds.
            now: The time, in seconds.
        """
        lease = self._leases.get(domain)
        if lease is None or lease.version != version:
            self._leases[domain] = _LeaseState(version, now)
            return
        lease.reads += 1
        unchanged_s = now - lease.changed_at
        lease.is_lost = (
            lease.reads >= MIN_UNCHANGED_READS
            and unchanged_s > MIN_UNCHANGED_TTLS * ttl_s
        )
