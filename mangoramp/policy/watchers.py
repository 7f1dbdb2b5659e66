"""Selects the instances that watch the store; the others get changes from peers.

Each change completes every pending watch call, and each call counts against the store's
rate limit, so a large fleet would exceed the limit if every instance watched. Only a
few instances per failure domain watch the store; the others get the changes from them.
"""

from __future__ import annotations

from collections.abc import Collection

from ._rendezvous import rendezvous_order

MAX_INSTANCES_ALL_WATCHING = (
    12  # up to this many instances, fewer watch calls would save little
)
WATCHERS_PER_DOMAIN = (
    3  # per failure domain: one may fail and one be refused by the store
)


def is_watcher(name: str, near: Collection[str], *, instances: int) -> bool:
    """Return whether an instance watches the store itself.

    Args:
        name: The instance.
        near: The other reachable instances in its failure domain whose calls the store
            answers.
        instances: The total number of instances.
    """
    if instances <= MAX_INSTANCES_ALL_WATCHING:
        return True
    return name in rendezvous_order("watchers", {name, *near})[:WATCHERS_PER_DOMAIN]
