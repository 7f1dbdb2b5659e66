"""Client for the platform's promotion API, which makes a server the primary."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from enum import StrEnum
from urllib.parse import urlsplit

import msgspec
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

CONNECT_TIMEOUT_S = 1.3  # TCP retransmits a lost SYN after 1 s
REQUEST_TIMEOUT_S = 1.5  # the response is sent after the promotion succeeded or failed
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a wait


class PromotionOutcome(StrEnum):
    """Outcome of a promotion request."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_DONE = "not_done"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class PromotionClient:
    """Client for the promotion API.

    Args:
        url: The base URL of the API.
    """

    def __init__(self, url: str) -> None:
        parts = urlsplit(url)
        self._host, self._port = parts.hostname, parts.port or 80
        self._authority = parts.netloc
        self._tcp = TCPClient()

    async def promote(
        self,
        group: str,
        server_id: str,
        *,
        holder: str,
        token: int,
        time_left: Callable[[], float] = lambda: REQUEST_TIMEOUT_S,
    ) -> PromotionOutcome:
        """Request that a server become the primary of its group.

        The connection is opened first, as that may take seconds in which the reason for
        the request ends. It is reset if there is no answer, so that nothing that is
        still on its way arrives later.

        Args:
            group: The database group.
            server_id: The server to promote.
            holder: The instance that holds the promotion lease.
            token: The fencing token of the lease.
            time_left: Returns the seconds that the request may still take, 0 if it must
                not be sent; called again right before it is sent.

        Returns:
            ``REFUSED`` if the token is too low or the server is down; ``NOT_DONE`` if
            the platform was too busy; ``NOT_SENT`` if nothing was sent; ``UNKNOWN`` if
            the promotion may have been done or may still be done seconds later.
        """
        stream = await self._connect(time_left())
        if stream is None:
            return PromotionOutcome.NOT_SENT
        outcome = PromotionOutcome.NOT_SENT
        try:
            left_s = time_left()
            if left_s > 0:
                outcome = PromotionOutcome.UNKNOWN
                body = msgspec.json.encode({"service": group, "id": server_id})
                fence = {"Lease-Holder": holder, "Fencing-Token": str(token)}
                code = await self._post(stream, body, fence, left_s)
                outcome = _outcome(code)
        finally:
            if outcome is PromotionOutcome.UNKNOWN:
                _reset_on_close(stream)
            stream.close()
        return outcome

    async def _connect(self, timeout_s: float) -> IOStream | None:
        if self._host is None or timeout_s <= 0:
            return None
        timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
        try:
            return await self._tcp.connect(self._host, self._port, timeout=timeout_s)
        except (OSError, TimeoutError):
            return None

    async def _post(
        self, stream: IOStream, body: bytes, fence: dict[str, str], timeout_s: float
    ) -> int:
        """Send a request and return the status of its answer, 0 for none."""
        headers = HTTPHeaders(
            {
                "Host": self._authority,
                "Connection": "close",
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                **fence,
            }
        )
        conn = HTTP1Connection(stream, True, HTTP1ConnectionParameters())
        answer = _Answer()
        with suppress(OSError, TimeoutError, HTTPInputError, ValueError):
            async with asyncio.timeout(min(timeout_s, REQUEST_TIMEOUT_S)):
                line = RequestStartLine("POST", "/promotion", "HTTP/1.1")
                sent = conn.write_headers(line, headers, body)
                conn.finish()
                await sent
                await conn.read_response(answer)
        return answer.code if answer.is_complete else 0

    def close(self) -> None:
        """Close the resolver; connections end with their requests."""
        self._tcp.close()


class _Answer(HTTPMessageDelegate):
    """The status of an HTTP response, and whether the response came whole."""

    def __init__(self) -> None:
        self.code = 0
        self.is_complete = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Record the status."""
        if isinstance(start_line, ResponseStartLine):
            self.code = start_line.code

    def finish(self) -> None:
        """Record that the response came whole."""
        self.is_complete = True


def _outcome(code: int) -> PromotionOutcome:
    if code == 409:
        return PromotionOutcome.REFUSED
    if code in (429, 503):
        return PromotionOutcome.NOT_DONE
    return PromotionOutcome.ACCEPTED if code == 200 else PromotionOutcome.UNKNOWN


def _reset_on_close(stream: IOStream) -> None:
    """Have what was not yet delivered dropped when the connection is closed."""
    if not stream.closed():
        with suppress(OSError):
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
