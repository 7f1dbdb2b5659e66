"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import os
import time
from pathlib import Path


class Record:
    """Writes ``record.txt`` and collects the findings of a run.

    Args:
        path: The file to write.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.broken: list[str] = []

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started

    def write(self, who: str, what: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now:9.4f} {who:<14} {what}\n")

    def say(self, what: str) -> None:
        """Write one line and print it."""
        self.write("case", what)
        print(f"{self.now:7.2f} {what}", flush=True)

    def find(self, what: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(what)
        self.write("RULE BROKEN", what)

    def close(self) -> int:
        """Write the verdict and return the exit code of the case."""
        for line in self.broken[:5]:
            print(f"broken: {line}")
        self.say(f"{len(self.broken)} breaches of the rule")
        self._file.close()
        return 1 if self.broken else 0


def has_trouble() -> bool:
    """Return whether the run plays the disruption: ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"
