"""Links between proxies: requests and answers over pynng.

Each request has a context of its own, so that many are under way on one connection,
and nng waits where the other end is slow. A request is never sent again: with resending
off, nng ends it when its connection is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
import pynng
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from .messages import Envelope, decode, encode

RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
REACH_S = 0.3
RETRY_AFTER_S = 0.5
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
NO_RESEND = -1
CONTEXTS_KEPT = 128

Handler = Callable[[Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Codec:
    """How the messages of a link are written.

    Attributes:
        encode: Encodes a message.
        decode: Decodes one; raises ``msgspec.DecodeError``.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


PROXY_CODEC = Codec(encode, decode)


class LinkServer:
    """Answers the requests of other proxies.

    Args:
        address: Where to listen, as a pynng URL.
        handler: Answers one request; it raises nothing.
        codec: How the messages are written.
    """

    def __init__(
        self, address: str, handler: Handler, codec: Codec = PROXY_CODEC
    ) -> None:
        self._handler = handler
        self._codec = codec
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: Counter[type[Envelope]] = Counter()
        self._sock = pynng.Rep0(listen=address, recv_max_size=MAX_MESSAGE_BYTES)
        self._contexts = _Contexts(self._sock)

    async def run(self) -> None:
        """Take requests until closed."""
        while True:
            try:
                ctx = self._contexts.take()
                data = await ctx.arecv()
            except pynng.Closed:
                return
            task = asyncio.ensure_future(self._answer(ctx, data))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def busy(self, *, apart_from: type[Envelope]) -> int:
        """How many requests are being answered, apart from those of one kind."""
        return sum(n for kind, n in self._busy.items() if kind is not apart_from)

    def close(self) -> None:
        """Stop listening and drop what is being answered."""
        self._contexts.close()
        self._sock.close()
        for task in self._tasks:
            task.cancel()

    async def _answer(self, ctx: pynng.Context, data: bytes) -> None:
        with self._contexts.lent(ctx), contextlib.suppress(pynng.NNGException):
            await self._answer_on(ctx, data)

    async def _answer_on(self, ctx: pynng.Context, data: bytes) -> None:
        try:
            req = self._codec.decode(data)
        except msgspec.DecodeError as exc:
            raise pynng.NNGException(str(exc), 0) from exc
        self._busy[type(req)] += 1
        try:
            answer = msgspec.structs.replace(await self._handler(req), id=req.id)
            await ctx.asend(self._codec.encode(answer))
        finally:
            self._busy[type(req)] -= 1


class Link:
    """Sends requests to one other proxy.

    Args:
        peer: The other proxy's name.
        address: Where it listens, as a pynng URL.
        codec: How the messages are written.
    """

    def __init__(self, peer: str, address: str, codec: Codec = PROXY_CODEC) -> None:
        self._codec = codec
        self.peer = peer
        self.address = address
        self._ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._joined = asyncio.Event()
        self._sock = pynng.Req0(
            resend_time=NO_RESEND,
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._contexts = _Contexts(self._sock)
        self._sock.add_post_pipe_connect_cb(self._on_joined)
        self._sock.dial(address, block=False)

    @property
    def connected(self) -> bool:
        """Whether the other proxy can be sent to now."""
        return bool(self._sock.pipes)

    async def call(self, req: Envelope, *, timeout_s: float) -> Result[Any, Fault]:
        """Send a request and wait for its answer.

        Args:
            req: The request; its id is set here.
            timeout_s: Seconds to wait.

        Returns:
            The answer. A fault says ``not_run`` only if nothing was sent.
        """
        if not await self._reached(min(timeout_s, REACH_S)):
            return Failure(self._unreached())
        msg_id = next(self._ids)
        data = self._codec.encode(msgspec.structs.replace(req, id=msg_id))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(data)
        except TimeoutError:
            return Failure(self._lost(Code.TIMEOUT, "did not answer in time"))
        except pynng.NNGException:
            return Failure(self._lost(Code.CONNECTION_LOST, "was lost"))
        if answer.id != msg_id:
            return Failure(self._lost(Code.INTERNAL, "answered another request"))
        return Success(answer)

    def close(self) -> None:
        """Close the link; the requests under way end."""
        self._contexts.close()
        self._sock.close()

    async def _exchange(self, data: bytes) -> Any:
        ctx = self._contexts.take()
        with self._contexts.lent(ctx):
            await ctx.asend(data)
            return self._codec.decode(await ctx.arecv())

    async def _reached(self, timeout_s: float) -> bool:
        if self.connected:
            return True
        self._joined.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._joined.wait()
        return self.connected

    def _on_joined(self, pipe: pynng.Pipe) -> None:
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._joined.set)

    def _unreached(self) -> Fault:
        message = f"the proxy {self.peer} is not reached"
        return Fault(
            Code.NO_HOME,
            message,
            Step.FORWARD,
            peer=self.peer,
            retry_after_s=RETRY_AFTER_S,
        )

    def _lost(self, code: Code, what: str) -> Fault:
        message = f"the proxy {self.peer} {what}"
        unknown = Outcome.UNKNOWN
        return Fault(code, message, Step.FORWARD, self.peer, unknown, RETRY_AFTER_S)


class _Contexts:
    """The contexts of one socket; one whose exchange did not end is closed."""

    def __init__(self, sock: pynng.Socket) -> None:
        self._sock = sock
        self._all: set[pynng.Context] = set()
        self._free: list[pynng.Context] = []

    def take(self) -> pynng.Context:
        """A context that nobody uses."""
        if self._free:
            return self._free.pop()
        ctx = self._sock.new_context()
        self._all.add(ctx)
        return ctx

    @contextlib.contextmanager
    def lent(self, ctx: pynng.Context) -> Iterator[None]:
        """Keep the context for the next exchange if this one ends well."""
        try:
            yield
        except BaseException:
            self._close(ctx)
            raise
        if ctx in self._all and len(self._free) < CONTEXTS_KEPT:
            self._free.append(ctx)
        else:
            self._close(ctx)

    def close(self) -> None:
        """Close all, before their socket is closed; what waits on one ends."""
        for ctx in list(self._all):
            self._close(ctx)
        self._free.clear()

    def _close(self, ctx: pynng.Context) -> None:
        if ctx in self._all:
            self._all.remove(ctx)
            ctx.close()
