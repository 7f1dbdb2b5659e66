"""The registry entry of a database server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The registry entry of one database server.

    Attributes:
        id: The server's id.
        group: The database group it belongs to.
        address: Its host and port.
        failure_domain: The failure domain it runs in.
        slots: Statements it can run concurrently.
        is_draining: Whether it is being drained before shutdown.
        is_primary: Whether it reports itself as its group's primary.
        started_ms: Start time in Unix milliseconds; 0 if not reported.
        sequence: The number of reports of its process up to this entry.
        cold_left_s: Seconds that it stayed cold when it wrote this entry.
    """

    id: str
    group: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_draining: bool
    is_primary: bool
    started_ms: int = 0
    sequence: int = 0
    cold_left_s: float = 0.0

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders the entries of one server, independent of the store's revisions."""
        return (self.started_ms, self.sequence)
