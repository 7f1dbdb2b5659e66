"""Limit on the requests that one instance sends to a cold server in any second.

A server that has just started can take few requests until its caches are filled, and
more of them keep it slow. The limit holds over all instances, also over those that are
not connected, so each keeps to a fixed part without asking the others.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from ._rendezvous import rendezvous_order

WINDOW_S = 1.0
WINDOW_MARGIN_S = 0.02  # a process may be suspended between clock and send


def cold_limit(rate: float, overage: float, slack: float) -> float:
    """Return how many requests a cold server may get in any second.

    Args:
        rate: Requests per second that the server can take.
        overage: Factor by which the rate may be exceeded; 0 if not configured.
        slack: Requests beyond that.
    """
    return rate * (overage or 1.0) + slack


@dataclass(frozen=True, slots=True)
class Holders:
    """The instances that hold connections to servers, as one instance knows them.

    Attributes:
        names: Their names, empty while unknown.
        most: The greatest number that there may be with this configuration.
        in_touch: The part of the fleet that is in touch, from 0 to 1.
        are_chosen: Whether the holders are chosen from the instances in touch, so that
            each side of a network partition may choose as many as the whole fleet.
    """

    names: tuple[str, ...]
    most: int
    in_touch: float = 1.0
    are_chosen: bool = True


def cold_part(limit: float, holders: Holders, name: str, server: str) -> int:
    """Return how many requests one instance may send to a cold server in any second.

    Args:
        limit: Requests that the server may get in any second from all instances.
        holders: The holders of connections.
        name: The instance's name.
        server: The server's id.
    """
    if name not in holders.names:
        return 0
    usable = limit * min(1.0, holders.in_touch)
    shared = usable if holders.are_chosen else limit
    if shared >= holders.most:
        return int(shared / holders.most)
    first = rendezvous_order(server, holders.names)[: int(usable)]
    return 1 if name in first else 0


class ColdLimit:
    """Counts requests over a sliding window of one second.

    Requests are reserved before a connection is acquired and counted from the time at
    which they are sent. A larger part becomes usable after one window, in which the
    server still counts the requests of the part's previous owner.

    Args:
        part: Requests that may be sent in any second.
        usable_at: When the part becomes usable, in seconds.

    Attributes:
        part: The part that is or becomes usable.
    """

    def __init__(self, part: int, usable_at: float) -> None:
        self.part = part
        self._usable_part = 0
        self._usable_at = usable_at
        self._sent: deque[tuple[float, int]] = deque()
        self._count = 0  # sent within the window, or reserved

    def set_part(self, part: int, now: float) -> None:
        """Change the part; a smaller one applies at once."""
        if part == self.part:
            return
        self._settle(now)
        self._usable_part = min(self._usable_part, part)
        if part > self.part:
            self._usable_at = now + WINDOW_S
        self.part = part

    def has_room(self, requests: int, now: float) -> bool:
        """Return whether requests may be sent now."""
        self._settle(now)
        return self._count + requests <= self._usable_part

    def would_have_room(self, requests: int, now: float) -> bool:
        """Return what :meth:`has_room` would return, without any change."""
        is_usable = self._usable_part < self.part and now >= self._usable_at
        part = self.part if is_usable else self._usable_part
        oldest_at = now - WINDOW_S - WINDOW_MARGIN_S
        expired = sum(sent for sent_at, sent in self._sent if sent_at <= oldest_at)
        return self._count - expired + requests <= part

    def wait_s(self, requests: int, now: float) -> float:
        """Return the seconds until requests may be sent if nothing else is sent.

        Returns:
            0 if they may be sent now, infinity if they exceed the part.
        """
        if self.has_room(requests, now):
            return 0.0
        if requests > self.part:
            return math.inf
        count, part = self._count, self._usable_part
        at = now
        if part < self.part:
            at, part = self._usable_at, self.part
        for sent_at, sent in self._sent:
            if count + requests <= part:
                break
            count -= sent
            at = max(at, sent_at + WINDOW_S + WINDOW_MARGIN_S)
        if count + requests > part:  # reserved requests will be sent before
            at = max(at, now + WINDOW_S + WINDOW_MARGIN_S)
        return at - now

    def reserve(self, requests: int) -> None:
        """Reserve requests that will be sent or cancelled."""
        self._count += requests

    def cancel(self, requests: int) -> None:
        """Cancel reserved requests that were not sent."""
        self._count -= requests

    def record_sent(self, requests: int, now: float) -> None:
        """Record that reserved requests are sent."""
        self._sent.append((now, requests))

    def _settle(self, now: float) -> None:
        if self._usable_part < self.part and now >= self._usable_at:
            self._usable_part = self.part
        while self._sent and now >= self._sent[0][0] + WINDOW_S + WINDOW_MARGIN_S:
            self._count -= self._sent.popleft()[1]
