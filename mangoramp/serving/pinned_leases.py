"""Keeps the connections that open transactions of other instances pin at a home.

The other instances refer to a connection by its handle, which outlives the home's
process there. A handle begins with a random id of the process, so that a restarted home
never gives out one that is still held elsewhere, and knows those of earlier processes.
"""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from ..events import PINNED_CLOSED, PINNED_EXPIRED, PINNED_UNKNOWN, emit
from .lease import MIN_UNIQUE_HANDLE, PIN_TIMEOUT_S, LocalLease

UNUSED_TIMEOUT_S = 2.0  # the first statement follows the answer to the begin at once
NUMBER_BITS = 32  # of a handle; the other ones are the process's id
NUMBER_MASK = 0xFFFF_FFFF


@dataclass(slots=True)
class PinnedLease:
    """A connection that an open transaction pins.

    Attributes:
        lease: The lease of the connection.
        used_at: When a statement last ended on it, in seconds.
        is_busy: Whether a statement runs on it.
        is_known: Whether a statement has come for it, so that its handle has arrived.
    """

    lease: LocalLease
    used_at: float
    is_busy: bool = False
    is_known: bool = False

    @property
    def timeout_s(self) -> float:
        """Seconds without a statement after which it is closed."""
        return PIN_TIMEOUT_S if self.is_known else UNUSED_TIMEOUT_S


class PinnedLeases:
    """The pinned connections of one home by handle.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        first = MIN_UNIQUE_HANDLE + secrets.randbelow(MIN_UNIQUE_HANDLE)
        self._process = first >> NUMBER_BITS
        self._numbers = itertools.count(first)
        self._pinned: dict[int, PinnedLease] = {}

    def __len__(self) -> int:
        return len(self._pinned)

    @property
    def process(self) -> str:
        """The id of this process, with which its handles begin, in hexadecimal."""
        return f"{self._process:x}"

    def find(
        self, handle: int, *, customer: str, group: str, server: str
    ) -> PinnedLease | None:
        """Return a pinned connection.

        Args:
            handle: The connection's handle.
            customer: The customer that must own the connection.
            group: The database group of its server.
            server: The id of its server.

        Returns:
            None if the connection is not pinned any more, is another one or runs a
            statement.
        """
        pinned = self._pinned.get(handle)
        reason = "it is not pinned any more"
        if handle >> NUMBER_BITS != self._process:
            reason = "another process gave the handle out"
        if pinned is not None:
            endpoint = pinned.lease.server.endpoint
            owner = (pinned.lease.customer, endpoint.group, endpoint.id)
            if owner != (customer, group, server):
                reason = f"it belongs to {pinned.lease.customer} at {endpoint.id}"
            elif pinned.is_busy:
                reason = "a statement runs on it"
            else:
                return pinned
        emit(
            PINNED_UNKNOWN,
            handle=f"{handle:x}",
            customer=customer,
            server=server,
            reason=reason,
        )
        return None

    def pin(self, lease: LocalLease) -> int:
        """Keep a connection for the statements to come, and return its handle."""
        handle = self._next_handle()
        self._pinned[handle] = PinnedLease(lease, self._clock())
        return handle

    def _next_handle(self) -> int:
        number = next(self._numbers) & NUMBER_MASK
        return self._process << NUMBER_BITS | number

    def keep(self, handle: int) -> None:
        """Record that a statement has ended and the transaction is still open."""
        pinned = self._pinned.get(handle)
        if pinned is None:
            return
        pinned.is_busy, pinned.used_at = False, self._clock()
        pinned.is_known = True
        if not pinned.lease.conn.is_open:
            self.close(handle, "its connection is closed")

    def forget(self, handle: int) -> None:
        """Stop keeping a connection whose transaction has ended."""
        self._pinned.pop(handle, None)

    def close(self, handle: int, reason: str) -> None:
        """Close a connection, so that the server rolls back its transaction.

        Whoever runs a statement on it releases the lease.

        Args:
            handle: The connection's handle.
            reason: Why it is closed, for the log.
        """
        pinned = self._pinned.get(handle)
        if pinned is None:
            return
        emit(
            PINNED_CLOSED,
            handle=f"{handle:x}",
            customer=pinned.lease.customer,
            server=pinned.lease.server.id,
            is_busy=pinned.is_busy,
            reason=reason,
        )
        pinned.lease.discard()
        if not pinned.is_busy:
            self.forget(handle)
            pinned.lease.release()

    def close_idle(self, reason: str) -> None:
        """Close all connections that run no statement."""
        for handle, pinned in list(self._pinned.items()):
            if not pinned.is_busy:
                self.close(handle, reason)

    def evict_expired(self) -> None:
        """Close the connections that were unused for too long.

        An instance that does not get the answer to its begin does not learn the handle.
        """
        now = self._clock()
        for handle, pinned in list(self._pinned.items()):
            if not pinned.is_busy and now - pinned.used_at > pinned.timeout_s:
                emit(
                    PINNED_EXPIRED,
                    handle=f"{handle:x}",
                    customer=pinned.lease.customer,
                    server=pinned.lease.server.id,
                )
                self.close(handle, f"it was unused for {pinned.timeout_s:.0f} s")
