"""HTTP client for the platform's object store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any, Generic, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPInputError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..decoding import MAX_INTEGER, decode_json
from ..errors import Code, Fault, Outcome, Step
from ..events import ENTRY_UNREADABLE, ERA_UNREADABLE, STORE_RESTORED, emit
from ..policy.revision import Revision
from .fragments import split_elements, split_members

T = TypeVar("T")
V = TypeVar("V")
CONNECT_TIMEOUT_S = 2.0  # TCP retransmits a lost SYN after 1 s
REQUEST_TIMEOUT_S = 3.0  # allows for one lost SYN and a store 50 times slower
WATCH_TIMEOUT_MARGIN_S = 1.0  # for the response of a watch that timed out at the store
MAX_WATCH_WAIT_S = 30.0  # the longest watch that the store accepts
MAX_PAGES = 1_000  # guards against a listing that never ends
MAX_BODY_BYTES = 64 * 1024 * 1024  # far more than one page of a listing
RETRY_AFTER_S = 1.0  # the shortest usual outage of the store
NOT_RUN_STATUSES = (429, 503)  # the store did not execute the request
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
JSON_NULL = b"null"
RESTORED_MEANWHILE = "it was restored from a copy during the call"
MAX_LOGGED_CHARS = 40
MAX_ERA_DIGITS = 15  # a token of a larger era would exceed what messages can hold
ERA_HEADER = "Store-Era"  # rises each time the store is restored from a copy


@dataclass(frozen=True, slots=True)
class Versioned(Generic[T]):
    """An object and the version at which it was read.

    Attributes:
        name: The object's name.
        version: The object's revision in the store, 0 if it does not exist.
        value: The decoded object, None if it was deleted or has no content.
        era: The era of the store in which it was read.
        is_deleted: Whether a watch reported its removal.
    """

    name: str
    version: int
    value: T | None
    era: int = 0
    is_deleted: bool = False

    @property
    def revision(self) -> Revision:
        """The object's revision, which can be compared across eras."""
        return Revision(self.era, self.version)


@dataclass(frozen=True, slots=True)
class Changes(Generic[T]):
    """Changes to the objects of one kind.

    Attributes:
        version: The revision from which to continue.
        objects: The changed objects, in order of their changes.
        is_complete: Whether ``objects`` holds every object of the kind.
        era: The era of the store in which they were read.
    """

    version: int
    objects: tuple[Versioned[T], ...]
    is_complete: bool = False
    era: int = 0

    @property
    def revision(self) -> Revision:
        """The revision from which to continue, which can be compared across eras."""
        return Revision(self.era, self.version)


_Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Meta(msgspec.Struct):
    name: str
    revision: _Revision = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(JSON_NULL)


class _Page(msgspec.Struct):
    items: tuple[_Object, ...]
    current_rev: _Revision
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: tuple[_Event, ...]
    current_rev: _Revision


def _is_not_cancellation(record: logging.LogRecord) -> bool:
    return "after Future was cancelled" not in record.getMessage()


# Tornado logs the closed connection of a cancelled watch as an error.
logging.getLogger("tornado.application").addFilter(_is_not_cancellation)


class PlatformClient:
    """Client for the object store; returns failures as faults and raises none.

    Args:
        url: The store's base URL, as ``http://host:port``.

    Attributes:
        era: The highest era of the store seen in any answer; 0 while unknown.
        on_restored: Called when an answer shows that the store was restored.
    """

    def __init__(self, url: str) -> None:
        self.era = 0
        self.on_restored: Callable[[], None] = lambda: None
        self._url = url.rstrip("/")
        self._http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=50, max_body_size=MAX_BODY_BYTES
        )

    async def fetch_changes(
        self,
        kind: str,
        type_: type[T],
        *,
        since: int = 0,
        wait_s: float = 0.0,
        era: int | None = None,
    ) -> Result[Changes[T], Fault]:
        """List the objects of a kind that changed after a revision.

        Args:
            kind: The kind of object.
            type_: The type to decode the objects to.
            since: The revision from which to continue, 0 to list all objects.
            wait_s: Seconds to wait for the first change.
            era: The era of ``since``, None for the current one. All objects are
                listed if the store has been restored since.

        Returns:
            The changes, or all objects if the store no longer has the history.
        """
        if since <= 0 or era not in (None, self.era):
            return await self.list_objects(kind, type_)
        wait_s = min(wait_s, MAX_WATCH_WAIT_S)
        query = {"watch": since, "wait_ms": round(wait_s * 1000)}
        answer = await self._request(
            "GET",
            f"{kind}?{urlencode(query)}",
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        if isinstance(answer, Success) and answer.unwrap().code == HTTP_GONE:
            return await self.list_objects(kind, type_)
        return answer.bind(
            lambda resp: _decode_events(resp, type_, self._url, self.era)
        )

    async def list_objects(
        self, kind: str, type_: type[T], *, allow_stale: bool = False
    ) -> Result[Changes[T], Fault]:
        """List all objects of a kind.

        Args:
            kind: The kind of object.
            type_: The type to decode the objects to.
            allow_stale: Whether to accept data that is seconds old; such a request
                costs a tenth of a current one.
        """
        found: list[Versioned[T]] = []
        after = ""
        version = 0
        era = self.era
        for _ in range(MAX_PAGES):
            query: dict[str, Any] = {"after": after} if after else {}
            if allow_stale:
                query["allow_stale"] = 1
            path = f"{kind}?{urlencode(query)}" if query else kind
            answer = await self._request("GET", path)
            page = answer.bind(
                lambda resp: _decode_page(resp, type_, self._url, self.era)
            )
            if not isinstance(page, Success):
                return Failure(page.failure())
            if era not in (0, self.era):
                return Failure(_fault(RESTORED_MEANWHILE, self._url))
            era = self.era
            raw, items = page.unwrap()
            # Watching from the first page's revision covers changes made between pages.
            version = version or raw.current_rev
            found.extend(items)
            if not raw.has_more:
                return Success(Changes(version, tuple(found), True, era))
            if not items or items[-1].name <= after:
                break
            after = items[-1].name
        # Treating a partial list as complete would remove all objects it lacks.
        return Failure(_fault(f"its list of {kind} does not end", self._url))

    async def get(
        self, kind: str, name: str, type_: type[T]
    ) -> Result[Versioned[T], Fault]:
        """Read one object; the version is 0 if the object does not exist."""
        answer = await self._request("GET", f"{kind}/{quote(name, safe='')}")
        if isinstance(answer, Success) and answer.unwrap().code == HTTP_NOT_FOUND:
            return Success(Versioned(name, 0, None, self.era))
        return answer.bind(
            lambda resp: _decode_object(resp, type_, self._url, self.era)
        )

    async def put(
        self,
        kind: str,
        name: str,
        value: Any,
        *,
        version: int,
        era: int | None = None,
    ) -> Result[bool, Fault]:
        """Create, replace or delete an object if its version is unchanged.

        Args:
            kind: The kind of object.
            name: The object's name.
            value: The new value, None to delete the object.
            version: The version last read, 0 to create the object.
            era: The era in which the version was read, None for the current one.

        Returns:
            True if the change was made, False on a version conflict. A fault with
            the outcome ``unknown`` means that the change may have been made or may
            still be made later.
        """
        if era not in (None, self.era):
            return Failure(_fault(RESTORED_MEANWHILE, self._url, Outcome.NOT_RUN))
        path = f"{kind}/{quote(name, safe='')}"
        if value is None:
            answer = await self._request("DELETE", f"{path}?revision={version}")
        else:
            meta: dict[str, Any] = {"name": name, "finalizers": []}
            if version:
                meta["revision"] = version
            body = msgspec.json.encode({"meta": meta, "spec": value})
            method, path = ("PUT", path) if version else ("POST", kind)
            answer = await self._request(method, path, body=body)
        return answer.map(lambda resp: resp.code in (200, 201, 204))

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Result[HTTPResponse, Fault]:
        req = HTTPRequest(
            f"{self._url}/objects/{path}",
            method=method,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        began_in = self.era
        try:
            resp = await self._http.fetch(req, raise_error=False)
        except (OSError, HTTPClientError, HTTPInputError, ValueError) as exc:
            return Failure(_fault(str(exc), self._url))
        era = self._observe_era(resp)
        if resp.code in NOT_RUN_STATUSES:
            return Failure(_fault(f"status {resp.code}", self._url, Outcome.NOT_RUN))
        if resp.code not in (200, 201, 204, HTTP_NOT_FOUND, 409, HTTP_GONE):
            return Failure(_fault(f"status {resp.code}", self._url))
        if era != self.era or began_in not in (0, era):
            # A revision of one era says nothing about the objects of another.
            return Failure(_fault(RESTORED_MEANWHILE, self._url))
        return Success(resp)

    def _observe_era(self, resp: HTTPResponse) -> int:
        """Return the era of an answer, and note a restoration of the store."""
        text = resp.headers.get(ERA_HEADER)
        if text is None:
            return self.era
        if not (text.isascii() and text.isdigit()) or len(text) > MAX_ERA_DIGITS:
            emit(ERA_UNREADABLE, value=text[:MAX_LOGGED_CHARS])
            return self.era
        era, known = int(text), self.era
        if era > known:
            self.era = era
            if known:
                emit(STORE_RESTORED, era=era, previous=known)
                self.on_restored()
        return era


def _fault(reason: str, peer: str, outcome: Outcome = Outcome.UNKNOWN) -> Fault:
    return Fault(
        Code.NO_SERVER,
        f"the platform does not answer: {reason}",
        Step.PLATFORM,
        peer=peer,
        outcome=outcome,
        retry_after_s=RETRY_AFTER_S,
    )


def _decode_page(
    resp: HTTPResponse, type_: type[T], peer: str, era: int
) -> Result[tuple[_Page, list[Versioned[T]]], Fault]:
    def convert() -> tuple[_Page, list[Versioned[T]]]:
        page = _parse_page(resp.body)
        return page, [_to_versioned(item, type_, era) for item in page.items]

    return _convert(convert, peer)


def _decode_events(
    resp: HTTPResponse, type_: type[T], peer: str, era: int
) -> Result[Changes[T], Fault]:
    def convert() -> Changes[T]:
        events = _parse_events(resp.body)
        found = (
            _to_deleted(e.object.meta, era)
            if e.deleted
            else _to_versioned(e.object, type_, era)
            for e in events.events
        )
        return Changes(events.current_rev, tuple(found), era=era)

    return _convert(convert, peer)


def _decode_object(
    resp: HTTPResponse, type_: type[T], peer: str, era: int
) -> Result[Versioned[T], Fault]:
    return _convert(lambda: _to_versioned(_parse_object(resp.body), type_, era), peer)


def _convert(convert: Callable[[], V], peer: str) -> Result[V, Fault]:
    try:
        return Success(convert())
    except (ValueError, KeyError) as exc:
        return Failure(_fault(f"its answer cannot be read: {exc}", peer))


def _parse_page(body: bytes) -> _Page:
    """Decode a page of a list, also if some of its objects cannot be decoded."""
    try:
        return decode_json(body, _Page)
    except msgspec.DecodeError:
        members = split_members(body)
        items = map(_try_parse_object, split_elements(members["items"]))
        frame = decode_json(_without(members, "items"), _Page)
        found = tuple(item for item in items if item is not None)
        return msgspec.structs.replace(frame, items=found)


def _parse_events(body: bytes) -> _Events:
    """Decode the events of a watch, also if some of them cannot be decoded."""
    try:
        return decode_json(body, _Events)
    except msgspec.DecodeError:
        members = split_members(body)
        events = map(_try_parse_event, split_elements(members["events"]))
        frame = decode_json(_without(members, "events"), _Events)
        found = tuple(event for event in events if event is not None)
        return msgspec.structs.replace(frame, events=found)


def _parse_object(raw: bytes) -> _Object:
    """Decode the name and revision of an object, whatever its content."""
    try:
        return decode_json(raw, _Object)
    except msgspec.DecodeError:
        members = split_members(raw)
        spec = msgspec.Raw(members.get("spec", JSON_NULL))
        return _Object(decode_json(members["meta"], _Meta), spec)


def _parse_event(raw: bytes) -> _Event:
    members = split_members(raw)
    is_deleted = members.get("deleted") == b"true"
    return _Event(_parse_object(members["object"]), is_deleted)


def _without(members: dict[str, bytes], name: str) -> bytes:
    """Encode an object's numbers and flags, and an empty array for a member."""
    kept = {"current_rev": members["current_rev"], name: b"[]"}
    if "has_more" in members:
        kept["has_more"] = members["has_more"]
    return b"{%b}" % b",".join(b'"%b":%b' % (k.encode(), v) for k, v in kept.items())


def _try_parse_object(raw: bytes) -> _Object | None:
    return _try_parse(_parse_object, raw)


def _try_parse_event(raw: bytes) -> _Event | None:
    return _try_parse(_parse_event, raw)


def _try_parse(parse: Callable[[bytes], V], raw: bytes) -> V | None:
    try:
        return parse(raw)
    except (ValueError, KeyError) as exc:
        reason = f"it has no name or revision: {exc}"
        emit(ENTRY_UNREADABLE, start=repr(raw[:MAX_LOGGED_CHARS]), reason=reason)
        return None


def _to_deleted(meta: _Meta, era: int) -> Versioned[Any]:
    return Versioned(meta.name, meta.revision, None, era, is_deleted=True)


def _to_versioned(stored: _Object, type_: type[T], era: int) -> Versioned[T]:
    name, version = stored.meta.name, stored.meta.revision
    if bytes(stored.spec) == JSON_NULL:
        return Versioned(name, version, None, era)
    if type_ is msgspec.Raw:
        # Copied because a Raw value is a view that keeps the whole response in memory.
        copy = msgspec.Raw(bytes(stored.spec))
        return Versioned(name, version, copy, era)  # type: ignore
    try:
        value = decode_json(stored.spec, type_)
    except msgspec.DecodeError as exc:
        raise msgspec.DecodeError(f"{name}: {exc}") from exc
    return Versioned(name, version, value, era)
