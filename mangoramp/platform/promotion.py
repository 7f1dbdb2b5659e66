"""Orders the platform to make a server the primary of its group."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

CALL_TIMEOUT_S = 2.0  # the call is answered once the server leads or cannot


class PromotionOutcome(StrEnum):
    """What became of an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class PromotionClient:
    """Calls the platform's singleton duties.

    Args:
        url: Where they are called.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = SimpleAsyncHTTPClient(force_instance=True)

    async def promote(
        self, group: str, server_id: str, *, holder: str, token: int
    ) -> PromotionOutcome:
        """Order that a server lead its group.

        Args:
            group: The database group.
            server_id: The server.
            holder: The instance that holds the duty.
            token: Its fencing token.

        Returns:
            ``REFUSED`` if the token is too low or the server does not run; ``UNKNOWN``
            if the order may be carried out, now or seconds later.
        """
        req = HTTPRequest(
            f"{self._url}/promotion",
            method="POST",
            body=msgspec.json.encode({"service": group, "id": server_id}),
            headers={
                "Content-Type": "application/json",
                "Lease-Holder": holder,
                "Fencing-Token": str(token),
            },
            connect_timeout=CALL_TIMEOUT_S,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            resp = await self._http.fetch(req, raise_error=False)
        except (OSError, HTTPClientError):
            return PromotionOutcome.UNKNOWN
        if resp.code == 409:
            return PromotionOutcome.REFUSED
        if resp.code in (429, 503):
            return PromotionOutcome.NOT_DONE
        return (
            PromotionOutcome.ACCEPTED if resp.code == 200 else PromotionOutcome.UNKNOWN
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.close()
