"""Connections to database servers over the platform's wire protocol."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..serving.command import (
    Answer,
    AnswerTimeoutError,
    AskStatus,
    Command,
    ConnectionContext,
    ConnectionLostError,
    OpenRefusedError,
    Refusal,
    ServerConnection,
    ServerStatus,
)
from . import wire
from ._socket import enable_keepalive

CONNECT_TIMEOUT_S = 0.5  # the round trip takes about 1 ms; longer means a lost packet
OPEN_TIMEOUT_S = 1.5  # a full server queues new connections until a slot is free
STATUS_TIMEOUT_S = 0.5  # includes the wait for a slot
MAX_ANSWER_BYTES = 8 * 1024 * 1024  # limit for the buffered rows of one answer


class WireConnection:
    """A connection to a database server on behalf of one customer.

    Args:
        stream: The stream, after the server has accepted the START message.
    """

    def __init__(self, stream: IOStream) -> None:
        self.context = ConnectionContext()
        self._stream = stream

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be used."""
        return not self._stream.closed()

    async def run(
        self, batch: tuple[Command, ...], *, timeout_s: float
    ) -> tuple[Answer, ...]:
        """Send a batch of commands in one write and wait for all answers.

        Args:
            batch: The commands, in order.
            timeout_s: Seconds to wait until the last answer has arrived.

        Raises:
            ConnectionLostError: The connection failed or timed out, and was closed.
        """
        answers: list[Answer] = []
        try:
            async with asyncio.timeout(timeout_s):
                # Not awaited: a blocked write shows up as a missing answer.
                self._stream.write(b"".join(map(wire.encode_command, batch)))
                for _ in batch:
                    answers.append(await _read_answer(self._stream))
        except TimeoutError:
            self.close()
            reason = f"no answer within {timeout_s:.3f} s"
            raise AnswerTimeoutError(reason, tuple(answers)) from None
        except (StreamClosedError, UnsatisfiableReadError, ValueError) as exc:
            self.close()
            raise ConnectionLostError(str(exc), tuple(answers)) from exc
        except asyncio.CancelledError:
            self.close()
            raise
        return tuple(answers)

    def close(self) -> None:
        """Close the connection; the server rolls back its open transaction."""
        self._stream.close()


class WireConnector:
    """Opens connections to database servers."""

    async def open(
        self, server_id: str, group: str, address: tuple[str, int], customer: str
    ) -> WireConnection:
        """Open a connection on behalf of one customer.

        Args:
            server_id: The id of the server; any other server refuses the connection.
            group: The server's database group.
            address: The server's host and port.
            customer: The customer whose statements the connection will run.

        Raises:
            OpenRefusedError: The server was not reached or refused the connection.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        enable_keepalive(sock)
        stream = IOStream(sock, max_buffer_size=2 * MAX_ANSWER_BYTES)
        stream.set_nodelay(True)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(address)
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                stream.write(wire.encode_start(group, customer, server_id))
                line = wire.decode_server(await _read_line(stream))
        except (OSError, TimeoutError, ValueError, UnsatisfiableReadError) as exc:
            stream.close()
            raise OpenRefusedError(str(exc) or type(exc).__name__) from exc
        except asyncio.CancelledError:
            stream.close()
            raise
        if isinstance(line, wire.ReadyLine):
            return WireConnection(stream)
        stream.close()
        if isinstance(line, wire.ErrorLine):
            raise OpenRefusedError(line.detail, line.refusal)
        raise OpenRefusedError("the server's welcome is no welcome", Refusal.OTHER)

    async def fetch_status(self, conn: ServerConnection) -> ServerStatus | None:
        """Query a server's role and position; None if no valid status was received."""
        try:
            (answer,) = await conn.run((AskStatus(),), timeout_s=STATUS_TIMEOUT_S)
        except ConnectionLostError:
            return None
        if answer.refusal is not None or not answer.rows:
            return None
        return wire.decode_status(answer.rows[0])


async def probe_host(address: tuple[str, int], timeout_s: float) -> bool:
    """Return whether a server accepts a connection.

    Nothing is sent, so that the server spends no slot on it. A refusal may come from
    a cut on the way, so that it shows nothing.

    Args:
        address: The host and port of a server.
        timeout_s: Timeout in seconds.
    """
    stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect(address)
    except (OSError, TimeoutError):
        return False
    finally:
        stream.close()
    return True


async def _read_line(stream: IOStream) -> bytes:
    line: bytes = await stream.read_until(
        wire.LINE_END, max_bytes=wire.MAX_MESSAGE_BYTES
    )
    return line


async def _read_answer(stream: IOStream) -> Answer:
    rows: list[str] = []
    size = 0
    signature = ""
    refusal: Refusal | None = None
    detail = ""
    ended = False
    while True:
        line = wire.decode_server(await _read_line(stream))
        match line:
            case wire.RowLine(row) if not ended:
                size += len(row)
                if size > MAX_ANSWER_BYTES:
                    raise ValueError("the rows are too large to be held")
                rows.append(row)
            case wire.DoneLine(signature) if not ended:
                ended = True
            case wire.ErrorLine(refusal, detail) if not ended:
                ended = True
            case wire.ReadyLine(state, position) if ended:
                kept = () if refusal is not None else tuple(rows)
                return Answer(state, position, kept, signature, refusal, detail)
            case _:
                raise ValueError("a server's answer is out of order")
