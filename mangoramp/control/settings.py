"""What one instance is told at its start."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The promises that the deployment's operators hold this system to.

    Attributes:
        settled_s: Seconds without a disturbance after which timed promises hold again.
        configuration_s: Seconds within which a change is in force everywhere.
        draining_s: Seconds after which a leaving server gets no new work.
        grace_s: Seconds from the signal to stop to the end of the process.
        rate_window_s: Seconds over which a customer's operations are counted.
    """

    settled_s: float = 4.0
    configuration_s: float = 3.0
    draining_s: float = 7.0
    grace_s: float = 6.0
    rate_window_s: float = 5.0


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """One instance.

    Attributes:
        name: Its name.
        failure_domain: Where it runs.
        callers: Where it takes callers' connections.
        health: Where it says whether it is ready, and shows its metrics.
        peers: Where the other instances reach it.
        seeds: Where other instances may be found at the start.
        store_url: The store.
        promotion_url: Where promotions are ordered; empty if they cannot be.
        heartbeat_s: Seconds between two reports of a server.
        is_first_start: Whether the whole system starts for the first time.
        bounds: The promises.
        strength: How much it can carry, to be compared with the others'.
    """

    name: str
    failure_domain: str
    callers: Address
    health: Address
    peers: Address
    store_url: str
    promotion_url: str = ""
    seeds: tuple[Address, ...] = ()
    heartbeat_s: float = 1.2
    is_first_start: bool = False
    bounds: Bounds = Bounds()
    strength: int = 1
