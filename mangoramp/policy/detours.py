"""Ways to a primary that the home of a customer's connections cannot reach.

Addresses cuts between a primary and a part of the instances. The others still reach it,
so that it is not replaced, and its callers would be refused for as long as the cut
lasts. The home still charges each operation to the customer's limits; only then may
another home run it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ._rendezvous import rendezvous
from .isolation import REPORT_AGE_ERROR_S

MAX_HEARD_AGE_S = 0.8  # two report intervals, and a pause between two statements
DETOUR_S = 1.0  # then the customer's own home has told again which way is open


def choose_detour(
    customer: str,
    homes: Collection[str],
    heard_s: Mapping[str, float],
    silent_s: float,
) -> str | None:
    """Choose the home that runs what a customer's own home cannot, None if none can.

    An answer to another home from before the silence began here proves nothing: the
    primary may have failed, and its callers are to be refused at once.

    Args:
        customer: The customer.
        homes: The homes, without the customer's own.
        heard_s: Seconds since the primary answered instances that reported it.
        silent_s: Seconds since the primary accepted no more connections here.
    """
    most_s = min(MAX_HEARD_AGE_S, silent_s - REPORT_AGE_ERROR_S)
    reaching = [h for h in homes if heard_s.get(h, most_s) < most_s]
    return rendezvous(customer, reaching)


class Detours:
    """The homes that reach servers which other homes do not."""

    def __init__(self) -> None:
        self._found: dict[tuple[str, str], tuple[str, float]] = {}

    def record(self, customer: str, server_id: str, home: str, now: float) -> None:
        """Record that a home runs a customer's statements for a server."""
        self._found[customer, server_id] = (home, now)

    def drop(self, customer: str, server_id: str) -> None:
        """Record that no home is known to run a customer's statements for a server."""
        self._found.pop((customer, server_id), None)

    def find(self, customer: str, server_id: str, now: float) -> str | None:
        """Return the home to ask instead of the customer's own, None for its own."""
        found = self._found.get((customer, server_id))
        if found is None:
            return None
        home, recorded_at = found
        if now - recorded_at < DETOUR_S:
            return home
        del self._found[customer, server_id]
        return None
