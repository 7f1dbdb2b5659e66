"""Writes the log: one JSON object a line, bounded in volume, never waiting.

A reader that stops reading fills the pipe; lines are then left out and counted, and so
are lines of one event that come faster than its limit.
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
LINES_A_SECOND = 200  # of one event; an instance serves half as many statements
BURST_LINES = 400  # two seconds' worth, for what an outage brings all at once
LEFT_OUT = 110  # the event that counts lines left out
MAX_LINE_BYTES = 4096  # a pipe that can be written to takes as much without waiting
ATOMIC = getattr(select, "PIPE_BUF", 512)


@dataclass(slots=True)
class _Allowance:
    lines: float
    at: float


@dataclass(slots=True)
class LineLimit:
    """Limits the lines of each event.

    Attributes:
        rate: Lines a second that are let through.
        burst: Lines that may come at once.
        left_out: Lines that were not written since the last report, by event.
    """

    rate: float = LINES_A_SECOND
    burst: float = BURST_LINES
    left_out: Counter[int] = field(default_factory=Counter)
    _allowances: dict[int, _Allowance] = field(default_factory=dict)

    def lets_through(self, event: int, now: float) -> bool:
        """Take a line of an event, if it is within the limit.

        Args:
            event: The event's number.
            now: The time, in seconds.
        """
        found = self._allowances.setdefault(event, _Allowance(self.burst, now))
        gained = (now - found.at) * self.rate
        found.lines = min(self.burst, found.lines + gained)
        found.at = now
        if found.lines >= 1:
            found.lines -= 1
            return True
        self.left_out[event] += 1
        return False


class LineWriter:
    """Writes lines to a file descriptor without ever waiting for its reader.

    Args:
        fd: Where to write.
        limit: Limits the lines of each event.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        fd: int = STDOUT,
        *,
        limit: LineLimit | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fd = fd
        self._limit = limit or LineLimit()
        self._clock = clock
        self._reported_at = clock()
        self._encode = msgspec.json.Encoder(enc_hook=str).encode

    def write(self, line: dict[str, Any]) -> None:
        """Write a line, or leave it out and count it.

        Args:
            line: Its fields; ``event`` is the event's number.
        """
        if self.admits(line.get("event", 0)):
            self.put(line)

    def admits(self, event: int) -> bool:
        """Take a line of an event, if it is within the limit; else count it."""
        return self._limit.lets_through(event, self._clock())

    def put(self, line: dict[str, Any]) -> None:
        """Write a line that was admitted.

        Args:
            line: Its fields; ``event`` is the event's number.
        """
        if not self._put(line):
            self._limit.left_out[line.get("event", 0)] += 1
        self._report(self._clock(), line)

    def _report(self, now: float, line: dict[str, Any]) -> None:
        if not self._limit.left_out or now - self._reported_at < 1.0:
            return
        self._reported_at = now
        counts = {str(number): n for number, n in self._limit.left_out.items()}
        report = {
            "time": line.get("time"),
            "level": "WARNING",
            "message": "lines left out",
            "event": LEFT_OUT,
            "instance": line.get("instance"),
            "left_out": counts,
        }
        if self._put(report):
            self._limit.left_out.clear()

    def _put(self, line: dict[str, Any]) -> bool:
        data = self._encode(line) + b"\n"
        if len(data) > min(MAX_LINE_BYTES, ATOMIC):
            shortened = {k: line.get(k) for k in ("time", "level", "message", "event")}
            data = self._encode({**shortened, "shortened": True}) + b"\n"
        try:
            _, writable, _ = select.select([], [self._fd], [], 0)
            if not writable:
                return False
            os.write(self._fd, data)
        except OSError:
            # There is nowhere to tell it: the reader is gone.
            return False
        return True
