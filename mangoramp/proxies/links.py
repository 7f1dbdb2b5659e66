"""The links to all other proxies, opened as they are needed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result

from ..errors import Code, Fault, Step
from .link import PROXY_CODEC, Codec, Link
from .messages import Envelope


class Links:
    """Sends requests to other proxies by their names.

    Args:
        address_of: Tells where a proxy listens, None if it is not known.
        codec: How the messages are written.
    """

    def __init__(
        self, address_of: Callable[[str], str | None], codec: Codec = PROXY_CODEC
    ) -> None:
        self._address_of = address_of
        self._codec = codec
        self._links: dict[str, Link] = {}

    async def call(
        self, peer: str, req: Envelope, *, timeout_s: float
    ) -> Result[Any, Fault]:
        """Send a request to a proxy and wait for its answer.

        Args:
            peer: The proxy's name.
            req: The request.
            timeout_s: Seconds to wait.

        Returns:
            The answer. A fault says ``not_run`` only if nothing was sent.
        """
        link = self._link(peer)
        if link is None:
            message = f"the proxy {peer} is not known"
            fault = Fault(Code.NO_HOME, message, Step.FORWARD, peer)
            return Failure(fault)
        return await link.call(req, timeout_s=timeout_s)

    def reset(self, peer: str) -> None:
        """Close the link to a proxy that went silent; the next call opens another."""
        known = self._links.pop(peer, None)
        if known is not None:
            known.close()

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()

    def _link(self, peer: str) -> Link | None:
        address = self._address_of(peer)
        known = self._links.get(peer)
        if known is not None and known.address == address:
            return known
        if known is not None:
            self._links.pop(peer).close()
        if address is not None:
            self._links[peer] = Link(peer, address, self._codec)
        return self._links.get(peer)
