"""The client of the platform's object API."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any, Generic, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

from ..errors import Code, Fault, Outcome, Step

T = TypeVar("T")
CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0
NULL = b"null"


@dataclass(frozen=True, slots=True)
class Versioned(Generic[T]):
    """An object with the version at which it was read.

    Attributes:
        name: The object's name.
        version: The platform's version of it, 0 if there is none.
        value: The object, None if it was deleted.
    """

    name: str
    version: int
    value: T | None


@dataclass(frozen=True, slots=True)
class Changes(Generic[T]):
    """The objects of a kind that changed, and the version to go on from."""

    version: int
    objects: tuple[Versioned[T], ...]


class _Stored(msgspec.Struct):
    name: str
    version: int
    value: msgspec.Raw


class _Listing(msgspec.Struct):
    version: int
    objects: tuple[_Stored, ...]


def _is_news(record: logging.LogRecord) -> bool:
    return "after Future was cancelled" not in record.getMessage()


# A cancelled watch makes tornado report its closed connection as an error.
logging.getLogger("tornado.application").addFilter(_is_news)


class PlatformClient:
    """Calls the platform; each failure comes back as a fault, none is raised.

    Args:
        url: The platform's address, as ``http://host:port``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._http = AsyncHTTPClient(force_instance=True, max_clients=50)

    async def changes(
        self, kind: str, type_: type[T], *, since: int = 0, wait_s: float = 0.0
    ) -> Result[Changes[T], Fault]:
        """List the objects of a kind that changed after a version.

        Args:
            kind: The kind of object.
            type_: What to decode them to.
            since: The version of the last listing, 0 for all objects.
            wait_s: Seconds to wait for the first change.
        """
        path = f"{kind}?since={since}&wait={wait_s}"
        answer = await self._call("GET", path, timeout_s=CALL_TIMEOUT_S + wait_s)
        return answer.map(lambda resp: _decode_listing(resp.body, type_))

    async def get(
        self, kind: str, name: str, type_: type[T]
    ) -> Result[Versioned[T], Fault]:
        """Read one object; one that does not exist has version 0."""
        answer = await self._call("GET", f"{kind}/{quote(name, safe='')}")
        return answer.map(lambda resp: _decode_object(resp, name, type_))

    async def put(
        self, kind: str, name: str, value: Any, *, version: int
    ) -> Result[bool, Fault]:
        """Change an object if it still has a version.

        Args:
            kind: The kind of object.
            name: Its name.
            value: The new value; None deletes it.
            version: The version last read, 0 to create it.

        Returns:
            True if it was changed, False if its version is another. A fault with
            the outcome ``unknown`` means that the change may have been made.
        """
        answer = await self._call(
            "DELETE" if value is None else "PUT",
            f"{kind}/{quote(name, safe='')}",
            body=None if value is None else msgspec.json.encode(value),
            version=version,
        )
        return answer.map(lambda resp: resp.code == 200)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        version: int = 0,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[HTTPResponse, Fault]:
        try:
            resp = await self._http.fetch(
                f"{self._url}/v1/objects/{path}",
                method=method,
                body=body,
                headers={"If-Match": str(version)} if method != "GET" else None,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout_s,
                raise_error=False,
            )
        except (OSError, HTTPClientError) as exc:
            return Failure(_fault(str(exc), self._url))
        if resp.code not in (200, 404, 412):
            return Failure(_fault(f"status {resp.code}", self._url))
        return Success(resp)


def _fault(reason: str, peer: str) -> Fault:
    return Fault(
        Code.NO_SERVER,
        f"the platform does not answer: {reason}",
        Step.PLATFORM,
        peer=peer,
        outcome=Outcome.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )


def _decode_listing(body: bytes, type_: type[T]) -> Changes[T]:
    listing = msgspec.json.decode(body, type=_Listing)
    found = tuple(_versioned(stored, type_) for stored in listing.objects)
    return Changes(listing.version, found)


def _decode_object(resp: HTTPResponse, name: str, type_: type[T]) -> Versioned[T]:
    if resp.code == 404:
        return Versioned(name, 0, None)
    return _versioned(msgspec.json.decode(resp.body, type=_Stored), type_)


def _versioned(stored: _Stored, type_: type[T]) -> Versioned[T]:
    if bytes(stored.value) == NULL:
        return Versioned(stored.name, stored.version, None)
    value = msgspec.json.decode(stored.value, type=type_)
    return Versioned(stored.name, stored.version, value)
