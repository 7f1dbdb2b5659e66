"""Non-blocking, rate-limited writer for the JSON log.

Lines are dropped and counted if the pipe is full because its reader has stalled, or if
an event exceeds its rate limit.
"""

from __future__ import annotations

import os
import select
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

STDOUT = 1
MAX_LINES_PER_S = 200  # per event; twice the statements that an instance serves
MAX_BURST_LINES = 400  # 2 s at the full rate, for the burst when an outage begins
DROPPED_EVENT = 110  # number of the event that reports dropped lines
MAX_LINE_BYTES = 4096  # a write of this size to a writable pipe does not block
ATOMIC_WRITE_BYTES = getattr(select, "PIPE_BUF", 512)


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated_at: float


@dataclass(slots=True)
class EventRateLimit:
    """Token bucket per event.

    Attributes:
        rate: Lines per second and event.
        burst: Capacity of each bucket, in lines.
        dropped: Lines dropped since the last report, by event.
    """

    rate: float = MAX_LINES_PER_S
    burst: float = MAX_BURST_LINES
    dropped: Counter[int] = field(default_factory=Counter)
    _buckets: dict[int, _TokenBucket] = field(default_factory=dict)

    def try_admit(self, event: int, now: float) -> bool:
        """Take a token for a line of an event, or count the line as dropped.

        Args:
            event: The event's number.
            now: The time, in seconds.
        """
        bucket = self._buckets.setdefault(event, _TokenBucket(self.burst, now))
        gained = (now - bucket.updated_at) * self.rate
        bucket.tokens = min(self.burst, bucket.tokens + gained)
        bucket.updated_at = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return True
        self.dropped[event] += 1
        return False


class LogWriter:
    """Writes log lines to a file descriptor without blocking.

    Args:
        fd: The file descriptor.
        limit: The rate limit per event.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        fd: int = STDOUT,
        *,
        limit: EventRateLimit | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fd = fd
        self._limit = limit or EventRateLimit()
        self._clock = clock
        self._reported_at = clock()
        self._encode = msgspec.json.Encoder(enc_hook=str).encode

    def write(self, line: dict[str, Any]) -> None:
        """Write a line if its event is within the rate limit, else drop and count it.

        Args:
            line: Its fields; ``event`` is the event's number.
        """
        if self.try_admit(line.get("event", 0)):
            self.write_admitted(line)

    def try_admit(self, event: int) -> bool:
        """Take a token for a line of an event, or count the line as dropped."""
        return self._limit.try_admit(event, self._clock())

    def write_admitted(self, line: dict[str, Any]) -> None:
        """Write a line that ``try_admit`` has admitted.

        Args:
            line: Its fields; ``event`` is the event's number.
        """
        if not self._write_line(line):
            self._limit.dropped[line.get("event", 0)] += 1
        self._report_dropped(self._clock(), line)

    def _report_dropped(self, now: float, line: dict[str, Any]) -> None:
        if not self._limit.dropped or now - self._reported_at < 1.0:
            return
        self._reported_at = now
        counts = {str(number): n for number, n in self._limit.dropped.items()}
        report = {
            "time": line.get("time"),
            "level": "WARNING",
            "message": "log lines dropped",
            "event": DROPPED_EVENT,
            "instance": line.get("instance"),
            "left_out": counts,
        }
        if self._write_line(report):
            self._limit.dropped.clear()

    def _write_line(self, line: dict[str, Any]) -> bool:
        data = self._encode(line) + b"\n"
        if len(data) > min(MAX_LINE_BYTES, ATOMIC_WRITE_BYTES):
            shortened = {k: line.get(k) for k in ("time", "level", "message", "event")}
            data = self._encode({**shortened, "shortened": True}) + b"\n"
        try:
            _, writable, _ = select.select([], [self._fd], [], 0)
            if not writable:
                return False
            os.write(self._fd, data)
        except OSError:
            # The reader is gone, so the error cannot be logged either.
            return False
        return True
