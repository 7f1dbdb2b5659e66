"""Rendezvous hashing: everyone who knows the members picks the same one."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous(subject: str, members: Iterable[str]) -> str | None:
    """Pick a member for a subject.

    Args:
        subject: What needs a member.
        members: Who may be picked.

    Returns:
        The member, None if there is none. When one leaves, only its own subjects move.
    """
    return max(members, key=lambda member: _weight(subject, member), default=None)


def ranked(subject: str, members: Iterable[str]) -> list[str]:
    """Order members for a subject, the one that :func:`rendezvous` picks first.

    Args:
        subject: What needs a member.
        members: Who may be picked.
    """
    return sorted(members, key=lambda m: _weight(subject, m), reverse=True)


def _weight(subject: str, member: str) -> bytes:
    return hashlib.blake2b(f"{subject}\0{member}".encode(), digest_size=8).digest()
