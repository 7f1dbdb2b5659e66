"""Fencing tokens of claims that are kept in the object store.

A claim is written only if the object still has the revision at which it was read, and
counts only if the store answers the write in the era of that read. Its token consists
of this era and revision. Within an era, revisions are given out once, so a revision is
replaced by one write at most and no two claims that count share a token. A claim that
was written in one era and lost by a restoration has a lower token than all claims of
the next era. A write carried out late, in an era that gave out its revision again, may
replace a claim of that era; it counts for nobody, and as it takes a revision of its
own, the next claim has a higher token than the one that it replaced.
"""

from __future__ import annotations

from .revision import Revision

REVISION_BITS = 40  # a thousand changes a second for 30 years


def fencing_token(read_at: Revision) -> int:
    """Return the token of a claim that replaces the object read at a revision.

    Args:
        read_at: The revision at which the claimed object was read; its number is 0 if
            the object did not exist.
    """
    return (read_at.era << REVISION_BITS) + read_at.number + 1
