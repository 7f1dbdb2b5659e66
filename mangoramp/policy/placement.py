"""Which replica a read goes to, or whether it needs the primary.

It answers the load of many short reads before a few servers with few slots each.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ._rendezvous import rendezvous
from .position import Position

AWAY_S = 0.001  # a way to another failure domain and back
OPENING_S = 0.015  # a new connection keeps a slot busy that long
STRAY_S = 0.005  # less than a new connection, more than a way between failure domains


@dataclass(frozen=True, slots=True)
class Replica:
    """A replica that a read might go to.

    Attributes:
        id: The server.
        shows: The last position that its answers showed, None if it is not known.
        lag_s: Seconds after which it has usually applied an entry.
        latency_s: Seconds that a read usually takes there.
        busy: Statements that this process has running or waiting there.
        slots: Statements that it runs at the same time.
        is_near: Whether it runs in this failure domain.
        has_connection: Whether a connection of the caller's customer is free.
        is_preferred: Whether the customer's connections are kept at this replica.
        is_suspect: Whether it failed lately.
    """

    id: str
    shows: Position | None
    lag_s: float
    latency_s: float
    busy: int
    slots: int
    is_near: bool
    has_connection: bool
    is_preferred: bool
    is_suspect: bool


def preferred_replica(customer: str, replicas: Collection[str]) -> str | None:
    """The replica that keeps a customer's connections, None if there is none.

    A server takes few connections, each for one customer; were a customer's reads
    spread over all replicas, most of them would have to open one.

    Args:
        customer: The customer.
        replicas: The group's replicas.
    """
    return rendezvous(customer, replicas)


def choose_replica(
    replicas: Iterable[Replica], need: Position, need_age_s: float
) -> Replica | None:
    """Choose the replica that will answer soonest.

    Args:
        replicas: The replicas that may get work.
        need: What the answer must hold.
        need_age_s: Seconds for which the primary has held it at least.

    Returns:
        None if no replica is likely to hold what is needed.
    """
    fit = [r for r in replicas if not r.is_suspect and _shows(r, need, need_age_s)]
    if not fit:
        return None
    return min(fit, key=_expected_s)


def _shows(replica: Replica, need: Position, need_age_s: float) -> bool:
    if replica.shows is not None and replica.shows >= need:
        return True
    return need_age_s >= replica.lag_s


def _expected_s(replica: Replica) -> tuple[float, str]:
    waiting = replica.latency_s * (1 + replica.busy / replica.slots)
    opening = 0.0 if replica.has_connection else OPENING_S
    stray = 0.0 if replica.is_preferred else STRAY_S
    away = 0.0 if replica.is_near else AWAY_S
    return waiting + opening + stray + away, replica.id
