"""Choice of the replica for a read, or of the primary if no replica is suitable.

Designed for many short reads on a few servers with few slots each.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from ._rendezvous import rendezvous
from .position import Position

CROSS_DOMAIN_ROUND_TRIP_S = 0.001
OPEN_CONNECTION_S = 0.015  # opening a connection occupies a slot for this time
NOT_PREFERRED_S = 0.005  # between a cross-domain round trip and a new connection


@dataclass(frozen=True, slots=True)
class Replica:
    """A candidate replica for a read.

    Attributes:
        id: The server's id.
        last_position: The last position seen in the replica's answers, None if unknown.
        lag_s: Seconds within which the replica has usually applied an entry.
        latency_s: Seconds that a read on the replica usually takes.
        busy: Statements that this process has running or waiting at the replica.
        slots: Statements that the replica runs concurrently.
        is_near: Whether the replica runs in this failure domain.
        has_connection: Whether a connection of the caller's customer is free.
        is_preferred: Whether the customer's connections are kept at this replica.
        is_suspect: Whether the replica failed recently.
        is_recheck_due: Whether it refused a read as behind, and long enough ago that it
            may have caught up.
    """

    id: str
    last_position: Position | None
    lag_s: float
    latency_s: float
    busy: int
    slots: int
    is_near: bool
    has_connection: bool
    is_preferred: bool
    is_suspect: bool
    is_recheck_due: bool = False


def preferred_replica(customer: str, replicas: Collection[str]) -> str | None:
    """Return the replica that keeps a customer's connections, None without replicas.

    A server accepts few connections, and each is for one customer. If a customer's
    reads were spread over all replicas, most would have to open a connection.

    Args:
        customer: The customer's name.
        replicas: The ids of the group's replicas.
    """
    return rendezvous(customer, replicas)


def choose_replica(
    replicas: Iterable[Replica],
    need: Position,
    need_age_s: float,
    *,
    admit: Callable[[str], bool] = lambda replica: True,
    admit_probe: Callable[[str], bool] = lambda replica: False,
) -> Replica | None:
    """Choose the replica that is expected to answer first.

    Args:
        replicas: The replicas that may get work.
        need: The position that the answer must include.
        need_age_s: The least time for which the primary has held that position, in
            seconds.
        admit: Returns whether a replica that was chosen, given its id, may get the
            read; an outlier gets only a share.
        admit_probe: Returns whether a replica gets the read although others are
            expected to answer sooner, so that it is measured again.

    Returns:
        None if no replica that may get the read is likely to have reached the position.
    """
    suitable = [
        r for r in replicas if not r.is_suspect and likely_shows(r, need, need_age_s)
    ]
    suitable.sort(key=expected_s)
    probed = next((r for r in suitable if admit_probe(r.id)), None)
    return probed or next((r for r in suitable if admit(r.id)), None)


def likely_shows(replica: Replica, need: Position, need_age_s: float) -> bool:
    """Return whether a replica has probably reached a position.

    A replica that was behind may have caught up at any time since. Only a read shows
    it, and one that comes too early costs a round trip, so that it is tried again.

    Args:
        replica: The replica.
        need: The position.
        need_age_s: The least time for which the primary has held it, in seconds.
    """
    if replica.last_position is not None and replica.last_position >= need:
        return True
    return need_age_s >= replica.lag_s or replica.is_recheck_due


def expected_s(replica: Replica) -> tuple[float, str]:
    """Return the seconds until a replica's answer is expected, and its id."""
    service_s = replica.latency_s * (1 + replica.busy / replica.slots)
    open_s = 0.0 if replica.has_connection else OPEN_CONNECTION_S
    penalty_s = 0.0 if replica.is_preferred else NOT_PREFERRED_S
    round_trip_s = 0.0 if replica.is_near else CROSS_DOMAIN_ROUND_TRIP_S
    return service_s + open_s + penalty_s + round_trip_s, replica.id
