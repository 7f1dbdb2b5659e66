"""Which replica a read goes to, or whether it needs the primary.

It answers the load of many short reads before a few servers with few slots each.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .position import Position

AWAY_S = 0.001  # a way to another failure domain and back
OPENING_S = 0.015  # a new connection keeps a slot busy that long


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
    is_suspect: bool


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
    away = 0.0 if replica.is_near else AWAY_S
    return waiting + opening + away, replica.id
