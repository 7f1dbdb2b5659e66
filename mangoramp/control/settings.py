"""Settings of one instance."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]

DEFAULT_MEMORY_BYTES = 512 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits that the deployment requires the proxy to keep.

    Attributes:
        settled_s: Seconds after a disturbance until the other limits hold again.
        configuration_s: Seconds within which a configuration change applies everywhere.
        draining_s: Seconds after which a draining server gets no new work.
        grace_s: Seconds between the stop signal and the end of the process.
        rate_window_s: Length of the window for a customer's rate limit, in seconds.
        rate_overage: Part by which the operations of a window may exceed the limit.
        rate_slack: Operations by which they may exceed it in addition.
        evacuation_s: Seconds after which the servers of an evacuated failure domain
            get no more requests; 0 if evacuations are not supported.
        cold_overage: Factor by which a cold server's request rate may be exceeded.
        cold_slack: Requests that a cold server may get beyond that in any second.
    """

    settled_s: float = 4.0
    configuration_s: float = 3.0
    draining_s: float = 7.0
    grace_s: float = 6.0
    rate_window_s: float = 5.0
    rate_overage: float = 0.0
    rate_slack: float = 0.0
    evacuation_s: float = 0.0
    cold_overage: float = 0.0
    cold_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Features:
    """The parts that the deployment switches on.

    Attributes:
        evacuation: Whether operators may evacuate failure domains.
        load_control: Whether load is controlled over all instances.
        server_health: Whether servers are judged by their answers.
    """

    evacuation: bool = False
    load_control: bool = False
    server_health: bool = False


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of one instance.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain it runs in.
        callers: The address for callers' connections.
        health: The address of the readiness check and the metrics.
        peers: The address for the other instances.
        seeds: Addresses of instances to contact at startup.
        store_url: The URL of the store.
        promotion_url: The URL for promotion requests; empty to disable promotion.
        heartbeat_s: Seconds between two status reports of a server.
        is_first_start: Whether the deployment as a whole starts for the first time.
        bounds: The time limits to keep.
        strength: Relative capacity, compared with that of other instances.
        features: The parts that are switched on.
        memory_bytes: The memory that the process may take, in bytes.
        is_fenced: Whether the platform refuses a promotion with an older token.
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
    features: Features = Features()
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    is_fenced: bool = True
