"""Rendezvous hashing: processes with the same members select the same one."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping

_UNIT_BITS = 52  # a float holds a number of 52 bits plus a half exactly


def rendezvous(subject: str, members: Iterable[str]) -> str | None:
    """Select the member with the highest hash weight for a subject.

    Args:
        subject: The key to assign.
        members: The members to select from.

    Returns:
        The selected member, or None if there are no members. When a member leaves,
        only the subjects assigned to it are reassigned.
    """
    return max(members, key=lambda member: weight(subject, member), default=None)


def rendezvous_order(subject: str, members: Iterable[str]) -> list[str]:
    """Order members by hash weight; :func:`rendezvous` selects the first of them.

    Args:
        subject: The key to assign.
        members: The members to order.
    """
    return sorted(members, key=lambda m: weight(subject, m), reverse=True)


def weight(subject: str, member: str) -> bytes:
    """Return the hash weight of a member for a subject."""
    return hashlib.blake2b(f"{subject}\0{member}".encode(), digest_size=8).digest()


def weighted_rendezvous(subject: str, members: Mapping[str, float]) -> str | None:
    """Select a member with a probability in proportion to its capacity.

    This is the logarithmic method of Schindelhauer and Schomaker ("Weighted Distributed
    Hash Tables", 2005). With equal capacities, it selects as :func:`rendezvous` does.

    Args:
        subject: The key to assign.
        members: The capacities by member; those that are not positive are never
            selected.

    Returns:
        The selected member, or None if no member has a capacity. When a member leaves,
        joins or changes its capacity, only the subjects that it loses or gains are
        reassigned.
    """
    return next(iter(weighted_rendezvous_order(subject, members)), None)


def weighted_rendezvous_order(subject: str, members: Mapping[str, float]) -> list[str]:
    """Order members as :func:`weighted_rendezvous` selects them if the first leave.

    Args:
        subject: The key to assign.
        members: The capacities by member; those that are not positive are left out.
    """

    def score(member: str) -> tuple[float, bytes]:
        hashed = weight(subject, member)
        unit = ((int.from_bytes(hashed) >> (64 - _UNIT_BITS)) + 0.5) / 2**_UNIT_BITS
        return members[member] / -math.log(unit), hashed

    positive = (member for member, capacity in members.items() if capacity > 0)
    return sorted(positive, key=score, reverse=True)
