"""Which failure domains give no sign of life, judged by their relays' leases."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

SILENT_TTLS = 3
SILENT_READS = 3


@dataclass(slots=True)
class _Seen:
    version: int
    moved_at: float
    reads: int = 0
    lost: bool = False


class Survey:
    """Looks at one failure domain after the other.

    A domain is lost once its lease did not move over several reads and several times
    the lease's time. While the platform does not answer, nothing is judged.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._last = ""

    @property
    def lost(self) -> tuple[str, ...]:
        """The failure domains that give no sign of life."""
        return tuple(sorted(name for name, seen in self._seen.items() if seen.lost))

    def next(self, domains: Collection[str]) -> str | None:
        """The failure domain to look at next, None if there is none."""
        if not domains:
            return None
        later = [name for name in domains if name > self._last]
        self._last = min(later or domains)
        return self._last

    def saw(self, domain: str, version: int, ttl_s: float, now: float) -> None:
        """Take over what a read of a domain's lease answered.

        Args:
            domain: The failure domain.
            version: The version of its lease's object.
            ttl_s: The lease's time, in seconds.
            now: The time, in seconds.
        """
        seen = self._seen.get(domain)
        if seen is None or seen.version != version:
            self._seen[domain] = _Seen(version, now)
            return
        seen.reads += 1
        silent_s = now - seen.moved_at
        seen.lost = seen.reads >= SILENT_READS and silent_s > SILENT_TTLS * ttl_s
