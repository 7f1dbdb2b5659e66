"""Event loop whose time advances to the next timer instead of waiting."""

import asyncio
import selectors


class _Selector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers at once, in order; for code without sockets or threads."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now


def run(coroutine):
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
