"""Which instances follow the store themselves, and which through their peers.

It answers a fleet that grows faster than the store's rate of calls: each change answers
every waiting watch, and each of these counts. A few instances of each failure domain
watch, and the others take the changes from them.
"""

from __future__ import annotations

from collections.abc import Collection

from ._rendezvous import ranked

ALL_WATCH = 12  # instances of which each may watch; fewer calls would save little
WATCHERS = 3  # of a failure domain, of which one may be lost and one turned away


def is_watcher(name: str, near: Collection[str], *, instances: int) -> bool:
    """Whether an instance follows the store itself.

    Args:
        name: The instance.
        near: The other instances in touch in its failure domain whose calls the store
            answers.
        instances: How many instances there are.
    """
    if instances <= ALL_WATCH:
        return True
    return name in ranked("watchers", {name, *near})[:WATCHERS]
