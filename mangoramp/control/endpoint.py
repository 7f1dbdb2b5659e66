"""A database server as the registry lists it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One database server.

    Attributes:
        id: Its id.
        group: The database group that it belongs to.
        address: Its host and port.
        failure_domain: Where it runs.
        slots: Statements that it runs at the same time.
        is_draining: Whether it is about to leave.
        is_primary: Whether it believes that it leads.
        started_ms: When it was started, in Unix milliseconds; 0 if it did not say.
    """

    id: str
    group: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_draining: bool
    is_primary: bool
    started_ms: int = 0
