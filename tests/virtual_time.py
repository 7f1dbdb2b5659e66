"""Runs coroutines in virtual time: sleeping advances the loop's clock at once."""

import asyncio
import selectors


class _Selector(selectors.DefaultSelector):
    now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only while all tasks sleep."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual.now


def run_virtual(coro):
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        loop.close()
