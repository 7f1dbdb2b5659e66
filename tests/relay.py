"""A loopback relay that delays, silences, cuts one way or resets what it carries."""

import asyncio
import contextlib

from mangoramp.standins._ports import HOST

CHUNK_BYTES = 65536


class Relay:
    """Carries connections to a port, unless told otherwise.

    Attributes:
        delay_s: Seconds by which everything is late.
        drops: The directions in which bytes vanish: ``out``, to the port, or ``back``.
        refuses: Whether new connections hang.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.drops = set()
        self.refuses = False
        self.port = 0
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._carry, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self):
        self.delay_s = 0.0
        self.drops = set()
        self.refuses = False

    def close(self):
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _carry(self, reader, writer):
        while self.refuses:
            await asyncio.sleep(0.05)
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target())
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self._writers.update(pair)
        tasks = [
            asyncio.ensure_future(self._pump(reader, far_writer, "out")),
            asyncio.ensure_future(self._pump(far_reader, writer, "back")),
        ]
        self._tasks.update(tasks)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)
        for side in pair:
            self._writers.discard(side)
            side.transport.abort()

    async def _pump(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                # Bytes that vanish leave the connection silent for good.
                if direction in self.drops:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
