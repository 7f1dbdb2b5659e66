"""Gradual move of a customer's connections to a new home.

When a home fails or joins, many customers move at once, and the statements that waited
for the former home arrive together at homes without connections for them. If each
statement opened its own, the handshakes would occupy the servers' slots for longer than
the statements themselves. A home therefore opens one connection at a time to each
server for all customers that are new to it; the other statements wait for that one or
the next.

The former home keeps idle connections for a while, since a home that was only suspected
is used again within a second.
"""

from __future__ import annotations

from collections.abc import Mapping

HANDOVER_S = 1.0  # covers a handshake for each connection of a home, one by one


class Handover:
    """The customers that a home has, and since when.

    Of customers that are not known, none is new and none has left.
    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._others: frozenset[str] = frozenset()

    @property
    def customers(self) -> frozenset[str]:
        """The customers that this home has."""
        return frozenset(self._since)

    def apply(self, is_own: Mapping[str, bool], now: float) -> None:
        """Replace the customers that this home has.

        Args:
            is_own: For each customer whether this is its home; empty if this instance
                is not one of several homes.
            now: The current time, in seconds.
        """
        self._since = {c: self._since.get(c, now) for c, own in is_own.items() if own}
        self._others = frozenset(c for c, own in is_own.items() if not own)

    def has_left(self, customer: str) -> bool:
        """Return whether a customer has another home."""
        return customer in self._others

    def is_new(self, customer: str, now: float) -> bool:
        """Return whether a customer came recently or should use another home.

        Args:
            customer: The customer.
            now: The current time, in seconds.
        """
        since = self._since.get(customer)
        if since is None:
            return customer in self._others
        return now - since < HANDOVER_S
