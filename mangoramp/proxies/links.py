"""Links to the other proxies, opened on demand."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pynng
from returns.result import Failure, Result

from ..errors import Code, Fault, Step
from ..events import PEER_ADDRESS_INVALID, emit
from .envelope import Codec, Envelope
from .link import Link


class Links:
    """Sends requests to other proxies by name.

    Args:
        address_of: Returns the address of a proxy, None if it is unknown.
        codec: The encoding of the messages.
    """

    def __init__(self, address_of: Callable[[str], str | None], codec: Codec) -> None:
        self._address_of = address_of
        self._codec = codec
        self._links: dict[str, Link] = {}
        self._replaced: set[Link] = set()

    async def call(
        self, peer: str, req: Envelope, *, timeout_s: float
    ) -> Result[Any, Fault]:
        """Send a request to a proxy and wait for its answer.

        Args:
            peer: The proxy's name.
            req: The request.
            timeout_s: Time limit in seconds.

        Returns:
            The answer. A fault's outcome is ``not_run`` only if nothing was sent.
        """
        link = self._get_link(peer)
        if link is None:
            message = f"the proxy {peer} is not known"
            fault = Fault(Code.NO_HOME, message, Step.FORWARD, peer)
            return Failure(fault)
        try:
            return await link.call(req, timeout_s=timeout_s)
        finally:
            self._close_if_unused(link)

    def connection_id(self, peer: str) -> int:
        """Return the id of the current connection to a proxy, 0 if there is none.

        It changes with each connection, so also with each restart of the proxy.
        """
        link = self._links.get(peer)
        return link.connection_id if link is not None and link.is_connected else 0

    def reset(self, peer: str) -> None:
        """Close the link to a silent proxy; the next call opens a new link."""
        existing = self._links.pop(peer, None)
        if existing is not None:
            existing.close()

    def renew(self, peer: str) -> None:
        """Let the next call open a new link; calls in progress keep the present one.

        A connection may carry nothing any more although the proxy can be reached.
        """
        existing = self._links.pop(peer, None)
        if existing is not None:
            self._replaced.add(existing)
            self._close_if_unused(existing)

    def close(self) -> None:
        """Close every link."""
        for link in (*self._links.values(), *self._replaced):
            link.close()

    def _close_if_unused(self, link: Link) -> None:
        if link in self._replaced and not link.calls_in_progress:
            self._replaced.discard(link)
            link.close()

    def _get_link(self, peer: str) -> Link | None:
        address = self._address_of(peer)
        existing = self._links.get(peer)
        if existing is not None and existing.address == address:
            return existing
        if existing is not None:
            self._links.pop(peer).close()
        if address is not None:
            self._open(peer, address)
        return self._links.get(peer)

    def _open(self, peer: str, address: str) -> None:
        try:
            self._links[peer] = Link(peer, address, self._codec)
        except (pynng.NNGException, ValueError) as exc:
            # The address comes from a record that anyone may have written.
            emit(PEER_ADDRESS_INVALID, peer=peer, address=address, reason=str(exc))
