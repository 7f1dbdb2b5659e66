"""Links between proxies: requests and answers over pynng.

Each request has its own nng context, so that one connection carries many concurrent
requests; nng applies back pressure if the peer is slow. Requests are never resent: with
resending off, nng fails a request when its connection is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import msgspec
import pynng
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Outcome, Step
from ..events import HANDLER_FAILED, MESSAGE_UNREADABLE, emit, place_of
from .envelope import Codec, Envelope

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
CONNECT_WAIT_S = 0.3
RETRY_AFTER_S = 0.5
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
NO_RESEND = -1
MAX_FREE_CONTEXTS = 128

_connection_ids = itertools.count(1)

Handler = Callable[[Any], Awaitable[Any]]


class LinkServer:
    """Serves the requests of other proxies.

    Args:
        address: Address to listen on, as a pynng URL.
        handler: Returns the answer to a request; must not raise.
        codec: The encoding of the messages.
    """

    def __init__(self, address: str, handler: Handler, codec: Codec) -> None:
        self._handler = handler
        self._codec = codec
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_progress: Counter[type[Envelope]] = Counter()
        self._sock = pynng.Rep0(listen=address, recv_max_size=MAX_MESSAGE_BYTES)
        self._contexts = _ContextPool(self._sock)

    async def run(self) -> None:
        """Serve requests until closed."""
        while True:
            try:
                ctx = self._contexts.acquire()
                data = await ctx.arecv()
            except pynng.Closed:
                return
            task = asyncio.ensure_future(self._serve_request(ctx, data))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def count_in_progress(self, *, excluding: type[Envelope]) -> int:
        """The number of requests in progress, except those of one type."""
        return sum(n for kind, n in self._in_progress.items() if kind is not excluding)

    def close(self) -> None:
        """Stop listening and cancel the requests in progress."""
        self._contexts.close()
        self._sock.close()
        for task in self._tasks:
            task.cancel()

    async def _serve_request(self, ctx: pynng.Context, data: bytes) -> None:
        try:
            with self._contexts.releasing(ctx):
                await self._handle(ctx, data)
        except msgspec.DecodeError as exc:
            emit(MESSAGE_UNREADABLE, size=len(data), reason=str(exc))
        except pynng.NNGException:
            return  # the peer is gone, or this process stops
        except Exception as exc:
            emit(HANDLER_FAILED, reason=repr(exc), place=place_of(exc))

    async def _handle(self, ctx: pynng.Context, data: bytes) -> None:
        req = self._codec.decode(data)
        self._in_progress[type(req)] += 1
        try:
            answer = msgspec.structs.replace(await self._handler(req), id=req.id)
            self._contexts.check_open(ctx)
            await ctx.asend(self._codec.encode(answer))
        finally:
            self._in_progress[type(req)] -= 1


class Link:
    """Sends requests to one other proxy.

    Args:
        peer: Name of the other proxy.
        address: Address on which the other proxy listens, as a pynng URL.
        codec: The encoding of the messages.

    Attributes:
        connection_id: The id of the current connection, 0 before the first one.
        calls_in_progress: The number of calls that have not ended.
    """

    def __init__(self, peer: str, address: str, codec: Codec) -> None:
        self._codec = codec
        self.peer = peer
        self.address = address
        self.connection_id = 0
        self.calls_in_progress = 0
        self._ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._connected = asyncio.Event()
        self._sock = pynng.Req0(
            resend_time=NO_RESEND,
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._contexts = _ContextPool(self._sock)
        self._sock.add_post_pipe_connect_cb(self._on_connect)
        self._sock.dial(address, block=False)

    @property
    def is_connected(self) -> bool:
        """Whether the link is connected to the other proxy."""
        return bool(self._sock.pipes)

    async def call(self, req: Envelope, *, timeout_s: float) -> Result[Any, Fault]:
        """Send a request and wait for its answer.

        Args:
            req: The request; the link sets its id.
            timeout_s: Time limit in seconds.

        Returns:
            The answer. A fault's outcome is ``not_run`` only if nothing was sent.
        """
        self.calls_in_progress += 1
        try:
            return await self._call(req, timeout_s)
        finally:
            self.calls_in_progress -= 1

    async def _call(self, req: Envelope, timeout_s: float) -> Result[Any, Fault]:
        deadline = self._loop.time() + timeout_s
        if not await self._wait_connected(min(timeout_s, CONNECT_WAIT_S)):
            return Failure(self._unreachable_fault())
        msg_id = next(self._ids)
        data = self._codec.encode(msgspec.structs.replace(req, id=msg_id))
        try:
            async with asyncio.timeout_at(deadline):
                answer = await self._exchange(data, deadline)
        except TimeoutError:
            return Failure(
                self._outcome_unknown_fault(Code.TIMEOUT, "did not answer in time")
            )
        except pynng.NNGException:
            return Failure(
                self._outcome_unknown_fault(Code.CONNECTION_LOST, "was lost")
            )
        except msgspec.DecodeError as exc:
            problem = f"sent an answer that cannot be read: {exc}"
            return Failure(self._outcome_unknown_fault(Code.INTERNAL, problem))
        if answer.id != msg_id:
            return Failure(
                self._outcome_unknown_fault(Code.INTERNAL, "answered another request")
            )
        return Success(answer)

    def close(self) -> None:
        """Close the link and fail the requests in progress."""
        self._contexts.close()
        self._sock.close()

    async def _exchange(self, data: bytes, deadline: float) -> Any:
        ctx = self._contexts.acquire()
        with self._contexts.releasing(ctx):
            await ctx.asend(data)
            self._contexts.check_open(ctx)
            # A send that completes while it is cancelled swallows the cancellation.
            if self._loop.time() >= deadline:
                raise TimeoutError
            return self._codec.decode(await ctx.arecv())

    async def _wait_connected(self, timeout_s: float) -> bool:
        if self.is_connected:
            return True
        self._connected.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._connected.wait()
        return self.is_connected

    def _on_connect(self, pipe: pynng.Pipe) -> None:
        self.connection_id = next(_connection_ids)
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._connected.set)

    def _unreachable_fault(self) -> Fault:
        message = f"the proxy {self.peer} is not reached"
        return Fault(
            Code.NO_HOME,
            message,
            Step.FORWARD,
            peer=self.peer,
            retry_after_s=RETRY_AFTER_S,
        )

    def _outcome_unknown_fault(self, code: Code, problem: str) -> Fault:
        message = f"the proxy {self.peer} {problem}"
        unknown = Outcome.UNKNOWN
        return Fault(code, message, Step.FORWARD, self.peer, unknown, RETRY_AFTER_S)


class _ContextPool:
    """A pool of the contexts of one socket; closes a context whose exchange failed."""

    def __init__(self, sock: pynng.Socket) -> None:
        self._sock = sock
        self._all: set[pynng.Context] = set()
        self._free: list[pynng.Context] = []

    def acquire(self) -> pynng.Context:
        """Acquire a free context, or open one."""
        if self._free:
            return self._free.pop()
        ctx = self._sock.new_context()
        self._all.add(ctx)
        return ctx

    def check_open(self, ctx: pynng.Context) -> None:
        """Check that a context was not closed during a wait.

        Raises:
            pynng.Closed: The context is closed; pynng itself raises a ``TypeError``.
        """
        if ctx not in self._all:
            raise pynng.Closed("the link was closed", pynng.lib.NNG_ECLOSED)

    @contextlib.contextmanager
    def releasing(self, ctx: pynng.Context) -> Iterator[None]:
        """Return the context to the pool if the exchange succeeds, else close it."""
        try:
            yield
        except BaseException:
            self._close(ctx)
            raise
        if ctx in self._all and len(self._free) < MAX_FREE_CONTEXTS:
            self._free.append(ctx)
        else:
            self._close(ctx)

    def close(self) -> None:
        """Close all contexts, which ends pending exchanges.

        Must be called before the socket is closed.
        """
        for ctx in list(self._all):
            self._close(ctx)
        self._free.clear()

    def _close(self, ctx: pynng.Context) -> None:
        if ctx in self._all:
            self._all.remove(ctx)
            ctx.close()
