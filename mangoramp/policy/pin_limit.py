"""Limit on the connections that open transactions hold at a server.

Callers may be idle inside a transaction for seconds, and each such transaction pins a
connection. If all connections of a pool are pinned, nothing else is served, although
the server itself is idle.
"""

from __future__ import annotations

import math

FREE_PART = 0.25  # of a pool's connections, never pinned by transactions


def max_pinned(connections: int) -> int:
    """Return how many of a pool's connections transactions may hold.

    Args:
        connections: Connections that the pool may open. The only connection of a pool
            may be pinned, since no transaction could run otherwise.
    """
    if connections < 2:
        return connections
    return connections - math.ceil(FREE_PART * connections)
