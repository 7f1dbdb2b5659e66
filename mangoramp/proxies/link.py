"""Links between proxies: requests and answers over pynng, matched by id."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
import pynng
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from .messages import Message, decode, encode

BUFFER_MESSAGES = 1024
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
REACH_S = 0.3
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

Handler = Callable[[Message], Awaitable[Message]]


class LinkServer:
    """Answers the requests of other proxies.

    Args:
        address: Where to listen, as a pynng URL.
        handler: Answers one request; it raises nothing.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: Counter[type[Message]] = Counter()
        self._sock = pynng.Pair1(
            polyamorous=True,
            listen=address,
            send_buffer_size=BUFFER_MESSAGES,
            recv_buffer_size=BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )

    async def run(self) -> None:
        """Take requests until closed."""
        while True:
            try:
                msg = await self._sock.arecv_msg()
            except pynng.Closed:
                return
            task = asyncio.ensure_future(self._answer(msg))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def busy(self, *, apart_from: type[Message]) -> int:
        """How many requests are being answered, apart from those of one kind."""
        return sum(n for kind, n in self._busy.items() if kind is not apart_from)

    def close(self) -> None:
        """Stop listening and drop what is being answered."""
        self._sock.close()
        for task in self._tasks:
            task.cancel()

    async def _answer(self, msg: pynng.Message) -> None:
        try:
            req = decode(msg.bytes)
        except msgspec.DecodeError:
            return
        self._busy[type(req)] += 1
        try:
            answer = msgspec.structs.replace(await self._handler(req), id=req.id)
            with contextlib.suppress(pynng.NNGException):
                await msg.pipe.asend(encode(answer))
        finally:
            self._busy[type(req)] -= 1


class Link:
    """Sends requests to one other proxy.

    Args:
        peer: The other proxy's name.
        address: Where it listens, as a pynng URL.
    """

    def __init__(self, peer: str, address: str) -> None:
        self.peer = peer
        self.address = address
        self._ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Message]] = {}
        self._sock = pynng.Pair1(
            polyamorous=True,
            send_buffer_size=BUFFER_MESSAGES,
            recv_buffer_size=BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._loop = asyncio.get_running_loop()
        self._joined = asyncio.Event()
        self._sock.add_post_pipe_connect_cb(self._on_joined)
        self._sock.add_post_pipe_remove_cb(self._on_lost)
        self._sock.dial(address, block=False)
        self._reader = asyncio.ensure_future(self._read())

    @property
    def connected(self) -> bool:
        """Whether the other proxy can be sent to now."""
        return bool(self._sock.pipes)

    async def call(self, req: Message, *, timeout_s: float) -> Result[Message, Fault]:
        """Send a request and wait for its answer.

        Args:
            req: The request; its id is set here.
            timeout_s: Seconds to wait.

        Returns:
            The answer. A fault says ``not_run`` only if nothing was sent.
        """
        if not await self._reached(min(timeout_s, REACH_S)):
            return Failure(self._fault(Code.NO_HOME, "is not reached"))
        pipes = self._sock.pipes
        msg_id = next(self._ids)
        fut: asyncio.Future[Message] = self._loop.create_future()
        self._waiting[msg_id] = fut
        try:
            data = encode(msgspec.structs.replace(req, id=msg_id))
            async with asyncio.timeout(timeout_s):
                await self._exchange(pipes[0], data, fut)
            return Success(fut.result())
        except TimeoutError:
            return Failure(self._lost(Code.TIMEOUT, "did not answer in time"))
        except (pynng.NNGException, ConnectionError):
            return Failure(self._lost(Code.CONNECTION_LOST, "was lost"))
        finally:
            del self._waiting[msg_id]

    def close(self) -> None:
        """Close the link."""
        self._reader.cancel()
        self._sock.close()

    async def _reached(self, timeout_s: float) -> bool:
        if self.connected:
            return True
        self._joined.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._joined.wait()
        return self.connected

    async def _exchange(
        self, pipe: pynng.Pipe, data: bytes, fut: asyncio.Future[Message]
    ) -> None:
        await pipe.asend(data)
        await fut

    async def _read(self) -> None:
        while True:
            try:
                msg = await self._sock.arecv_msg()
            except pynng.Closed:
                return
            answer = decode(msg.bytes)
            fut = self._waiting.get(answer.id)
            if fut is not None and not fut.done():
                fut.set_result(answer)

    def _on_joined(self, pipe: pynng.Pipe) -> None:
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._joined.set)

    def _on_lost(self, pipe: pynng.Pipe) -> None:
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._fail_waiting)

    def _fail_waiting(self) -> None:
        for fut in self._waiting.values():
            if not fut.done():
                fut.set_exception(ConnectionError(self.peer))

    def _fault(self, code: Code, what: str) -> Fault:
        message = f"the proxy {self.peer} {what}"
        return Fault(code, message, Step.FORWARD, peer=self.peer, retry_after_s=0.5)

    def _lost(self, code: Code, what: str) -> Fault:
        message = f"the proxy {self.peer} {what}"
        return Fault(code, message, Step.FORWARD, self.peer, Outcome.UNKNOWN, 0.5)
