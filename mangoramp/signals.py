"""The signals that stop a daemon."""

from __future__ import annotations

import asyncio
import signal


def stop_signal() -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
