"""Connections to database servers, in the platform's wire protocol."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..serving.command import (
    Answer,
    AnswerTimeoutError,
    AskStatus,
    Command,
    ConnectionLostError,
    ConnectionMemory,
    OpenRefusedError,
    Refusal,
    ServerConnection,
    ServerStatus,
)
from . import wire
from ._socket import watch_peer

CONNECT_TIMEOUT_S = 0.5  # a server is a millisecond away; more means a lost packet
OPEN_TIMEOUT_S = 1.5  # a full server lets new connections wait for a slot
STATUS_TIMEOUT_S = 0.5  # a status waits for a slot too
MAX_ANSWER_BYTES = 8 * 1024 * 1024  # rows that are held before they are passed on


class WireConnection:
    """One connection to a server, for one customer.

    Args:
        stream: The connected stream, after the server's welcome.
    """

    def __init__(self, stream: IOStream) -> None:
        self.memory = ConnectionMemory()
        self._stream = stream

    @property
    def is_open(self) -> bool:
        """Whether it can still be used."""
        return not self._stream.closed()

    async def run(
        self, batch: tuple[Command, ...], *, timeout_s: float
    ) -> tuple[Answer, ...]:
        """Send commands at once and wait for all their answers.

        Args:
            batch: The commands.
            timeout_s: Seconds that the last answer may take.

        Raises:
            ConnectionLostError: The connection broke or stayed silent; it is closed.
        """
        answers: list[Answer] = []
        try:
            async with asyncio.timeout(timeout_s):
                # Not awaited: a write that blocks is told by the missing answer.
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
        """Close it; the server rolls back a transaction that it holds."""
        self._stream.close()


class WireConnector:
    """Opens connections to servers."""

    async def open(
        self, server_id: str, group: str, address: tuple[str, int], customer: str
    ) -> WireConnection:
        """Open a connection for one customer.

        Args:
            server_id: The server that is meant; another one refuses.
            group: Its database group.
            address: Its host and port.
            customer: Whose statements it will run.

        Raises:
            OpenRefusedError: There is none.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        watch_peer(sock)
        stream = IOStream(sock, max_buffer_size=2 * MAX_ANSWER_BYTES)
        stream.set_nodelay(True)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(address)
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                stream.write(wire.encode_open(group, customer, server_id))
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

    async def status(self, conn: ServerConnection) -> ServerStatus | None:
        """Ask a server for its role and position; None if it does not say."""
        try:
            (answer,) = await conn.run((AskStatus(),), timeout_s=STATUS_TIMEOUT_S)
        except ConnectionLostError:
            return None
        if answer.refusal is not None or not answer.rows:
            return None
        return wire.decode_status(answer.rows[0])


async def _read_line(stream: IOStream) -> bytes:
    line: bytes = await stream.read_until(wire.END, max_bytes=wire.MAX_MESSAGE_BYTES)
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
