"""The clock for ages, leases and rates."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the seconds since boot, including time in suspension.

    The monotonic clock stops while the machine is suspended and the wall clock can be
    set back; either would make ages, leases and rates wrong.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
