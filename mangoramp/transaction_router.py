"""Routes requests of a transaction to the proxy at which it is open."""

from __future__ import annotations

import re

from returns.result import Success

from .errors import Outcome
from .events import TRANSACTION_FORWARDED, emit
from .faults import transaction_unknown
from .homes import FORWARD_MARGIN_S, Homes
from .proxies.links import Links
from .proxies.messages import Message, Pinned, Refused

TRANSACTION_ID = re.compile(r"[0-9a-f]{32}\.(?P<instance>[^/\s]{1,200})")


class TransactionRouter:
    """Sends requests of transactions to the proxies at which these are open.

    Args:
        instance: This proxy's name.
        homes: The homes of this proxy.
        links: Sends messages to the other proxies.
    """

    def __init__(self, instance: str, homes: Homes, links: Links) -> None:
        self._instance = instance
        self._homes = homes
        self._links = links

    async def send(self, req: Pinned) -> Message:
        """Run a request at the proxy at which its transaction is open."""
        match = TRANSACTION_ID.fullmatch(req.transaction)
        if match is None:
            return Refused(fault=transaction_unknown(Outcome.NOT_RUN).fault)
        peer = match["instance"]
        if peer == self._instance:
            return await self.serve(req)
        emit(TRANSACTION_FORWARDED, group=req.group, peer=peer)
        timeout_s = req.timeout_s + FORWARD_MARGIN_S
        answer = await self._links.call(peer, req, timeout_s=timeout_s)
        if not isinstance(answer, Success):
            return Refused(fault=answer.failure())
        reply: Message = answer.unwrap()
        return reply

    async def serve(self, req: Pinned) -> Message:
        """Run a request of a transaction that is open here."""
        home = self._homes.find_local(req.group)
        if home is None:
            return Refused(fault=transaction_unknown(Outcome.UNKNOWN).fault)
        return await home.serve(req)
