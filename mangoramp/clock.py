"""The clock that decisions about ages go by."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Seconds since the machine's start, those of a suspension included.

    The monotonic clock stands still while a machine is suspended, and the time of day
    may be set back; ages, leases and rates need neither.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
