"""Loopback TCP relay that can delay, drop, block and reset connections."""

import asyncio
import contextlib

from mangoramp.standins._ports import HOST

CHUNK_BYTES = 65536


class Relay:
    """Relays connections to a target port, with fault injection.

    Attributes:
        delay_s: Delay of each chunk of data, in seconds.
        dropped_directions: Directions that drop data: ``out`` (to target) or ``back``.
        is_holding_connections: Whether new connections are accepted but not relayed.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.dropped_directions = set()
        self.is_holding_connections = False
        self.port = 0
        self._writers = set()
        self._tasks = set()
        self._silent = set()

    async def start(self):
        self._server = await asyncio.start_server(self._relay_connection, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_connections(self):
        """Let the open connections carry nothing any more; new ones work."""
        self._silent |= self._tasks

    def clear_faults(self):
        self.delay_s = 0.0
        self.dropped_directions = set()
        self.is_holding_connections = False

    def close(self):
        self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()

    async def _relay_connection(self, reader, writer):
        while self.is_holding_connections:
            await asyncio.sleep(0.05)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target()
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        pair = (writer, target_writer)
        self._writers.update(pair)
        tasks = [
            asyncio.ensure_future(self._pump(reader, target_writer, "out")),
            asyncio.ensure_future(self._pump(target_reader, writer, "back")),
        ]
        self._tasks.update(tasks)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
            self._tasks.discard(task)
            self._silent.discard(task)
        for side in pair:
            self._writers.discard(side)
            side.transport.abort()

    async def _pump(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                # After dropped data this direction stays silent until the close.
                is_silent = asyncio.current_task() in self._silent
                if is_silent or direction in self.dropped_directions:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
