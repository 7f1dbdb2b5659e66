"""Handlers of the signals that stop a daemon."""

from __future__ import annotations

import asyncio
import signal


def install_two_stage_stop_handlers() -> tuple[asyncio.Event, asyncio.Event]:
    """Install handlers of SIGTERM and SIGINT for a graceful and an immediate stop.

    Returns:
        The event that the first signal sets, and the event that any later one sets.
    """
    first, second = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop() -> None:
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    return first, second


def install_stop_handler() -> asyncio.Event:
    """Install handlers of SIGTERM and SIGINT and return the event that they set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
