"""The signals that stop a daemon."""

from __future__ import annotations

import asyncio
import signal


def stop_signals() -> tuple[asyncio.Event, asyncio.Event]:
    """Two events: the first signal to stop sets one, each further one the other."""
    first, second = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop() -> None:
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    return first, second


def stop_signal() -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
